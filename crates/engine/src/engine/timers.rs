//! The timers of the engine.
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{Nanos, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer of the decisions, by their token.
    Policy(u64),
    /// The deadline of a request.
    Deadline(RequestId),
    /// The moment at which a request must have been answered.
    AnswerOverdue(RequestId),
}

/// Timers by their moment; those of the same moment fire in the order in which they were set.
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

    /// When the first timer fires.
    pub(super) fn next(&self) -> Option<Nanos> {
        self.timers.peek().map(|Reverse((at, ..))| *at)
    }

    /// Removes the first timer, if its moment has come.
    pub(super) fn pop_expired(&mut self, now: Nanos) -> Option<Timer> {
        if self.next()? > now {
            return None;
        }
        self.timers.pop().map(|Reverse((_, _, timer))| timer)
    }
}
