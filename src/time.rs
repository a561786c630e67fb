//! Helpers for times and decaying values, below all other modules.
use crate::types::Nanos;

/// Nanoseconds in a second.
pub(crate) const SECOND: f64 = 1e9;

/// What is left by `now` of a value as of `since` that halves in `half_life`.
pub(crate) fn decay(value: f64, since: Nanos, now: Nanos, half_life: f64) -> f64 {
    value * (-(now.saturating_sub(since) as f64) / half_life).exp2()
}
