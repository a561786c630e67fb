//! Tests of send deadlines: which limit ends first, and what follows once it has passed.
use crate::policy::Dispatcher;
use crate::policy::test_support::{
    MS, attempt_ended, dispatcher, dispatcher_of, endpoint, granting_dispatcher, handle,
    list_endpoints, only_attempt, request, send_request, worker_id,
};
use crate::types::{Action, EndpointState, Event, ListScope, Nanos, Outcome, Request};
use test_case::test_case;

const IDEMPOTENT: u8 = 0;
/// Class with a retry window of 400 ms.
const WITH_KEY: u8 = 1;
const NON_IDEMPOTENT: u8 = 2;

/// Returns the send deadline of the only attempt among the actions, in milliseconds.
fn send_by_ms(actions: &[Action]) -> Nanos {
    let [Action::SendAttempt { send_by, .. }] = actions else {
        panic!("{actions:?}")
    };
    send_by / MS
}

/// Returns a request at 1 ms with a deadline at `deadline_ms`.
fn request_until(deadline_ms: Nanos, class: u8) -> Request {
    Request {
        deadline: deadline_ms * MS,
        ..request(1, class, 10 * MS, MS)
    }
}

/// Guards against repeats that workers no longer recognise, as their connection came up late.
#[test_case(IDEMPOTENT, 5_000 => 5_000; "the deadline")]
#[test_case(WITH_KEY, 5_000 => 401; "the retry window, from the first attempt")]
#[test_case(WITH_KEY, 300 => 300; "a deadline before the end of the window")]
fn a_retry_must_be_sent_before_its_first_limit_ends(class: u8, deadline_ms: Nanos) -> Nanos {
    let mut d = dispatcher(4);
    let first = send_request(&mut d, MS, request_until(deadline_ms, class));
    assert_eq!(send_by_ms(&first), deadline_ms);

    let retry = handle(
        &mut d,
        200 * MS,
        attempt_ended(1, 0, Outcome::ConnectionLost),
    );

    send_by_ms(&retry)
}

fn dispatcher_with_warming_worker() -> Dispatcher {
    let mut d = dispatcher_of(2, 0, Vec::new());
    let endpoints = vec![endpoint(0, EndpointState::Ready, 100 * MS)];
    list_endpoints(&mut d, 100 * MS, ListScope::Delta, endpoints);
    d
}

/// Attempts that reach a warming worker late would add to the work of those that are sent then. The
/// overload window is 1 s; a rotation step ends at 5 s.
#[test_case(2_500 => 2_600; "a tenth of the window")]
#[test_case(4_980 => 5_000; "the end of the rotation step")]
fn an_attempt_at_a_warming_worker_must_be_sent_soon(at_ms: Nanos) -> Nanos {
    let mut d = dispatcher_with_warming_worker();
    let now = at_ms * MS;
    send_by_ms(&send_request(
        &mut d,
        now,
        request(1, IDEMPOTENT, 10 * MS, now),
    ))
}

#[test]
fn an_attempt_with_a_grant_must_be_sent_before_the_grant_expires() {
    let mut d = granting_dispatcher(12, 0, 1, 1);
    let granted = Event::WarmUpGranted {
        worker: worker_id(0),
        work: 50 * MS,
        until: 540 * MS,
    };
    handle(&mut d, 500 * MS, granted);

    let actions = send_request(&mut d, 500 * MS, request(1, 0, 10 * MS, 500 * MS));

    assert_eq!(send_by_ms(&actions), 540);
}

/// Guards against requests that wait for their latency objective though no attempt is allowed any more.
#[test_case(WITH_KEY, 401, Outcome::ConnectionLost => vec!["fail"]; "lost at the end of the retry window")]
#[test_case(WITH_KEY, 399, Outcome::ConnectionLost => vec!["send"]; "lost before the end of the retry window")]
#[test_case(NON_IDEMPOTENT, 1_000, Outcome::NotSent => vec!["reject"]; "not sent by the send deadline")]
#[test_case(NON_IDEMPOTENT, 999, Outcome::NotSent => vec!["send"]; "not sent before the send deadline")]
fn a_request_that_can_no_longer_be_sent_is_answered_at_once(
    class: u8,
    at_ms: Nanos,
    outcome: Outcome,
) -> Vec<&'static str> {
    let mut d = dispatcher(4);
    d.classes[usize::from(class)].settings.latency_objective = 900e6;
    send_request(&mut d, MS, request_until(1_000, class));

    let actions = handle(&mut d, at_ms * MS, attempt_ended(1, 0, outcome));

    let name = |action: &Action| match action {
        Action::SendAttempt { .. } => "send",
        Action::Reject { .. } => "reject",
        Action::Fail { .. } => "fail",
        _ => "other",
    };
    actions.iter().map(name).collect()
}

#[test]
fn a_retry_that_was_not_sent_in_its_window_fails_at_once() {
    let mut d = dispatcher(4);
    send_request(&mut d, MS, request_until(5_000, WITH_KEY));
    let lost = attempt_ended(1, 0, Outcome::ConnectionLost);
    assert_eq!(send_by_ms(&handle(&mut d, 390 * MS, lost)), 401);

    let actions = handle(&mut d, 401 * MS, attempt_ended(1, 1, Outcome::NotSent));

    assert!(
        matches!(actions[..], [Action::Fail { request_id: 1 }]),
        "{actions:?}"
    );
}

#[test]
fn an_attempt_that_was_not_sent_counts_against_no_worker() {
    let mut d = dispatcher(4);
    let first = only_attempt(&send_request(&mut d, MS, request_until(5_000, IDEMPOTENT)));

    let retry = handle(&mut d, 100 * MS, attempt_ended(1, 0, Outcome::NotSent));

    assert_ne!(only_attempt(&retry), first);
    let worker = &d.workers[d.worker_indices[&first]];
    assert_eq!((worker.start_delay, worker.connect_failures), (0.0, 0));
    let score =
        worker.failure_score_for(100 * MS, 0.0, 0, crate::settings::Idempotency::Idempotent);
    assert_eq!(score, 0.0);
}
