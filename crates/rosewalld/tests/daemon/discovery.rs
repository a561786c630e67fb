//! Endpoint list: watches, draining workers and failures of the discovery service.
use crate::start_fleet;
use rosewall_cluster_testbed::stubs::{
    Daemon, Discovery, Worker, configuration, host, script, vanished_machine,
};

#[test]
fn no_request_goes_to_a_draining_worker() {
    let fleet = start_fleet(&[]);
    fleet.discovery.until_watched();
    fleet
        .discovery
        .tell(vec![host("a", &fleet.workers[0].dial, "draining")]);
    for at in 0..10 {
        assert_eq!(
            fleet
                .daemon
                .client()
                .ask(&format!("id{at}"), "thumb", 5.0)
                .status,
            200
        );
    }
    assert_eq!(
        (fleet.workers[0].count(), fleet.workers[1].count()),
        (0, 10)
    );
}

#[test]
fn requests_are_served_while_discovery_is_unreachable() {
    let fleet = start_fleet(&[]);
    fleet.discovery.until_watched();
    fleet.discovery.go_down();
    fleet.daemon.until_counter("watches_failed", 2);
    assert_eq!(
        fleet.daemon.client().ask("during", "thumb", 5.0).status,
        200
    );
    // A slow machine sends fewer requests, never more.
    std::thread::sleep(std::time::Duration::from_millis(300));
    assert!(
        fleet.discovery.calls() < 12,
        "the list is requested in a busy loop"
    );
    let new = Worker::start(&script(&[]));
    fleet
        .discovery
        .come_back(vec![host("c", &new.dial, "ready")]);
    assert_eq!(fleet.daemon.client().ask("after", "thumb", 5.0).status, 200);
    assert_eq!(new.count(), 1);
}

/// A watch from the cached version spares the service a snapshot for each dispatcher when all of them start at once.
#[test]
fn a_polled_list_is_watched_from_the_cached_version() {
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

/// A watch from a version that the service has not reached would miss the changes before that version.
#[test]
fn a_snapshot_is_requested_when_the_version_of_the_service_decreases() {
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

/// The old watch continues until the new one has received its first list.
#[test]
fn a_drain_is_applied_while_the_new_discovery_address_does_not_answer() {
    let fleet = start_fleet(&[]);
    let (_listener, (silent_address, _queue)) = vanished_machine();
    fleet.daemon.reload(
        &configuration(&silent_address, 1024).to_string(),
        "a new configuration: discovery at",
    );
    let lists = fleet.daemon.counter("lists");
    let [a, b] = &fleet.workers;
    fleet.discovery.tell(vec![
        host("a", &a.dial, "draining"),
        host("b", &b.dial, "ready"),
    ]);
    fleet.daemon.until_counter("lists", lists + 1);
    let mut client = fleet.daemon.client();
    for at in 0..6 {
        assert_eq!(client.ask(&format!("id{at}"), "charge", 5.0).status, 200);
    }
    assert_eq!((a.count(), b.count()), (0, 6));
}

#[test]
fn a_malformed_list_is_ignored_and_a_snapshot_fetched() {
    let fleet = start_fleet(&[]);
    fleet.discovery.until_watched();
    fleet
        .discovery
        .garble("{\"seq\":7,\"whole\":true,\"hosts\":[{\"host\":\"a\"}]}");
    assert_eq!(fleet.daemon.counter("lists_malformed"), 1);
    assert_eq!(fleet.daemon.client().ask("id", "thumb", 5.0).status, 200);
}

#[test]
fn a_cached_list_makes_the_daemon_ready_without_discovery() {
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

/// The size limit of a list admits the largest fleets of the operators' trials.
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
