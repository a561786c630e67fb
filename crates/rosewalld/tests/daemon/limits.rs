//! Limits on descriptors, request time and log lines, under many connections, invalid requests and signals.
use crate::start_fleet;
use rosewall_cluster_testbed::stubs::{
    Client, Daemon, Discovery, StubResponse, Worker, configuration, endpoint_json, request,
    response_queue,
};
use std::io::Write;
use test_case::test_case;

#[test_case("", 40; "by the configured limit")]
#[test_case("ulimit -n 24", 1024; "by the limit of the system")]
fn idle_clients_are_closed_where_descriptors_run_out(shell_command: &str, sockets: usize) {
    let response_queue = response_queue(&[]);
    let worker = Worker::start(&response_queue);
    let discovery = Discovery::start(vec![endpoint_json("a", &worker.address, "ready")]);
    let daemon = Daemon::start_after_shell_command(
        shell_command,
        &configuration(&discovery.address, sockets),
    );
    daemon.wait_until_ready();
    let mut clients: Vec<Client> = (0..40).map(|_| daemon.client()).collect();
    // The system has accepted all of them. The last one is served once the oldest idle ones have been closed.
    assert_eq!(
        clients
            .last_mut()
            .unwrap()
            .exchange("id", "thumb", 15.0)
            .status,
        200
    );
    assert!(daemon.counter("clients_idle_closed") > 0);
    assert_eq!(daemon.counter("accept_failed"), 0);
}

#[test]
fn a_slow_request_is_cut_off_and_delays_no_other() {
    let fleet = start_fleet(&[]);
    let mut slow = fleet.daemon.client();
    slow.send(b"POST /api HTTP/1.1\r\n");
    let mut writer = slow.reader.get_ref().try_clone().unwrap();
    std::thread::spawn(move || {
        while writer.write_all(b"x").is_ok() {
            std::thread::sleep(std::time::Duration::from_millis(100));
        }
    });
    assert_eq!(
        fleet.daemon.client().exchange("id", "thumb", 5.0).status,
        200
    );
    assert_eq!(slow.read_response().map(|answer| answer.status), Some(408));
}

#[test]
fn a_flood_of_invalid_requests_does_not_fill_the_log() {
    let fleet = start_fleet(&[]);
    let started_at = std::time::Instant::now();
    (0..60).for_each(|_| assert_eq!(fleet.daemon.client().get("/other"), 405));
    assert_eq!(fleet.daemon.counter("requests_malformed"), 60);
    let seconds = started_at.elapsed().as_secs() as usize;
    assert!((1..=2 + seconds).contains(&fleet.daemon.line_count("a request was refused")));
}

#[test_case("", None; "silent")]
#[test_case("POST /api HTTP/1.1\r\n", Some(408); "half a request")]
fn clients_without_a_request_are_closed_in_time(text: &str, status: Option<u16>) {
    let fleet = start_fleet(&[]);
    let mut served = fleet.daemon.client();
    assert_eq!(served.get("/healthz"), 200);
    let mut idle = fleet.daemon.client();
    idle.send(text.as_bytes());
    let started_at = std::time::Instant::now();
    assert_eq!(idle.read_response().map(|answer| answer.status), status);
    assert!(started_at.elapsed().as_secs() < 10 && idle.is_closed());
    assert_eq!(served.exchange("id", "thumb", 5.0).status, 200);
}

#[test]
fn incomplete_requests_block_no_new_client() {
    let worker = Worker::start(&response_queue(&[]));
    let discovery = Discovery::start(vec![endpoint_json("a", &worker.address, "ready")]);
    let daemon = Daemon::start(&configuration(&discovery.address, 64));
    daemon.wait_until_ready();
    assert_eq!(
        daemon.client().exchange("before", "thumb", 20.0).status,
        200
    );
    let mut incomplete: Vec<Client> = (0..300).map(|_| daemon.client()).collect();
    incomplete
        .iter_mut()
        .for_each(|client| client.send(b"POST "));
    assert_eq!(daemon.client().exchange("after", "thumb", 20.0).status, 200);
    // Descriptors were freed by closing clients, not the connection to the worker.
    assert_eq!(
        (daemon.counter("connects"), daemon.counter("pool_evicted")),
        (1, 0)
    );
}

#[test]
fn an_attempt_without_a_descriptor_counts_as_not_sent() {
    let worker = Worker::start(&response_queue(&[StubResponse::NoResponse; 8]));
    let discovery = Discovery::start(vec![endpoint_json("a", &worker.address, "ready")]);
    let daemon = Daemon::start(&configuration(&discovery.address, 32 + 10));
    daemon.wait_until_ready();
    let send_request = |at| {
        let mut client = daemon.client();
        // Without a hint, the expected service time of a class that never ran is its latency objective, 0.9 s here. The
        // seventh of such requests at two concurrency slots would have no time left.
        let hint = "Work-Hint: 100000\r\n";
        client.send(request(&format!("id{at}"), "charge", 20.0, hint, "").as_bytes());
        client
    };
    // The attempts of disconnected clients continue, so that there are more attempts than clients.
    let disconnecting: Vec<Client> = (0..5).map(send_request).collect();
    while worker.request_count() < 5 {
        std::thread::yield_now();
    }
    drop(disconnecting);
    daemon.wait_for_counter("clients_disconnected", 5);
    let _silent = [send_request(5), send_request(6)];
    daemon.wait_for_counter("connects", 7);
    assert_eq!(send_request(7).read_response().unwrap().status, 503);
    assert_eq!(
        (
            daemon.counter("attempts_connect_failed"),
            daemon.counter("attempts_not_sent")
        ),
        (0, 3)
    );
}

#[test]
fn an_unread_log_delays_no_request() {
    let worker = Worker::start(&response_queue(&[]));
    let discovery = Discovery::start(vec![endpoint_json("a", &worker.address, "ready")]);
    let mut daemon = Daemon::start_with_unread_log(&configuration(&discovery.address, 1024));
    daemon.wait_until_ready();
    // Many more lines than a pipe buffers.
    daemon.signal_repeatedly("USR1", 800);
    assert_eq!(daemon.client().exchange("id", "thumb", 5.0).status, 200);
    daemon.signal("TERM");
    assert_eq!(daemon.wait_for_exit(), Some(0));
}
