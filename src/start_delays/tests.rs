//! Tests of the start-delay estimate: waiting, late, hung and ended attempts.
use super::*;
use test_case::test_case;

const MS: Nanos = 1_000_000;
const LOW_TRAFFIC_FACTOR: f64 = 1.0;

/// Sends an attempt of `request` at `at` ms, with a slack of 100 ms and no expected wait.
fn send(delays: &mut StartDelays, request: RequestId, at: Nanos) -> AttemptId {
    let id = AttemptId::new(request, 0);
    delays.record_sent(SentAttempt {
        id,
        sent_at: at * MS,
        expected_wait: 0.0,
        slack: 1e8,
        service_time: 1e7,
    });
    id
}

fn send_all(delays: &mut StartDelays, requests: std::ops::Range<RequestId>, at: Nanos) {
    for request in requests {
        send(delays, request, at);
    }
}

#[test]
fn waiting_attempts_raise_the_estimate_before_any_has_started() {
    let mut delays = StartDelays::default();
    send_all(&mut delays, 0..5, 0);
    assert_eq!(
        delays.congestion(0, LOW_TRAFFIC_FACTOR),
        Congestion::default()
    );
    let soon = delays.congestion(50 * MS, LOW_TRAFFIC_FACTOR);
    assert!(
        (0.3..0.4).contains(&soon.delay) && soon.late_fraction == 0.0,
        "{soon:?}"
    );
    let later = delays.congestion(200 * MS, LOW_TRAFFIC_FACTOR);
    assert!(
        later.delay > 0.9 && (0.2..0.3).contains(&later.late_fraction),
        "{later:?}"
    );
}

#[test]
fn attempts_just_sent_do_not_lower_the_estimate() {
    let mut delays = StartDelays::default();
    send_all(&mut delays, 0..5, 0);
    let before = delays.congestion(200 * MS, LOW_TRAFFIC_FACTOR);
    send_all(&mut delays, 5..10, 200);
    assert_eq!(delays.congestion(200 * MS, LOW_TRAFFIC_FACTOR), before);
}

/// A hung worker does not indicate congestion of the whole fleet.
#[test]
fn a_hung_attempt_counts_little_once_later_ones_have_started() {
    let mut delays = StartDelays::default();
    send_all(&mut delays, 0..3, 0);
    for request in 3..18 {
        let id = send(&mut delays, request, 10);
        delays.record_start(id, 11 * MS);
    }
    let estimate = delays.congestion(1_000 * MS, LOW_TRAFFIC_FACTOR);
    assert!(
        estimate.delay < 0.05 && estimate.late_fraction < 0.1,
        "{estimate:?}"
    );
}

/// Some workers at capacity do not indicate congestion of the whole fleet.
#[test]
fn attempts_that_end_before_they_start_are_removed() {
    let mut delays = StartDelays::default();
    let id = send(&mut delays, 1, 0);
    assert!(delays.congestion(200 * MS, LOW_TRAFFIC_FACTOR).delay > 0.0);
    delays.record_end(id);
    assert_eq!(
        delays.congestion(200 * MS, LOW_TRAFFIC_FACTOR),
        Congestion::default()
    );
}

#[test_case(1.0 => true; "high request rate")]
#[test_case(3.0 => false; "low request rate")]
fn starts_lose_their_weight_in_two_seconds(low_traffic_factor: f64) -> bool {
    let mut delays = StartDelays::default();
    for request in 0..40 {
        let id = send(&mut delays, request, 0);
        delays.record_start(id, 100 * MS);
    }
    delays.congestion(2_200 * MS, low_traffic_factor).delay < 0.25
}

#[test]
fn starts_that_are_late_even_at_an_idle_worker_do_not_count_as_late() {
    let mut delays = StartDelays::default();
    let id = AttemptId::new(1, 0);
    delays.record_sent(SentAttempt {
        id,
        sent_at: 0,
        expected_wait: 0.0,
        slack: -1.0,
        service_time: 1e8,
    });
    delays.record_start(id, 10 * MS);
    assert_eq!(
        delays.congestion(10 * MS, LOW_TRAFFIC_FACTOR).late_fraction,
        0.0
    );
}

#[test]
fn only_the_latest_attempts_are_retained_and_each_counts_once() {
    let mut delays = StartDelays::default();
    send_all(&mut delays, 0..1_000, 0);
    assert_eq!(delays.attempts.len(), MAX_RETAINED_ATTEMPTS);
    let id = AttemptId::new(999, 0);
    delays.record_start(id, MS);
    let before = delays.congestion(MS, LOW_TRAFFIC_FACTOR);
    delays.record_end(id);
    assert_eq!(delays.congestion(MS, LOW_TRAFFIC_FACTOR), before);
}
