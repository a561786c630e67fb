//! Tests of worker selection: interval, queues, zones, retries and expected service times.
use super::Dispatcher;
use crate::policy::test_support::{
    MS, attempt_ended, dispatcher, dispatcher_of, dispatcher_of_large_fleet, handle, only_attempt,
    request, send_request, start_attempt, start_recent_attempts, succeeded, warm_endpoints,
};
use crate::state::{FleetMeans, Worker, bin_index};
use crate::time::SECOND;
use crate::types::{Action, AttemptEnded, Event, Nanos, Outcome, Report, Request, RequestId};
use test_case::test_case;

#[test]
fn unobserved_queues_converge_to_the_fleets_mean() {
    let mut worker = Worker {
        slots: 2.0,
        start_delay: 0.0,
        start_delay_at: 0,
        ..Worker::default()
    };
    let late_starts = FleetMeans {
        start_delay: SECOND,
        ..FleetMeans::default()
    };
    assert!(worker.expected_wait(10_000 * MS, 1.0, late_starts) > 0.9 * SECOND);
    worker.other_slots = 0.0;
    worker.other_slots_at = 0;
    let busy_slots = FleetMeans {
        other_slots: 4.0,
        work: SECOND,
        ..FleetMeans::default()
    };
    assert!(worker.expected_wait(10_000 * MS, 1.0, busy_slots) > SECOND);
}

/// Such a worker answers at once and would appear idle.
#[test_case(Outcome::AtCapacity; "at capacity")]
#[test_case(Outcome::ConnectFailed; "unreachable")]
fn a_worker_that_rejects_or_is_unreachable_is_avoided(outcome: Outcome) {
    let mut d = dispatcher(3);
    let first = only_attempt(&send_request(&mut d, MS, request(1, 0, 100 * MS, MS)));

    let actions = handle(&mut d, 2 * MS, attempt_ended(1, 0, outcome));

    assert_ne!(only_attempt(&actions), first);
    assert!(d.workers[d.worker_indices[&first]].start_delay > 0.2 * SECOND);
}

#[test]
fn a_retry_goes_to_another_worker() {
    let mut d = dispatcher(2);
    let first = only_attempt(&send_request(&mut d, 0, request(1, 0, 100 * MS, 0)));
    for worker in &mut d.workers {
        worker.set_start_delay(0, 0.1 * SECOND);
    }
    d.mean_failure_score = 0.9;

    let actions = handle(&mut d, 0, attempt_ended(1, 0, Outcome::WorkerError));

    assert_ne!(only_attempt(&actions), first);
}

/// Returns the position in the subset of the worker selected for a request of 10 ms. The mean wait of
/// the fleet is 0.3 of the slack, and the wait at the last worker is `wait_fraction` of that.
fn selected_position(mut d: Dispatcher, wait_fraction: f64) -> usize {
    let now = 100_000 * MS;
    start_recent_attempts(&mut d, now, 0.3, 0);
    d.classes[0].histogram[bin_index(1e7)] = 1e7;
    d.classes[2].histogram[bin_index(2e9)] = 2e10;
    d.classes[0].request_count = 1.0;
    d.classes[2].request_count = 10.0;
    let last = *d.classes[0].subset.last().unwrap();
    // Latency objective plus twice the service time, less the service time.
    let slack = d.classes[0].settings.latency_objective + 10e6;
    let delay = wait_fraction * 0.3 * d.unobserved_fraction * slack;
    d.workers[last].set_start_delay(now, delay);

    let worker = only_attempt(&send_request(&mut d, now, request(1, 0, 10 * MS, now)));

    d.classes[0]
        .subset
        .iter()
        .position(|index| d.workers[*index].id == worker)
        .unwrap()
}

/// Short requests must not queue behind long ones because a worker appears slightly less busy.
#[test_case(0.5 => 0; "half of the fleet's wait does not justify seven positions")]
#[test_case(0.0 => 7; "an idle worker does")]
fn a_short_request_stays_near_its_interval_if_all_workers_have_queues(wait_fraction: f64) -> usize {
    selected_position(dispatcher_of_large_fleet(), wait_fraction)
}

/// All dispatchers use the same eight workers.
#[test_case(4 => 7; "four dispatchers for each worker")]
#[test_case(12 => 0; "twelve dispatchers for each worker")]
fn requests_stay_in_their_interval_if_many_dispatchers_use_a_worker(dispatchers: u32) -> usize {
    selected_position(dispatcher_of(dispatchers, 0, warm_endpoints(8)), 0.5)
}

#[test_case(0, 10 => true; "a short request stays in its zone")]
#[test_case(2, 1_000 => false; "a long request goes to the worker of its interval")]
fn only_requests_with_enough_slack_go_to_another_zone(class: u8, hint: Nanos) -> bool {
    let mut d = dispatcher_of_large_fleet();
    let now = 100_000 * MS;
    let subset = d.classes[0].subset.clone();
    subset[..7]
        .iter()
        .for_each(|index| d.workers[*index].zone = 2);
    d.zone_delays.observe(1, 2e6);
    d.zone_delays.observe(2, 80e6);
    let actions = send_request(&mut d, now, request(1, class, hint * MS, now));
    let worker = only_attempt(&actions);
    d.workers[d.worker_indices[&worker]].zone == 1
}

#[test]
fn a_start_updates_the_delay_of_its_zone() {
    let mut d = dispatcher_of_large_fleet();
    let index = d.classes[0].subset[0];
    d.classes[0].subset.truncate(1);
    d.workers[index].zone = 2;
    send_request(&mut d, 0, request(1, 0, 10 * MS, 0));
    start_attempt(&mut d, 80 * MS, 1);
    assert_eq!(
        (d.zone_delays.extra_delay(2), d.zone_delays.extra_delay(1)),
        (80e6, 0.0)
    );
}

fn request_without_hint(id: RequestId, class: u8, now: Nanos) -> Request {
    Request {
        hint: None,
        ..request(id, class, 0, now)
    }
}

/// Guards against short requests that queue behind long ones until one of each class has completed.
#[test]
fn classes_without_completed_requests_differ_by_their_latency_objectives() {
    let mut d = dispatcher_of_large_fleet();
    let mut workers = [Vec::new(), Vec::new()];
    for id in 0..60 {
        let class = if id % 3 == 0 { 2 } else { 0 };
        let now = Nanos::from(id) * 10_000 * MS;
        let actions = send_request(&mut d, now, request_without_hint(id, class, now));
        let worker = only_attempt(&actions);
        workers[usize::from(class == 2)].push(worker.addr[3]);
        let end = AttemptEnded {
            request_id: id,
            attempt_index: 0,
            outcome: Outcome::AtCapacity,
            complete: true,
            report: Report::default(),
        };
        handle(&mut d, now + MS, Event::AttemptEnded(end));
    }
    let mean = |workers: &[u8]| {
        workers.iter().map(|worker| f64::from(*worker)).sum::<f64>() / workers.len() as f64
    };
    assert!(mean(&workers[0]) + 60.0 < mean(&workers[1]), "{workers:?}");
}

/// Guards against rejection of all requests of a class whose latency objective is close to the
/// deadline, until the first one has completed.
#[test]
fn a_class_without_completed_requests_leaves_time_for_a_queue() {
    let mut d = dispatcher_of_large_fleet();
    let now = 100_000 * MS;
    start_recent_attempts(&mut d, now, 0.5, 0);
    let request = Request {
        deadline: now + 3_000 * MS,
        ..request_without_hint(1, 2, now)
    };
    let actions = send_request(&mut d, now, request);
    assert!(
        matches!(actions[..], [Action::SendAttempt { .. }]),
        "{actions:?}"
    );
    let active = &d.requests[d.request_keys[&1]];
    assert_eq!(
        (active.demand.service_time, active.slack(now, 1.0)),
        (750e6, 2_250e6)
    );
}

#[test_case(None, None => (500, 300); "no request has a hint")]
#[test_case(Some(40), None => (40, 40); "earlier requests had a hint")]
#[test_case(None, Some(40) => (40, 300); "the request has a hint")]
fn a_request_without_a_hint_is_expected_to_run_as_others_of_its_class(
    before: Option<Nanos>,
    hint: Option<Nanos>,
) -> (u64, u64) {
    let mut d = dispatcher(4);
    let mut complete = |id: RequestId, class: u8, hint: Option<Nanos>, duration: Nanos| {
        let now = Nanos::from(id) * 2_000 * MS;
        let request = Request {
            hint: hint.map(|hint| hint * MS),
            ..request(id, class, 0, now)
        };
        send_request(&mut d, now, request);
        let expected = d.requests[d.request_keys[&id]].demand.service_time / MS as f64;
        start_attempt(&mut d, now, id);
        handle(&mut d, now + duration * MS, succeeded(id));
        expected.round() as u64
    };
    for (id, duration) in [(1, 400), (2, 600)] {
        complete(id, 0, before, duration);
        complete(10 + id, 2, before, 300);
    }
    (complete(20, 0, hint, 1), complete(21, 2, None, 1))
}
