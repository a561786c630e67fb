//! Tests of the request lifecycle: the state table and shutdown.
use super::next;
use crate::policy::Dispatcher;
use crate::policy::test_support::{
    MS, attempt_ended, dispatcher, handle, list_endpoints, request, send_request, settings,
    warm_endpoints,
};
use crate::settings::Idempotency::{self, Idempotent, IdempotentWithKey, NonIdempotent};
use crate::state::RequestState::{Completed, InFlight, Pending, PendingMayHaveRun, RetryInFlight};
use crate::state::{RequestInput, RequestState, RequestStep};
use crate::timers::attempt_timer;
use crate::types::{Action, Event, ListScope, Outcome, WorkerId};
use test_case::test_case;

#[test_case(InFlight, RequestInput::NotRun, NonIdempotent => (Pending, RequestStep::Redispatch); "non-idempotent, proven not run")]
#[test_case(InFlight, RequestInput::MayHaveRun, NonIdempotent => (Completed, RequestStep::Fail); "non-idempotent, may have run")]
#[test_case(InFlight, RequestInput::MayHaveRun, Idempotent => (Pending, RequestStep::Redispatch); "idempotent runs again")]
#[test_case(InFlight, RequestInput::MayHaveRun, IdempotentWithKey => (PendingMayHaveRun, RequestStep::Redispatch); "with a key in its scope")]
#[test_case(RetryInFlight, RequestInput::NotRun, IdempotentWithKey => (PendingMayHaveRun, RequestStep::Redispatch); "an earlier attempt may still have run")]
#[test_case(Pending, RequestInput::GivenUp, NonIdempotent => (Completed, RequestStep::Reject); "rejected if nothing was sent")]
#[test_case(PendingMayHaveRun, RequestInput::GivenUp, IdempotentWithKey => (Completed, RequestStep::Fail); "failed if it may have run")]
#[test_case(InFlight, RequestInput::GivenUp, Idempotent => (Completed, RequestStep::Fail); "deadline with an attempt in flight")]
#[test_case(Completed, RequestInput::Succeeded, Idempotent => (Completed, RequestStep::Nothing); "second outcome")]
#[test_case(Completed, RequestInput::MayHaveRun, NonIdempotent => (Completed, RequestStep::Nothing); "late outcome")]
#[test_case(Completed, RequestInput::ClientDisconnected, IdempotentWithKey => (Completed, RequestStep::Nothing); "client disconnected after the end")]
fn the_state_table_allows_only_safe_retries(
    state: RequestState,
    input: RequestInput,
    idempotency: Idempotency,
) -> (RequestState, RequestStep) {
    next(state, input, idempotency)
}

/// Guards against requests with later deadlines that are retried or stay pending until the process
/// is killed.
#[test_case(0, true => vec!["reject"]; "idempotent and in flight: no retry")]
#[test_case(1, true => vec!["fail"]; "with a key and in flight")]
#[test_case(2, true => vec!["fail"]; "non-idempotent and in flight")]
#[test_case(2, false => vec!["reject"]; "non-idempotent and pending")]
fn a_shutdown_brings_deadlines_forward(class: u8, in_flight: bool) -> Vec<&'static str> {
    let mut d = dispatcher(if in_flight { 2 } else { 0 });
    let attempts = send_request(&mut d, 0, request(1, class, 100 * MS, 0));
    assert_eq!(attempts.len(), usize::from(in_flight));
    let event = if in_flight {
        attempt_ended(1, 0, Outcome::TimedOut)
    } else {
        Event::TimerFired {
            token: attempt_timer(1, 0),
        }
    };

    handle(&mut d, MS, Event::ShuttingDown { by: 50 * MS });
    let actions = handle(&mut d, 50 * MS, event);

    let answer = |action: &Action| match action {
        Action::Reject { .. } => "reject",
        Action::Fail { .. } => "fail",
        _ => "other",
    };
    actions.iter().map(answer).collect()
}

/// Guards against a non-idempotent request that runs twice: where the settings say so, a worker that
/// is at capacity may have begun it before.
#[test_case("false", 2 => (1, 0); "non-idempotent, proven not run")]
#[test_case("true", 2 => (0, 1); "non-idempotent, may have run")]
#[test_case("true", 0 => (1, 0); "idempotent, may have run")]
fn a_worker_at_capacity_proves_only_what_the_settings_say(
    may_have_run: &str,
    class: u8,
) -> (usize, usize) {
    let mut map = settings();
    map.insert("at_capacity.may_have_run".into(), may_have_run.into());
    let mut d = Dispatcher::start(0, 7, &map).unwrap();
    list_endpoints(&mut d, 0, ListScope::Cached, warm_endpoints(4));
    send_request(&mut d, 0, request(1, class, 10 * MS, 0));
    let actions = handle(&mut d, MS, attempt_ended(1, 0, Outcome::AtCapacity));
    let count = |kind: fn(&Action) -> bool| actions.iter().filter(|action| kind(action)).count();
    (
        count(|action| matches!(action, Action::SendAttempt { .. })),
        count(|action| matches!(action, Action::Fail { .. })),
    )
}

/// A request with a key that a worker at capacity may have run is repeated in its scope only.
#[test]
fn after_a_worker_at_capacity_a_request_with_a_key_stays_in_its_scope() {
    let mut map = settings();
    map.insert("at_capacity.may_have_run".into(), "true".into());
    for seed in 0..20 {
        let mut d = Dispatcher::start(0, seed, &map).unwrap();
        list_endpoints(&mut d, 0, ListScope::Cached, warm_endpoints(4));
        let first = worker_of(&send_request(&mut d, 0, request(1, 1, 10 * MS, 0)));
        let actions = handle(&mut d, MS, attempt_ended(1, 0, Outcome::AtCapacity));
        if let Some(second) = worker_of(&actions) {
            assert_eq!(first.unwrap().addr[3] % 2, second.addr[3] % 2);
        }
    }
}

fn worker_of(actions: &[Action]) -> Option<WorkerId> {
    actions.iter().find_map(|action| match action {
        Action::SendAttempt { worker, .. } => Some(*worker),
        _ => None,
    })
}
