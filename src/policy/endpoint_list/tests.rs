use super::Dispatcher;
use crate::policy::test_support::{MS, dispatcher, entry, handle, id, request, settings};
use crate::timers::{POLL_TIMER, TICK_TIMER};
use crate::types::{Action, EndpointState, Event, ListScope, Nanos};
use test_case::test_case;

#[test_case(EndpointState::Draining; "draining")]
#[test_case(EndpointState::Removed; "gone")]
fn nothing_new_to_a_worker_that_leaves(state: EndpointState) {
    let mut d = dispatcher(2);
    handle(
        &mut d,
        MS,
        Event::EndpointList {
            scope: ListScope::Delta,
            endpoints: vec![entry(0, state, 0)],
        },
    );
    for n in 0..20 {
        let acts = handle(
            &mut d,
            2 * MS,
            Event::RequestArrived(request(n, 0, 10 * MS, 0)),
        );
        assert!(
            acts.iter()
                .all(|act| !matches!(act, Action::SendAttempt { worker, .. } if *worker == id(0)))
        );
    }
}

#[test]
fn a_whole_list_names_all_there_are() {
    let mut d = dispatcher(2);
    handle(
        &mut d,
        MS,
        Event::EndpointList {
            scope: ListScope::Snapshot,
            endpoints: vec![entry(1, EndpointState::Ready, 0)],
        },
    );
    assert_eq!(d.workers[0].state, EndpointState::Removed);
}

/// Guards against dispatchers that started together and call for the list as one for ever after.
#[test]
fn failed_calls_are_made_again_at_moments_of_their_own() {
    let mut at = Vec::new();
    for seed in 0..50 {
        let mut d = Dispatcher::start(0, seed, &settings()).unwrap();
        let mut acts = Vec::new();
        d.handle(
            0,
            Event::EndpointList {
                scope: ListScope::Cached,
                endpoints: Vec::new(),
            },
            &mut acts,
        );
        assert!(acts.contains(&Action::WatchEndpoints));
        acts.clear();
        d.handle(
            MS,
            Event::EndpointList {
                scope: ListScope::Failed,
                endpoints: Vec::new(),
            },
            &mut acts,
        );
        let [
            Action::SetTimer {
                at: again,
                token: POLL_TIMER,
            },
        ] = acts[..]
        else {
            panic!("{acts:?}")
        };
        assert!(handle(&mut d, again, Event::TimerFired { token: TICK_TIMER }).is_empty());
        assert_eq!(
            handle(&mut d, again, Event::TimerFired { token: POLL_TIMER }),
            vec![Action::WatchEndpoints]
        );
        at.push(again);
    }
    let least = |from: Nanos| {
        at.iter()
            .filter(|at| (from..from + 25 * MS).contains(at))
            .count()
    };
    assert!(
        (0..40).all(|part| least(part * 25 * MS) <= 10),
        "many call as one"
    );
}
