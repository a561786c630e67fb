//! Tests of slow start: scheduled allowances of warming workers, and work that counts against them.
use super::Dispatcher;
use crate::pcg::Pcg;
use crate::policy::test_support::{
    MS, attempt_ended, dispatcher, dispatcher_of, endpoint, exchanging_dispatcher_of_rank, handle,
    list_endpoints, request, send_request, settings, start_recent_attempts, succeeded,
    warm_endpoints,
};
use crate::settings::Idempotency::Idempotent;
use crate::state::RequestState::InFlight;
use crate::state::{ActiveRequest, Attempt, RequestDemand, RunningMean, SentWork};
use crate::time::SECOND;
use crate::types::{Action, Endpoint, EndpointState, Event, ListScope, Nanos, Outcome, Request};
use test_case::test_case;

mod grants;

fn sent_work(at_ms: Nanos, work: f64) -> SentWork {
    SentWork {
        at: at_ms * MS,
        work,
    }
}

#[test_case(0, 0, 2_000 => 20; "a warm worker gets all")]
#[test_case(100, 0, 2_000 => 1; "a warming worker gets this dispatcher's allowance")]
#[test_case(100, 3, 2_000 => 0; "none while others are scheduled")]
#[test_case(100, 0, 1_000 => 0; "none in the pause at the start of a step")]
#[test_case(100, 3, 7_000 => 1; "more dispatchers are scheduled as it warms up")]
fn attempts_sent_to_a_warming_worker(started: Nanos, rank: u32, at: Nanos) -> usize {
    let mut d = dispatcher_of(12, rank, Vec::new());
    d.classes[0].settings.latency_objective = 90.0 * SECOND;
    let endpoints = vec![endpoint(0, EndpointState::Ready, started * MS)];
    list_endpoints(&mut d, started * MS, ListScope::Delta, endpoints);
    let new_request = |n| Request {
        deadline: 99_000 * MS,
        ..request(n, 0, 300 * MS, at * MS)
    };
    let actions = (0..20).map(|n| send_request(&mut d, at * MS, new_request(n)));
    actions
        .flatten()
        .filter(|action| matches!(action, Action::SendAttempt { .. }))
        .count()
}

/// The previous process of the dispatcher may have used the first window. A warming worker is less busy
/// than the rest of the fleet.
#[test_case(2_000, 0.0 => false; "the first window may have been used already")]
#[test_case(3_100, 0.0 => true; "the next window is unused")]
#[test_case(3_100, 1.5 => true; "also while the fleet is congested")]
fn a_warming_worker_is_used_after_the_first_window_of_a_process(
    at: Nanos,
    start_delay: f64,
) -> bool {
    let mut d = Dispatcher::start(0, 7, &settings()).unwrap();
    let endpoints = vec![endpoint(0, EndpointState::Ready, 100 * MS)];
    list_endpoints(&mut d, 2_000 * MS, ListScope::Cached, endpoints);
    start_recent_attempts(&mut d, at * MS, start_delay, 32);
    !send_request(&mut d, at * MS, request(1, 0, 20 * MS, at * MS)).is_empty()
        && d.requests
            .iter()
            .any(|(_, active)| active.attempts_sent == 1)
}

/// Work sent to a warming worker, in seconds.
struct WorkSent {
    worker: u8,
    at: Nanos,
    work: f64,
}

/// Returns the work that one dispatcher sends in the 4 s after `started`, when it receives the endpoint
/// list. All attempts succeed at once.
fn work_sent_by(
    mut dispatcher: Dispatcher,
    rank: u32,
    started: Nanos,
    endpoints: &[Endpoint],
) -> Vec<WorkSent> {
    let mut rng = Pcg::new(u64::from(rank));
    let mut hint = || (20.0 + rng.unit() * 140.0) as Nanos * MS;
    (0..60).for_each(|_| dispatcher.classes[0].record_request(hint() as f64));
    let list = Event::EndpointList {
        scope: ListScope::Snapshot,
        endpoints: endpoints.to_vec(),
    };
    handle(&mut dispatcher, started, list);
    let mut sent = Vec::new();
    for n in 100..120 {
        let now = started + u64::from(n - 100) * 200 * MS + u64::from(rank) * MS;
        let hint = hint();
        let arrival = Event::RequestArrived(request(n, 0, hint, now));
        for action in handle(&mut dispatcher, now, arrival) {
            let Action::SendAttempt {
                worker, request_id, ..
            } = action
            else {
                continue;
            };
            sent.push(WorkSent {
                worker: worker.addr[3],
                at: now,
                work: hint as f64 / SECOND,
            });
            let end = attempt_ended(request_id, 0, Outcome::Succeeded);
            handle(&mut dispatcher, now, end);
        }
    }
    sent
}

/// Guards against idle or overloaded workers when much of a fleet is replaced at once.
#[test_case(100, 60, 36, 0.25; "most of many workers")]
#[test_case(4, 10, 2, 0.05; "few workers and dispatchers")]
fn all_dispatchers_together_use_but_do_not_overload_warming_workers(
    dispatchers: u32,
    workers: u8,
    replaced: u8,
    min_fraction: f64,
) {
    let started = 50_000 * MS;
    let endpoints: Vec<Endpoint> = (0..workers)
        .map(|n| {
            let started = if n < replaced { started } else { 0 };
            endpoint(n, EndpointState::Ready, started)
        })
        .collect();
    let sent: Vec<WorkSent> = (0..dispatchers)
        .flat_map(|rank| {
            let dispatcher = dispatcher_of(dispatchers, rank, warm_endpoints(workers));
            work_sent_by(dispatcher, rank, started, &endpoints)
        })
        .collect();
    let work_in_second = |worker: u8, from: Nanos| {
        sent.iter()
            .filter(|sent| sent.worker == worker && (from..from + 1_000 * MS).contains(&sent.at))
            .map(|sent| sent.work)
            .sum::<f64>()
    };
    let total: f64 = (0..replaced)
        .flat_map(|worker| (0..4).map(move |second| (worker, second)))
        .map(|(worker, second)| work_in_second(worker, started + second * 1_000 * MS))
        .sum();
    // Lower bound of their capacity: two slots at a fifth of full speed.
    let capacity = 2.0 * 0.2 * 4.0 * f64::from(replaced);
    assert!(
        total > min_fraction * capacity,
        "warming workers got {total} s of {capacity} s of work"
    );
    for worker in 0..replaced {
        for from in (0..30).map(|step| started + step * 100 * MS) {
            let slow_start_factor = 0.2 + 0.8 * (from - started) as f64 / 10e9;
            assert!(
                work_in_second(worker, from) < 3.0 * 2.0 * slow_start_factor,
                "warming worker {worker} overloaded"
            );
        }
    }
}

#[test]
fn the_scheduled_allowances_of_all_dispatchers_keep_the_budget() {
    for now in (0..60_u64).map(|step| step * 500 * MS) {
        let mut users: Vec<Dispatcher> = (0..130)
            .map(|rank| exchanging_dispatcher_of_rank(rank, 130, 34))
            .collect();
        users.retain(|d| d.classes[0].subset.contains(&9));
        let allowance = |d: &mut Dispatcher| {
            d.workers[9].started_at = 1;
            d.update_fleet_estimates(now);
            d.remaining_warm_up_allowance(&d.workers[9], now).max(0.0)
        };
        let sum = users.iter_mut().map(allowance).sum::<f64>();
        let slow_start_factor = 0.2 + 0.8 * now as f64 / 10e9;
        assert!(
            slow_start_factor >= 1.0 || sum <= 3.0 * 2.0 * slow_start_factor * SECOND,
            "{sum} at {now}"
        );
    }
}

#[test]
fn a_warming_worker_affects_its_own_factor_little_and_that_of_its_type_not_at_all() {
    let mut d = dispatcher(1);
    d.workers[0].started_at = 1;
    let attempt = Attempt {
        started_at: Some(MS),
        in_flight: true,
        ..Attempt::default()
    };
    let demand = RequestDemand {
        work: 1e8,
        service_time: 1e8,
        slots_required: 1.0,
    };
    let mut active = ActiveRequest::new(request(1, 0, 100 * MS, 0), Idempotent, demand, 500 * MS);
    active.state = InFlight;
    active.push_attempt(attempt);
    let key = d.requests.insert(active);
    d.request_keys.insert(1, key);
    handle(&mut d, 400 * MS, attempt_ended(1, 0, Outcome::Succeeded));
    assert!(
        (1.1..1.4).contains(&d.workers[0].service_time_factor) && d.worker_type_factors.is_empty(),
        "{}",
        d.workers[0].service_time_factor
    );
}

#[test_case(500, None => 1; "sent after the start")]
#[test_case(500, Some(600) => 1; "sent after the start, and completed since")]
#[test_case(50, None => 0; "sent to the previous process")]
#[test_case(50, Some(60) => 0; "sent to the previous process, and completed since")]
fn work_sent_before_a_start_was_known_counts(sent_at: Nanos, completed: Option<Nanos>) -> usize {
    let mut d = dispatcher(1);
    send_request(&mut d, sent_at * MS, request(1, 2, 100 * MS, sent_at * MS));
    if let Some(at) = completed {
        handle(&mut d, at * MS, succeeded(1));
    }
    let endpoints = vec![endpoint(0, EndpointState::Ready, 100 * MS)];
    list_endpoints(&mut d, 900 * MS, ListScope::Delta, endpoints);
    d.workers[0]
        .recent_work
        .iter()
        .filter(|sent| **sent == sent_work(sent_at, 1e8))
        .count()
}

/// Work sent before the second process was known may have reached it.
#[test]
fn work_sent_since_a_second_restart_counts() {
    let mut d = dispatcher(1);
    d.workers[0].started_at = 90 * MS;
    d.workers[0].recent_work = [sent_work(95, 1e8), sent_work(500, 2e8)].into();
    let endpoints = vec![endpoint(0, EndpointState::Ready, 100 * MS)];
    list_endpoints(&mut d, 900 * MS, ListScope::Delta, endpoints);
    assert_eq!(d.workers[0].recent_work, [sent_work(500, 2e8)]);
}

/// The factor of the type, which unused workers have, must not leave warming workers idle.
#[test]
fn capacity_follows_the_service_time_factor_of_own_requests_only() {
    let mut d = dispatcher(2);
    d.workers
        .iter_mut()
        .for_each(|worker| worker.service_time_factor = 3.0);
    d.update_fleet_estimates(MS);
    let without_own_samples = d.capacity_per_size;
    d.workers
        .iter_mut()
        .for_each(|worker| worker.factor_samples = 1.0);
    d.update_fleet_estimates(MS);
    assert_eq!((without_own_samples, d.capacity_per_size * 3.0), (1.0, 1.0));
}

#[test_case(Some(100 * MS) => 3; "of a known size")]
#[test_case(None => 1; "of unknown size")]
fn requests_without_a_hint_count_twice_at_a_warming_worker(hint: Option<Nanos>) -> usize {
    let mut d = dispatcher_of(12, 0, Vec::new());
    d.classes[0].settings.latency_objective = 90.0 * SECOND;
    d.classes[0].service_times = RunningMean {
        mean: 1e8,
        samples: 1.0,
    };
    let endpoints = vec![endpoint(0, EndpointState::Ready, 100 * MS)];
    list_endpoints(&mut d, 100 * MS, ListScope::Delta, endpoints);
    let new_request = |n| Request {
        hint,
        deadline: 99_000 * MS,
        ..request(n, 0, 0, 2_000 * MS)
    };
    let actions = (0..20).map(|n| send_request(&mut d, 2_000 * MS, new_request(n)));
    actions
        .flatten()
        .filter(|action| matches!(action, Action::SendAttempt { .. }))
        .count()
}
