//! Attempts and health checks: sending, progress and end.
use super::{Effect, Engine, OutboundAttempt};
use crate::counters::Counters;
use crate::endpoints::EndpointAddress;
use crate::invariant;
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{
    AttemptEnded, Event, HealthChecked, Nanos, Outcome, Report, RequestId, WorkerId,
};
use rosewall_protocol::client::Answer;
use rosewall_protocol::worker::{AttemptProgress, EncodedRequest};

impl Engine {
    /// Sends the next attempt of a request. Ends it at once as [`Outcome::NotSent`] if it cannot be
    /// sent.
    pub(super) fn send_attempt(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        worker: WorkerId,
        send_by: Nanos,
        effects: &mut Vec<Effect>,
    ) {
        let Some(active) = self.requests.get_mut(request_id) else {
            return;
        };
        invariant!(
            self.counters,
            active.answer_pending,
            "no attempt is sent for a request that was answered"
        );
        let attempt_index = active.attempt_count();
        let remaining = active.deadline.saturating_sub(now);
        let may_send = active.answer_pending && remaining > 0;
        let target = self.workers.address_of(worker).filter(|_| may_send);
        let Some(EndpointAddress { host, address }) = target else {
            active.add_attempt(None);
            return self.attempt_not_sent(request_id, attempt_index, !may_send);
        };
        self.counters.attempts.add();
        log::debug!("at={now} request={request_id} attempt={attempt_index} sent host={host}");
        active.add_attempt(Some(worker));
        effects.push(Effect::SendAttempt(OutboundAttempt {
            request_id,
            attempt_index,
            worker,
            address,
            id: active.request.id.clone(),
            message: EncodedRequest::new(host, &active.request, remaining),
            deadline: active.deadline,
            send_by,
            // At most half of the remaining time, so that a retry is possible if this worker is
            // unreachable.
            connect_timeout: self.connect_timeout.min(remaining / 2),
        }));
    }

    fn attempt_not_sent(&mut self, request_id: RequestId, attempt_index: u8, complete: bool) {
        self.counters.attempts_not_sent.add();
        self.events.push_back(Event::AttemptEnded(AttemptEnded {
            request_id,
            attempt_index,
            outcome: Outcome::NotSent,
            complete,
            report: Report::default(),
        }));
    }

    /// Handles a worker's progress report on an attempt. Ignores reports on attempts that are no
    /// longer in flight: an attempt may have been ended here, for example at its deadline, shortly
    /// before its report arrives.
    pub(super) fn attempt_progressed(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        attempt_index: u8,
        progress: AttemptProgress,
        effects: &mut Vec<Effect>,
    ) {
        if !self.requests.is_in_flight(request_id, attempt_index) {
            return;
        }
        match progress {
            AttemptProgress::Started => {
                log::debug!("at={now} request={request_id} attempt={attempt_index} started");
                self.counters.attempts_started.add();
                let started = Event::AttemptStarted {
                    request_id,
                    attempt_index,
                };
                self.dispatch_event(now, started, effects);
            }
            AttemptProgress::Succeeded(result) => {
                if !self.answer(request_id, Answer::Succeeded(result), effects) {
                    self.counters.succeeded_late.add();
                }
                self.end_attempt(now, request_id, attempt_index, Outcome::Succeeded, effects);
            }
            AttemptProgress::Ended(outcome) => {
                self.end_attempt(now, request_id, attempt_index, outcome, effects);
            }
        }
    }

    /// Ends an attempt and passes its outcome to the policy.
    pub(super) fn end_attempt(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        attempt_index: u8,
        outcome: Outcome,
        effects: &mut Vec<Effect>,
    ) {
        log::debug!("at={now} request={request_id} attempt={attempt_index} ended {outcome:?}");
        let treat_as_not_run =
            is_active(Mutation::TreatLostAsNotRun) && outcome == Outcome::ConnectionLost;
        let outcome = if treat_as_not_run {
            Outcome::ConnectFailed
        } else {
            outcome
        };
        count_outcome(&self.counters, outcome);
        let Some(active) = self.requests.get_mut(request_id) else {
            return;
        };
        let complete = !active.answer_pending;
        if active.end_attempt(attempt_index) {
            effects.push(release(request_id, attempt_index, outcome));
        }
        let ended = AttemptEnded {
            request_id,
            attempt_index,
            outcome,
            complete,
            report: Report::default(),
        };
        self.dispatch_event(now, Event::AttemptEnded(ended), effects);
        self.requests.remove_if_complete(request_id);
    }

    /// Sends a health check. Ends it at once as [`Outcome::ConnectFailed`] if the worker has no
    /// address.
    pub(super) fn check_health(&mut self, worker: WorkerId, effects: &mut Vec<Effect>) {
        self.counters.health_checks.add();
        let Some(EndpointAddress { host, address }) = self.workers.address_of(worker) else {
            let unreachable = HealthChecked {
                worker,
                outcome: Outcome::ConnectFailed,
                report: Report::default(),
            };
            return self.events.push_back(Event::HealthChecked(unreachable));
        };
        effects.push(Effect::CheckHealth {
            worker,
            address,
            host: host.to_string(),
            // `connect_timeout` for connecting and the same time for the answer.
            timeout: 2 * self.connect_timeout,
        });
    }
}

/// Returns the effect that releases the connection of an ended attempt: closed after a time-out,
/// else read until it can be reused.
fn release(request_id: RequestId, attempt_index: u8, outcome: Outcome) -> Effect {
    if outcome == Outcome::TimedOut {
        Effect::Abort {
            request_id,
            attempt_index,
        }
    } else {
        Effect::Finished {
            request_id,
            attempt_index,
        }
    }
}

fn count_outcome(counters: &Counters, outcome: Outcome) {
    let counter = match outcome {
        Outcome::Succeeded => &counters.attempts_succeeded,
        Outcome::WorkerError => &counters.attempts_worker_error,
        Outcome::InvalidRequest => &counters.attempts_invalid_request,
        Outcome::AtCapacity => &counters.attempts_at_capacity,
        Outcome::TimedOut => &counters.attempts_timed_out,
        Outcome::ConnectFailed => &counters.attempts_connect_failed,
        Outcome::ConnectionLost | Outcome::Cancelled => &counters.attempts_connection_lost,
        Outcome::NotSent => &counters.attempts_not_sent,
    };
    counter.add();
}
