//! Tokens and interval of the timers that the decisions set.
use crate::types::{Nanos, RequestId};

/// Token of the periodic tick.
pub(crate) const TICK_TIMER: u64 = u64::MAX;

/// Token of the next poll of the endpoint list.
pub(crate) const POLL_TIMER: u64 = u64::MAX - 1;

/// Time between two ticks.
pub(crate) const TICK_INTERVAL: Nanos = 1_000_000_000;

/// Returns the timer token of one attempt of a request, or of the request while that attempt is
/// pending.
pub(crate) fn attempt_timer(request_id: RequestId, attempt_index: usize) -> u64 {
    u64::from(request_id) | (attempt_index as u64) << 32
}

/// Returns the request and the attempt index that a timer token encodes.
pub(crate) fn attempt_of(token: u64) -> (RequestId, usize) {
    (token as RequestId, (token >> 32) as usize)
}
