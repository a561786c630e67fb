//! Tests of the timer queue.
use super::{MIN_COMPACTED_TIMERS, Timer, TimerQueue};
use rosewall::types::{Nanos, RequestId};

const DAY: Nanos = 86_400_000_000_000;

/// Guards against memory that a client fills with requests that are answered at once and have a
/// deadline of a day.
#[test]
pub(crate) fn timers_of_completed_requests_do_not_accumulate() {
    let mut timers = TimerQueue::default();
    for request_id in 0..100_000 {
        timers.set(DAY, Timer::Deadline(request_id));
        timers.compact(|timer| timer == Timer::Deadline(request_id));
    }
    assert!(timers.timers.len() <= MIN_COMPACTED_TIMERS);
    assert!(timers.timers.capacity() <= 2 * MIN_COMPACTED_TIMERS);
}

#[test]
fn live_timers_are_kept_in_their_order() {
    let count = 10 * MIN_COMPACTED_TIMERS as RequestId;
    let mut timers = TimerQueue::default();
    for request_id in 0..count {
        timers.set(Nanos::from(request_id % 7), Timer::Deadline(request_id));
        timers.compact(|_| true);
    }
    let mut fired = Vec::new();
    while let Some(Timer::Deadline(request_id)) = timers.pop_expired(7) {
        fired.push((request_id % 7, request_id));
    }
    assert_eq!(fired.len(), count as usize);
    assert!(fired.is_sorted());
}
