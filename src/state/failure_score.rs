//! A score that rises with failures and decays with time.
use crate::time::decay;
use crate::types::Nanos;

/// Distrust, as of a moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureScore {
    pub value: f64,
    pub at: Nanos,
}

impl FailureScore {
    /// What is left of it now, if it halves in `half`.
    pub(crate) fn now(&self, now: Nanos, half: f64) -> f64 {
        // Mostly there is none; then nothing need be worked out.
        if self.value > 0.0 {
            decay(self.value, self.at, now, half)
        } else {
            0.0
        }
    }

    /// Moves it so far of the way to the most, or to none where `by` is below 0.
    pub(crate) fn add(&mut self, now: Nanos, half: f64, by: f64) {
        let d = self.now(now, half);
        (self.value, self.at) = (d + by * if by > 0.0 { 1.0 - d } else { d }, now);
    }
}
