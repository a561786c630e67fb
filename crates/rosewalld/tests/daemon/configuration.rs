//! Loading of the configuration file at program start and at SIGHUP.
use crate::start_fleet;
use rosewall_cluster_testbed::stubs::{
    Discovery, Worker, configuration, endpoint_json, response_queue,
};
use std::process::Command;
use test_case::test_case;

#[test]
fn a_valid_reload_switches_discovery_and_an_invalid_one_changes_nothing() {
    let fleet = start_fleet(&[]);
    fleet.discovery.wait_for_versioned_watch();
    fleet.daemon.reload(
        "{",
        "configuration reload failed, keeping the running configuration",
    );
    let mut wrong = configuration(&fleet.discovery.address, 1024);
    wrong["settings"]["Contract"]["ColdFrom"] = (-1).into();
    fleet.daemon.reload(
        &wrong.to_string(),
        "setting slow_start.from is out of range: -1",
    );
    let new = Worker::start(&response_queue(&[]));
    let discovery = Discovery::start(vec![endpoint_json("c", &new.address, "ready")]);
    fleet.daemon.reload(
        &configuration(&discovery.address, 1024).to_string(),
        "a new configuration",
    );
    discovery.wait_for_versioned_watch();
    assert_eq!(
        fleet.daemon.client().exchange("one", "thumb", 5.0).status,
        200
    );
    assert_eq!((fleet.attempts(), new.request_count()), (0, 1));
    // A further reload switches back to the first service.
    fleet.daemon.reload(
        &configuration(&fleet.discovery.address, 1024).to_string(),
        "a new configuration",
    );
    fleet.discovery.publish_changes(Vec::new());
    assert_eq!(
        fleet.daemon.client().exchange("two", "thumb", 5.0).status,
        200
    );
    assert_eq!((fleet.attempts(), new.request_count()), (1, 1));
}

#[test_case(None, "PROXY_CONFIG is unset or not UTF-8"; "not named")]
#[test_case(Some("/nowhere/config.json"), "cannot read the configuration"; "missing")]
#[test_case(Some("/dev/null"), "cannot use the configuration"; "unreadable")]
fn the_daemon_ends_with_one_message_without_a_usable_configuration(
    path: Option<&str>,
    message: &str,
) {
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
