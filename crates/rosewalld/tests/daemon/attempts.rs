//! Outcomes of attempts, and retries by class.
use crate::start_fleet;
use rosewall_cluster_testbed::stubs::{
    Daemon, Discovery, StubResponse, Worker, configuration, endpoint_json, header_field, listen,
    read_message, request, response_queue, unreachable_address,
};
use std::io::{BufReader, Write};
use std::sync::{Arc, Mutex};
use test_case::test_case;

#[test]
fn a_request_is_answered_with_the_result_of_the_worker() {
    let fleet = start_fleet(&[]);
    let mut client = fleet.daemon.client();
    client.send(
        request(
            "9b1f",
            "charge",
            5.0,
            "Work-Hint: 5000\r\nRequest-Info: slots=1\r\n",
            "some {body}",
        )
        .as_bytes(),
    );
    let answer = client.read_response().unwrap();
    assert_eq!(
        (answer.status, answer.body),
        (200, b"did some {body}".to_vec())
    );
    let seen: Vec<_> = fleet
        .workers
        .iter()
        .flat_map(|worker| worker.received.lock().unwrap().clone())
        .collect();
    let first = "POST /api/do?x=1&y=%20 HTTP/1.1".to_string();
    assert_eq!(seen, [(first, "9b1f".to_string(), b"some {body}".to_vec())]);
}

/// Workers detect repeated requests by the key of the client.
#[test_case("Idempotency-Key: 4366 cf\r\n", Some("4366 cf"); "with a key")]
#[test_case("", None; "without a key")]
fn each_attempt_carries_the_idempotency_key_of_the_client(header: &str, expected: Option<&str>) {
    let heads: Arc<Mutex<Vec<String>>> = Arc::default();
    let recorded_heads = heads.clone();
    let dial = listen(move |mut stream| {
        let (head, _) = read_message(&mut BufReader::new(stream))?;
        recorded_heads.lock().unwrap().push(head);
        stream
            .write_all(b"HTTP/1.1 500 Other\r\nContent-Length: 0\r\n\r\n")
            .ok()
    });
    let discovery = Discovery::start(vec![endpoint_json("a", &dial, "ready")]);
    let daemon = Daemon::start(&configuration(&discovery.address, 1024));
    daemon.wait_until_ready();
    let mut client = daemon.client();
    client.send(request("id", "invoice", 5.0, header, "a body").as_bytes());
    assert_eq!(client.read_response().unwrap().status, 502);
    let heads = heads.lock().unwrap();
    assert!(heads.len() > 1, "the request was not retried");
    assert!(
        heads
            .iter()
            .all(|head| header_field(head, "idempotency-key").as_deref() == expected),
        "{heads:?}"
    );
}

#[test_case(StubResponse::Status(503, true); "503 not started")]
#[test_case(StubResponse::Status(504, true); "504 not started")]
#[test_case(StubResponse::State("returned"); "returned")]
fn a_request_that_did_not_run_is_retried_in_every_class(response: StubResponse) {
    for class in ["thumb", "invoice", "charge"] {
        let fleet = start_fleet(&[response]);
        let answer = fleet.daemon.client().exchange("id", class, 5.0);
        assert_eq!((answer.status, fleet.attempts()), (200, 2), "{class}");
    }
}

/// A non-idempotent request fails after its first attempt.
#[test_case(StubResponse::State("failed"); "failed")]
#[test_case(StubResponse::State("lost"); "lost")]
#[test_case(StubResponse::Status(500, false); "500")]
#[test_case(StubResponse::Status(503, false); "503 that may have started")]
#[test_case(StubResponse::CloseBeforeResponse; "cut before an answer")]
#[test_case(StubResponse::CloseAfterStart; "cut after the start")]
#[test_case(StubResponse::Body("{\"id\":\"other\",\"state\":\"done\",\"result\":\"x\"}\n"); "another id")]
#[test_case(StubResponse::Body("{\"id\":\"ID\",\"state\":\"done\"}\n"); "done without a result")]
#[test_case(StubResponse::Body("{\"id\":\"ID\",\n"); "malformed json")]
#[test_case(StubResponse::Body("{\"id\":\"ID\",\"state\":\"running\",\"share\":0.4}\n"); "an end without a last line")]
#[test_case(StubResponse::OversizedLine; "an oversized line")]
fn a_request_that_may_have_run_is_retried_only_if_it_is_idempotent(response: StubResponse) {
    for (class, expected) in [
        ("thumb", (200, 2)),
        ("invoice", (200, 2)),
        ("charge", (502, 1)),
    ] {
        let fleet = start_fleet(&[response]);
        let answer = fleet.daemon.client().exchange("id", class, 5.0);
        assert_eq!((answer.status, fleet.attempts()), expected, "{class}");
    }
}

/// An invalid request is not retried, since no other worker would accept it.
#[test_case("thumb"; "idempotent")]
#[test_case("charge"; "non-idempotent")]
fn an_invalid_request_fails_and_its_id_is_not_accepted_again(class: &str) {
    let fleet = start_fleet(&[StubResponse::Status(400, false)]);
    let mut client = fleet.daemon.client();
    let statuses = [(); 3].map(|()| client.exchange("id", class, 5.0).status);
    assert_eq!((statuses, fleet.attempts()), ([502, 409, 409], 1));
    assert_eq!(
        (
            fleet.daemon.counter("attempts_invalid_request"),
            fleet.daemon.counter("requests_duplicate")
        ),
        (1, 2)
    );
}

#[test]
fn the_id_of_an_active_request_is_not_accepted_again() {
    let fleet = start_fleet(&[StubResponse::DoneAfterMs(300)]);
    let mut client = fleet.daemon.client();
    client.send(request("id", "charge", 5.0, "", "first").as_bytes());
    fleet.daemon.wait_for_counter("attempts_started", 1);
    assert_eq!(
        fleet.daemon.client().exchange("id", "thumb", 5.0).status,
        409
    );
    assert_eq!(
        (client.read_response().unwrap().body, fleet.attempts()),
        (b"did first".to_vec(), 1)
    );
}

/// A request that may have run is rejected only if it is idempotent.
#[test_case("thumb", 503; "an idempotent request is rejected")]
#[test_case("invoice", 502; "a request with a key fails")]
#[test_case("charge", 502; "a non-idempotent request fails")]
fn an_attempt_at_a_silent_worker_ends_at_the_deadline(class: &str, status: u16) {
    let fleet = start_fleet(&[StubResponse::NoResponse]);
    let answer = fleet.daemon.client().exchange("id", class, 0.4);
    assert_eq!((answer.status, fleet.attempts()), (status, 1));
    assert_eq!(answer.head.contains("Retry-After: 0.500"), status == 503);
    assert_eq!(fleet.daemon.counter("attempts_timed_out"), 1);
    // The connection to the silent worker has been closed by now.
    assert_eq!(
        fleet.daemon.client().exchange("next", class, 5.0).status,
        200
    );
}

/// A non-idempotent request may be rejected only if it did not run.
#[test_case("thumb", false; "idempotent, connection refused")]
#[test_case("charge", false; "non-idempotent, connection refused")]
#[test_case("charge", true; "non-idempotent, connection never established")]
fn a_request_without_a_connection_did_not_run_and_is_rejected(class: &str, host_unreachable: bool) {
    let (_listener, full) = unreachable_address();
    let dial = if host_unreachable {
        full.0.as_str()
    } else {
        "127.0.0.1:1"
    };
    let discovery = Discovery::start(vec![endpoint_json("dead", dial, "ready")]);
    let daemon = Daemon::start(&configuration(&discovery.address, 1024));
    daemon.wait_until_ready();
    assert_eq!(daemon.client().exchange("id", class, 5.0).status, 503);
    assert_eq!(daemon.counter("attempts_connect_failed"), 3);
}

#[test]
fn an_attempt_continues_after_its_client_disconnects() {
    let fleet = start_fleet(&[StubResponse::DoneAfterMs(400)]);
    let mut client = fleet.daemon.client();
    client.send(request("id", "charge", 5.0, "", "").as_bytes());
    fleet.daemon.wait_for_counter("attempts_started", 1);
    drop(client);
    fleet.daemon.wait_for_counter("clients_disconnected", 1);
    fleet.daemon.wait_for_counter("succeeded_late", 1);
    assert_eq!(fleet.attempts(), 1);
}

#[test]
fn a_pending_request_of_a_disconnected_client_is_not_sent() {
    let worker = Worker::start(&response_queue(&[]));
    let discovery = Discovery::start(vec![endpoint_json("a", &worker.address, "draining")]);
    let daemon = Daemon::start(&configuration(&discovery.address, 1024));
    daemon.wait_until_ready();
    discovery.wait_for_versioned_watch();
    let mut client = daemon.client();
    client.send(request("pending", "charge", 5.0, "", "").as_bytes());
    daemon.wait_for_counter("requests", 1);
    drop(client);
    daemon.wait_for_counter("clients_disconnected", 1);
    discovery.publish_changes(vec![endpoint_json("a", &worker.address, "ready")]);
    assert_eq!(daemon.client().exchange("next", "thumb", 5.0).status, 200);
    std::thread::sleep(std::time::Duration::from_millis(60));
    assert_eq!(daemon.client().exchange("last", "thumb", 5.0).status, 200);
    assert_eq!(
        (
            worker.request_count(),
            daemon.counter("invariant_violations")
        ),
        (2, 0)
    );
}
