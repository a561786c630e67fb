//! Generation of scenarios from a seed.
use super::{Fault, FaultKind, Fleet, Load, Scenario, SlowStartConfig};
use crate::relay::LinkConditions;
use rosewall::pcg::Pcg;

/// Every so many seeds, a scenario has an outage of discovery around a drain: those with this remainder.
const DISCOVERY_OUTAGE_INTERVAL: u64 = 5;
const DISCOVERY_OUTAGE_REMAINDER: u64 = 3;

/// Combined with the seed, so that the random numbers of generation differ from those of a run with the same seed.
const SEED_SALT: u64 = 0x72_6967;

struct Generator(Pcg);

impl Generator {
    fn below(&mut self, limit: u64) -> u64 {
        (self.0.unit() * limit as f64) as u64
    }

    fn one_of<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.below(values.len() as u64) as usize]
    }

    fn coin(&mut self) -> bool {
        self.below(2) == 1
    }

    fn fleet(&mut self) -> Fleet {
        let dispatchers = 5 + self.below(4) as usize;
        let workers = 5 + self.below(3) as usize;
        let skew_ms = self.one_of(&[0, 500, 5_000]);
        Fleet {
            dispatchers,
            workers,
            skew_ms,
            peer_load: self.coin(),
            ..Fleet::default()
        }
    }

    fn load(&mut self) -> Load {
        let clients = 3 + self.below(3) as usize;
        Load {
            clients,
            pause_ms: 60.0 + self.below(120) as f64,
            ..Load::default()
        }
    }

    fn slow_start(&mut self) -> SlowStartConfig {
        SlowStartConfig {
            overload_multiple: self.one_of(&[1.5, 4.0]),
            ..SlowStartConfig::default()
        }
    }

    fn links(&mut self) -> LinkConditions {
        let loss = self.one_of(&[0.0, 0.05, 0.2]);
        let duplicate = self.one_of(&[0.0, 0.1]);
        let jitter_ms = self.one_of(&[0, 20, 100]);
        LinkConditions {
            loss,
            duplicate,
            jitter_ms,
            ..LinkConditions::default()
        }
    }

    fn faults(&mut self, fleet: &Fleet) -> Vec<Fault> {
        let joins_at_ms = 1_500 + self.below(2_000);
        let joining_workers = 1 + self.below(3) as usize;
        let mut faults = vec![Fault::add_workers(joins_at_ms, joining_workers)];
        for _ in 0..1 + self.below(4) {
            faults.push(self.fault(fleet));
        }
        faults
    }

    fn fault(&mut self, fleet: &Fleet) -> Fault {
        let at_ms = 500 + self.below(6_000);
        let one = self.below(fleet.dispatchers as u64) as usize;
        let some: Vec<usize> = (0..fleet.dispatchers).filter(|_| self.coin()).collect();
        let worker = self.below(fleet.workers as u64) as usize;
        match self.below(12) {
            0 => Fault::new(at_ms, FaultKind::Kill, some).with_duration(self.one_of(&[0, 1_000])),
            1 => Fault::new(at_ms, FaultKind::Kill, [one]).with_duration(500),
            2 | 3 => {
                Fault::new(at_ms, FaultKind::Pause, [one]).with_duration(300 + self.below(3_000))
            }
            4 => Fault::new(at_ms, FaultKind::Restart, [one]),
            5 => Fault::new(at_ms, FaultKind::Drain, [worker]),
            6 => Fault::new(at_ms, FaultKind::Hang, [worker]).with_duration(1_000),
            7 => Fault::new(at_ms, FaultKind::Reset, [worker]).with_duration(500),
            8 => Fault::new(at_ms, FaultKind::LoseResponse, [worker]).with_duration(500),
            9 => Fault::new(at_ms, FaultKind::Partition, some)
                .with_duration(1_000 + self.below(4_000)),
            10 => Fault::new(at_ms, FaultKind::DropInbound, [one]).with_duration(2_000),
            _ => Fault::new(at_ms, FaultKind::DropOutbound, [one]).with_duration(2_000),
        }
    }
}

impl Generator {
    /// Adds an outage of discovery and a drain in it, and time for the drain to be noticed. Drains of the scenario's own
    /// are removed.
    fn with_discovery_outage(&mut self, mut scenario: Scenario) -> Scenario {
        scenario.fleet.polls_endpoints = self.coin();
        scenario
            .faults
            .retain(|fault| fault.kind != FaultKind::Drain);
        let at_ms = 1_000 + self.below(1_000);
        let duration_ms = self.one_of(&[300, 1_000, 3_000]);
        let kind = self.one_of(&[
            FaultKind::DiscoverySilent,
            FaultKind::DiscoveryClosed,
            FaultKind::DiscoveryMoved,
        ]);
        let worker = self.below(scenario.fleet.workers as u64) as usize;
        let drain_at_ms = at_ms + self.below(duration_ms);
        scenario
            .faults
            .push(Fault::new(at_ms, kind, []).with_duration(duration_ms));
        scenario
            .faults
            .push(Fault::new(drain_at_ms, FaultKind::Drain, [worker]));
        scenario.seconds = 14.0;
        scenario
    }
}

impl Scenario {
    /// Generates the scenario of a seed: a small fleet, workers that join, and one to four more faults. The same seed
    /// always gives the same scenario.
    pub fn generate(seed: u64) -> Scenario {
        let mut generator = Generator(Pcg::new(
            seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ SEED_SALT,
        ));
        let fleet = generator.fleet();
        let load = generator.load();
        let slow_start = generator.slow_start();
        let links = generator.links();
        let faults = generator.faults(&fleet);
        let scenario = Scenario {
            name: format!("drawn {seed}"),
            seed,
            seconds: 9.0,
            fleet,
            load,
            slow_start,
            links,
            faults,
        };
        if seed % DISCOVERY_OUTAGE_INTERVAL == DISCOVERY_OUTAGE_REMAINDER {
            generator.with_discovery_outage(scenario)
        } else {
            scenario
        }
    }
}
