//! Failure score that rises with failures and decays over time.
use crate::time::decay;
use crate::types::Nanos;

/// Failure score between 0 and 1, as of its last update.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureScore {
    pub(crate) value: f64,
    updated_at: Nanos,
}

impl FailureScore {
    /// Returns the score decayed to `now` with the given half-life.
    pub(crate) fn now(&self, now: Nanos, half_life: f64) -> f64 {
        // Most scores are 0, and the decay need not be computed for them.
        if self.value > 0.0 {
            decay(self.value, self.updated_at, now, half_life)
        } else {
            0.0
        }
    }

    /// Raises the score by the fraction `weight` of its distance to 1.
    pub(crate) fn raise(&mut self, now: Nanos, half_life: f64, weight: f64) {
        let score = self.now(now, half_life);
        self.set(now, score + weight * (1.0 - score));
    }

    /// Lowers the score by the fraction `weight` of itself.
    pub(crate) fn lower(&mut self, now: Nanos, half_life: f64, weight: f64) {
        let score = self.now(now, half_life);
        self.set(now, score + -weight * score);
    }

    fn set(&mut self, now: Nanos, value: f64) {
        self.value = value;
        self.updated_at = now;
    }
}
