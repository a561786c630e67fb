//! The program as it is started, spoken to over sockets.
mod mixed;

use rosewall_cluster_testbed::stand::{
    Act, Client, Daemon, Discovery, Worker, configuration, counter_in, field, host, listen,
    message, request, script, vanished_machine,
};
use std::io::{BufReader, Write};
use std::process::Command;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use test_case::test_case;

/// Two workers that follow one script, a list with both, and the program.
struct Stage {
    workers: [Worker; 2],
    discovery: Discovery,
    daemon: Daemon,
}

fn stage(acts: &[Act]) -> Stage {
    let script = script(acts);
    let workers = [Worker::start(&script), Worker::start(&script)];
    let hosts = vec![
        host("a", &workers[0].dial, "ready"),
        host("b", &workers[1].dial, "ready"),
    ];
    let discovery = Discovery::start(hosts);
    let daemon = Daemon::start(&configuration(&discovery.address, 1024));
    daemon.until_ready();
    Stage {
        workers,
        discovery,
        daemon,
    }
}

impl Stage {
    fn postings(&self) -> usize {
        self.workers.iter().map(Worker::count).sum()
    }
}

#[test]
fn a_txn_is_settled_with_what_the_worker_made_of_it() {
    let stage = stage(&[]);
    let mut client = stage.daemon.client();
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
    let answer = client.answer().unwrap();
    assert_eq!(
        (answer.status, answer.body),
        (200, b"did some {body}".to_vec())
    );
    let seen: Vec<_> = stage
        .workers
        .iter()
        .flat_map(|worker| worker.seen.lock().unwrap().clone())
        .collect();
    let first = "POST /api/do?x=1&y=%20 HTTP/1.1".to_string();
    assert_eq!(seen, [(first, "9b1f".to_string(), b"some {body}".to_vec())]);
}

/// Guards against workers that cannot tell a repeat: they know it by what its client sent.
#[test_case("Idempotency-Key: 4366 cf\r\n", Some("4366 cf"); "one with a reference")]
#[test_case("", None; "one without")]
fn the_reference_goes_on_as_it_came_with_each_posting(header: &str, expected: Option<&str>) {
    let heads: Arc<Mutex<Vec<String>>> = Arc::default();
    let kept = heads.clone();
    let dial = listen(move |mut stream| {
        let (head, _) = message(&mut BufReader::new(stream))?;
        kept.lock().unwrap().push(head);
        stream
            .write_all(b"HTTP/1.1 500 Other\r\nContent-Length: 0\r\n\r\n")
            .ok()
    });
    let discovery = Discovery::start(vec![host("a", &dial, "ready")]);
    let daemon = Daemon::start(&configuration(&discovery.address, 1024));
    daemon.until_ready();
    let mut client = daemon.client();
    client.send(request("id", "invoice", 5.0, header, "a body").as_bytes());
    assert_eq!(client.answer().unwrap().status, 502);
    let heads = heads.lock().unwrap();
    assert!(heads.len() > 1, "it was not repeated");
    assert!(
        heads
            .iter()
            .all(|head| field(head, "idempotency-key").as_deref() == expected),
        "{heads:?}"
    );
}

#[test]
fn connections_are_kept_and_used_again_on_both_sides() {
    let stage = stage(&[]);
    let mut client = stage.daemon.client();
    for at in 0..20 {
        assert_eq!(client.ask(&format!("id{at}"), "thumb", 5.0).status, 200);
    }
    let opened: u32 = stage
        .workers
        .iter()
        .map(|worker| worker.connections.load(Ordering::SeqCst))
        .sum();
    assert!(opened <= 2, "{opened} connections for one txn at a time");
    assert_eq!(stage.postings(), 20);
}

#[test]
fn a_connection_that_the_worker_has_closed_is_not_used_again() {
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

/// Guards against workers that drop kept connections in silence: before its last byte is written nothing ran.
#[test]
fn a_connection_that_breaks_before_the_last_byte_costs_no_txn() {
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

/// Never ran: posted again whatever the scheme.
#[test_case(Act::Status(503, true); "503 not started")]
#[test_case(Act::Status(504, true); "504 not started")]
#[test_case(Act::State("returned"); "returned")]
fn what_never_ran_is_posted_again(act: Act) {
    for scheme in ["thumb", "invoice", "charge"] {
        let stage = stage(&[act]);
        let answer = stage.daemon.client().ask("id", scheme, 5.0);
        assert_eq!((answer.status, stage.postings()), (200, 2), "{scheme}");
    }
}

/// May have run: posted again unless once-only, which is reversed.
#[test_case(Act::State("failed"); "failed")]
#[test_case(Act::State("lost"); "lost")]
#[test_case(Act::Status(500, false); "500")]
#[test_case(Act::Status(503, false); "503 that may have started")]
#[test_case(Act::Cut; "cut before an answer")]
#[test_case(Act::CutStarted; "cut after the start")]
#[test_case(Act::Body("{\"id\":\"other\",\"state\":\"done\",\"result\":\"x\"}\n"); "another id")]
#[test_case(Act::Body("{\"id\":\"ID\",\"state\":\"done\"}\n"); "done without a result")]
#[test_case(Act::Body("{\"id\":\"ID\",\n"); "bad json")]
#[test_case(Act::Body("{\"id\":\"ID\",\"state\":\"running\",\"share\":0.4}\n"); "an end without a last line")]
#[test_case(Act::Oversized; "an oversized line")]
fn what_may_have_run_is_repeated_only_where_allowed(act: Act) {
    for (scheme, expected) in [
        ("thumb", (200, 2)),
        ("invoice", (200, 2)),
        ("charge", (502, 1)),
    ] {
        let stage = stage(&[act]);
        let answer = stage.daemon.client().ask("id", scheme, 5.0);
        assert_eq!((answer.status, stage.postings()), expected, "{scheme}");
    }
}

/// A worker that finds fault with a job is not to blame for it, and no other would take it either.
#[test_case("thumb"; "repeatable")]
#[test_case("charge"; "once only")]
fn what_a_worker_turns_away_as_unfit_is_reversed_and_its_id_not_taken_again(scheme: &str) {
    let stage = stage(&[Act::Status(400, false)]);
    let mut client = stage.daemon.client();
    let statuses = [(); 3].map(|()| client.ask("id", scheme, 5.0).status);
    assert_eq!((statuses, stage.postings()), ([502, 409, 409], 1));
    assert_eq!(
        (
            stage.daemon.counter("attempts_invalid_request"),
            stage.daemon.counter("requests_duplicate")
        ),
        (1, 2)
    );
}

#[test]
fn the_id_of_a_request_in_hand_is_not_taken_again() {
    let stage = stage(&[Act::Later(300)]);
    let mut client = stage.daemon.client();
    client.send(request("id", "charge", 5.0, "", "first").as_bytes());
    stage.daemon.until_counter("attempts_started", 1);
    assert_eq!(stage.daemon.client().ask("id", "thumb", 5.0).status, 409);
    assert_eq!(
        (client.answer().unwrap().body, stage.postings()),
        (b"did first".to_vec(), 1)
    );
}

/// Nothing comes back: the posting ends with the time of the client.
#[test_case("thumb", 503; "a repeatable one is declined")]
#[test_case("invoice", 502; "a referenced one is reversed")]
#[test_case("charge", 502; "a once only one is reversed")]
fn a_silent_worker_costs_the_txn_its_time_and_no_more(scheme: &str, status: u16) {
    let stage = stage(&[Act::Silent]);
    let answer = stage.daemon.client().ask("id", scheme, 0.4);
    assert_eq!((answer.status, stage.postings()), (status, 1));
    assert_eq!(answer.head.contains("Retry-After: 0.500"), status == 503);
    assert_eq!(stage.daemon.counter("attempts_timed_out"), 1);
    // Guards against sockets of silent workers that pile up: what is answered is held no longer.
    assert_eq!(stage.daemon.client().ask("next", scheme, 5.0).status, 200);
}

/// Only what never ran may be declined where it is once-only.
#[test_case("thumb", false; "repeatable, refused")]
#[test_case("charge", false; "once only, refused")]
#[test_case("charge", true; "once only, never up")]
fn what_found_no_connection_never_ran(scheme: &str, vanished: bool) {
    let (_listener, full) = vanished_machine();
    let dial = if vanished {
        full.0.as_str()
    } else {
        "127.0.0.1:1"
    };
    let discovery = Discovery::start(vec![host("dead", dial, "ready")]);
    let daemon = Daemon::start(&configuration(&discovery.address, 1024));
    daemon.until_ready();
    assert_eq!(daemon.client().ask("id", scheme, 5.0).status, 503);
    assert_eq!(daemon.counter("attempts_connect_failed"), 3);
}

#[test]
fn nothing_new_goes_to_a_worker_that_drains() {
    let stage = stage(&[]);
    stage.discovery.until_watched();
    stage
        .discovery
        .tell(vec![host("a", &stage.workers[0].dial, "draining")]);
    for at in 0..10 {
        assert_eq!(
            stage
                .daemon
                .client()
                .ask(&format!("id{at}"), "thumb", 5.0)
                .status,
            200
        );
    }
    assert_eq!(
        (stage.workers[0].count(), stage.workers[1].count()),
        (0, 10)
    );
}

#[test]
fn a_connection_to_a_reborn_worker_is_not_used_again() {
    let stage = stage(&[]);
    stage.discovery.until_watched();
    stage
        .discovery
        .tell(vec![host("a", &stage.workers[0].dial, "gone")]);
    assert_eq!(stage.daemon.client().ask("one", "thumb", 5.0).status, 200);
    let mut reborn = host("b", &stage.workers[1].dial, "ready");
    reborn["born_ms"] = 1.into();
    stage.discovery.tell(vec![reborn]);
    assert_eq!(stage.daemon.client().ask("two", "thumb", 5.0).status, 200);
    assert_eq!(stage.workers[1].connections.load(Ordering::SeqCst), 2);
}

#[test]
fn a_client_that_leaves_is_owed_nothing_and_its_job_ends_by_itself() {
    let stage = stage(&[Act::Later(400)]);
    let mut client = stage.daemon.client();
    client.send(request("id", "charge", 5.0, "", "").as_bytes());
    stage.daemon.until_counter("attempts_started", 1);
    drop(client);
    stage.daemon.until_counter("clients_disconnected", 1);
    stage.daemon.until_counter("succeeded_late", 1);
    assert_eq!(stage.postings(), 1);
}

#[test]
fn nothing_is_posted_for_a_client_that_left_while_its_txn_was_held() {
    let worker = Worker::start(&script(&[]));
    let discovery = Discovery::start(vec![host("a", &worker.dial, "draining")]);
    let daemon = Daemon::start(&configuration(&discovery.address, 1024));
    daemon.until_ready();
    discovery.until_watched();
    let mut client = daemon.client();
    client.send(request("held", "charge", 5.0, "", "").as_bytes());
    daemon.until_counter("requests", 1);
    drop(client);
    daemon.until_counter("clients_disconnected", 1);
    discovery.tell(vec![host("a", &worker.dial, "ready")]);
    assert_eq!(daemon.client().ask("next", "thumb", 5.0).status, 200);
    std::thread::sleep(std::time::Duration::from_millis(60));
    assert_eq!(daemon.client().ask("last", "thumb", 5.0).status, 200);
    assert_eq!(
        (worker.count(), daemon.counter("invariant_violations")),
        (2, 0)
    );
}

#[test]
fn a_stop_answers_what_is_in_hand_and_takes_no_one_in() {
    let mut stage = stage(&[Act::Later(300), Act::Silent, Act::Silent]);
    let (mut soon, mut never, mut idle) = (
        stage.daemon.client(),
        stage.daemon.client(),
        stage.daemon.client(),
    );
    assert_eq!(idle.get("/healthz"), 200);
    soon.send(request("soon", "charge", 60.0, "", "x").as_bytes());
    stage.daemon.until_counter("attempts", 1);
    never.send(request("never", "charge", 60.0, "", "x").as_bytes());
    stage.daemon.until_counter("attempts", 2);
    // At the end of its time this one may not be posted again, as it would be at a time-out before.
    let mut again = stage.daemon.client();
    again.send(request("again", "thumb", 60.0, "", "x").as_bytes());
    stage.daemon.until_counter("attempts", 3);
    stage.daemon.signal("TERM");
    let settled = soon.answer().unwrap();
    assert_eq!(
        (settled.status, settled.head.contains("Connection: close")),
        (200, true)
    );
    let reversed = never.answer().unwrap();
    assert_eq!(
        (reversed.status, reversed.head.contains("Connection: close")),
        (502, true)
    );
    assert_eq!((again.answer().unwrap().status, stage.postings()), (503, 3));
    assert!(idle.is_closed());
    let (code, counters) = stage.daemon.ended();
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
    assert!(std::net::TcpStream::connect(&stage.daemon.address).is_err());
}

#[test]
fn while_stopping_new_connections_are_served_and_told_to_go() {
    let mut stage = stage(&[Act::Silent]);
    let mut held = stage.daemon.client();
    held.send(request("held", "charge", 60.0, "", "x").as_bytes());
    stage.daemon.until_counter("attempts", 1);
    stage.daemon.signal("TERM");
    // The signal is handled a moment later; a client that came before it is served all the same.
    let status = (0..200)
        .map(|_| stage.daemon.client().get("/healthz"))
        .find(|status| *status != 200);
    assert_eq!(status, Some(503));
    let answer = stage.daemon.client().ask("late", "thumb", 5.0);
    assert_eq!(
        (answer.status, answer.head.contains("Connection: close")),
        (200, true)
    );
    assert_eq!(held.answer().unwrap().status, 502);
    assert_eq!(stage.daemon.ended().0, Some(0));
}

#[test_case("", 40; "by the limit it is told")]
#[test_case("ulimit -n 24", 1024; "by the limit of the system")]
fn descriptors_that_run_out_end_nothing(first: &str, sockets: usize) {
    let script = script(&[]);
    let worker = Worker::start(&script);
    let discovery = Discovery::start(vec![host("a", &worker.dial, "ready")]);
    let daemon = Daemon::start_under(first, &configuration(&discovery.address, sockets));
    daemon.until_ready();
    let mut crowd: Vec<Client> = (0..40).map(|_| daemon.client()).collect();
    // All are connected as far as they know. The last one is served once the oldest idle ones made room.
    assert_eq!(
        crowd.last_mut().unwrap().ask("id", "thumb", 15.0).status,
        200
    );
    assert!(daemon.counter("clients_idle_closed") > 0);
    assert_eq!(daemon.counter("accept_failed"), 0);
}

const GOOD: &str =
    "Request-Id: a\r\nRequest-Class: thumb\r\nTenant: acme\r\nRequest-Timeout: 1\r\n";

#[test_case("POST /api HTTP/1.1\r\nRequest-Class: thumb\r\nTenant: acme\r\nRequest-Timeout: 1\r\n\r\n", 400; "no id")]
#[test_case("POST /api HTTP/1.1\r\nRequest-Id: a\r\nRequest-Class: thumb\r\nTenant: acme\r\n\r\n", 400; "no time")]
#[test_case("POST /api HTTP/1.1\r\nGOODRequest-Timeout: 2\r\n\r\n", 400; "two times")]
#[test_case("POST /api HTTP/1.1\r\nGOODContent-Length: 3\r\nContent-Length: 4\r\n\r\n", 400; "two lengths")]
#[test_case("POST /api HTTP/1.1\r\nGOODContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", 400; "both framings")]
#[test_case("POST /api HTTP/1.1\r\nGOODContent-Length: -3\r\n\r\n", 400; "a negative length")]
#[test_case("POST /api HTTP/1.1\r\nGOODRequest-Info: wings=2\r\n\r\n", 400; "an unknown figure")]
#[test_case("POST /api HTTP/1.1\r\nGOODWork-Hint: soon\r\n\r\n", 400; "an unreadable hint")]
#[test_case("POST /api HTTP/1.1\r\nRequest-Id: a\r\nRequest-Class: no\r\nTenant: acme\r\nRequest-Timeout: 1\r\n\r\n", 400;
            "an unknown scheme")]
#[test_case("POST /api HTTP/1.1\r\nRequest-Id: a\r\nRequest-Class: thumb\r\nTenant: no\r\nRequest-Timeout: 1\r\n\r\n", 400;
            "an unknown tenant")]
#[test_case("POST /api HTTP/1.1\r\nGOODTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400; "a bad chunk")]
#[test_case("POST /api HTTP/1.1\nGOOD\nContent-Length: 1\r\n\r\n", 400; "a head that ends at bare line feeds")]
#[test_case("POST /api HTTP/1.0\r\nGOODTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400; "a coding in an old version")]
#[test_case("POST /api HTTP/1.1\r\nGOODContent-Length: 3, 3\r\n\r\n", 400; "a list of lengths")]
#[test_case("POST /api HTTP/1.1\r\nGOODContent-Length: +3\r\n\r\n", 400; "a length with a sign")]
#[test_case("no request at all\r\n\r\n", 400; "a malformed head")]
#[test_case("POST /api HTTP/1.1\r\nGOODContent-Length: 65537\r\n\r\n", 413; "a long body")]
#[test_case("POST /api HTTP/1.1\r\nGOODTransfer-Encoding: chunked\r\n\r\n10001\r\nBIG", 413; "a long chunk")]
#[test_case("POST /api HTTP/1.1\r\nX: BIG\r\n\r\n", 431; "a large head")]
#[test_case("PUT /api HTTP/1.1\r\nGOOD\r\n", 405; "another method")]
#[test_case("GET /other HTTP/1.1\r\n\r\n", 405; "a question for something else")]
fn bad_input_is_turned_down_before_anything_is_sent(text: &str, status: u16) {
    let stage = stage(&[]);
    let mut client = stage.daemon.client();
    client.send(
        text.replace("GOOD", GOOD)
            .replace("BIG", &"x".repeat(65_537))
            .as_bytes(),
    );
    assert_eq!(client.answer().map(|answer| answer.status), Some(status));
    assert!(client.is_closed());
    assert_eq!(
        (stage.daemon.counter("requests_malformed"), stage.postings()),
        (1, 0)
    );
    assert_eq!(stage.daemon.client().ask("next", "thumb", 5.0).status, 200);
}

#[test]
fn leave_to_send_a_body_is_given_and_pipelined_requests_wait_their_turn() {
    let stage = stage(&[]);
    let mut client = stage.daemon.client();
    let both = request("one", "thumb", 5.0, "Expect: 100-continue\r\n", "first");
    let (head, body) = both.split_at(both.len() - 5);
    client.send(head.as_bytes());
    assert_eq!(client.answer().unwrap().status, 100);
    client.send(body.as_bytes());
    client.send(request("two", "thumb", 5.0, "", "second").as_bytes());
    let answers = [client.answer().unwrap().body, client.answer().unwrap().body];
    assert_eq!(answers, [b"did first".to_vec(), b"did second".to_vec()]);
}

#[test]
fn a_client_that_trickles_is_cut_off_and_harms_no_one() {
    let stage = stage(&[]);
    let mut slow = stage.daemon.client();
    slow.send(b"POST /api HTTP/1.1\r\n");
    let mut one = slow.reader.get_ref().try_clone().unwrap();
    std::thread::spawn(move || {
        while one.write_all(b"x").is_ok() {
            std::thread::sleep(std::time::Duration::from_millis(100));
        }
    });
    assert_eq!(stage.daemon.client().ask("id", "thumb", 5.0).status, 200);
    assert_eq!(slow.answer().map(|answer| answer.status), Some(408));
}

#[test]
fn a_flood_of_bad_requests_does_not_fill_the_log() {
    let stage = stage(&[]);
    let begun = std::time::Instant::now();
    (0..60).for_each(|_| assert_eq!(stage.daemon.client().get("/other"), 405));
    assert_eq!(stage.daemon.counter("requests_malformed"), 60);
    let seconds = begun.elapsed().as_secs() as usize;
    assert!((1..=2 + seconds).contains(&stage.daemon.lines("a request was refused")));
}

/// Clients that never ask are closed in time, and a crowd of them keeps no one out.
#[test_case("", None; "silent")]
#[test_case("POST /api HTTP/1.1\r\n", Some(408); "half a request")]
fn clients_that_do_not_ask_are_gone_soon(text: &str, status: Option<u16>) {
    let stage = stage(&[]);
    let mut known = stage.daemon.client();
    assert_eq!(known.get("/healthz"), 200);
    let mut never = stage.daemon.client();
    never.send(text.as_bytes());
    let begun = std::time::Instant::now();
    assert_eq!(never.answer().map(|answer| answer.status), status);
    assert!(begun.elapsed().as_secs() < 10 && never.is_closed());
    assert_eq!(known.ask("id", "thumb", 5.0).status, 200);
}

#[test]
fn a_crowd_that_does_not_ask_keeps_no_one_out() {
    let worker = Worker::start(&script(&[]));
    let discovery = Discovery::start(vec![host("a", &worker.dial, "ready")]);
    let daemon = Daemon::start(&configuration(&discovery.address, 64));
    daemon.until_ready();
    assert_eq!(daemon.client().ask("before", "thumb", 20.0).status, 200);
    let mut crowd: Vec<Client> = (0..300).map(|_| daemon.client()).collect();
    crowd.iter_mut().for_each(|client| client.send(b"POST "));
    assert_eq!(daemon.client().ask("after", "thumb", 20.0).status, 200);
    // Room was made by the crowd, not by the connection to the worker.
    assert_eq!(
        (daemon.counter("connects"), daemon.counter("pool_evicted")),
        (1, 0)
    );
}

#[test]
fn a_posting_that_finds_no_descriptor_is_no_fault_of_the_worker() {
    let worker = Worker::start(&script(&[Act::Silent; 8]));
    let discovery = Discovery::start(vec![host("a", &worker.dial, "ready")]);
    let daemon = Daemon::start(&configuration(&discovery.address, 32 + 10));
    daemon.until_ready();
    let ask = |at| {
        let mut client = daemon.client();
        // Their runs are stated: a class that was never seen to run is taken to run for its SLA time, which is 0.9 s here,
        // and the seventh of such runs before two seats has no time left for its queue.
        let hint = "Work-Hint: 100000\r\n";
        client.send(request(&format!("id{at}"), "charge", 20.0, hint, "").as_bytes());
        client
    };
    // Postings of clients that have left stay out, so that more are out than clients are there.
    let leaving: Vec<Client> = (0..5).map(ask).collect();
    while worker.count() < 5 {
        std::thread::yield_now();
    }
    drop(leaving);
    daemon.until_counter("clients_disconnected", 5);
    let _silent = [ask(5), ask(6)];
    daemon.until_counter("connects", 7);
    assert_eq!(ask(7).answer().unwrap().status, 503);
    assert_eq!(
        (
            daemon.counter("attempts_connect_failed"),
            daemon.counter("attempts_not_sent")
        ),
        (0, 3)
    );
}

#[test]
fn discovery_out_of_reach_stops_nothing_and_is_found_again() {
    let stage = stage(&[]);
    stage.discovery.until_watched();
    stage.discovery.go_down();
    stage.daemon.until_counter("watches_failed", 2);
    assert_eq!(
        stage.daemon.client().ask("during", "thumb", 5.0).status,
        200
    );
    // A slow machine calls less often, never more.
    std::thread::sleep(std::time::Duration::from_millis(300));
    assert!(stage.discovery.calls() < 12, "calls for the list spin");
    let new = Worker::start(&script(&[]));
    stage
        .discovery
        .come_back(vec![host("c", &new.dial, "ready")]);
    assert_eq!(stage.daemon.client().ask("after", "thumb", 5.0).status, 200);
    assert_eq!(new.count(), 1);
}

/// Guards against a service that all ask at once for the whole list, and for a watch after it.
#[test]
fn a_list_that_is_asked_for_goes_on_from_the_version_known() {
    let worker = Worker::start(&script(&[]));
    let (known, new) = (
        host("a", &worker.dial, "ready"),
        Worker::start(&script(&[])),
    );
    let discovery = Discovery::start(vec![known.clone()]);
    let mut configuration = configuration(&discovery.address, 1024);
    configuration["settings"]["RegistryMode"] = "on_request".into();
    configuration["known"] = serde_json::json!({"seq": 1, "whole": true, "hosts": [known]});
    let daemon = Daemon::start(&configuration);
    discovery.until_watched();
    assert_eq!(discovery.calls(), 1);
    discovery.go_down();
    daemon.until_counter("watches_failed", 1);
    discovery.come_back(vec![host("b", &new.dial, "ready")]);
    discovery.tell(vec![host("a", &worker.dial, "draining")]);
    assert_eq!(daemon.client().ask("id", "thumb", 5.0).status, 200);
    assert_eq!((worker.count(), new.count()), (0, 1));
}

/// Guards against a watch from a version that the service does not know, which would tell of nothing that came before.
#[test]
fn a_service_that_has_lost_its_count_is_asked_for_the_whole_list() {
    let worker = Worker::start(&script(&[]));
    let discovery = Discovery::start(vec![host("b", &worker.dial, "ready")]);
    let mut configuration = configuration(&discovery.address, 1024);
    configuration["settings"]["RegistryMode"] = "on_request".into();
    let known = host("a", "127.0.0.1:1", "draining");
    configuration["known"] = serde_json::json!({"seq": 9, "whole": true, "hosts": [known]});
    let daemon = Daemon::start(&configuration);
    daemon.until_counter("lists", 2);
    assert_eq!(daemon.client().ask("id", "thumb", 5.0).status, 200);
}

#[test]
fn a_new_configuration_names_another_discovery_and_one_without_sense_changes_nothing() {
    let stage = stage(&[]);
    stage.discovery.until_watched();
    stage
        .daemon
        .reload("{", "the configuration stays as it was");
    let mut wrong = configuration(&stage.discovery.address, 1024);
    wrong["settings"]["Contract"]["ColdFrom"] = (-1).into();
    stage.daemon.reload(
        &wrong.to_string(),
        "setting slow_start.from is out of range: -1",
    );
    let new = Worker::start(&script(&[]));
    let discovery = Discovery::start(vec![host("c", &new.dial, "ready")]);
    stage.daemon.reload(
        &configuration(&discovery.address, 1024).to_string(),
        "a new configuration",
    );
    discovery.until_watched();
    assert_eq!(stage.daemon.client().ask("one", "thumb", 5.0).status, 200);
    assert_eq!((stage.postings(), new.count()), (0, 1));
    // And back again, more than once.
    stage.daemon.reload(
        &configuration(&stage.discovery.address, 1024).to_string(),
        "a new configuration",
    );
    stage.discovery.tell(Vec::new());
    assert_eq!(stage.daemon.client().ask("two", "thumb", 5.0).status, 200);
    assert_eq!((stage.postings(), new.count()), (1, 1));
}

/// The old watch goes on until the new one has told its first list.
#[test]
fn a_drain_is_heard_while_the_watch_moves_to_an_agent_that_says_nothing() {
    let stage = stage(&[]);
    let (_deaf, (deaf, _held)) = vanished_machine();
    stage.daemon.reload(
        &configuration(&deaf, 1024).to_string(),
        "a new configuration: discovery at",
    );
    let lists = stage.daemon.counter("lists");
    let [a, b] = &stage.workers;
    stage.discovery.tell(vec![
        host("a", &a.dial, "draining"),
        host("b", &b.dial, "ready"),
    ]);
    stage.daemon.until_counter("lists", lists + 1);
    let mut client = stage.daemon.client();
    for at in 0..6 {
        assert_eq!(client.ask(&format!("id{at}"), "charge", 5.0).status, 200);
    }
    assert_eq!((a.count(), b.count()), (0, 6));
}

#[test]
fn a_log_that_no_one_reads_holds_up_no_one() {
    let worker = Worker::start(&script(&[]));
    let discovery = Discovery::start(vec![host("a", &worker.dial, "ready")]);
    let mut daemon = Daemon::start_unread(&configuration(&discovery.address, 1024));
    daemon.until_ready();
    // Far more lines than a pipe holds.
    daemon.signals("USR1", 800);
    assert_eq!(daemon.client().ask("id", "thumb", 5.0).status, 200);
    daemon.signal("TERM");
    assert_eq!(daemon.exit(), Some(0));
}

#[test]
fn a_malformed_list_is_passed_over_and_fetched_whole_again() {
    let stage = stage(&[]);
    stage.discovery.until_watched();
    stage
        .discovery
        .garble("{\"seq\":7,\"whole\":true,\"hosts\":[{\"host\":\"a\"}]}");
    assert_eq!(stage.daemon.counter("lists_malformed"), 1);
    assert_eq!(stage.daemon.client().ask("id", "thumb", 5.0).status, 200);
}

#[test]
fn without_any_list_it_is_not_ready_and_with_the_kept_one_it_is() {
    let discovery = Discovery::start(Vec::new());
    discovery.go_down();
    let mut configuration = configuration(&discovery.address, 1024);
    assert_eq!(Daemon::start(&configuration).client().get("/healthz"), 503);
    let worker = Worker::start(&script(&[]));
    configuration["known"] =
        serde_json::json!({"seq": 1, "whole": true, "hosts": [host("a", &worker.dial, "ready")]});
    let daemon = Daemon::start(&configuration);
    assert_eq!(daemon.client().get("/healthz"), 200);
    assert_eq!(daemon.client().ask("id", "thumb", 5.0).status, 200);
}

#[test_case(None, "PROXY_CONFIG names no configuration"; "not named")]
#[test_case(Some("/nowhere/config.json"), "cannot read the configuration"; "missing")]
#[test_case(Some("/dev/null"), "cannot use the configuration"; "unreadable")]
fn without_a_configuration_it_ends_with_one_plain_message(path: Option<&str>, message: &str) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_rosewalld"));
    command.env_remove("PROXY_CONFIG");
    if let Some(path) = path {
        command.env("PROXY_CONFIG", path);
    }
    let output = command.output().unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(
        (output.status.success(), errors.lines().count()),
        (false, 1)
    );
    assert!(errors.contains(message), "{errors}");
}

/// Guards against a cap on the list of workers below what the operators' trial may play.
#[test]
fn a_list_of_a_thousand_workers_is_served() {
    let worker = Worker::start(&script(&[]));
    let hosts = (0..1_024)
        .map(|at| host(&format!("w{at}"), &worker.dial, "ready"))
        .collect();
    let discovery = Discovery::start(hosts);
    let daemon = Daemon::start(&configuration(&discovery.address, 1024));
    daemon.until_ready();
    let mut client = daemon.client();
    let statuses: Vec<u16> = (0..20)
        .map(|at| client.ask(&format!("id{at}"), "charge", 5.0).status)
        .collect();
    assert_eq!(statuses, [200; 20]);
}
