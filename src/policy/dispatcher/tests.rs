//! Tests of dispatching without workers and for fleets of extreme sizes.
use crate::policy::test_support::{
    MS, dispatcher, dispatcher_of, endpoint, handle, request, send_request,
};
use crate::timers::attempt_timer;
use crate::types::{Action, Endpoint, EndpointState, Event, WorkerId};
use test_case::test_case;

mod rules;

#[test]
fn rejects_a_request_without_workers_once_it_cannot_meet_its_objective() {
    let mut d = dispatcher(0);
    assert!(send_request(&mut d, 0, request(1, 2, 100 * MS, 0)).is_empty());
    let actions = handle(
        &mut d,
        450 * MS,
        Event::TimerFired {
            token: attempt_timer(1, 0),
        },
    );
    assert!(matches!(
        actions[..],
        [Action::Reject { request_id: 1, .. }]
    ));
}

/// Covers sizes at which a division by zero or an index out of bounds is likely.
#[test_case(0, 1; "no worker")]
#[test_case(1, 1; "one of each")]
#[test_case(1, 1_000; "one worker of a thousand dispatchers")]
#[test_case(1_000, 1; "a thousand workers of one dispatcher")]
#[test_case(1_000, 1_000; "a thousand of each")]
#[test_case(4_096, 4_096; "four thousand of each")]
fn serves_fleets_of_any_size(workers: u16, dispatchers: u32) {
    let listed = |n: u16| Endpoint {
        worker: WorkerId {
            addr: [10; 4],
            port: n,
        },
        ..endpoint(0, EndpointState::Ready, 0)
    };
    let mut d = dispatcher_of(
        dispatchers,
        dispatchers - 1,
        (0..workers).map(listed).collect(),
    );
    let actions: Vec<Action> = (1..40)
        .flat_map(|n| send_request(&mut d, 0, request(n, 2, 100 * MS, 0)))
        .collect();
    let has_sent = actions
        .iter()
        .any(|action| matches!(action, Action::SendAttempt { .. }));
    assert_eq!(has_sent, workers > 0);
    assert!(d.classes[2].subset.len() <= usize::from(workers));
}
