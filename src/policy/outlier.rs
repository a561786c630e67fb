//! Failure scores: which workers are outliers.
use crate::state::Idempotency::{self, NonIdempotent};
use crate::state::Worker;
use crate::types::Nanos;

impl Worker {
    /// Distrust above the fleet's mean: when all look bad at once, no one is worse than another. Or what
    /// errors of the class left, for which starts do not make up; of any, for what cannot be posted again.
    /// Guards against a worker that starts all and fails most, or one class.
    pub(crate) fn failure_score_for(
        &self,
        now: Nanos,
        mean: f64,
        class: usize,
        idempotency: Idempotency,
    ) -> f64 {
        let all = (self.failure_score.now(now, Worker::FAILURE_HALF_LIFE) - mean).clamp(0.0, 0.95);
        let of = self
            .class_failure_scores
            .iter()
            .enumerate()
            .filter(|(at, _)| *at == class || idempotency == NonIdempotent);
        of.map(|(_, failure_score)| failure_score.now(now, 3.0 * Worker::FAILURE_HALF_LIFE))
            .fold(all, f64::max)
    }

    /// It took no connection: for 1 s, and twice as long each time that it does so again, it has no lane.
    pub(crate) fn record_connect_failure(&mut self, now: Nanos) {
        if !self.is_unreachable(now) {
            let wait = 1_000_000_000 << self.connect_failures.min(4);
            (self.connect_failures, self.connect_retry_at) =
                (self.connect_failures + 1, now + wait);
        }
    }
}

#[cfg(test)]
mod tests;
