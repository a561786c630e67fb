//! Graceful shutdown at SIGTERM.
use crate::{Fleet, start_fleet};
use rosewall_cluster_testbed::stubs::{StubResponse, counter_in, request};
use std::time::{Duration, Instant};

const ATTEMPTS_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until the workers have received this many requests. Each has then taken its response from the shared queue, so
/// that a later request cannot take it.
fn wait_for_attempts(fleet: &Fleet, count: usize) {
    let deadline = Instant::now() + ATTEMPTS_TIMEOUT;
    while fleet.attempts() < count {
        assert!(
            Instant::now() < deadline,
            "the workers have received {} of {count} requests",
            fleet.attempts()
        );
        std::thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn shutdown_answers_active_requests_and_closes_the_listener() {
    let mut fleet = start_fleet(&[
        StubResponse::DoneAfterMs(300),
        StubResponse::NoResponse,
        StubResponse::NoResponse,
    ]);
    let (mut soon, mut never, mut idle) = (
        fleet.daemon.client(),
        fleet.daemon.client(),
        fleet.daemon.client(),
    );
    assert_eq!(idle.get("/healthz"), 200);
    soon.send(request("soon", "charge", 60.0, "", "x").as_bytes());
    fleet.daemon.wait_for_counter("attempts", 1);
    wait_for_attempts(&fleet, 1);
    never.send(request("never", "charge", 60.0, "", "x").as_bytes());
    fleet.daemon.wait_for_counter("attempts", 2);
    wait_for_attempts(&fleet, 2);
    // An attempt that times out is retried, but not at the end of the shutdown.
    let mut again = fleet.daemon.client();
    again.send(request("again", "thumb", 60.0, "", "x").as_bytes());
    fleet.daemon.wait_for_counter("attempts", 3);
    wait_for_attempts(&fleet, 3);
    fleet.daemon.signal("TERM");
    let answer_of_soon = soon.read_response().unwrap();
    assert_eq!(
        (
            answer_of_soon.status,
            answer_of_soon.head.contains("Connection: close")
        ),
        (200, true)
    );
    let answer_of_never = never.read_response().unwrap();
    assert_eq!(
        (
            answer_of_never.status,
            answer_of_never.head.contains("Connection: close")
        ),
        (502, true)
    );
    assert_eq!(
        (again.read_response().unwrap().status, fleet.attempts()),
        (503, 3)
    );
    assert!(idle.is_closed());
    let (code, counters) = fleet.daemon.wait_for_exit_and_counters();
    let count = |name| counter_in(&counters, name);
    assert_eq!(
        (
            code,
            count("succeeded"),
            count("failed"),
            count("invariant_violations")
        ),
        (Some(0), 1, 1, 0)
    );
    assert_eq!(count("clients_idle_closed"), 1);
    assert!(std::net::TcpStream::connect(&fleet.daemon.address).is_err());
}

#[test]
fn connections_during_shutdown_are_served_and_closed() {
    let mut fleet = start_fleet(&[StubResponse::NoResponse]);
    let mut active = fleet.daemon.client();
    active.send(request("active", "charge", 60.0, "", "x").as_bytes());
    fleet.daemon.wait_for_counter("attempts", 1);
    fleet.daemon.signal("TERM");
    // The signal is handled after a delay; a client that connects before then is served as usual.
    let status = (0..200)
        .map(|_| fleet.daemon.client().get("/healthz"))
        .find(|status| *status != 200);
    assert_eq!(status, Some(503));
    let answer = fleet.daemon.client().exchange("late", "thumb", 5.0);
    assert_eq!(
        (answer.status, answer.head.contains("Connection: close")),
        (200, true)
    );
    assert_eq!(active.read_response().unwrap().status, 502);
    assert_eq!(fleet.daemon.wait_for_exit_and_counters().0, Some(0));
}
