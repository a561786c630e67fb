//! Reuse of connections to clients and workers.
use crate::start_fleet;
use rosewall_cluster_testbed::stubs::{
    Daemon, Discovery, StubResponse, Worker, configuration, endpoint_json, request, response_queue,
};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// A close by the worker becomes visible at the socket of the daemon only after a delay.
const CLOSE_VISIBLE_AFTER: Duration = Duration::from_millis(100);

#[test]
fn connections_are_reused_on_both_sides() {
    let fleet = start_fleet(&[]);
    let mut client = fleet.daemon.client();
    for at in 0..20 {
        assert_eq!(
            client.exchange(&format!("id{at}"), "thumb", 5.0).status,
            200
        );
    }
    let opened: u32 = fleet
        .workers
        .iter()
        .map(|worker| worker.accepted_connections.load(Ordering::SeqCst))
        .sum();
    assert!(
        opened <= 2,
        "{opened} connections for one request at a time"
    );
    assert_eq!(fleet.attempts(), 20);
}

#[test]
fn a_connection_that_the_worker_has_closed_is_not_reused() {
    let worker = Worker::start(&response_queue(&[StubResponse::DoneThenClose]));
    let discovery = Discovery::start(vec![endpoint_json("a", &worker.address, "ready")]);
    let daemon = Daemon::start(&configuration(&discovery.address, 1024));
    daemon.wait_until_ready();
    assert_eq!(daemon.client().exchange("one", "charge", 5.0).status, 200);
    while worker.closed_connections.load(Ordering::SeqCst) == 0 {
        std::thread::yield_now();
    }
    std::thread::sleep(CLOSE_VISIBLE_AFTER);
    assert_eq!(daemon.client().exchange("two", "charge", 5.0).status, 200);
    assert_eq!(daemon.counter("pool_stale"), 1);
    assert_eq!(worker.accepted_connections.load(Ordering::SeqCst), 2);
}

/// Some workers drop idle connections without notice. A request whose last byte has not been written did not run, and is
/// sent again.
#[test]
fn a_connection_that_breaks_before_the_last_byte_fails_no_request() {
    let worker = Worker::start(&response_queue(&[StubResponse::DoneThenCloseOnReuse; 6]));
    let discovery = Discovery::start(vec![endpoint_json("a", &worker.address, "ready")]);
    let daemon = Daemon::start(&configuration(&discovery.address, 1024));
    daemon.wait_until_ready();
    let mut client = daemon.client();
    let statuses = [0, 1, 2, 3].map(|at| client.exchange(&format!("id{at}"), "charge", 5.0).status);
    assert_eq!((statuses, worker.request_count()), ([200; 4], 4));
    assert!(daemon.counter("pool_broken") > 0);
    assert_eq!(
        (
            daemon.counter("attempts"),
            daemon.counter("attempts_connect_failed")
        ),
        (4, 0)
    );
}

#[test]
fn a_connection_to_a_restarted_worker_is_not_reused() {
    let fleet = start_fleet(&[]);
    fleet.discovery.wait_for_versioned_watch();
    fleet
        .discovery
        .publish_changes(vec![endpoint_json("a", &fleet.workers[0].address, "gone")]);
    assert_eq!(
        fleet.daemon.client().exchange("one", "thumb", 5.0).status,
        200
    );
    let mut restarted = endpoint_json("b", &fleet.workers[1].address, "ready");
    restarted["born_ms"] = 1.into();
    fleet.discovery.publish_changes(vec![restarted]);
    assert_eq!(
        fleet.daemon.client().exchange("two", "thumb", 5.0).status,
        200
    );
    assert_eq!(
        fleet.workers[1].accepted_connections.load(Ordering::SeqCst),
        2
    );
}

#[test]
fn continue_is_sent_and_pipelined_requests_are_answered_in_order() {
    let fleet = start_fleet(&[]);
    let mut client = fleet.daemon.client();
    let both = request("one", "thumb", 5.0, "Expect: 100-continue\r\n", "first");
    let (head, body) = both.split_at(both.len() - 5);
    client.send(head.as_bytes());
    assert_eq!(client.read_response().unwrap().status, 100);
    client.send(body.as_bytes());
    client.send(request("two", "thumb", 5.0, "", "second").as_bytes());
    let answers = [
        client.read_response().unwrap().body,
        client.read_response().unwrap().body,
    ];
    assert_eq!(answers, [b"did first".to_vec(), b"did second".to_vec()]);
}

/// Guards against requests that wait in the buffer and are given their full time again when they are taken from it: the
/// time of each counts from its last byte.
#[test]
fn requests_that_are_sent_at_once_are_answered_by_their_deadlines() {
    const REQUESTS: usize = 8;
    const DEADLINE: Duration = Duration::from_secs(1);
    let fleet = start_fleet(&[StubResponse::DoneAfterMs(400); REQUESTS]);
    let mut client = fleet.daemon.client();
    let texts: Vec<String> = (0..REQUESTS)
        .map(|at| request(&format!("id{at}"), "thumb", DEADLINE.as_secs_f64(), "", "x"))
        .collect();
    let sent_at = Instant::now();
    client.send(texts.concat().as_bytes());
    let statuses: Vec<u16> = (0..REQUESTS)
        .map(|_| client.read_response().unwrap().status)
        .collect();
    let answered_after = sent_at.elapsed();
    // Half a second later an answer counts as lost.
    assert!(
        answered_after < DEADLINE + Duration::from_millis(500),
        "the last of {statuses:?} came after {answered_after:?}"
    );
    assert_eq!(statuses[0], 200);
}
