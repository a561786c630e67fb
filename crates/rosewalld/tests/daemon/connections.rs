//! Reuse of connections to clients and workers.
use crate::start_fleet;
use rosewall_cluster_testbed::stubs::{
    Act, Daemon, Discovery, Worker, configuration, host, request, script,
};
use std::sync::atomic::Ordering;

#[test]
fn connections_are_reused_on_both_sides() {
    let fleet = start_fleet(&[]);
    let mut client = fleet.daemon.client();
    for at in 0..20 {
        assert_eq!(client.ask(&format!("id{at}"), "thumb", 5.0).status, 200);
    }
    let opened: u32 = fleet
        .workers
        .iter()
        .map(|worker| worker.connections.load(Ordering::SeqCst))
        .sum();
    assert!(
        opened <= 2,
        "{opened} connections for one request at a time"
    );
    assert_eq!(fleet.attempts(), 20);
}

#[test]
fn a_connection_that_the_worker_has_closed_is_not_reused() {
    let worker = Worker::start(&script(&[Act::DoneClose]));
    let discovery = Discovery::start(vec![host("a", &worker.dial, "ready")]);
    let daemon = Daemon::start(&configuration(&discovery.address, 1024));
    daemon.until_ready();
    assert_eq!(daemon.client().ask("one", "charge", 5.0).status, 200);
    while worker.ended.load(Ordering::SeqCst) == 0 {
        std::thread::yield_now();
    }
    assert_eq!(daemon.client().ask("two", "charge", 5.0).status, 200);
    assert_eq!(daemon.counter("pool_stale"), 1);
}

/// Some workers drop idle connections without notice. A request whose last byte has not been written did not run, and is
/// sent again.
#[test]
fn a_connection_that_breaks_before_the_last_byte_fails_no_request() {
    let worker = Worker::start(&script(&[Act::DoneStale; 6]));
    let discovery = Discovery::start(vec![host("a", &worker.dial, "ready")]);
    let daemon = Daemon::start(&configuration(&discovery.address, 1024));
    daemon.until_ready();
    let mut client = daemon.client();
    let statuses = [0, 1, 2, 3].map(|at| client.ask(&format!("id{at}"), "charge", 5.0).status);
    assert_eq!((statuses, worker.count()), ([200; 4], 4));
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
    fleet.discovery.until_watched();
    fleet
        .discovery
        .tell(vec![host("a", &fleet.workers[0].dial, "gone")]);
    assert_eq!(fleet.daemon.client().ask("one", "thumb", 5.0).status, 200);
    let mut restarted = host("b", &fleet.workers[1].dial, "ready");
    restarted["born_ms"] = 1.into();
    fleet.discovery.tell(vec![restarted]);
    assert_eq!(fleet.daemon.client().ask("two", "thumb", 5.0).status, 200);
    assert_eq!(fleet.workers[1].connections.load(Ordering::SeqCst), 2);
}

#[test]
fn continue_is_sent_and_pipelined_requests_are_answered_in_order() {
    let fleet = start_fleet(&[]);
    let mut client = fleet.daemon.client();
    let both = request("one", "thumb", 5.0, "Expect: 100-continue\r\n", "first");
    let (head, body) = both.split_at(both.len() - 5);
    client.send(head.as_bytes());
    assert_eq!(client.answer().unwrap().status, 100);
    client.send(body.as_bytes());
    client.send(request("two", "thumb", 5.0, "", "second").as_bytes());
    let answers = [client.answer().unwrap().body, client.answer().unwrap().body];
    assert_eq!(answers, [b"did first".to_vec(), b"did second".to_vec()]);
}
