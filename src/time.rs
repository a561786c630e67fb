//! Helpers for times and exponential decay, independent of all other modules except [`crate::types`].
use crate::types::Nanos;

/// Nanoseconds in a second.
pub(crate) const SECOND: f64 = 1e9;

/// Returns a value as of `since`, decayed to `now` with the given half-life in nanoseconds.
pub(crate) fn decay(value: f64, since: Nanos, now: Nanos, half_life: f64) -> f64 {
    value * (-(now.saturating_sub(since) as f64) / half_life).exp2()
}
