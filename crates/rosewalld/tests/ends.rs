//! Where something ends while something is still owed: the crossing is forced by the stand-ins. See `docs/ends.md`.
use rosewall_rig::stand::{
    Daemon, Discovery, Worker, configuration, host, request, script, vanished_machine,
};
use std::io::Read;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Workers, of which the first drains, once that has been heard, serve six txns.
fn nothing_goes_to_the_first(daemon: &Daemon, workers: &[Worker]) {
    let mut client = daemon.client();
    for at in 0..6 {
        assert_eq!(client.ask(&format!("after{at}"), "charge", 5.0).status, 200);
    }
    assert_eq!((workers[0].count(), workers[1].count()), (0, 6));
}

struct Stage {
    workers: [Worker; 2],
    discovery: Discovery,
    daemon: Daemon,
}

impl Stage {
    fn new() -> Stage {
        let script = script(&[]);
        let workers = [Worker::start(&script), Worker::start(&script)];
        let discovery = Discovery::start(vec![
            host("a", &workers[0].dial, "ready"),
            host("b", &workers[1].dial, "ready"),
        ]);
        let daemon = Daemon::start(&configuration(&discovery.address, 1024));
        daemon.until_ready();
        discovery.until_watched();
        Stage { workers, discovery, daemon }
    }

    fn drain_the_first(&self) {
        let [a, b] = &self.workers;
        let hosts = vec![host("a", &a.dial, "draining"), host("b", &b.dial, "ready")];
        self.discovery.put(hosts.clone(), hosts);
    }
}

/// What a silent watch misses counts as told 6 s after it fell silent. Guards against calls that may wait for longer.
#[test]
fn a_drain_that_a_silent_watch_missed_is_heard_before_it_counts() {
    let stage = Stage::new();
    stage.discovery.fall_silent();
    let begun = Instant::now();
    stage.drain_the_first();
    stage.discovery.until_followed();
    assert!(begun.elapsed() < Duration::from_secs(6), "heard after {:?}", begun.elapsed());
    nothing_goes_to_the_first(&stage.daemon, &stage.workers);
}

/// What an agent has counts from the moment of its return, and it knows no call of before. Guards against one call that is
/// waited for, and pauses that grow, while a drain's grace runs out: a few hundred ms at some users.
#[test_case(false; "the agent it knows")]
#[test_case(true; "the agent of a new configuration")]
fn an_agent_that_is_back_is_heard_within_a_short_grace(moves: bool) {
    let stage = Stage::new();
    let other = Discovery::start(vec![host("a", &stage.workers[0].dial, "ready")]);
    let discovery = if moves { &other } else { &stage.discovery };
    discovery.go_deaf();
    let calls = discovery.calls();
    if moves {
        stage.daemon.reload(&configuration(&other.address, 1024).to_string(), "a new configuration");
    }
    discovery.fall_silent();
    discovery.until_called(calls + 6);
    let [a, b] = &stage.workers;
    let hosts = vec![host("a", &a.dial, "draining"), host("b", &b.dial, "ready")];
    discovery.put(hosts.clone(), hosts);
    discovery.come_to();
    let begun = Instant::now();
    discovery.until_followed();
    assert!(begun.elapsed() < Duration::from_millis(350), "heard after {:?}", begun.elapsed());
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
    discovery.tell(vec![host("a", &dial, health), host("b", &worker.dial, "ready")]);
    let local = queue.iter().map(|stream| stream.local_addr().unwrap()).collect::<Vec<_>>();
    let mut came =
        std::iter::repeat_with(|| listener.accept().unwrap()).find(|(_, from)| !local.contains(from));
    let (stream, _) = came.as_mut().unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    assert_eq!(stream.read(&mut [0]).ok(), Some(0), "sent to a worker that is {health}");
    assert_eq!((client.answer().unwrap().status, worker.count()), (200, 1));
}
