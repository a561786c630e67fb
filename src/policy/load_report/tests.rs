use crate::policy::test_support::{MS, dispatcher, ended, handle, request};
use crate::timers::TICK_TIMER;
use crate::types::{Action, Event, Nanos, Outcome, Report};
use test_case::test_case;

#[test]
fn late_reports_do_not_add_seats() {
    let mut d = dispatcher(1);
    (0..4).for_each(|n| {
        drop(handle(
            &mut d,
            0,
            Event::RequestArrived(request(n, 0, 100 * MS, 0)),
        ))
    });
    let report = Report {
        count: 2,
        values: [0.0, 2.0, 0.0, 0.0],
    };
    d.on_load_report(MS, 0, report);
    assert_eq!(d.workers[0].slots, 2.0);
}

/// Guards against a cold worker pushed over, as its kind was taken for one of more seats: by jobs lost with its old process, by
/// a start told sooner than the end before it, by jobs that were told as started and never ended (found: drawn worlds 9890,
/// 1005010, 1006095 and 1015281). `third` is when the last of three jobs of 100 ms starts, the others start at 1 ms; the
/// first settles at `settled`.
#[test_case(0, 9, 60 => 3.0; "all of one process, for a while")]
#[test_case(5, 9, 60 => 2.0; "those of an earlier one are lost")]
#[test_case(0, 55, 60 => 2.0; "the last starts as the first ends")]
#[test_case(0, 9, 240 => 2.0; "the others were to end long ago")]
fn seats_by_jobs_that_surely_ran_together(restarted: Nanos, third: Nanos, settled: Nanos) -> f64 {
    let mut d = dispatcher(1);
    (0..3).for_each(|n| {
        drop(handle(
            &mut d,
            0,
            Event::RequestArrived(request(n, 0, 100 * MS, 0)),
        ))
    });
    (0..2).for_each(|request_id| {
        drop(handle(
            &mut d,
            MS,
            Event::AttemptStarted {
                request_id,
                attempt_index: 0,
            },
        ))
    });
    d.workers[0].started_at = restarted * MS;
    handle(
        &mut d,
        third * MS,
        Event::AttemptStarted {
            request_id: 2,
            attempt_index: 0,
        },
    );
    handle(&mut d, settled * MS, ended(0, 0, Outcome::Succeeded));
    d.workers[0].slots
}

/// Guards against one absurd figure that would give a whole kind of workers endless seats.
#[test_case([f32::INFINITY, f32::INFINITY])]
#[test_case([f32::NAN, f32::NAN])]
#[test_case([-3.0, -1.0])]
#[test_case([1e30, 1e30])]
fn absurd_reports_count_as_none(values: [f32; 2]) {
    let mut d = dispatcher(2);
    let report = Report {
        count: 9,
        values: [values[0], values[1], 0.0, 0.0],
    };
    d.on_load_report(MS, 0, report);
    let worker = &d.workers[0];
    assert_eq!(
        (worker.slots, worker.other_slots, worker.other_slots_at),
        (2.0, 0.0, 0)
    );
    let acts = handle(&mut d, MS, Event::TimerFired { token: TICK_TIMER });
    assert!(
        acts.contains(&Action::Log("2 invalid values in load reports".into())),
        "{acts:?}"
    );
}

/// Guards against a slow kind of worker that each of many dispatchers would have to find out one by one.
#[test]
fn a_worker_not_yet_seen_has_the_pace_of_its_kind() {
    let mut d = dispatcher(2);
    for id in 1..=4 {
        let now = u64::from(id) * 500 * MS;
        handle(
            &mut d,
            now,
            Event::RequestArrived(request(id, 0, 100 * MS, now)),
        );
        handle(
            &mut d,
            now,
            Event::AttemptStarted {
                request_id: id,
                attempt_index: 0,
            },
        );
        handle(&mut d, now + 200 * MS, ended(id, 0, Outcome::Succeeded));
    }
    handle(&mut d, 3_000 * MS, Event::TimerFired { token: TICK_TIMER });
    assert!(
        d.workers
            .iter()
            .all(|worker| worker.service_time_factor > 1.4),
        "{:?}",
        d.workers
            .iter()
            .map(|w| w.service_time_factor)
            .collect::<Vec<_>>()
    );
    assert!(d.workers.iter().any(|worker| worker.factor_samples == 0.0));
}
