//! The plan of a run: sizes, latencies, load and faults, as given on the command line.
mod fault;

pub use fault::{Fault, FaultKind};

use super::command::ArgumentError;
use super::topology::{Latencies, QUORUM_MEMBERS};
use crate::error::TestbedError;
use clap::{Args, ValueEnum};
use serde::Serialize;
use std::time::Duration;

/// Maximum number of processes on this machine at once.
pub const MAX_PROCESSES: usize = 299;
/// Maximum resident memory of these processes together, in bytes.
pub const MAX_RESIDENT_BYTES: u64 = 12 << 30;
/// Simulated dispatchers per process.
pub const DISPATCHERS_PER_PROCESS: usize = 50;
/// Processes other than dispatchers: workers, discovery and the command itself.
const OTHER_PROCESSES: usize = 3;
/// Parameters that a sweep may set.
const PARAMETERS: [&str; 8] = [
    "dispatchers",
    "hollow",
    "fleet",
    "workers",
    "starts",
    "task_s",
    "teams",
    "changes",
];

/// Mode in which dispatchers get endpoint lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointLists {
    /// An agent beside each dispatcher has the list; watches put no load on the service.
    #[default]
    Pushed,
    /// Each watch puts load on the service.
    #[serde(rename = "asked")]
    #[value(name = "asked")]
    OnRequest,
}

/// Parameters of a run.
#[derive(Args, Clone, Debug, Serialize)]
pub struct Plan {
    /// Real dispatcher processes; with 7 or more, five of them are quorum members
    #[arg(long, default_value_t = 8)]
    pub dispatchers: usize,
    /// Simulated dispatchers in addition, without clients
    #[arg(long = "hollow", value_name = "HOLLOW", default_value_t = 60)]
    #[serde(rename = "hollow")]
    pub simulated_dispatchers: usize,
    /// Simulated workers, all in one process
    #[arg(long, default_value_t = 300)]
    pub workers: usize,
    /// Concurrency slots per worker
    #[arg(long = "seats", value_name = "SEATS", default_value_t = 5)]
    #[serde(rename = "seats")]
    pub slots: usize,
    /// Requests per second over all real dispatchers, open loop; 0 for an idle fleet
    #[arg(long, default_value_t = 0.0)]
    pub starts: f64,
    /// Mean service time of a request, in seconds; the run begins with `starts` times this many requests running
    #[arg(long = "task-s", value_name = "TASK_S", default_value_t = 10.2)]
    #[serde(rename = "task_s")]
    pub service_time_s: f64,
    /// Tenants; the share of the nth is proportional to 1/n
    #[arg(long = "teams", value_name = "TEAMS", default_value_t = 150)]
    #[serde(rename = "teams")]
    pub tenants: usize,
    /// Fraction of requests that are of the urgent class
    #[arg(long = "urgent", value_name = "URGENT", default_value_t = 0.05)]
    #[serde(rename = "urgent")]
    pub urgent_share: f64,
    /// Changes of the endpoint list per second
    #[arg(long, default_value_t = 0.0)]
    pub changes: f64,
    /// Measured time, in seconds
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Run dispatchers without a cluster
    #[arg(long = "apart")]
    #[serde(rename = "apart")]
    pub without_cluster: bool,
    /// Dispatchers report their load to each other (`Peers` in the settings)
    #[arg(long = "peers")]
    #[serde(rename = "peers")]
    pub peer_load: bool,
    /// Mode in which dispatchers get endpoint lists
    #[arg(long = "lists", value_name = "LISTS", value_enum, default_value_t = EndpointLists::Pushed)]
    #[serde(rename = "lists")]
    pub endpoint_lists: EndpointLists,
    /// One-way latency within a zone, in ms
    #[arg(long, default_value_t = 0.25)]
    pub zone_ms: f64,
    /// One-way latency between zones of a region, in ms
    #[arg(long, default_value_t = 1.0)]
    pub zones_ms: f64,
    /// One-way latency between regions, in ms
    #[arg(long, default_value_t = 40.0)]
    pub regions_ms: f64,
    /// Faults, each with its start and, depending on its kind, a value and a duration.
    #[arg(
        long = "fault",
        value_name = "FAULT",
        help = "Fault to inject, KIND@SECOND[:VALUE[:SECONDS]], repeatable; kinds: restart, release, replace, rack, zone, region, cut, keepers, discovery"
    )]
    pub faults: Vec<Fault>,
    /// Interval between the starts of processes, in ms
    #[arg(
        long = "starts-apart-ms",
        value_name = "STARTS_APART_MS",
        default_value_t = 15
    )]
    #[serde(rename = "starts_apart_ms")]
    pub start_interval_ms: u64,
    /// Seed of all random choices
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

impl Default for Plan {
    /// Returns the plan of a command without arguments.
    fn default() -> Self {
        #[derive(clap::Parser)]
        struct PlanOnly {
            #[command(flatten)]
            plan: Plan,
        }
        <PlanOnly as clap::Parser>::parse_from(["plan"]).plan
    }
}

/// A number of a plan and its allowed range.
struct Range {
    key: &'static str,
    value: f64,
    min: f64,
    max: f64,
    allowed: &'static str,
}

impl Range {
    fn check(&self) -> Result<(), TestbedError> {
        if (self.min..=self.max).contains(&self.value) {
            return Ok(());
        }
        Err(TestbedError::OutOfRange {
            key: self.key,
            value: self.value.max(0.0) as u64,
            allowed: self.allowed,
        })
    }
}

/// Creates a range; `allowed` is its text in errors.
const fn range(key: &'static str, value: f64, min: f64, max: f64, allowed: &'static str) -> Range {
    Range {
        key,
        value,
        min,
        max,
        allowed,
    }
}

impl Plan {
    /// Number of all dispatchers, real and simulated.
    pub fn all_dispatchers(&self) -> usize {
        self.dispatchers + self.simulated_dispatchers
    }

    /// Number of processes that the plan needs.
    pub fn processes(&self) -> usize {
        let simulated = self.simulated_dispatchers.div_ceil(DISPATCHERS_PER_PROCESS);
        self.dispatchers + simulated + OTHER_PROCESSES
    }

    /// Returns the latencies within and between zones and regions.
    pub fn latencies(&self) -> Latencies {
        let latency = |ms: f64| Duration::from_secs_f64(ms / 1e3);
        Latencies {
            within_zone: latency(self.zone_ms),
            between_zones: latency(self.zones_ms),
            between_regions: latency(self.regions_ms),
        }
    }

    /// Number of requests that run as the measured time begins: the steady state of the load.
    pub fn initial_requests(&self) -> usize {
        (self.starts * self.service_time_s) as usize
    }

    /// Returns the numbers of the quorum members: five, or one if there are too few real dispatchers.
    pub fn quorum_members(&self) -> Vec<usize> {
        let real = QUORUM_MEMBERS
            .into_iter()
            .filter(|number| *number < self.dispatchers);
        let mut members: Vec<usize> = real.collect();
        if members.len() < QUORUM_MEMBERS.len() {
            members.truncate(1);
        }
        members
    }

    /// Checks that the plan can run on this machine, in bounded time.
    pub fn check(&self) -> Result<(), TestbedError> {
        self.ranges().iter().try_for_each(Range::check)?;
        let processes = self.processes();
        if processes > MAX_PROCESSES {
            return Err(TestbedError::TooLarge {
                quantity: "the number of processes",
                value: processes as u64,
                limit: MAX_PROCESSES as u64,
            });
        }
        Ok(())
    }

    fn ranges(&self) -> [Range; 13] {
        let simulated = self.simulated_dispatchers as f64;
        let latency = |ms| range("a latency", ms, 0.0, 2_000.0, "0 to 2000 ms");
        [
            range(
                "dispatchers",
                self.dispatchers as f64,
                1.0,
                280.0,
                "1 to 280",
            ),
            range("hollow", simulated, 0.0, 1_500.0, "0 to 1500"),
            range("workers", self.workers as f64, 1.0, 4_000.0, "1 to 4000"),
            range("seats", self.slots as f64, 1.0, 64.0, "1 to 64"),
            range("starts", self.starts, 0.0, 5_000.0, "0 to 5000 a second"),
            range("task_s", self.service_time_s, 0.001, 60.0, "0.001 to 60"),
            range("teams", self.tenants as f64, 1.0, 10_000.0, "1 to 10000"),
            range("urgent", self.urgent_share, 0.0, 1.0, "0 to 1"),
            range("changes", self.changes, 0.0, 100.0, "0 to 100 a second"),
            range("seconds", self.seconds, 0.5, 600.0, "0.5 to 600"),
            latency(self.zone_ms),
            latency(self.zones_ms),
            latency(self.regions_ms),
        ]
    }

    /// Sets one parameter by its name on the command line, for a sweep.
    pub fn set(&mut self, name: &str, value: f64) -> Result<(), ArgumentError> {
        let count = value.max(0.0) as usize;
        match name {
            "dispatchers" => self.dispatchers = count,
            "hollow" => self.simulated_dispatchers = count,
            // At most `dispatchers` of them are real, the rest simulated.
            "fleet" => {
                self.dispatchers = count.min(self.dispatchers);
                self.simulated_dispatchers = count - self.dispatchers;
            }
            "workers" => self.workers = count,
            "starts" => self.starts = value,
            "task_s" => self.service_time_s = value,
            "teams" => self.tenants = count,
            "changes" => self.changes = value,
            other => return Err(ArgumentError::unknown_name(other, &PARAMETERS)),
        }
        Ok(())
    }
}
