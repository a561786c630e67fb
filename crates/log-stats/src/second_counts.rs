//! Counts of the events within one second.
use crate::line::{Answer, AttemptOutcome};

/// Number of events that all dispatchers logged within one second of Unix time.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct SecondCounts {
    pub(crate) arrived: u64,
    pub(crate) rejected: u64,
    /// Rejected requests without an earlier attempt.
    pub(crate) unattempted: u64,
    pub(crate) failed: u64,
    /// Attempts to workers that are not warming up.
    pub(crate) to_warm: u64,
    /// Attempts to workers that are warming up.
    pub(crate) to_cold: u64,
    pub(crate) succeeded: u64,
    pub(crate) at_capacity: u64,
    pub(crate) connect_failed: u64,
    pub(crate) connection_lost: u64,
    pub(crate) timed_out: u64,
    pub(crate) worker_error: u64,
    pub(crate) other: u64,
}

impl SecondCounts {
    pub(crate) fn count_answer(&mut self, answer: Answer) {
        match answer {
            Answer::Rejected => self.rejected += 1,
            Answer::Failed => self.failed += 1,
        }
    }

    pub(crate) fn count_outcome(&mut self, outcome: AttemptOutcome) {
        let counter = match outcome {
            AttemptOutcome::Succeeded => &mut self.succeeded,
            AttemptOutcome::AtCapacity => &mut self.at_capacity,
            AttemptOutcome::ConnectFailed => &mut self.connect_failed,
            AttemptOutcome::ConnectionLost => &mut self.connection_lost,
            AttemptOutcome::TimedOut => &mut self.timed_out,
            AttemptOutcome::WorkerError => &mut self.worker_error,
            AttemptOutcome::Other => &mut self.other,
        };
        *counter += 1;
    }

    /// Returns the names and values of the table's columns, in their order.
    pub(crate) fn columns(&self) -> [(&'static str, u64); 13] {
        [
            ("arrived", self.arrived),
            ("succeeded", self.succeeded),
            ("rejected", self.rejected),
            ("unattempted", self.unattempted),
            ("failed", self.failed),
            ("to_warm", self.to_warm),
            ("to_cold", self.to_cold),
            ("at_capacity", self.at_capacity),
            ("connect_failed", self.connect_failed),
            ("connection_lost", self.connection_lost),
            ("timed_out", self.timed_out),
            ("worker_error", self.worker_error),
            ("other", self.other),
        ]
    }
}
