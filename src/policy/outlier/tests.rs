//! Tests of outlier detection: which outcomes and overdue attempts raise the failure scores.
use super::{CLASS_FAILURE_HALF_LIFE, Dispatcher, FAILURE_HALF_LIFE};
use crate::policy::test_support::{
    MS, attempt_ended, dispatcher, handle, only_attempt, request, send_request, start_attempt,
    worker_id,
};
use crate::settings::Idempotency::Idempotent;
use crate::time::SECOND;
use crate::timers::attempt_timer;
use crate::types::{Action, AttemptEnded, Event, Nanos, Outcome, Report};
use test_case::test_case;

#[test_case(Outcome::InvalidRequest => (true, 0.0); "the request is at fault")]
#[test_case(Outcome::WorkerError => (false, 0.5); "the worker may be at fault")]
fn only_failures_of_the_worker_raise_its_score(outcome: Outcome) -> (bool, f64) {
    let mut d = dispatcher(1);
    send_request(&mut d, 0, request(1, 0, 100 * MS, 0));
    let actions = handle(&mut d, 0, attempt_ended(1, 0, outcome));
    let has_failed = actions == [Action::Fail { request_id: 1 }];
    (has_failed, d.workers[0].failure_score.value)
}

#[test_case(true => (false, 1.0); "overtaken by a later attempt")]
#[test_case(false => (true, 2.0); "nothing starts")]
fn a_lost_attempt_counts_neither_as_load_nor_as_failure(starts: bool) -> (bool, f64) {
    let mut d = dispatcher(1);
    send_request(&mut d, MS, request(1, 2, 100 * MS, MS));
    send_request(&mut d, 50 * MS, request(2, 0, 100 * MS, 50 * MS));
    if starts {
        start_attempt(&mut d, 60 * MS, 2);
    }
    handle(
        &mut d,
        600 * MS,
        Event::TimerFired {
            token: attempt_timer(1, 0),
        },
    );
    d.refresh_worker_loads(600 * MS);
    (
        d.workers[0].failure_score_for(600 * MS, 0.0, 0, Idempotent) > 0.25,
        d.workers[0].slots_in_use,
    )
}

/// A worker that starts all requests and fails most of them must not recover by its starts.
#[test_case(&[0] => [true, false, false]; "one class")]
#[test_case(&[0, 1] => [true, true, false]; "two classes")]
#[test_case(&[] => [false; 3]; "none")]
fn errors_raise_the_score_of_their_class(failing: &[u8]) -> [bool; 3] {
    let mut d = dispatcher(1);
    for n in 0..12 {
        let class = failing.get(n as usize % 2).copied().unwrap_or(2);
        let outcome = if failing.contains(&class) {
            Outcome::WorkerError
        } else {
            Outcome::Succeeded
        };
        send_request(&mut d, 0, request(n, class, 100 * MS, 0));
        start_attempt(&mut d, 0, n);
        let ended = AttemptEnded {
            request_id: n,
            attempt_index: 0,
            outcome,
            complete: false,
            report: Report::default(),
        };
        handle(&mut d, 0, Event::AttemptEnded(ended));
    }
    let late = 20 * SECOND as Nanos;
    [0, 1, 2].map(|class| d.workers[0].failure_score_for(late, 0.0, class, Idempotent) > 0.25)
}

#[test]
fn failures_of_all_workers_make_none_an_outlier() {
    let mut d = dispatcher(3);
    d.workers
        .iter_mut()
        .for_each(|worker| worker.failure_score.raise(0, FAILURE_HALF_LIFE, 0.8));
    d.on_tick(0, &mut Vec::new());
    let score = |d: &Dispatcher, index: usize| {
        d.workers[index].failure_score_for(0, d.mean_failure_score, 0, Idempotent)
    };
    assert!((0..3).all(|index| score(&d, index) == 0.0));
    d.workers[1].failure_score.raise(0, FAILURE_HALF_LIFE, 0.9);
    d.on_tick(0, &mut Vec::new());
    assert!(score(&d, 1) > 0.1 && score(&d, 0) == 0.0);
}

#[test_case(0, 0 => true; "no recent response: requests of others may be ahead")]
#[test_case(1_000, 1_000 => false; "a recent response: a start is due soon")]
fn tolerates_one_more_service_time_at_a_worker_without_recent_responses(
    last_response_at: Nanos,
    now: Nanos,
) -> bool {
    let mut d = dispatcher(1);
    d.unobserved_fraction = 1.0;
    d.workers[0].last_response_at = last_response_at * MS;
    let now = now.max(1) * MS + 60_000 * MS * u64::from(last_response_at == 0);
    let mut actions = Vec::new();
    d.handle(
        now,
        Event::RequestArrived(request(1, 0, 800 * MS, now)),
        &mut actions,
    );
    actions
        .iter()
        .any(|action| matches!(action, Action::SetTimer { at, .. } if *at > now + 1_000 * MS))
}

#[test_case(2, 1_000 => false; "non-idempotent, soon after")]
#[test_case(2, 60_000 => true; "non-idempotent, a minute after")]
#[test_case(1, 1_000 => true; "another class that is idempotent")]
fn non_idempotent_requests_avoid_workers_that_failed_any_class(class: u8, after: Nanos) -> bool {
    let mut d = dispatcher(2);
    d.workers[0].class_failure_scores[0].raise(0, CLASS_FAILURE_HALF_LIFE, 0.6);
    (1..=20).any(|id| {
        let now = (after + u64::from(id)) * MS;
        let actions = send_request(&mut d, now, request(id, class, 50 * MS, now));
        let worker = only_attempt(&actions);
        handle(&mut d, now, attempt_ended(id, 0, Outcome::Succeeded));
        worker == worker_id(0)
    })
}
