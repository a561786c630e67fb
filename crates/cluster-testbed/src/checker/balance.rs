//! How evenly work went to the workers. No rule depends on it.
use super::Observations;
use crate::worker::Worker;
use std::time::Instant;

/// The work a slot that a worker received in a span.
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
    /// The most work a slot that any of the workers received in a span, over their mean.
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
