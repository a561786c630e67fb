//! The timer queue of the engine.
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{Nanos, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

#[cfg(test)]
pub(super) mod tests;

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

/// Number of timers below which none are removed ahead of their time.
const MIN_COMPACTED_TIMERS: usize = 4096;

/// Timers ordered by time. Timers set for the same time fire in the order in which they were set.
#[derive(Default)]
pub(super) struct TimerQueue {
    timers: BinaryHeap<Reverse<(Nanos, u64, Timer)>>,
    set_count: u64,
    /// Number of timers that were live when others were last removed.
    compacted_count: usize,
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

    /// Removes the timers that are not live if they may be more than half. Timers of completed
    /// requests would otherwise stay until the deadline, which a client may set a day ahead.
    pub(super) fn compact(&mut self, is_live: impl Fn(Timer) -> bool) {
        let is_small = self.timers.len() < MIN_COMPACTED_TIMERS.max(2 * self.compacted_count);
        if is_small || is_active(Mutation::KeepCompletedTimers) {
            return;
        }
        self.timers.retain(|Reverse((_, _, timer))| is_live(*timer));
        self.timers.shrink_to(MIN_COMPACTED_TIMERS);
        self.compacted_count = self.timers.len();
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
