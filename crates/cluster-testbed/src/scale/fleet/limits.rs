//! Aborts a run that exceeds the limits on processes and memory of this machine.
use super::Fleet;
use crate::error::TestbedError;
use crate::process::Process;
use crate::scale::plan::{MAX_PROCESSES, MAX_RESIDENT_BYTES};
use crate::scale::system::{machine_memory_bytes, resident_bytes};
use std::time::{Duration, Instant};

const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time of the last resource check, and the maximum found so far.
pub(super) struct ResourceWatch {
    checked: Instant,
    max_resident_bytes: u64,
}

impl ResourceWatch {
    pub(super) fn new() -> Self {
        ResourceWatch {
            checked: Instant::now(),
            max_resident_bytes: 0,
        }
    }
}

impl Fleet {
    /// Returns the ids of all processes, including this one.
    fn pids(&self) -> Vec<u32> {
        let real = self.real.iter().flatten().map(Process::pid);
        let simulated = self.simulated.iter().map(|group| group.process.pid());
        let others = [self.workers.pid(), self.discovery.pid(), std::process::id()];
        real.chain(simulated).chain(others).collect()
    }

    pub(super) fn process_count(&self) -> usize {
        self.pids().len()
    }

    /// Maximum resident memory of all processes together so far, in megabytes.
    pub(super) fn max_resident_mb(&self) -> f64 {
        self.resources.max_resident_bytes as f64 / 1e6
    }

    /// Checks resources if the last check is older than `CHECK_INTERVAL`.
    pub(super) fn check_resources(&mut self) -> Result<(), TestbedError> {
        if self.resources.checked.elapsed() < CHECK_INTERVAL {
            return Ok(());
        }
        self.check_resources_now()
    }

    /// Checks that processes and memory are within the limits of this machine.
    pub(super) fn check_resources_now(&mut self) -> Result<(), TestbedError> {
        self.resources.checked = Instant::now();
        let pids = self.pids();
        let bytes = pids.iter().map(|pid| resident_bytes(*pid)).sum();
        self.resources.max_resident_bytes = self.resources.max_resident_bytes.max(bytes);
        let max_bytes = MAX_RESIDENT_BYTES.min(machine_memory_bytes() / 2);
        if bytes > max_bytes {
            return Err(TestbedError::TooLarge {
                quantity: "resident memory",
                value: bytes,
                limit: max_bytes,
            });
        }
        if pids.len() > MAX_PROCESSES {
            return Err(TestbedError::TooLarge {
                quantity: "the number of processes",
                value: pids.len() as u64,
                limit: MAX_PROCESSES as u64,
            });
        }
        Ok(())
    }
}
