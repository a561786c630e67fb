//! Helpers for times and decaying values, below all other modules.
use crate::types::Nanos;

pub const SECOND: f64 = 1e9;

/// What is left of a value after so long, if it halves in `half`.
pub fn decay(value: f64, since: Nanos, now: Nanos, half: f64) -> f64 {
    value * (-(now.saturating_sub(since) as f64) / half).exp2()
}
