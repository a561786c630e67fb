use super::Dispatcher;
use crate::policy::test_support::{
    MS, dispatcher, handle, id, numbered, request, settled, sharing,
};
use crate::types::{Action, Event, Nanos, PeerLoad};
use test_case::test_case;

/// Guards against a partial view: a worker that another has just filled is not free.
#[test_case(None, 1000 => true; "nothing told")]
#[test_case(Some((8, 500)), 1000 => false; "its seats are full of another's jobs")]
#[test_case(Some((8, 0)), 1000 => true; "they are over by now")]
#[test_case(Some((0, 0)), 1000 => true; "they have ended")]
#[test_case(Some((8, 500)), 4000 => false; "nothing new is told as long as that goes on")]
#[test_case(Some((8, 9000)), 11000 => true; "told too long ago: who told it may be dead")]
fn a_worker_is_free_by_what_others_told(told: Option<(u8, u16)>, at: Nanos) -> bool {
    let mut d = sharing(3, 2);
    let send_attempt = |d: &mut Dispatcher, id, now| {
        let acts = handle(d, now, Event::RequestArrived(request(id, 2, 100 * MS, now)));
        acts.into_iter().find_map(|act| {
            if let Action::SendAttempt { worker, .. } = act {
                Some(worker)
            } else {
                None
            }
        })
    };
    let mine = send_attempt(&mut d, 1, 900 * MS).unwrap();
    handle(&mut d, 910 * MS, settled(1));
    if let Some((half_slots, work)) = told {
        // What is told twice by one counts once; of a worker that is not known, not at all.
        for worker in [mine, mine, id(99)] {
            let load = PeerLoad {
                worker,
                half_slots,
                work,
                speed_code: PeerLoad::SPEED_UNKNOWN,
            };
            handle(&mut d, 950 * MS, Event::PeerLoad { from: 1, load });
        }
    }
    assert!(d.workers.iter().all(|worker| worker.peer_loads.len() <= 1));
    send_attempt(&mut d, 2, at * MS) == Some(mine)
}

/// Guards against a slow or hung worker that each dispatcher finds out with requests of its own.
#[test_case(PeerLoad::SPEED_UNKNOWN => (100, 0); "nothing known")]
#[test_case(PeerLoad::encode_speed(4.0) => (200, 0); "a pace, as one job more")]
#[test_case(PeerLoad::SPEED_SILENT => (100, 80); "silence, as its own")]
fn what_others_met_at_a_worker_counts(speed_code: u8) -> (i64, i64) {
    let mut d = sharing(3, 2);
    let load = PeerLoad {
        worker: id(0),
        half_slots: 2,
        work: 10,
        speed_code,
    };
    handle(&mut d, 900 * MS, Event::PeerLoad { from: 1, load });
    (
        (d.workers[0].service_time_factor * 100.0) as i64,
        (d.workers[0].failure_score.value * 100.0).round() as i64,
    )
}

/// Guards against a slow worker taken for well until its first job has ended, and one alone taken for more than a rough hint.
#[test_case(true, 100 => 100; "within the usual")]
#[test_case(true, 400 => 200; "overrunning")]
#[test_case(false, 400 => 100; "where no one tells of others")]
fn jobs_that_still_run_tell_the_pace(exchanges_load: bool, age: Nanos) -> i64 {
    let mut d = if exchanges_load {
        sharing(3, 1)
    } else {
        dispatcher(1)
    };
    drop(handle(
        &mut d,
        MS,
        Event::RequestArrived(request(1, 2, 100 * MS, 0)),
    ));
    handle(
        &mut d,
        MS,
        Event::AttemptStarted {
            request_id: 1,
            attempt_index: 0,
        },
    );
    d.refresh_worker_loads((age + 1) * MS);
    (d.workers[0].observed_service_time_factor().factor * 100.0).round() as i64
}

/// Whom a dispatcher tells of so many halves of a seat.
fn peer_load(acts: &[Action]) -> Vec<(u16, u8)> {
    let told = |act: &Action| {
        if let Action::SendPeerLoad { to, load } = act {
            Some((*to, load.half_slots))
        } else {
            None
        }
    };
    acts.iter().filter_map(told).collect()
}

/// Guards against messages that tell the others only what they take for so by themselves.
#[test_case(3, 20 => vec![(1, 2), (2, 2), (1, 0), (2, 0)]; "an end that none expects")]
#[test_case(3, 100 => vec![(1, 2), (2, 2)]; "an end at its time")]
#[test_case(1, 20 => Vec::<(u16, u8)>::new(); "no one to tell")]
fn what_is_out_is_told(dispatchers: u32, end: Nanos) -> Vec<(u16, u8)> {
    let mut d = sharing(dispatchers, 2);
    let mut acts = handle(
        &mut d,
        MS,
        Event::RequestArrived(request(1, 2, 100 * MS, 0)),
    );
    acts.extend(handle(&mut d, end * MS, settled(1)));
    peer_load(&acts)
}

/// Guards against messages to all, which grow as the square of the dispatchers.
#[test]
fn those_are_told_who_keep_to_the_worker() {
    let mut d = numbered(7, 40, 30);
    let acts = handle(
        &mut d,
        MS,
        Event::RequestArrived(request(1, 2, 100 * MS, 0)),
    );
    let at = d.requests[0].attempts()[0].worker;
    let keep =
        (0..40).filter(|me| *me != 7 && numbered(*me, 40, 30).classes[0].subset.contains(&at));
    assert_eq!(
        peer_load(&acts),
        keep.map(|me| (me as u16, 2)).collect::<Vec<_>>()
    );
}
