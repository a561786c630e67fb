//! Balance of the work between workers, which is reported but belongs to no rule.
use super::Observations;
use crate::worker::Worker;
use std::time::Instant;

/// Seconds of work per concurrency slot that a worker received in a time span.
fn work_per_slot(worker: &Worker, from: Instant, to: Instant) -> f64 {
    let work_s = worker.read(|record| {
        let received = record.received.iter();
        received
            .filter(|request| request.at >= from && request.at < to)
            .map(|request| request.work_s)
            .sum::<f64>()
    });
    work_s / worker.slots as f64
}

impl Observations<'_> {
    /// Work per concurrency slot of the worker that received most in a time span, divided by the mean over all included
    /// workers. 1 means perfect balance.
    pub fn imbalance(&self, from: Instant, to: Instant, includes: impl Fn(usize) -> bool) -> f64 {
        let workers = self.workers.iter().enumerate();
        let loads: Vec<f64> = workers
            .filter(|(number, _)| includes(*number))
            .map(|(_, worker)| work_per_slot(worker, from, to))
            .collect();
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        loads.iter().copied().fold(0.0, f64::max) / mean.max(1e-9)
    }
}
