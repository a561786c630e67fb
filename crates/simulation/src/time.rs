//! Units of virtual time, in nanoseconds.
use rosewall::types::Nanos;

/// One millisecond.
pub const MS: Nanos = 1_000_000;
/// One second.
pub const SECOND: Nanos = 1_000 * MS;

/// Converts milliseconds to whole nanoseconds.
pub fn from_ms(milliseconds: f64) -> Nanos {
    (milliseconds * MS as f64) as Nanos
}
