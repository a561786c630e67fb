//! For each rule, events that violate it and events just within it that do not.
use super::*;
use crate::network::DirectionCounters;
use crate::scenario::{Idempotency, RetryScope, read};
use rosewall::types::EndpointState;
use std::rc::Rc;
use test_case::test_case;

const START: Nanos = 1_000_000 * MS;
const DISPATCHER: HostId = 7;
const WORKER: WorkerIndex = 0;
const WORK: Nanos = 10 * MS;
const DEADLINE: Nanos = START + 500 * MS;

/// Returns a checker with one class and one worker that was published to the dispatcher as ready.
fn checker(idempotency: Idempotency, retry_scope: RetryScope) -> Checker {
    let mut scenario =
        read("seed = 1\nlength_ms = 1\n[[scheme]]\neffect = \"repeatable\"\nsla_ms = 1\nexpiry_ms = 1\n[[worker]]\nslots = 1\n")
            .unwrap();
    scenario.classes[0].idempotency = idempotency;
    scenario.classes[0].retry_scope = retry_scope;
    scenario.classes[0].retry_window_ms = 100;
    let mut checker = Checker::new(START, scenario.rules, &scenario.classes, WORK as f64);
    publish(&mut checker, START, EndpointState::Ready);
    checker
}

fn publish(checker: &mut Checker, now: Nanos, state: EndpointState) {
    let published = PublishedState {
        state,
        started_at: 0,
        version: 1,
    };
    checker.endpoint_published(now, DISPATCHER, WORKER, published);
}

fn sent_request(checker: &mut Checker) -> RequestIndex {
    let request = checker.request_created(0, WORK, None);
    checker.request_sent(START, request, DISPATCHER, DEADLINE);
    request
}

fn attempt(checker: &mut Checker, at: Nanos, request: RequestIndex, zone: usize) -> usize {
    attempt_from(checker, at, request, zone, &origin(at))
}

/// Returns the origin of an attempt that is written and arrives at once.
fn origin(at: Nanos) -> AttemptOrigin {
    AttemptOrigin {
        host: DISPATCHER,
        first_byte_at: at,
        arrived_at: at,
        stated_timeout: None,
    }
}

fn attempt_from(
    checker: &mut Checker,
    at: Nanos,
    request: RequestIndex,
    zone: usize,
    origin: &AttemptOrigin,
) -> usize {
    let target = AttemptTarget {
        worker: WORKER,
        zone,
        cell: 0,
    };
    checker
        .attempt_arrived(at, origin, Some(request), &target)
        .unwrap()
}

fn violated(checker: &Checker) -> Vec<Rule> {
    let violations = checker.violations().iter();
    violations.map(|violation| violation.rule).collect()
}

#[test]
fn a_result_that_a_worker_produced_in_time_violates_no_rule() {
    let mut checker = checker(Idempotency::NonIdempotent, RetryScope::All);
    let request = sent_request(&mut checker);
    attempt(&mut checker, START, request, 0);
    checker.execution_started(START, request);
    checker.result_produced(request, 5);

    checker.answered(DEADLINE, request, 200, b"made 0 5");
    checker.finish(DEADLINE);

    assert_eq!(violated(&checker), []);
    assert_eq!(
        (checker.counts().succeeded, checker.counts().in_time),
        (1, 1)
    );
}

#[test_case(DEADLINE, b"made 0 6", &[Rule::Answer]; "a result that no worker produced")]
#[test_case(DEADLINE, b"made 1 5", &[Rule::Answer]; "the result of another request")]
#[test_case(DEADLINE + SLACK, b"made 0 5", &[]; "a result within the slack")]
#[test_case(DEADLINE + SLACK + 1, b"made 0 5", &[Rule::Answer]; "a result after the deadline")]
fn a_response_must_be_correct_and_in_time(at: Nanos, body: &[u8], rules: &[Rule]) {
    let mut checker = checker(Idempotency::Idempotent, RetryScope::All);
    let request = sent_request(&mut checker);
    checker.result_produced(request, 5);

    checker.answered(at, request, 200, body);

    assert_eq!(violated(&checker), rules);
}

#[test]
fn a_second_response_violates_the_answer_rule() {
    let mut checker = checker(Idempotency::Idempotent, RetryScope::All);
    let request = sent_request(&mut checker);

    checker.answered(START, request, 503, b"");
    checker.answered(START, request, 503, b"");

    assert_eq!(violated(&checker), [Rule::Answer]);
}

#[test]
fn a_missing_response_violates_the_answer_rule_unless_the_dispatcher_was_killed() {
    let mut checker = checker(Idempotency::Idempotent, RetryScope::All);
    sent_request(&mut checker);
    checker.finish(DEADLINE);
    assert_eq!(violated(&checker), [Rule::Answer]);

    sent_request(&mut checker);
    checker.dispatcher_killed(DISPATCHER);
    checker.finish(DEADLINE);
    assert_eq!(violated(&checker), [Rule::Answer]);
    assert_eq!(checker.counts().exempted, 2);
}

#[test_case(Idempotency::Idempotent, RetryScope::Zone, &[]; "an idempotent request")]
#[test_case(Idempotency::IdempotentWithKey, RetryScope::All, &[]; "with a key that all workers know")]
#[test_case(Idempotency::IdempotentWithKey, RetryScope::Zone, &[Rule::Idempotency]; "with a key that some workers know")]
#[test_case(Idempotency::NonIdempotent, RetryScope::All, &[Rule::Idempotency]; "a non-idempotent request")]
fn a_rejection_is_a_violation_unless_repeating_is_safe(
    idempotency: Idempotency,
    retry_scope: RetryScope,
    rules: &[Rule],
) {
    let mut checker = checker(idempotency, retry_scope);
    let request = sent_request(&mut checker);
    attempt(&mut checker, START, request, 0);

    checker.answered(START, request, 503, b"");

    assert_eq!(violated(&checker), rules);
}

#[test]
fn a_non_idempotent_request_may_be_resent_after_the_rejection_was_read() {
    let mut checker = checker(Idempotency::NonIdempotent, RetryScope::All);
    let request = sent_request(&mut checker);
    let first = attempt(&mut checker, START, request, 0);

    // A rejection that ends at offset 0 counts as read.
    let counters = Rc::new(DirectionCounters::default());
    checker.attempt_rejected(request, first, 0, counters);
    attempt(&mut checker, START, request, 0);
    assert_eq!(violated(&checker), []);

    attempt(&mut checker, START, request, 0);
    assert_eq!(violated(&checker), [Rule::Idempotency]);
}

#[test_case(0, 100 * MS + SLACK, &[]; "within scope and window")]
#[test_case(1, 0, &[Rule::Idempotency]; "outside its scope")]
#[test_case(0, 100 * MS + SLACK + 1, &[Rule::Idempotency]; "outside its window")]
fn a_key_allows_a_retry_within_its_scope_and_window(zone: usize, after: Nanos, rules: &[Rule]) {
    let mut checker = checker(Idempotency::IdempotentWithKey, RetryScope::Zone);
    let request = sent_request(&mut checker);
    attempt(&mut checker, START, request, 0);

    attempt(&mut checker, START + after, request, zone);

    assert_eq!(violated(&checker), rules);
}

/// A worker recognises a repeat by when its last byte comes, however early the first was written.
#[test_case(SLACK, &[]; "the last byte within the slack")]
#[test_case(SLACK + 1, &[Rule::Idempotency]; "the last byte too late")]
fn a_retry_is_judged_by_the_arrival_of_its_last_byte(late: Nanos, rules: &[Rule]) {
    let mut checker = checker(Idempotency::IdempotentWithKey, RetryScope::All);
    let request = sent_request(&mut checker);
    attempt(&mut checker, START, request, 0);

    let arrived_at = START + 100 * MS + late;
    let retry = AttemptOrigin {
        arrived_at,
        ..origin(START + 50 * MS)
    };
    attempt_from(&mut checker, arrived_at, request, 0, &retry);

    assert_eq!(violated(&checker), rules);
}

#[test_case(0, &[]; "within the slack")]
#[test_case(1, &[Rule::StatedTimeout]; "beyond the slack")]
fn an_attempt_states_no_more_time_than_the_client_waits(excess: Nanos, rules: &[Rule]) {
    let mut checker = checker(Idempotency::Idempotent, RetryScope::All);
    let request = sent_request(&mut checker);
    let at = START + 200 * MS;

    let stated = AttemptOrigin {
        stated_timeout: Some(DEADLINE - at + STATED_TIMEOUT_SLACK + excess),
        ..origin(at)
    };
    attempt_from(&mut checker, at, request, 0, &stated);

    assert_eq!(violated(&checker), rules);
}

#[test]
fn a_non_idempotent_request_that_runs_twice_violates_the_idempotency_rule() {
    let mut checker = checker(Idempotency::NonIdempotent, RetryScope::All);
    let request = sent_request(&mut checker);

    checker.execution_started(START, request);
    checker.execution_started(START, request);

    assert_eq!(violated(&checker), [Rule::Idempotency]);
}

#[test_case(0, &[]; "within the grace period")]
#[test_case(1, &[Rule::Drain]; "after the grace period")]
fn a_draining_worker_gets_requests_only_within_the_grace_period(late: Nanos, rules: &[Rule]) {
    let mut checker = checker(Idempotency::Idempotent, RetryScope::All);
    publish(&mut checker, START, EndpointState::Draining);
    let request = checker.request_created(0, WORK, None);
    let grace_end = START + checker.rules.drain_grace_ms * MS + SLACK;

    attempt(&mut checker, grace_end + late, request, 0);

    assert_eq!(violated(&checker), rules);
}

#[test]
fn an_attempt_sent_after_the_client_disconnected_violates_the_sent_after_end_rule() {
    let mut checker = checker(Idempotency::Idempotent, RetryScope::All);
    let request = sent_request(&mut checker);
    checker.client_disconnected(START, request);

    attempt(&mut checker, START + SLACK, request, 0);
    assert_eq!(violated(&checker), []);

    attempt(&mut checker, START + SLACK + 1, request, 0);
    assert_eq!(violated(&checker), [Rule::SentAfterEnd]);
}

#[test]
fn an_invalid_request_that_reaches_a_worker_violates_the_invalid_request_rule() {
    let mut checker = checker(Idempotency::Idempotent, RetryScope::All);
    let request = checker.request_created(0, WORK, Some("request id missing"));

    attempt(&mut checker, START, request, 0);

    assert_eq!(violated(&checker), [Rule::InvalidRequest]);
}

#[test]
fn a_warming_worker_is_overloaded_beyond_its_budget() {
    let mut checker = checker(Idempotency::Idempotent, RetryScope::All);
    checker.worker_started(WORKER, START, 1.0);
    let published = PublishedState {
        state: EndpointState::Ready,
        started_at: START,
        version: 2,
    };
    checker.endpoint_published(START, DISPATCHER, WORKER, published);
    // 4 times the initial capacity of 0.2 over a window of 2 s.
    let budget = 4.0 * 0.2 * (2_000 * MS) as f64;
    let mut overloads = |work: f64| {
        let arrival = WorkArrival {
            dispatcher: DISPATCHER,
            worker: WORKER,
            started_at: START,
            work,
        };
        checker.work_arrived(START, &arrival)
    };

    assert!(!overloads(budget));
    assert!(overloads(budget));

    assert_eq!(violated(&checker), [Rule::SlowStart]);
    assert_eq!(checker.counts().overloaded_workers, 1);
}
