//! Races at teardown: a worker, client, connection or discovery agent ends while an answer or a rule still depends on it.
//! Test stubs force each race. See `docs/ends.md`.
use rosewall_cluster_testbed::stubs::{
    Daemon, Discovery, StubResponse, Worker, configuration, endpoint_json, request, response_queue,
    unreachable_address,
};
use std::io::{Read, Write};
use std::time::{Duration, Instant};
use test_case::test_case;

/// Operators' bound on the time after a client's disconnection in which its request may still be sent.
const DISCONNECT_NOTICE_LIMIT: Duration = Duration::from_millis(300);

/// Longer than the time after which the system has repeated a connect twice.
const LATE_CONNECTION_LIMIT: Duration = Duration::from_millis(3_500);

/// Sends six requests and asserts that none reaches the first worker.
fn assert_first_worker_is_avoided(daemon: &Daemon, workers: &[Worker]) {
    let mut client = daemon.client();
    for at in 0..6 {
        assert_eq!(
            client.exchange(&format!("after{at}"), "charge", 5.0).status,
            200
        );
    }
    assert_eq!(
        (workers[0].request_count(), workers[1].request_count()),
        (0, 6)
    );
}

/// Starts the daemon with one worker, which sends these responses.
fn start_with_one_worker(responses: &[StubResponse]) -> (Worker, Daemon) {
    let worker = Worker::start(&response_queue(responses));
    let discovery = Discovery::start(vec![endpoint_json("a", &worker.address, "ready")]);
    let daemon = Daemon::start(&configuration(&discovery.address, 1024));
    daemon.wait_until_ready();
    (worker, daemon)
}

struct Fleet {
    workers: [Worker; 2],
    discovery: Discovery,
    daemon: Daemon,
}

impl Fleet {
    fn new(mode: &str) -> Fleet {
        let workers = [(); 2].map(|()| Worker::start(&response_queue(&[])));
        let hosts = ["a", "b"]
            .iter()
            .zip(&workers)
            .map(|(name, worker)| endpoint_json(name, &worker.address, "ready"));
        let discovery = Discovery::start(hosts.collect());
        let mut config = configuration(&discovery.address, 1024);
        config["settings"]["RegistryMode"] = mode.into();
        let daemon = Daemon::start(&config);
        daemon.wait_until_ready();
        discovery.wait_for_versioned_watch();
        Fleet {
            workers,
            discovery,
            daemon,
        }
    }

    fn drain_first_worker(&self, discovery: &Discovery) {
        let [a, b] = &self.workers;
        let hosts = vec![
            endpoint_json("a", &a.address, "draining"),
            endpoint_json("b", &b.address, "ready"),
        ];
        discovery.publish(hosts.clone(), hosts);
    }
}

/// A change that a silent watch missed must be applied within 6 s of the start of the silence, or within 2 s of the end
/// of the wait of its request, which may be 20 s for a polled list.
#[test_case("pushed", 6; "a pushed list")]
#[test_case("on_request", 22; "a polled list")]
fn a_drain_missed_by_a_silent_watch_is_applied_in_time(mode: &str, seconds: u64) {
    let fleet = Fleet::new(mode);
    fleet.discovery.abandon_open_watches();
    let started_at = Instant::now();
    fleet.drain_first_worker(&fleet.discovery);
    fleet.discovery.wait_until_list_is_read();
    assert!(
        started_at.elapsed() < Duration::from_secs(seconds),
        "list applied after {:?}",
        started_at.elapsed()
    );
    assert_first_worker_is_avoided(&fleet.daemon, &fleet.workers);
}

/// A change must be applied as soon as its agent answers again, since some drains are announced only a few hundred ms
/// ahead. After its failure, the agent has no record of earlier requests.
#[test_case(false; "the same agent")]
#[test_case(true; "the agent of a new configuration")]
fn a_drain_is_applied_soon_after_a_discovery_agent_has_recovered(moves: bool) {
    let fleet = Fleet::new("pushed");
    let other = Discovery::start(vec![endpoint_json("a", &fleet.workers[0].address, "ready")]);
    let discovery = if moves { &other } else { &fleet.discovery };
    discovery.stop_responding();
    let calls = discovery.watch_count();
    if moves {
        fleet.daemon.reload(
            &configuration(&other.address, 1024).to_string(),
            "a new configuration",
        );
    }
    discovery.abandon_open_watches();
    discovery.wait_for_watches(calls + 6);
    fleet.drain_first_worker(discovery);
    discovery.resume_responding();
    let started_at = Instant::now();
    discovery.wait_until_list_is_read();
    assert!(
        started_at.elapsed() < Duration::from_millis(350),
        "list applied after {:?}",
        started_at.elapsed()
    );
    assert_first_worker_is_avoided(&fleet.daemon, &fleet.workers);
}

/// Guards against a new discovery service that is never called again, once it and the old one have failed.
#[test_case("pushed"; "a pushed list")]
#[test_case("on_request"; "a polled list")]
fn a_drain_is_applied_after_the_discovery_of_a_new_configuration_was_out_of_reach(mode: &str) {
    let fleet = Fleet::new(mode);
    let [a, b] = &fleet.workers;
    let other = Discovery::start(Vec::new());
    other.shut_down();
    let mut config = configuration(&other.address, 1024);
    config["settings"]["RegistryMode"] = mode.into();
    fleet
        .daemon
        .reload(&config.to_string(), "a new configuration");
    other.wait_for_watches(1);
    fleet.discovery.shut_down();
    fleet.daemon.wait_for_counter("watches_failed", 2);
    let reachable_at = Instant::now();
    other.restart(vec![
        endpoint_json("a", &a.address, "draining"),
        endpoint_json("b", &b.address, "ready"),
    ]);
    assert!(
        reachable_at.elapsed() < Duration::from_secs(6),
        "list applied after {:?}",
        reachable_at.elapsed()
    );
    assert_first_worker_is_avoided(&fleet.daemon, &fleet.workers);
}

/// The time limit for the rest of a started answer is shorter than that for the start of an answer.
#[test]
fn a_truncated_list_is_requested_again_at_once() {
    let fleet = Fleet::new("pushed");
    fleet.discovery.truncate_next_response();
    fleet.drain_first_worker(&fleet.discovery);
    let started_at = Instant::now();
    fleet.discovery.wait_until_list_is_read();
    assert!(
        started_at.elapsed() < Duration::from_secs(1),
        "list applied after {:?}",
        started_at.elapsed()
    );
    assert_first_worker_is_avoided(&fleet.daemon, &fleet.workers);
}

/// Guards against lists that are given up while they still arrive, and then requested for ever: a change must be applied
/// within 6 s, also if the service is crowded.
#[test_case("pushed"; "a pushed list")]
#[test_case("on_request"; "a polled list")]
fn a_drain_in_a_list_that_arrives_slowly_is_applied_in_time(mode: &str) {
    let fleet = Fleet::new(mode);
    fleet.discovery.send_slowly(Duration::from_millis(150));
    fleet.drain_first_worker(&fleet.discovery);
    let started_at = Instant::now();
    fleet.discovery.wait_until_list_is_read();
    assert!(
        started_at.elapsed() < Duration::from_secs(6),
        "list applied after {:?}",
        started_at.elapsed()
    );
    assert_first_worker_is_avoided(&fleet.daemon, &fleet.workers);
}

/// Guards against answers that are never heard, as each call is given up before its answer comes: the lists of a service
/// that takes 1.5 s for each answer must be applied in time.
#[test_case("pushed"; "a pushed list")]
#[test_case("on_request"; "a polled list")]
fn a_drain_in_a_list_that_is_answered_late_is_applied_in_time(mode: &str) {
    let fleet = Fleet::new(mode);
    fleet.discovery.answer_late(Duration::from_millis(1_500));
    let calls = fleet.discovery.watch_count();
    if mode == "pushed" {
        // The watch that was open when the answers became late has been given up.
        fleet.discovery.wait_for_watches(calls + 2);
    }
    fleet.drain_first_worker(&fleet.discovery);
    let started_at = Instant::now();
    fleet.discovery.wait_until_list_is_read();
    assert!(
        started_at.elapsed() < Duration::from_secs(6),
        "list applied after {:?}",
        started_at.elapsed()
    );
    assert_first_worker_is_avoided(&fleet.daemon, &fleet.workers);
}

#[test_case("draining")]
#[test_case("gone")]
fn an_attempt_whose_worker_drains_while_it_connects_is_not_sent(health: &str) {
    let (listener, (dial, queue)) = unreachable_address();
    let worker = Worker::start(&response_queue(&[]));
    let discovery = Discovery::start(vec![endpoint_json("a", &dial, "ready")]);
    let mut config = configuration(&discovery.address, 1024);
    // Longer than the 1 s after which the system retries a connection.
    config["settings"]["Bounds"]["ConnectTimeoutNs"] = 8_000_000_000_u64.into();
    let daemon = Daemon::start(&config);
    daemon.wait_until_ready();
    discovery.wait_for_versioned_watch();
    let mut client = daemon.client();
    client.send(request("id", "charge", 20.0, "", "a body").as_bytes());
    daemon.wait_for_counter("connects", 1);
    discovery.publish_changes(vec![
        endpoint_json("a", &dial, health),
        endpoint_json("b", &worker.address, "ready"),
    ]);
    let local = queue
        .iter()
        .map(|stream| stream.local_addr().unwrap())
        .collect::<Vec<_>>();
    // The dispatcher gives the connection up, so it may come up or not.
    listener.set_nonblocking(true).unwrap();
    let deadline = Instant::now() + LATE_CONNECTION_LIMIT;
    while Instant::now() < deadline {
        match listener.accept() {
            Ok((_, from)) if local.contains(&from) => {}
            Ok((mut stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                stream
                    .set_read_timeout(Some(Duration::from_secs(10)))
                    .unwrap();
                assert_eq!(
                    stream.read(&mut [0]).ok(),
                    Some(0),
                    "sent to a worker that is {health}"
                );
            }
            Err(_) => std::thread::sleep(Duration::from_millis(5)),
        }
    }
    assert_eq!(
        (
            client.read_response().unwrap().status,
            worker.request_count()
        ),
        (200, 1)
    );
}

/// The request is pending because no worker is ready. Its client sends more bytes and disconnects. The end of the stream
/// can be read only after those bytes.
#[test_case(192, 0; "nothing more")]
#[test_case(192, 300_000; "more than is buffered")]
#[test_case(192, 8_000_000; "more than the system buffers")]
#[test_case(1, 75_000; "more than the memory allows")]
fn a_pending_request_is_not_sent_after_its_client_sent_more_and_disconnected(
    memory_mb: u64,
    more: usize,
) {
    let worker = Worker::start(&response_queue(&[]));
    let discovery = Discovery::start(vec![endpoint_json("a", &worker.address, "draining")]);
    let mut config = configuration(&discovery.address, 1024);
    config["limits"]["memory_mb"] = memory_mb.into();
    let daemon = Daemon::start(&config);
    daemon.wait_until_ready();
    discovery.wait_for_versioned_watch();
    let mut client = daemon.client();
    client.send(request("pending", "charge", 15.0, "", &"x".repeat(60_000)).as_bytes());
    daemon.wait_for_counter("requests", 1);
    let next = request("ahead", "charge", 15.0, "", &"x".repeat(60_000));
    let stream = client.reader.get_mut();
    stream
        .set_write_timeout(Some(Duration::from_secs(3)))
        .unwrap();
    let _ = stream.write_all(next.repeat(more.div_ceil(next.len())).as_bytes());
    drop(client);
    let disconnected_at = Instant::now();
    while daemon.counter("clients_disconnected") == 0 {
        assert!(
            disconnected_at.elapsed() < DISCONNECT_NOTICE_LIMIT,
            "the disconnection was not detected in time"
        );
    }
    discovery.publish_changes(vec![endpoint_json("a", &worker.address, "ready")]);
    assert_eq!(daemon.client().exchange("next", "thumb", 5.0).status, 200);
    assert_eq!(
        (
            worker.request_count(),
            daemon.counter("invariant_violations")
        ),
        (1, 0)
    );
}

/// Guards against a request that is forwarded long after its client has left, as the dispatcher first answers the one
/// before it and still has much to read.
#[test]
fn a_request_sent_ahead_is_not_forwarded_after_its_client_has_left_much_unread() {
    let (worker, daemon) = start_with_one_worker(&[StubResponse::DoneAfterMs(150)]);
    let client = daemon.client();
    let mut stream = client.reader.into_inner();
    stream
        .write_all(request("first", "charge", 5.0, "", "x").as_bytes())
        .unwrap();
    daemon.wait_for_counter("attempts_started", 1);
    let ahead = request("ahead", "charge", 5.0, "", "x");
    stream
        .set_write_timeout(Some(Duration::from_secs(3)))
        .unwrap();
    let _ = stream.write_all(&[ahead.as_bytes(), &vec![b'x'; 24_000_000]].concat());
    drop(stream);
    // Longer than the first request runs and the bytes behind it are read.
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(worker.request_count(), 1);
}

/// Requests that were read completely are answered; the remaining ones are refused with one response.
#[test]
fn complete_pipelined_requests_are_answered_and_the_rest_is_refused() {
    let (_worker, daemon) = start_with_one_worker(&[StubResponse::DoneAfterMs(300)]);
    let mut client = daemon.client();
    client.send(request("id0", "thumb", 5.0, "", "x").as_bytes());
    daemon.wait_for_counter("attempts_started", 1);
    (1..6).for_each(|at| {
        client.send(request(&format!("id{at}"), "thumb", 5.0, "", &"x".repeat(30_000)).as_bytes())
    });
    let statuses: Vec<u16> = std::iter::from_fn(|| client.read_response())
        .map(|answer| answer.status)
        .collect();
    assert!(statuses.len() > 2 && statuses.len() < 6, "{statuses:?}");
    let (last, served) = statuses.split_last().unwrap();
    assert!(
        *last == 503 && served.iter().all(|status| *status == 200),
        "{statuses:?}"
    );
}

#[test]
fn an_endless_answer_fails_its_request_and_delays_no_other() {
    let (worker, daemon) = start_with_one_worker(&[StubResponse::EndlessProgress]);
    let (mut client, started_at) = (daemon.client(), Instant::now());
    client.send(request("endless", "charge", 2.0, "", "").as_bytes());
    while worker.request_count() == 0 {
        std::thread::yield_now();
    }
    assert_eq!(daemon.client().exchange("beside", "thumb", 1.0).status, 200);
    assert_eq!(client.read_response().unwrap().status, 502);
    assert!(
        started_at.elapsed() < Duration::from_millis(2_050),
        "answered after {:?}",
        started_at.elapsed()
    );
}

#[test]
fn a_connection_with_data_after_the_last_line_is_closed() {
    let (worker, daemon) = start_with_one_worker(&[StubResponse::DoneThenEndlessProgress]);
    assert_eq!(daemon.client().exchange("id", "charge", 5.0).status, 200);
    let answered = Instant::now();
    while worker
        .closed_connections
        .load(std::sync::atomic::Ordering::SeqCst)
        == 0
    {
        assert!(
            answered.elapsed() < Duration::from_secs(2),
            "the connection is still open"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// If the second answer were matched to the next request, it would report that this non-idempotent request did not run,
/// and the request would be retried.
#[test]
fn a_second_answer_is_not_matched_to_the_next_request() {
    let (worker, daemon) = start_with_one_worker(&[StubResponse::DoneThenNotStarted; 8]);
    let mut client = daemon.client();
    let statuses = [0, 1, 2, 3].map(|at| client.exchange(&format!("id{at}"), "charge", 5.0).status);
    assert_eq!(
        (statuses, worker.request_count()),
        ([200; 4], 4),
        "a request ran more than once"
    );
}

/// Guards against a rejection that is sent twice and taken for the answer to the next request on its connection, which
/// runs and would be retried.
#[test]
fn a_rejection_that_is_sent_twice_is_not_matched_to_the_next_request() {
    let responses = [
        StubResponse::NotStartedTwice(40),
        StubResponse::DoneAfterMs(100),
        StubResponse::DoneAfterMs(100),
    ];
    let (worker, daemon) = start_with_one_worker(&responses);
    let mut clients = [daemon.client(), daemon.client()];
    clients[0].send(request("rejected", "charge", 5.0, "", "a body").as_bytes());
    daemon.wait_for_counter("attempts_started", 1);
    clients[1].send(request("next", "charge", 5.0, "", "a body").as_bytes());
    let statuses = clients.map(|mut client| client.read_response().unwrap().status);
    assert_eq!(
        (statuses, worker.request_count()),
        ([200; 2], 3),
        "a request ran more than once"
    );
}
