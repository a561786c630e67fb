//! The state table of a request: what may follow each outcome.
use super::Dispatcher;
use crate::mutation::{Mutation, is_active};
use crate::state::Idempotency::{Idempotent, IdempotentWithKey, NonIdempotent};
use crate::state::RequestState::{Completed, InFlight, Pending, PendingMayHaveRun, RetryInFlight};
use crate::state::{Idempotency, RequestInput, RequestState, RequestStep};
use crate::time::SECOND;
use crate::types::{Action, Nanos, Outcome, RequestId};

pub(crate) const ALL: &[Idempotency] = &[Idempotent, IdempotentWithKey, NonIdempotent];

/// States, input, for which effects, next state, effect. What is not listed changes nothing.
pub(crate) type Row = (
    &'static [RequestState],
    RequestInput,
    &'static [Idempotency],
    RequestState,
    RequestStep,
);

pub(crate) const TABLE: &[Row] = &[
    (
        &[Pending],
        RequestInput::AttemptSent,
        ALL,
        InFlight,
        RequestStep::Nothing,
    ),
    (
        &[PendingMayHaveRun],
        RequestInput::AttemptSent,
        ALL,
        RetryInFlight,
        RequestStep::Nothing,
    ),
    (
        &[InFlight, RetryInFlight],
        RequestInput::Succeeded,
        ALL,
        Completed,
        RequestStep::Nothing,
    ),
    (
        &[InFlight],
        RequestInput::NotRun,
        ALL,
        Pending,
        RequestStep::Forward,
    ),
    (
        &[RetryInFlight],
        RequestInput::NotRun,
        ALL,
        PendingMayHaveRun,
        RequestStep::Forward,
    ),
    (
        &[InFlight],
        RequestInput::MayHaveRun,
        &[Idempotent],
        Pending,
        RequestStep::Forward,
    ),
    (
        &[InFlight, RetryInFlight],
        RequestInput::MayHaveRun,
        &[IdempotentWithKey],
        PendingMayHaveRun,
        RequestStep::Forward,
    ),
    (
        &[InFlight],
        RequestInput::MayHaveRun,
        &[NonIdempotent],
        Completed,
        RequestStep::Fail,
    ),
    (
        &[Pending],
        RequestInput::GivenUp,
        ALL,
        Completed,
        RequestStep::Reject,
    ),
    (
        &[InFlight, PendingMayHaveRun, RetryInFlight],
        RequestInput::GivenUp,
        ALL,
        Completed,
        RequestStep::Fail,
    ),
    (
        &[Pending, InFlight, PendingMayHaveRun, RetryInFlight],
        RequestInput::ClientGone,
        ALL,
        Completed,
        RequestStep::Nothing,
    ),
];

pub(crate) fn next(
    state: RequestState,
    input: RequestInput,
    idempotency: Idempotency,
) -> (RequestState, RequestStep) {
    let row = TABLE
        .iter()
        .find(|row| row.0.contains(&state) && row.1 == input && row.2.contains(&idempotency));
    row.map_or((state, RequestStep::Nothing), |row| (row.3, row.4))
}

/// An outcome counts as "not run" only where it proves it.
pub(crate) fn classify_outcome(outcome: Outcome) -> RequestInput {
    match outcome {
        Outcome::Succeeded => RequestInput::Succeeded,
        Outcome::AtCapacity | Outcome::ConnectFailed | Outcome::NotSent => RequestInput::NotRun,
        // Nothing is proven, and no worker is to blame. Guards against clients that spoil trust.
        Outcome::InvalidRequest => RequestInput::GivenUp,
        Outcome::WorkerError | Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled => {
            RequestInput::MayHaveRun
        }
    }
}

impl Dispatcher {
    /// Runs one input for a request through the table and carries out what follows.
    pub(crate) fn apply_input(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        input: RequestInput,
        acts: &mut Vec<Action>,
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
            RequestStep::Nothing => {}
            RequestStep::Forward => return self.dispatch_request(now, key, acts),
            RequestStep::Reject => {
                // Come back when a usual job has had time to end.
                let most = self.says("retry_after.allowed") * self.says("retry_after.max");
                let retry_after = most.min(0.5 * SECOND) as Nanos;
                acts.push(Action::Reject {
                    request_id,
                    retry_after,
                });
            }
            RequestStep::Fail => acts.push(Action::Fail { request_id }),
        }
        let active = &self.requests[key];
        if active.state == Completed
            && active.attempts[..active.attempts_sent]
                .iter()
                .all(|attempt| !attempt.in_flight)
        {
            self.request_keys.remove(&request_id);
            self.requests.remove(key);
        }
    }
}

#[cfg(test)]
mod tests;
