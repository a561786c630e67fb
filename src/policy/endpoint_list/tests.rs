use super::Dispatcher;
use crate::policy::test_support::{
    MS, arrive, dispatcher, endpoint, handle, list_endpoints, request, settings, worker_id,
};
use crate::timers::{POLL_TIMER, TICK_TIMER};
use crate::types::{Action, EndpointState, Event, ListScope, Nanos};
use test_case::test_case;

#[test_case(EndpointState::Draining; "draining")]
#[test_case(EndpointState::Removed; "gone")]
fn workers_that_leave_get_nothing_new(state: EndpointState) {
    let mut d = dispatcher(2);
    list_endpoints(&mut d, MS, ListScope::Delta, vec![endpoint(0, state, 0)]);
    for n in 0..20 {
        let actions = arrive(&mut d, 2 * MS, request(n, 0, 10 * MS, 0));
        assert!(actions.iter().all(
            |action| !matches!(action, Action::SendAttempt { worker, .. } if *worker == worker_id(0))
        ));
    }
}

#[test]
fn a_snapshot_removes_workers_that_it_does_not_list() {
    let mut d = dispatcher(2);
    list_endpoints(
        &mut d,
        MS,
        ListScope::Snapshot,
        vec![endpoint(1, EndpointState::Ready, 0)],
    );
    assert_eq!(d.workers[0].state, EndpointState::Removed);
}

/// Dispatchers that started together must not poll together ever after.
#[test]
fn failed_polls_are_repeated_after_a_random_backoff() {
    let mut at = Vec::new();
    for seed in 0..50 {
        let mut d = Dispatcher::start(0, seed, &settings()).unwrap();
        let mut actions = Vec::new();
        d.handle(
            0,
            Event::EndpointList {
                scope: ListScope::Cached,
                endpoints: Vec::new(),
            },
            &mut actions,
        );
        assert!(actions.contains(&Action::WatchEndpoints));
        actions.clear();
        d.handle(
            MS,
            Event::EndpointList {
                scope: ListScope::Failed,
                endpoints: Vec::new(),
            },
            &mut actions,
        );
        let [
            Action::SetTimer {
                at: again,
                token: POLL_TIMER,
            },
        ] = actions[..]
        else {
            panic!("{actions:?}")
        };
        assert!(handle(&mut d, again, Event::TimerFired { token: TICK_TIMER }).is_empty());
        assert_eq!(
            handle(&mut d, again, Event::TimerFired { token: POLL_TIMER }),
            vec![Action::WatchEndpoints]
        );
        at.push(again);
    }
    let fewest = |from: Nanos| {
        at.iter()
            .filter(|at| (from..from + 25 * MS).contains(at))
            .count()
    };
    assert!(
        (0..40).all(|part| fewest(part * 25 * MS) <= 10),
        "many call as one"
    );
}
