//! Tests of the endpoint list: removal of workers, and repetition of failed polls.
use super::{Dispatcher, poll_backoff};
use crate::policy::test_support::{
    MS, dispatcher, endpoint, handle, list_endpoints, request, send_request, settings, worker_id,
};
use crate::timers::{POLL_TIMER, TICK_TIMER};
use crate::types::{Action, EndpointState, Event, ListScope, Nanos};
use test_case::test_case;

#[test_case(EndpointState::Draining; "draining")]
#[test_case(EndpointState::Removed; "removed")]
fn draining_and_removed_workers_get_no_new_requests(state: EndpointState) {
    let mut d = dispatcher(2);
    list_endpoints(&mut d, MS, ListScope::Delta, vec![endpoint(0, state, 0)]);
    for n in 0..20 {
        let actions = send_request(&mut d, 2 * MS, request(n, 0, 10 * MS, 0));
        assert!(actions.iter().all(
            |action| !matches!(action, Action::SendAttempt { worker, .. } if *worker == worker_id(0))
        ));
    }
}

#[test]
fn a_snapshot_removes_workers_that_it_does_not_list() {
    let mut d = dispatcher(2);
    let endpoints = vec![endpoint(1, EndpointState::Ready, 0)];
    list_endpoints(&mut d, MS, ListScope::Snapshot, endpoints);
    assert_eq!(d.workers[0].state, EndpointState::Removed);
}

/// Handles an empty endpoint list and returns all actions, including timers.
fn actions_for_list(d: &mut Dispatcher, now: Nanos, scope: ListScope) -> Vec<Action> {
    let mut actions = Vec::new();
    let event = Event::EndpointList {
        scope,
        endpoints: Vec::new(),
    };
    d.handle(now, event, &mut actions);
    actions
}

/// Returns the time of the next poll after a failed one.
fn second_poll_at(seed: u64) -> Nanos {
    let mut d = Dispatcher::start(0, seed, &settings()).unwrap();
    assert!(actions_for_list(&mut d, 0, ListScope::Cached).contains(&Action::WatchEndpoints));
    let actions = actions_for_list(&mut d, MS, ListScope::Failed);
    let [
        Action::SetTimer {
            at,
            token: POLL_TIMER,
        },
    ] = actions[..]
    else {
        panic!("{actions:?}")
    };
    assert!(handle(&mut d, at, Event::TimerFired { token: TICK_TIMER }).is_empty());
    assert_eq!(
        handle(&mut d, at, Event::TimerFired { token: POLL_TIMER }),
        vec![Action::WatchEndpoints]
    );
    at
}

/// Dispatchers that started together must not keep polling together.
#[test]
fn failed_polls_are_repeated_after_a_random_backoff() {
    let polls: Vec<Nanos> = (0..50).map(second_poll_at).collect();
    let polls_within = |from: Nanos| {
        polls
            .iter()
            .filter(|at| (from..from + 25 * MS).contains(at))
            .count()
    };
    assert!(
        (0..40).all(|part| polls_within(part * 25 * MS) <= 10),
        "many poll together"
    );
}

/// Guards against a change that is applied too late because the service came back right after a
/// failed poll: a dispatcher is accountable for it 6 s later, and the answer takes time as well.
#[test]
fn the_longest_backoff_leaves_time_for_a_slow_answer() {
    const ACCOUNTABLE_AFTER: Nanos = 6_000 * MS;
    const SLOW_ANSWER: Nanos = 1_500 * MS;
    let longest = (0..20).map(|failures| poll_backoff(failures, 1.0)).max();
    assert!(longest.unwrap() + SLOW_ANSWER <= ACCOUNTABLE_AFTER);
}
