//! Tests of load reports: known slots, invalid values and service-time factors of unused workers.
use crate::policy::test_support::{
    MS, dispatcher, handle, request, send_request, start_attempt, succeeded,
};
use crate::timers::TICK_TIMER;
use crate::types::{Action, Event, Nanos, Report};
use test_case::test_case;

#[test]
fn late_reports_do_not_raise_slots() {
    let mut d = dispatcher(1);
    for id in 0..4 {
        send_request(&mut d, 0, request(id, 0, 100 * MS, 0));
    }
    let report = Report {
        count: 2,
        values: [0.0, 2.0, 0.0, 0.0],
    };
    d.on_load_report(MS, 0, report);
    assert_eq!(d.workers[0].slots, 2.0);
}

/// Guards against too many known slots, which overload warming workers. Three requests of 100 ms run:
/// two start at 1 ms and the third at `third`; the first completes at `completed`. Found by the
/// simulation with seeds 9890, 1005010, 1006095 and 1015281.
#[test_case(0, 9, 60 => 3.0; "all run in one process at the same time")]
#[test_case(5, 9, 60 => 2.0; "requests of an earlier process are lost")]
#[test_case(0, 55, 60 => 2.0; "the last starts as the first ends")]
#[test_case(0, 9, 240 => 2.0; "the others should have ended long ago")]
fn slots_are_raised_by_requests_known_to_have_run_together(
    restarted: Nanos,
    third: Nanos,
    completed: Nanos,
) -> f64 {
    let mut d = dispatcher(1);
    for id in 0..3 {
        send_request(&mut d, 0, request(id, 0, 100 * MS, 0));
    }
    for id in 0..2 {
        start_attempt(&mut d, MS, id);
    }
    d.workers[0].started_at = restarted * MS;
    start_attempt(&mut d, third * MS, 2);
    handle(&mut d, completed * MS, succeeded(0));
    d.workers[0].slots
}

/// One invalid value must not give all workers of a type an unlimited number of slots.
#[test_case([f32::INFINITY, f32::INFINITY])]
#[test_case([f32::NAN, f32::NAN])]
#[test_case([-3.0, -1.0])]
#[test_case([1e30, 1e30])]
fn invalid_report_values_count_as_missing(values: [f32; 2]) {
    let mut d = dispatcher(2);
    let report = Report {
        count: 9,
        values: [values[0], values[1], 0.0, 0.0],
    };
    d.on_load_report(MS, 0, report);
    let worker = &d.workers[0];
    assert_eq!(worker.slots, 2.0);
    assert_eq!(worker.other_slots, 0.0);
    assert_eq!(worker.other_slots_at, 0);
    let actions = handle(&mut d, MS, Event::TimerFired { token: TICK_TIMER });
    assert!(
        actions.contains(&Action::Log("2 invalid values in load reports".into())),
        "{actions:?}"
    );
}

#[test]
fn an_unused_worker_has_the_service_time_factor_of_its_type() {
    let mut d = dispatcher(2);
    for id in 1..=4 {
        let now = u64::from(id) * 500 * MS;
        send_request(&mut d, now, request(id, 0, 100 * MS, now));
        start_attempt(&mut d, now, id);
        handle(&mut d, now + 200 * MS, succeeded(id));
    }
    handle(&mut d, 3_000 * MS, Event::TimerFired { token: TICK_TIMER });
    let factors: Vec<f64> = d
        .workers
        .iter()
        .map(|worker| worker.service_time_factor)
        .collect();
    assert!(factors.iter().all(|factor| *factor > 1.4), "{factors:?}");
    assert!(d.workers.iter().any(|worker| worker.factor_samples == 0.0));
}
