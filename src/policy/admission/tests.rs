//! Tests of admission: rejection by slack usage, priority weight and late starts.
use super::{Dispatcher, Selection};
use crate::policy::test_support::{
    MS, attempt_ended, dispatcher, dispatcher_of, handle, overdue_request, request, send_request,
    settings, start_attempt, start_recent_attempts, warm_endpoints,
};
use crate::time::SECOND;
use crate::types::{Action, Nanos, Outcome, Request, RequestId};
use test_case::test_case;

/// Returns a selection with the given wait and slack usage.
fn selection_with(wait: f64, slack_usage: f64) -> Selection {
    Selection {
        worker: 0,
        wait,
        slack_usage,
    }
}

#[test_case(0.5, 2 => true; "enough slack")]
#[test_case(2.1, 2 => false; "would be late")]
#[test_case(1.99, 0 => false; "low weight is rejected first")]
fn rejects_requests_by_slack_usage_and_weight(slack_usage: f64, class: u8) -> bool {
    let mut d = dispatcher(1);
    let key = d.requests.insert(overdue_request(request(1, class, MS, 0)));
    d.admit(0, key, selection_with(0.0, slack_usage))
}

/// At low request rates, late starts must keep their weight until the next start, or congestion would
/// persist.
#[test_case(1.0 => true; "high request rate")]
#[test_case(5.0 => false; "low request rate")]
fn late_starts_lose_their_weight_in_two_seconds(low_traffic_factor: f64) -> bool {
    let mut d = dispatcher(1);
    d.low_traffic_factor = low_traffic_factor;
    start_recent_attempts(&mut d, 10_000 * MS, 0.0, 32);
    let key = d.requests.insert(overdue_request(request(1, 2, MS, 0)));
    (0..20).all(|_| d.admit(13_000 * MS, key, selection_with(0.0, 0.6)))
}

/// Queues that are acceptable to one class must not prevent classes of more weight from meeting their
/// objectives.
#[test_case(0, 0.0 => true; "the highest weight is admitted")]
#[test_case(0, 0.9 => false; "the highest weight is rejected")]
#[test_case(2, 0.9 => true; "itself of the highest weight")]
fn a_wait_counts_by_its_cost_to_classes_of_more_weight(class: u8, rejected_fraction: f64) -> bool {
    let mut d = dispatcher(1);
    (0..5).for_each(|_| d.classes[2].record_request(100e6));
    d.rejected_fraction = rejected_fraction;
    let key = d.requests.insert(overdue_request(request(1, class, MS, 0)));
    // A wait of 1 s: 0.5 of the request's own slack, 2.5 times the slack of the other class.
    d.admit(0, key, selection_with(SECOND, 0.5))
}

/// A burst fills all queues before the first start shows it. None of these requests starts.
#[test_case(250 => true; "four a second")]
#[test_case(500 => true; "two a second")]
fn rejects_part_of_a_burst_before_any_request_has_started(gap: Nanos) -> bool {
    let mut d = dispatcher_of(300, 0, warm_endpoints(200));
    let sent = |id: &RequestId| {
        let now = (10_000 + Nanos::from(*id) * gap) * MS;
        let actions = send_request(&mut d, now, request(*id, 2, 100 * MS, now));
        matches!(actions[..], [Action::SendAttempt { .. }])
    };
    let sent = (0..16).filter(sent).count();
    (2..=5).contains(&sent)
}

/// Returns a dispatcher that has received one request of a class with an objective of 0.3 s and one
/// of a class with an objective of 3 s.
fn dispatcher_with_short_and_long_class(basis: &str, short_weight: f64) -> Dispatcher {
    let mut map = settings();
    let value = short_weight.to_string();
    for (name, value) in [
        ("class.2.latency_objective", "3e9"),
        ("class.0.priority_weight", value.as_str()),
        ("priority_weight.basis", basis),
    ] {
        map.insert(name.into(), value.into());
    }
    let mut d = Dispatcher::start(0, 7, &map).unwrap();
    d.classes[0].record_request(1e8);
    d.classes[2].record_request(1e9);
    d
}

/// Returns the number of admitted requests out of 100 of a class with an expected wait of 0.8 s, while
/// all requests of the highest weight are rejected.
fn admitted_of_100(mut d: Dispatcher, class: u8) -> usize {
    let slack = if class == 2 { 4e9 } else { 4e8 };
    let active = overdue_request(request(1, class, MS, 0));
    let key = d.requests.insert(active);
    let is_admitted = |_: &usize| {
        d.rejected_fraction = 1.0;
        d.admit(0, key, selection_with(0.8e9, 0.8e9 / slack))
    };
    (0..100).filter(is_admitted).count()
}

/// The class with the most slack must not be the only one served during a burst.
#[test_case(8.0 => true; "of similar weight")]
#[test_case(0.1 => false; "of low weight")]
fn rejects_a_class_with_more_slack_in_favour_of_one_of_similar_weight(short_weight: f64) -> bool {
    admitted_of_100(
        dispatcher_with_short_and_long_class("work", short_weight),
        2,
    ) < 60
}

#[test_case("work", 1.0 => 9.0; "each unit of work counts the same")]
#[test_case("request", 1.0 => 0.9; "ten times the work for one request")]
fn weights_follow_the_basis_of_the_settings(basis: &str, short_weight: f64) -> f64 {
    let d = dispatcher_with_short_and_long_class(basis, short_weight);
    let ratio = d.classes[2].weight_per_work(d.settings.weight_basis)
        / d.classes[0].weight_per_work(d.settings.weight_basis);
    (ratio * 1e6).round() / 1e6
}

#[test_case(0 => true; "no late starts")]
#[test_case(9 => false; "recent starts were late")]
fn a_slow_worker_counts_for_admission_only_where_starts_are_late(late: u32) -> bool {
    let now = 10_000 * MS;
    let mut d = dispatcher(1);
    let worker = &mut d.workers[0];
    // The service-time factor reduces the slack from 600 ms to 100 ms; the wait is 200 ms.
    (
        worker.service_time_factor,
        worker.factor_samples,
        worker.start_delay,
        worker.start_delay_at,
    ) = (2.6, 9.0, 200.0 * 1e6, now);
    d.unobserved_fraction = 0.0;
    start_recent_attempts(&mut d, now, 0.0, late);
    let actions = send_request(&mut d, now, request(1, 0, 300 * MS, now));
    matches!(actions[..], [Action::SendAttempt { .. }])
}

#[test]
fn starts_delayed_by_a_slow_worker_do_not_count_as_overload() {
    let mut d = dispatcher(1);
    d.workers[0].service_time_factor = 4.0;
    for id in 1..=20 {
        let now = u64::from(id) * 1_000 * MS;
        let actions = send_request(&mut d, now, request(id, 0, 300 * MS, now));
        assert!(
            matches!(actions[..], [Action::SendAttempt { .. }]),
            "{actions:?}"
        );
        start_attempt(&mut d, now + MS, id);
        handle(
            &mut d,
            now + 900 * MS,
            attempt_ended(id, 0, Outcome::Succeeded),
        );
    }
    assert_eq!(
        d.start_delays.congestion(21_000 * MS, 1.0).late_fraction,
        0.0
    );
}

/// Requests with little slack must not be rejected for waits that only requests with much slack have.
#[test_case(10_000, 5_000 => true; "half of a large slack")]
#[test_case(100, 5_000 => false; "many times a small slack")]
fn delays_count_relative_to_the_slack(hint: Nanos, wait: Nanos) -> bool {
    let mut d = dispatcher(1);
    send_request(
        &mut d,
        MS,
        Request {
            deadline: 60_000 * MS,
            ..request(1, 0, hint * MS, 0)
        },
    );
    start_attempt(&mut d, wait * MS, 1);
    d.start_delays.congestion(wait * MS, 1.0).delay < 0.2
}
