//! Request lifecycle: state transitions and resulting steps for each outcome of an attempt, by the
//! idempotency of the request.
use super::Dispatcher;
use crate::mutation::{Mutation, is_active};
use crate::settings::AtCapacityMeaning;
use crate::settings::Idempotency::{self, Idempotent, IdempotentWithKey, NonIdempotent};
use crate::state::RequestInput::{
    self, AttemptSent, ClientDisconnected, GivenUp, MayHaveRun, NotRun, Succeeded,
};
use crate::state::RequestState::{
    self, Completed, InFlight, Pending, PendingMayHaveRun, RetryInFlight,
};
use crate::state::RequestStep::{self, Fail, Nothing, Redispatch, Reject};
use crate::time::SECOND;
use crate::types::{Action, Nanos, Outcome, RequestId};

#[cfg(test)]
mod tests;

/// Retry delay stated to a rejected client, in nanoseconds, if the settings allow as much. A typical
/// request completes within this time.
const RETRY_AFTER: f64 = 0.5 * SECOND;

/// One row of the state table.
struct Transition {
    from: &'static [RequestState],
    input: RequestInput,
    idempotency: &'static [Idempotency],
    to: RequestState,
    step: RequestStep,
}

const fn transition(
    from: &'static [RequestState],
    input: RequestInput,
    idempotency: &'static [Idempotency],
    to: RequestState,
    step: RequestStep,
) -> Transition {
    Transition {
        from,
        input,
        idempotency,
        to,
        step,
    }
}

const ANY: &[Idempotency] = &[Idempotent, IdempotentWithKey, NonIdempotent];
const IN_FLIGHT: &[RequestState] = &[InFlight, RetryInFlight];
const NOT_REJECTABLE: &[RequestState] = &[InFlight, PendingMayHaveRun, RetryInFlight];
const ACTIVE: &[RequestState] = &[Pending, InFlight, PendingMayHaveRun, RetryInFlight];

/// State table. An input without a row for the current state changes nothing.
const TRANSITIONS: &[Transition] = &[
    transition(&[Pending], AttemptSent, ANY, InFlight, Nothing),
    transition(
        &[PendingMayHaveRun],
        AttemptSent,
        ANY,
        RetryInFlight,
        Nothing,
    ),
    transition(IN_FLIGHT, Succeeded, ANY, Completed, Nothing),
    transition(&[InFlight], NotRun, ANY, Pending, Redispatch),
    transition(&[RetryInFlight], NotRun, ANY, PendingMayHaveRun, Redispatch),
    transition(&[InFlight], MayHaveRun, &[Idempotent], Pending, Redispatch),
    transition(
        IN_FLIGHT,
        MayHaveRun,
        &[IdempotentWithKey],
        PendingMayHaveRun,
        Redispatch,
    ),
    transition(&[InFlight], MayHaveRun, &[NonIdempotent], Completed, Fail),
    transition(&[Pending], GivenUp, ANY, Completed, Reject),
    transition(NOT_REJECTABLE, GivenUp, ANY, Completed, Fail),
    transition(ACTIVE, ClientDisconnected, ANY, Completed, Nothing),
];

/// Returns the next state of a request and the step to execute.
pub(super) fn next(
    state: RequestState,
    input: RequestInput,
    idempotency: Idempotency,
) -> (RequestState, RequestStep) {
    TRANSITIONS
        .iter()
        .find(|row| {
            row.from.contains(&state)
                && row.input == input
                && row.idempotency.contains(&idempotency)
        })
        .map_or((state, Nothing), |row| (row.to, row.step))
}

/// Maps the outcome of an attempt to an input of its request. An attempt counts as not run only if
/// the outcome proves it.
pub(super) fn classify_outcome(outcome: Outcome, at_capacity: AtCapacityMeaning) -> RequestInput {
    match outcome {
        Outcome::Succeeded => Succeeded,
        Outcome::AtCapacity if at_capacity == AtCapacityMeaning::MayHaveRun => MayHaveRun,
        Outcome::AtCapacity | Outcome::ConnectFailed | Outcome::NotSent => NotRun,
        // Any other worker would reject the request too.
        Outcome::InvalidRequest => GivenUp,
        Outcome::WorkerError | Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled => {
            MayHaveRun
        }
    }
}

impl Dispatcher {
    /// Applies an input to a request and executes the resulting step.
    pub(super) fn apply_input(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        input: RequestInput,
        actions: &mut Vec<Action>,
    ) {
        let Some(&key) = self.request_keys.get(&request_id) else {
            return;
        };
        let active = &mut self.requests[key];
        let idempotency = if is_active(Mutation::RetryNonIdempotent) {
            Idempotent
        } else {
            active.idempotency
        };
        let (state, step) = next(active.state, input, idempotency);
        active.state = state;
        match step {
            Nothing => {}
            Redispatch => return self.dispatch_request(now, key, actions),
            Reject => actions.push(Action::Reject {
                request_id,
                retry_after: self.settings.max_retry_after.min(RETRY_AFTER) as Nanos,
            }),
            Fail => actions.push(Action::Fail { request_id }),
        }
        self.remove_if_finished(key);
    }

    fn remove_if_finished(&mut self, key: usize) {
        let active = &self.requests[key];
        let in_flight = active.attempts().iter().any(|attempt| attempt.in_flight);
        if active.state == Completed && !in_flight {
            self.request_keys.remove(&active.request.id);
            self.requests.remove(key);
        }
    }
}
