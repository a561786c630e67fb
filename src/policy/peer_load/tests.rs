//! Tests of load exchange: effect of received reports, and conditions and receivers of sent ones.
use super::Dispatcher;
use crate::policy::test_support::{
    MS, dispatcher, exchanging_dispatcher, exchanging_dispatcher_of_rank, handle, request,
    send_request, start_attempt, succeeded, worker_id,
};
use crate::types::{Action, Event, Nanos, PeerLoad};
use test_case::test_case;

#[test_case(None, 1000 => true; "nothing reported")]
#[test_case(Some((8, 500)), 1000 => false; "its slots are in use by a peer")]
#[test_case(Some((8, 0)), 1000 => true; "the reported work is completed by now")]
#[test_case(Some((0, 0)), 1000 => true; "the peer reports no load")]
#[test_case(Some((8, 500)), 4000 => false; "still in use without a new report")]
#[test_case(Some((8, 9000)), 11000 => true; "the report has expired")]
fn slots_in_use_by_peers_are_not_free(reported: Option<(u8, u16)>, at: Nanos) -> bool {
    let mut d = exchanging_dispatcher(3, 2);
    let send_attempt = |d: &mut Dispatcher, id, now| {
        let actions = send_request(d, now, request(id, 2, 100 * MS, now));
        actions.into_iter().find_map(|action| {
            if let Action::SendAttempt { worker, .. } = action {
                Some(worker)
            } else {
                None
            }
        })
    };
    let first = send_attempt(&mut d, 1, 900 * MS).unwrap();
    handle(&mut d, 910 * MS, succeeded(1));
    if let Some((half_slots, work)) = reported {
        // A repeated report counts once, one of an unknown worker not at all.
        for worker in [first, first, worker_id(99)] {
            let load = PeerLoad {
                worker,
                half_slots,
                work_units: work,
                speed_code: PeerLoad::SPEED_UNKNOWN,
            };
            handle(&mut d, 950 * MS, Event::PeerLoad { from: 1, load });
        }
    }
    assert!(d.workers.iter().all(|worker| worker.peer_loads.len() <= 1));
    send_attempt(&mut d, 2, at * MS) == Some(first)
}

#[test_case(PeerLoad::SPEED_UNKNOWN => (100, 0); "unknown speed")]
#[test_case(PeerLoad::encode_speed(4.0) => (200, 0); "a factor counts as one request")]
#[test_case(PeerLoad::SPEED_UNRESPONSIVE => (100, 80); "unresponsive raises the failure score")]
fn applies_speed_codes_reported_by_peers(speed_code: u8) -> (i64, i64) {
    let mut d = exchanging_dispatcher(3, 2);
    let load = PeerLoad {
        worker: worker_id(0),
        half_slots: 2,
        work_units: 10,
        speed_code,
    };
    handle(&mut d, 900 * MS, Event::PeerLoad { from: 1, load });
    (
        (d.workers[0].service_time_factor * 100.0) as i64,
        (d.workers[0].failure_score.value * 100.0).round() as i64,
    )
}

/// Hints are rough, so a single overrunning request raises the factor only in part.
#[test_case(true, 100 => 100; "within the expected service time")]
#[test_case(true, 400 => 200; "overrunning")]
#[test_case(false, 400 => 100; "without load exchange")]
fn overrunning_requests_raise_the_service_time_factor(exchanges_load: bool, age: Nanos) -> i64 {
    let mut d = if exchanges_load {
        exchanging_dispatcher(3, 1)
    } else {
        dispatcher(1)
    };
    send_request(&mut d, MS, request(1, 2, 100 * MS, 0));
    start_attempt(&mut d, MS, 1);
    d.refresh_worker_loads((age + 1) * MS);
    (d.workers[0].observed_service_time_factor().factor * 100.0).round() as i64
}

/// Returns the receiving rank and the half slots of each load report sent.
fn sent_loads(actions: &[Action]) -> Vec<(u16, u8)> {
    let reported = |action: &Action| {
        if let Action::SendPeerLoad { to, load } = action {
            Some((*to, load.half_slots))
        } else {
            None
        }
    };
    actions.iter().filter_map(reported).collect()
}

#[test_case(3, 20 => vec![(1, 2), (2, 2), (1, 0), (2, 0)]; "an end earlier than expected")]
#[test_case(3, 100 => vec![(1, 2), (2, 2)]; "an end as expected")]
#[test_case(1, 20 => Vec::<(u16, u8)>::new(); "no peers")]
fn reports_loads_that_deviate_from_the_peers_estimate(
    dispatchers: u32,
    end: Nanos,
) -> Vec<(u16, u8)> {
    let mut d = exchanging_dispatcher(dispatchers, 2);
    let mut actions = send_request(&mut d, MS, request(1, 2, 100 * MS, 0));
    actions.extend(handle(&mut d, end * MS, succeeded(1)));
    sent_loads(&actions)
}

/// Reports to all dispatchers would grow with the square of their number.
#[test]
fn reports_loads_to_the_dispatchers_that_use_the_worker() {
    let mut d = exchanging_dispatcher_of_rank(7, 40, 30);
    let actions = send_request(&mut d, MS, request(1, 2, 100 * MS, 0));
    let worker = d.requests[0].attempts()[0].worker;
    let users = (0..40).filter(|rank| {
        *rank != 7
            && exchanging_dispatcher_of_rank(*rank, 40, 30).classes[0]
                .subset
                .contains(&worker)
    });
    assert_eq!(
        sent_loads(&actions),
        users.map(|rank| (rank as u16, 2)).collect::<Vec<_>>()
    );
}
