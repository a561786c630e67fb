//! Where something ends while something is still owed: the crossing is forced by the stand-ins. See `docs/ends.md`.
use rosewall_rig::stand::{Daemon, Discovery, Worker, configuration, host, script};
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
