//! The tokens of the timers that the decisions set.
use crate::types::{Nanos, RequestId};

/// The timers of the beat, each second, and of the next call for the list; others carry a request's id and attempt.
pub(crate) const TICK_TIMER: u64 = u64::MAX;

pub(crate) const POLL_TIMER: u64 = u64::MAX - 1;

pub(crate) const TICK_INTERVAL: Nanos = 1_000_000_000;

/// The timer of one attempt of a request.
pub(crate) fn token(request_id: RequestId, attempt_index: usize) -> u64 {
    u64::from(request_id) | (attempt_index as u64) << 32
}
