//! Where something ends while something is still owed: the crossing is forced by the stand-ins. See `docs/ends.md`.
use rosewall_cluster_testbed::stand::{
    Act, Daemon, Discovery, Worker, configuration, host, request, script, vanished_machine,
};
use std::io::{Read, Write};
use std::time::{Duration, Instant};
use test_case::test_case;

/// The operators' bound: for a client that has left nothing is sent on so much later.
const LEFT_WITHIN: Duration = Duration::from_millis(300);

/// Workers, of which the first drains, once that has been heard, serve six txns.
fn nothing_goes_to_the_first(daemon: &Daemon, workers: &[Worker]) {
    let mut client = daemon.client();
    for at in 0..6 {
        assert_eq!(client.ask(&format!("after{at}"), "charge", 5.0).status, 200);
    }
    assert_eq!((workers[0].count(), workers[1].count()), (0, 6));
}

/// A worker that follows a script, alone in the list, and the program.
fn one_worker(acts: &[Act]) -> (Worker, Daemon) {
    let worker = Worker::start(&script(acts));
    let discovery = Discovery::start(vec![host("a", &worker.dial, "ready")]);
    let daemon = Daemon::start(&configuration(&discovery.address, 1024));
    daemon.until_ready();
    (worker, daemon)
}

struct Stage {
    workers: [Worker; 2],
    discovery: Discovery,
    daemon: Daemon,
}

impl Stage {
    fn new(mode: &str) -> Stage {
        let workers = [(); 2].map(|()| Worker::start(&script(&[])));
        let hosts = ["a", "b"]
            .iter()
            .zip(&workers)
            .map(|(name, worker)| host(name, &worker.dial, "ready"));
        let discovery = Discovery::start(hosts.collect());
        let mut given = configuration(&discovery.address, 1024);
        given["settings"]["RegistryMode"] = mode.into();
        let daemon = Daemon::start(&given);
        daemon.until_ready();
        discovery.until_watched();
        Stage {
            workers,
            discovery,
            daemon,
        }
    }

    fn drain_the_first(&self, discovery: &Discovery) {
        let [a, b] = &self.workers;
        let hosts = vec![host("a", &a.dial, "draining"), host("b", &b.dial, "ready")];
        discovery.put(hosts.clone(), hosts);
    }
}

/// What a silent watch misses counts as told 6 s after it fell silent, or 2 s after the wait of its call, which may be 20 s
/// where calls cost the service. Guards against calls that are waited for longer.
#[test_case("pushed", 6; "a list that is pushed")]
#[test_case("on_request", 22; "a list that is asked for")]
fn a_drain_that_a_silent_watch_missed_is_heard_before_it_counts(mode: &str, seconds: u64) {
    let stage = Stage::new(mode);
    stage.discovery.fall_silent();
    let begun = Instant::now();
    stage.drain_the_first(&stage.discovery);
    stage.discovery.until_followed();
    assert!(
        begun.elapsed() < Duration::from_secs(seconds),
        "heard after {:?}",
        begun.elapsed()
    );
    nothing_goes_to_the_first(&stage.daemon, &stage.workers);
}

/// What an agent has counts from the moment of its return, and it knows no call of before. Guards against one call that is
/// waited for, and pauses that grow, while a drain's grace runs out: a few hundred ms at some users.
#[test_case(false; "the agent it knows")]
#[test_case(true; "the agent of a new configuration")]
fn an_agent_that_is_back_is_heard_within_a_short_grace(moves: bool) {
    let stage = Stage::new("pushed");
    let other = Discovery::start(vec![host("a", &stage.workers[0].dial, "ready")]);
    let discovery = if moves { &other } else { &stage.discovery };
    discovery.go_deaf();
    let calls = discovery.calls();
    if moves {
        stage.daemon.reload(
            &configuration(&other.address, 1024).to_string(),
            "a new configuration",
        );
    }
    discovery.fall_silent();
    discovery.until_called(calls + 6);
    stage.drain_the_first(discovery);
    discovery.come_to();
    let begun = Instant::now();
    discovery.until_followed();
    assert!(
        begun.elapsed() < Duration::from_millis(350),
        "heard after {:?}",
        begun.elapsed()
    );
    nothing_goes_to_the_first(&stage.daemon, &stage.workers);
}

/// Guards against a list that is waited for for as long as a call may wait, though half of it has come.
#[test]
fn a_list_that_ends_in_its_middle_is_asked_for_anew() {
    let stage = Stage::new("pushed");
    stage.discovery.cut_next();
    stage.drain_the_first(&stage.discovery);
    let begun = Instant::now();
    stage.discovery.until_followed();
    assert!(
        begun.elapsed() < Duration::from_secs(1),
        "heard after {:?}",
        begun.elapsed()
    );
    nothing_goes_to_the_first(&stage.daemon, &stage.workers);
}

/// Guards against a posting that waits for its connection, and goes out over it though its worker drains meanwhile.
#[test_case("draining")]
#[test_case("gone")]
fn a_posting_whose_worker_drains_while_its_connection_comes_up_is_not_sent(health: &str) {
    let (listener, (dial, queue)) = vanished_machine();
    let worker = Worker::start(&script(&[]));
    let discovery = Discovery::start(vec![host("a", &dial, "ready")]);
    let mut given = configuration(&discovery.address, 1024);
    // A connection that is tried again by the system, after 1 s, is still waited for.
    given["settings"]["Bounds"]["ConnectTimeoutNs"] = 8_000_000_000_u64.into();
    let daemon = Daemon::start(&given);
    daemon.until_ready();
    discovery.until_watched();
    let mut client = daemon.client();
    client.send(request("id", "charge", 20.0, "", "a body").as_bytes());
    daemon.until_counter("connects", 1);
    discovery.tell(vec![
        host("a", &dial, health),
        host("b", &worker.dial, "ready"),
    ]);
    let local = queue
        .iter()
        .map(|stream| stream.local_addr().unwrap())
        .collect::<Vec<_>>();
    let mut came = std::iter::repeat_with(|| listener.accept().unwrap())
        .find(|(_, from)| !local.contains(from));
    let (stream, _) = came.as_mut().unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    assert_eq!(
        stream.read(&mut [0]).ok(),
        Some(0),
        "sent to a worker that is {health}"
    );
    assert_eq!((client.answer().unwrap().status, worker.count()), (200, 1));
}

/// A txn that is held, as no worker is ready, whose client sends so much more and then goes: its leave stands behind bytes
/// that no one waits for.
#[test_case(192, 0; "nothing more")]
#[test_case(192, 300_000; "more than is read ahead")]
#[test_case(192, 8_000_000; "more than the system holds")]
#[test_case(1, 75_000; "more than the memory is for")]
fn nothing_is_sent_on_for_a_client_that_sent_much_and_left(memory_mb: u64, more: usize) {
    let worker = Worker::start(&script(&[]));
    let discovery = Discovery::start(vec![host("a", &worker.dial, "draining")]);
    let mut given = configuration(&discovery.address, 1024);
    given["limits"]["memory_mb"] = memory_mb.into();
    let daemon = Daemon::start(&given);
    daemon.until_ready();
    discovery.until_watched();
    let mut client = daemon.client();
    client.send(request("held", "charge", 15.0, "", &"x".repeat(60_000)).as_bytes());
    daemon.until_counter("requests", 1);
    let next = request("ahead", "charge", 15.0, "", &"x".repeat(60_000));
    let stream = client.reader.get_mut();
    stream
        .set_write_timeout(Some(Duration::from_secs(3)))
        .unwrap();
    let _ = stream.write_all(next.repeat(more.div_ceil(next.len())).as_bytes());
    drop(client);
    let left = Instant::now();
    while daemon.counter("clients_disconnected") == 0 {
        assert!(left.elapsed() < LEFT_WITHIN, "the leave is not seen");
    }
    discovery.tell(vec![host("a", &worker.dial, "ready")]);
    assert_eq!(daemon.client().ask("next", "thumb", 5.0).status, 200);
    assert_eq!(
        (worker.count(), daemon.counter("invariant_violations")),
        (1, 0)
    );
}

/// Who sends more ahead than there is room for still gets each answer to what was read whole, and a refusal for the rest.
#[test]
fn one_that_sends_far_ahead_is_served_and_told_to_go() {
    let (_worker, daemon) = one_worker(&[Act::Later(300)]);
    let mut client = daemon.client();
    client.send(request("id0", "thumb", 5.0, "", "x").as_bytes());
    daemon.until_counter("attempts_started", 1);
    (1..6).for_each(|at| {
        client.send(request(&format!("id{at}"), "thumb", 5.0, "", &"x".repeat(30_000)).as_bytes())
    });
    let statuses: Vec<u16> = std::iter::from_fn(|| client.answer())
        .map(|answer| answer.status)
        .collect();
    assert!(statuses.len() > 2 && statuses.len() < 6, "{statuses:?}");
    let (last, served) = statuses.split_last().unwrap();
    assert!(
        *last == 503 && served.iter().all(|status| *status == 200),
        "{statuses:?}"
    );
}

/// Guards against a worker whose answer never ends: the txn has its time, and everyone else their turn.
#[test]
fn an_answer_without_an_end_costs_its_txn_and_no_other() {
    let (worker, daemon) = one_worker(&[Act::Endless]);
    let (mut client, begun) = (daemon.client(), Instant::now());
    client.send(request("endless", "charge", 2.0, "", "").as_bytes());
    while worker.count() == 0 {
        std::thread::yield_now();
    }
    assert_eq!(daemon.client().ask("beside", "thumb", 1.0).status, 200);
    assert_eq!(client.answer().unwrap().status, 502);
    assert!(
        begun.elapsed() < Duration::from_millis(2_050),
        "answered after {:?}",
        begun.elapsed()
    );
}

/// Guards against connections that a worker keeps busy for ever after its last line.
#[test]
fn a_connection_on_which_more_comes_after_the_last_line_is_closed() {
    let (worker, daemon) = one_worker(&[Act::DoneEndless]);
    assert_eq!(daemon.client().ask("id", "charge", 5.0).status, 200);
    let answered = Instant::now();
    while worker.ended.load(std::sync::atomic::Ordering::SeqCst) == 0 {
        assert!(
            answered.elapsed() < Duration::from_secs(2),
            "the connection is still open"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against an answer to an earlier posting that is taken for this one's: by it a once-only txn has not run, and is
/// posted again.
#[test]
fn a_second_answer_is_not_taken_for_the_next_txns() {
    let (worker, daemon) = one_worker(&[Act::DoneTwice; 8]);
    let mut client = daemon.client();
    let statuses = [0, 1, 2, 3].map(|at| client.ask(&format!("id{at}"), "charge", 5.0).status);
    assert_eq!(
        (statuses, worker.count()),
        ([200; 4], 4),
        "a txn ran more than once"
    );
}
