//! The hidden commands that `scale` starts: processes that each simulate many peers.
use clap::Subcommand;
use rosewall_cluster_testbed::error::TestbedError;
use rosewall_cluster_testbed::scale;
use rosewall_cluster_testbed::scale::control::SimulationError;
use rosewall_cluster_testbed::scale::topology::Latencies;
use rosewall_cluster_testbed::scale::workers::WorkersConfig;
use std::path::PathBuf;
use std::time::Duration;

const MAX_LATENCY_MS: f64 = 10_000.0;

/// Role that a process of simulated peers has.
#[derive(Subcommand)]
pub enum SimulatedProcess {
    Workers {
        count: usize,
        #[arg(value_name = "SEATS")]
        slots: usize,
        zone_ms: f64,
        zones_ms: f64,
        regions_ms: f64,
    },
    Discovery {
        followers: usize,
    },
    Dispatchers {
        folder: PathBuf,
        first: usize,
        last: usize,
        #[arg(value_name = "APART_MS")]
        start_interval_ms: u64,
    },
}

fn latency(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, MAX_LATENCY_MS) / 1e3)
}

impl SimulatedProcess {
    /// Runs until the parent process ends this one.
    pub fn run(&self) -> Result<(), TestbedError> {
        self.serve()
            .map_err(|source| TestbedError::SimulatedProcessEnded { source })
    }

    fn serve(&self) -> Result<(), SimulationError> {
        match self {
            SimulatedProcess::Workers {
                count,
                slots,
                zone_ms,
                zones_ms,
                regions_ms,
            } => scale::workers::run(WorkersConfig {
                count: *count,
                slots: *slots,
                latencies: Latencies {
                    within_zone: latency(*zone_ms),
                    between_zones: latency(*zones_ms),
                    between_regions: latency(*regions_ms),
                },
                slow_start: scale::SLOW_START,
            }),
            SimulatedProcess::Discovery { followers } => scale::discovery::run(*followers),
            SimulatedProcess::Dispatchers {
                folder,
                first,
                last,
                start_interval_ms,
            } => {
                let numbers: Vec<usize> = (*first..=*last).collect();
                let interval = Duration::from_millis(*start_interval_ms);
                scale::dispatchers::run(folder, &numbers, interval)
            }
        }
    }
}
