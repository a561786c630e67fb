//! The timer queue of the engine.
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{Nanos, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Timer set by the policy, with its token.
    Policy(u64),
    /// Deadline of a request.
    Deadline(RequestId),
    /// Time by which a request must have been answered, somewhat after its deadline.
    AnswerOverdue(RequestId),
    /// End of the time in which requests are sent by a cached list that was not confirmed.
    WithholdCachedList,
    /// Time by which the dispatcher reports that it is ready.
    ReportReady,
    /// Time from which a cached list is used even if it was not confirmed.
    UseCachedList,
}

/// Timers ordered by time. Timers set for the same time fire in the order in which they were set.
#[derive(Default)]
pub(super) struct TimerQueue {
    timers: BinaryHeap<Reverse<(Nanos, u64, Timer)>>,
    set_count: u64,
}

impl TimerQueue {
    pub(super) fn set(&mut self, at: Nanos, timer: Timer) {
        self.set_count += 1;
        if is_active(Mutation::DropDeadlineTimer)
            && matches!(timer, Timer::Deadline(_))
            && self.set_count.is_multiple_of(16)
        {
            return;
        }
        self.timers.push(Reverse((at, self.set_count, timer)));
    }

    /// Returns when the first timer expires.
    pub(super) fn next(&self) -> Option<Nanos> {
        self.timers.peek().map(|Reverse((at, ..))| *at)
    }

    /// Removes and returns the first timer if it has expired.
    pub(super) fn pop_expired(&mut self, now: Nanos) -> Option<Timer> {
        if self.next()? > now {
            return None;
        }
        self.timers.pop().map(|Reverse((_, _, timer))| timer)
    }
}
