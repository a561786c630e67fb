//! Endpoint list: watches, draining workers and failures of the discovery service.
use crate::start_fleet;
use rosewall_cluster_testbed::stubs::{
    Daemon, Discovery, Worker, configuration, endpoint_json, response_queue, unreachable_address,
};
use std::time::{Duration, Instant};

#[test]
fn no_request_goes_to_a_draining_worker() {
    let fleet = start_fleet(&[]);
    fleet.discovery.wait_for_versioned_watch();
    fleet.discovery.publish_changes(vec![endpoint_json(
        "a",
        &fleet.workers[0].address,
        "draining",
    )]);
    for at in 0..10 {
        assert_eq!(
            fleet
                .daemon
                .client()
                .exchange(&format!("id{at}"), "thumb", 5.0)
                .status,
            200
        );
    }
    assert_eq!(
        (
            fleet.workers[0].request_count(),
            fleet.workers[1].request_count()
        ),
        (0, 10)
    );
}

#[test]
fn requests_are_served_while_discovery_is_unreachable() {
    let fleet = start_fleet(&[]);
    fleet.discovery.wait_for_versioned_watch();
    fleet.discovery.shut_down();
    fleet.daemon.wait_for_counter("watches_failed", 2);
    assert_eq!(
        fleet
            .daemon
            .client()
            .exchange("during", "thumb", 5.0)
            .status,
        200
    );
    // A slow machine sends fewer requests, never more.
    std::thread::sleep(Duration::from_millis(300));
    assert!(
        fleet.discovery.watch_count() < 12,
        "the list is requested in a busy loop"
    );
    let new = Worker::start(&response_queue(&[]));
    fleet
        .discovery
        .restart(vec![endpoint_json("c", &new.address, "ready")]);
    assert_eq!(
        fleet.daemon.client().exchange("after", "thumb", 5.0).status,
        200
    );
    assert_eq!(new.request_count(), 1);
}

/// A watch from the cached version spares the service a snapshot for each dispatcher when all of them start at once.
#[test]
fn a_polled_list_is_watched_from_the_cached_version() {
    let worker = Worker::start(&response_queue(&[]));
    let (known, new) = (
        endpoint_json("a", &worker.address, "ready"),
        Worker::start(&response_queue(&[])),
    );
    let discovery = Discovery::start(vec![known.clone()]);
    let mut configuration = configuration(&discovery.address, 1024);
    configuration["settings"]["RegistryMode"] = "on_request".into();
    configuration["known"] = serde_json::json!({"seq": 1, "whole": true, "hosts": [known]});
    let daemon = Daemon::start(&configuration);
    discovery.wait_for_versioned_watch();
    assert_eq!(discovery.watch_count(), 1);
    discovery.shut_down();
    daemon.wait_for_counter("watches_failed", 1);
    discovery.restart(vec![endpoint_json("b", &new.address, "ready")]);
    discovery.publish_changes(vec![endpoint_json("a", &worker.address, "draining")]);
    assert_eq!(daemon.client().exchange("id", "thumb", 5.0).status, 200);
    assert_eq!((worker.request_count(), new.request_count()), (0, 1));
}

/// A watch from a version that the service has not reached would miss the changes before that version.
#[test]
fn a_snapshot_is_requested_when_the_version_of_the_service_decreases() {
    let worker = Worker::start(&response_queue(&[]));
    let discovery = Discovery::start(vec![endpoint_json("b", &worker.address, "ready")]);
    let mut configuration = configuration(&discovery.address, 1024);
    configuration["settings"]["RegistryMode"] = "on_request".into();
    let known = endpoint_json("a", "127.0.0.1:1", "draining");
    configuration["known"] = serde_json::json!({"seq": 9, "whole": true, "hosts": [known]});
    let daemon = Daemon::start(&configuration);
    daemon.wait_for_counter("lists", 2);
    assert_eq!(daemon.client().exchange("id", "thumb", 5.0).status, 200);
}

/// The old watch continues until the new one has received its first list.
#[test]
fn a_drain_is_applied_while_the_new_discovery_address_does_not_answer() {
    let fleet = start_fleet(&[]);
    let (_listener, (silent_address, _queue)) = unreachable_address();
    fleet.daemon.reload(
        &configuration(&silent_address, 1024).to_string(),
        "a new configuration: discovery at",
    );
    let lists = fleet.daemon.counter("lists");
    let [a, b] = &fleet.workers;
    fleet.discovery.publish_changes(vec![
        endpoint_json("a", &a.address, "draining"),
        endpoint_json("b", &b.address, "ready"),
    ]);
    fleet.daemon.wait_for_counter("lists", lists + 1);
    let mut client = fleet.daemon.client();
    for at in 0..6 {
        assert_eq!(
            client.exchange(&format!("id{at}"), "charge", 5.0).status,
            200
        );
    }
    assert_eq!((a.request_count(), b.request_count()), (0, 6));
}

#[test]
fn a_malformed_list_is_ignored_and_a_snapshot_fetched() {
    let fleet = start_fleet(&[]);
    fleet.discovery.wait_for_versioned_watch();
    fleet
        .discovery
        .send_malformed_list("{\"seq\":7,\"whole\":true,\"hosts\":[{\"host\":\"a\"}]}");
    assert_eq!(fleet.daemon.counter("lists_malformed"), 1);
    assert_eq!(
        fleet.daemon.client().exchange("id", "thumb", 5.0).status,
        200
    );
}

/// Returns a configuration with a cached list of these workers, all ready, and this grace of drains.
fn configuration_with_cached_list(
    discovery: &Discovery,
    workers: &[Worker],
    grace: Duration,
) -> serde_json::Value {
    let mut configuration = configuration(&discovery.address, 1024);
    configuration["settings"]["Contract"]["StopSendingWithinNs"] =
        serde_json::json!(grace.as_nanos() as u64);
    let hosts: Vec<serde_json::Value> = ["a", "b"]
        .iter()
        .zip(workers)
        .map(|(name, worker)| endpoint_json(name, &worker.address, "ready"))
        .collect();
    configuration["known"] = serde_json::json!({"seq": 1, "whole": true, "hosts": hosts});
    configuration
}

/// A cached list of a service that answers no more must not keep a dispatcher from its clients for longer than 10 s after
/// its start. Until then clients are not sent to it: their requests would be rejected.
#[test]
fn a_cached_list_makes_the_daemon_ready_within_ten_seconds_without_discovery() {
    let discovery = Discovery::start(Vec::new());
    discovery.shut_down();
    let without_list = Daemon::start(&configuration(&discovery.address, 1024));
    let workers = [Worker::start(&response_queue(&[]))];
    let grace = Duration::from_secs(5);
    let configuration = configuration_with_cached_list(&discovery, &workers, grace);
    let started_at = Instant::now();
    let daemon = Daemon::start(&configuration);
    assert_eq!(daemon.client().get("/healthz"), 503);
    assert_eq!(daemon.client().exchange("id", "thumb", 5.0).status, 200);
    daemon.wait_until_ready();
    let ready_after = started_at.elapsed();
    assert!(
        ready_after < Duration::from_secs(10),
        "ready after {ready_after:?}"
    );
    assert_eq!(without_list.client().get("/healthz"), 503);
}

/// Where lists are polled, changes count from their delivery, so the cached list is good from the start.
#[test]
fn a_polled_cached_list_makes_the_daemon_ready_at_once_without_discovery() {
    let discovery = Discovery::start(Vec::new());
    discovery.shut_down();
    let workers = [Worker::start(&response_queue(&[]))];
    let mut configuration = configuration_with_cached_list(&discovery, &workers, Duration::ZERO);
    configuration["settings"]["RegistryMode"] = "on_request".into();
    let daemon = Daemon::start(&configuration);
    assert_eq!(daemon.client().get("/healthz"), 200);
    assert_eq!(daemon.client().exchange("id", "thumb", 5.0).status, 200);
}

/// Guards against work for a worker whose drain the agent has had since before the start, while it is silent.
#[test]
fn nothing_is_sent_after_the_grace_by_a_cached_list_that_a_silent_agent_has_not_confirmed() {
    let grace = Duration::from_secs(1);
    let workers = [(); 2].map(|()| Worker::start(&response_queue(&[])));
    let discovery = Discovery::start(vec![
        endpoint_json("a", &workers[0].address, "draining"),
        endpoint_json("b", &workers[1].address, "ready"),
    ]);
    discovery.stop_responding();
    let daemon = Daemon::start(&configuration_with_cached_list(&discovery, &workers, grace));
    std::thread::sleep(grace);
    let sent = || workers.each_ref().map(Worker::request_count);
    let sent_within_grace = sent();
    let mut client = daemon.client();
    for at in 0..6 {
        assert_eq!(
            client.exchange(&format!("id{at}"), "thumb", 0.3).status,
            503
        );
    }
    assert_eq!(sent(), sent_within_grace);
    discovery.resume_responding();
    daemon.wait_until_ready();
    for at in 6..12 {
        assert_eq!(
            client.exchange(&format!("id{at}"), "thumb", 5.0).status,
            200
        );
    }
    assert_eq!(workers[0].request_count(), sent_within_grace[0]);
}

/// The size limit of a list admits the largest fleets of the operators' trials.
#[test]
fn a_list_of_a_thousand_workers_is_served() {
    let worker = Worker::start(&response_queue(&[]));
    let hosts = (0..1_024)
        .map(|at| endpoint_json(&format!("w{at}"), &worker.address, "ready"))
        .collect();
    let discovery = Discovery::start(hosts);
    let daemon = Daemon::start(&configuration(&discovery.address, 1024));
    daemon.wait_until_ready();
    let mut client = daemon.client();
    let statuses: Vec<u16> = (0..20)
        .map(|at| client.exchange(&format!("id{at}"), "charge", 5.0).status)
        .collect();
    assert_eq!(statuses, [200; 20]);
}
