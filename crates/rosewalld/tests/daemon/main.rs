//! Tests of the daemon process over sockets, with test stubs for clients, workers and discovery.
mod attempts;
mod configuration;
mod connections;
mod discovery;
mod invalid_requests;
mod limits;
mod rolling_upgrade;
mod shutdown;

use rosewall_cluster_testbed::stubs::{
    Act, Daemon, Discovery, Worker, configuration, host, script,
};

/// Two workers that follow one script, an endpoint list with both, and the daemon.
struct Fleet {
    workers: [Worker; 2],
    discovery: Discovery,
    daemon: Daemon,
}

fn start_fleet(acts: &[Act]) -> Fleet {
    let script = script(acts);
    let workers = [Worker::start(&script), Worker::start(&script)];
    let hosts = vec![
        host("a", &workers[0].dial, "ready"),
        host("b", &workers[1].dial, "ready"),
    ];
    let discovery = Discovery::start(hosts);
    let daemon = Daemon::start(&configuration(&discovery.address, 1024));
    daemon.until_ready();
    Fleet {
        workers,
        discovery,
        daemon,
    }
}

impl Fleet {
    /// Returns the number of attempts that reached the workers.
    fn attempts(&self) -> usize {
        self.workers.iter().map(Worker::count).sum()
    }
}
