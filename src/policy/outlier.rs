//! Outlier detection: maintains the failure scores of workers and logs the outliers.
use super::Dispatcher;
use crate::settings::Idempotency::{self, NonIdempotent};
use crate::state::{FailureScore, Worker};
use crate::time::SECOND;
use crate::types::{Action, EndpointState, Nanos, Outcome};

#[cfg(test)]
mod tests;

/// Half-life of failure scores, in nanoseconds: several times the interval between attempts at one
/// worker at low request rates.
pub(super) const FAILURE_HALF_LIFE: f64 = 5.0 * SECOND;

/// Half-life of a class's failure score at a worker, in nanoseconds. Longer, as only requests of
/// that class lower the score.
pub(super) const CLASS_FAILURE_HALF_LIFE: f64 = 3.0 * FAILURE_HALF_LIFE;

/// Upper bound of a worker's score above the fleet's mean.
const MAX_RELATIVE_SCORE: f64 = 0.95;

// Weights of failures: each raises the score by this fraction of its distance to 1.
const ERROR_WEIGHT: f64 = 0.5;
const CLASS_ERROR_WEIGHT: f64 = 0.3;
const TIMEOUT_WEIGHT: f64 = 0.5;
const CONNECTION_WEIGHT: f64 = 0.6;
pub(super) const UNRESPONSIVE_WEIGHT: f64 = 0.8;
pub(super) const OVERRUN_WEIGHT: f64 = 0.15;
/// Weight of an overdue start at a worker that has started or completed other requests since the
/// attempt was sent. Such a worker is busy, not faulty.
pub(super) const BUSY_WEIGHT: f64 = 0.0;

// Credits: each lowers the score by this fraction of itself.
const START_CREDIT: f64 = 0.1;
const SUCCESS_CREDIT: f64 = 0.2;
const CLASS_SUCCESS_CREDIT: f64 = 0.2;

/// Score above which a worker is logged as an outlier.
const LOG_ABOVE: f64 = 0.5;

/// Score at or below which an outlier is logged as recovered.
const LOG_RECOVERED_BELOW: f64 = 0.1;

/// Time for which a worker is replaced in the subset after a failed connection. Doubles with each
/// consecutive failure.
const CONNECT_RETRY_DELAY: Nanos = 1_000_000_000;

/// Maximum number of doublings of the delay.
const MAX_CONNECT_RETRY_DOUBLINGS: u32 = 4;

impl Worker {
    /// Returns the failure score that applies to a request: the larger of the worker's score above
    /// the fleet's mean and the score of the request's class. Failures that affect all workers make
    /// none an outlier. Starts alone do not lower the score of a class. For a non-idempotent
    /// request the worst score of all classes counts.
    pub(super) fn failure_score_for(
        &self,
        now: Nanos,
        fleet_mean: f64,
        class_index: usize,
        idempotency: Idempotency,
    ) -> f64 {
        let relative = (self.failure_score.now(now, FAILURE_HALF_LIFE) - fleet_mean)
            .clamp(0.0, MAX_RELATIVE_SCORE);
        self.class_failure_scores
            .iter()
            .enumerate()
            .filter(|(index, _)| *index == class_index || idempotency == NonIdempotent)
            .map(|(_, score)| score.now(now, CLASS_FAILURE_HALF_LIFE))
            .fold(relative, f64::max)
    }

    /// Records a failed connection. The worker is replaced in the subset until the retry delay has
    /// passed.
    pub(super) fn record_connect_failure(&mut self, now: Nanos) {
        if !self.is_unreachable(now) {
            let doublings = self.connect_failures.min(MAX_CONNECT_RETRY_DOUBLINGS);
            self.connect_failures += 1;
            self.connect_retry_at = now + (CONNECT_RETRY_DELAY << doublings);
        }
    }

    /// Records a start or a success, which shows that the worker responds.
    pub(super) fn record_response(&mut self, now: Nanos, credit: f64) {
        self.connect_failures = 0;
        self.connect_retry_at = 0;
        self.failure_score.lower(now, FAILURE_HALF_LIFE, credit);
        self.last_response_at = now;
    }

    /// Records that the worker has started a request.
    pub(super) fn record_start(&mut self, now: Nanos) {
        self.record_response(now, START_CREDIT);
        if std::mem::take(&mut self.unresponsive) {
            self.failure_score = FailureScore::default();
        }
    }

    /// Records the outcome of an attempt. Outcomes caused by the request or the dispatcher alone
    /// do not affect the score.
    pub(super) fn record_outcome(&mut self, now: Nanos, class_index: usize, outcome: Outcome) {
        let class_score = &mut self.class_failure_scores[class_index];
        let weight = match outcome {
            Outcome::Succeeded => {
                class_score.lower(now, CLASS_FAILURE_HALF_LIFE, CLASS_SUCCESS_CREDIT);
                return self.record_response(now, SUCCESS_CREDIT);
            }
            Outcome::WorkerError => {
                class_score.raise(now, CLASS_FAILURE_HALF_LIFE, CLASS_ERROR_WEIGHT);
                ERROR_WEIGHT
            }
            Outcome::TimedOut => TIMEOUT_WEIGHT,
            Outcome::ConnectFailed | Outcome::ConnectionLost => CONNECTION_WEIGHT,
            Outcome::AtCapacity
            | Outcome::InvalidRequest
            | Outcome::Cancelled
            | Outcome::NotSent => return,
        };
        self.failure_score.raise(now, FAILURE_HALF_LIFE, weight);
    }

    /// Records that an attempt has not started, or not ended, in time.
    pub(super) fn record_overdue_attempt(&mut self, now: Nanos, weight: f64) {
        self.failure_score.raise(now, FAILURE_HALF_LIFE, weight);
    }

    /// Clears all failures after the worker's process has been replaced.
    pub(super) fn clear_failures(&mut self) {
        self.failure_score = FailureScore::default();
        self.class_failure_scores.fill(FailureScore::default());
        self.unresponsive = false;
        self.connect_failures = 0;
        self.connect_retry_at = 0;
    }
}

impl Dispatcher {
    pub(super) fn update_mean_failure_score(&mut self, now: Nanos) {
        let ready = || {
            self.workers
                .iter()
                .filter(|worker| worker.state == EndpointState::Ready)
        };
        let sum = ready()
            .map(|worker| worker.failure_score.now(now, FAILURE_HALF_LIFE))
            .sum::<f64>();
        self.mean_failure_score = sum / ready().count().max(1) as f64;
    }

    /// Logs the workers that have become outliers or have recovered since the last call.
    pub(super) fn log_outliers(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        for worker in &mut self.workers {
            let score = worker.failure_score_for(now, self.mean_failure_score, 0, NonIdempotent);
            let limit = if worker.logged_as_outlier {
                LOG_RECOVERED_BELOW
            } else {
                LOG_ABOVE
            };
            let is_outlier = score > limit;
            if worker.logged_as_outlier == is_outlier {
                continue;
            }
            worker.logged_as_outlier = is_outlier;
            let change = if is_outlier {
                "is an outlier by its failure score"
            } else {
                "has recovered"
            };
            actions.push(Action::Log(format!("worker {}: {change}", worker.id)));
        }
    }
}
