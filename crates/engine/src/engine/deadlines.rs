//! Deadlines of requests, including those shortened by a shutdown.
use super::timers::Timer;
use super::{Effect, Engine};
use crate::invariant;
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{Event, Nanos, Outcome, RequestId};
use rosewall_protocol::client::Answer;

/// Margin between the policy's deadline and the client's, for reading the request and writing the
/// answer. These take up to 1 ms on a dedicated core, and a few scheduling slices of 3 to 4 ms each
/// on a shared one.
const DEADLINE_MARGIN: Nanos = 20_000_000;
/// Time after a deadline at which a request without an answer is overdue. The policy checks pending
/// requests every 25 ms.
const ANSWER_OVERDUE_AFTER: Nanos = 30_000_000;

/// Returns the policy's deadline of a request that arrived at `arrived_at`.
fn deadline(arrived_at: Nanos, timeout: Nanos) -> Nanos {
    if is_active(Mutation::AnswerAfterDeadline) {
        return arrived_at + timeout + 5 * DEADLINE_MARGIN;
    }
    (arrived_at + timeout).saturating_sub(DEADLINE_MARGIN)
}

impl Engine {
    /// Returns the deadline of a request, capped at the shutdown deadline.
    pub(super) fn deadline(&self, arrived_at: Nanos, timeout: Nanos) -> Nanos {
        let deadline = deadline(arrived_at, timeout);
        self.shutdown_deadline
            .map_or(deadline, |shutdown| deadline.min(shutdown))
    }

    /// Fires the first expired timer. Returns false if none has expired.
    pub fn fire_next_timer(&mut self, now: Nanos, effects: &mut Vec<Effect>) -> bool {
        let Some(timer) = self.timers.pop_expired(now) else {
            return false;
        };
        match timer {
            Timer::Policy(token) => self.dispatch_event(now, Event::TimerFired { token }, effects),
            Timer::Deadline(request_id) => self.deadline_reached(now, request_id, effects),
            Timer::AnswerOverdue(request_id) => self.answer_overdue(now, request_id, effects),
            Timer::WithholdCachedList => self.withhold_cached_list(now, effects),
            Timer::ReportReady => self.report_ready(),
            Timer::UseCachedList => self.use_cached_list(now, effects),
        }
        true
    }

    /// Ends the attempts of a request at its deadline. Does nothing if the request is no longer
    /// active or has a later deadline.
    fn deadline_reached(&mut self, now: Nanos, request_id: RequestId, effects: &mut Vec<Effect>) {
        let Some(active) = self.requests.get(request_id) else {
            return;
        };
        if active.deadline > now {
            return;
        }
        for attempt_index in 0..active.attempt_count() {
            if self.requests.is_in_flight(request_id, attempt_index) {
                self.end_attempt(now, request_id, attempt_index, Outcome::TimedOut, effects);
            }
        }
        self.timers
            .set(now + ANSWER_OVERDUE_AFTER, Timer::AnswerOverdue(request_id));
    }

    fn answer_overdue(&mut self, now: Nanos, request_id: RequestId, effects: &mut Vec<Effect>) {
        let is_overdue = self
            .requests
            .get(request_id)
            .is_some_and(|active| active.answer_pending);
        invariant!(
            self.counters,
            !is_overdue,
            "every request is answered at its deadline"
        );
        if is_overdue {
            self.answer(request_id, Answer::Failed, effects);
            self.dispatch_event(now, Event::ClientDisconnected { request_id }, effects);
            self.requests.remove_if_complete(request_id);
        }
    }

    /// Caps the deadlines of all requests at `by`, the time by which the program must have answered
    /// them, and the send deadlines of their attempts.
    pub(super) fn shut_down(&mut self, now: Nanos, by: Nanos, effects: &mut Vec<Effect>) {
        self.shutdown_deadline = Some(by);
        for active in self.requests.iter_mut() {
            if active.deadline > by {
                active.deadline = by;
                active.advance_send_deadlines(by, effects);
                self.timers.set(by, Timer::Deadline(active.request_id));
            }
        }
        self.dispatch_event(now, Event::ShuttingDown { by }, effects);
    }
}
