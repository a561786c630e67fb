//! Tests of the daemon process over sockets, with test stubs for clients, workers and discovery.
mod attempts;
mod configuration;
mod connections;
mod discovery;
mod invalid_requests;
mod limits;
mod rolling_upgrade;
mod send_deadline;
mod shutdown;

use rosewall_cluster_testbed::stubs::{
    Daemon, Discovery, StubResponse, Worker, configuration, endpoint_json, response_queue,
};

/// Two workers that share one response queue, an endpoint list with both, and the daemon.
struct Fleet {
    workers: [Worker; 2],
    discovery: Discovery,
    daemon: Daemon,
}

fn start_fleet(responses: &[StubResponse]) -> Fleet {
    let response_queue = response_queue(responses);
    let workers = [
        Worker::start(&response_queue),
        Worker::start(&response_queue),
    ];
    let hosts = vec![
        endpoint_json("a", &workers[0].address, "ready"),
        endpoint_json("b", &workers[1].address, "ready"),
    ];
    let discovery = Discovery::start(hosts);
    let daemon = Daemon::start(&configuration(&discovery.address, 1024));
    daemon.wait_until_ready();
    Fleet {
        workers,
        discovery,
        daemon,
    }
}

impl Fleet {
    /// Returns the number of attempts that reached the workers.
    fn attempts(&self) -> usize {
        self.workers.iter().map(Worker::request_count).sum()
    }
}
