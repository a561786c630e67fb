//! One dispatcher at the operators' limits (192 MB, 1,024 descriptors, a share of a core) beside clients that misbehave. Regular
//! clients must be answered in time, no limit be exceeded, nothing be sent after a close and no id run twice.
use rosewall_cluster_testbed::pressure::{Misbehaviour, Pressure};
use std::sync::Mutex;
use std::time::Duration;
use test_case::test_case;

const MEMORY_MB: u64 = 192;
const SOCKETS: usize = 1_024;

/// Only one run at a time: they share a core and measure times.
static RUNNING: Mutex<()> = Mutex::new(());

#[test_case(Misbehaviour::Mixed, 600, 1; "hundreds that hold memory in all ways")]
#[test_case(Misbehaviour::HalfRequest, 600, 1; "hundreds that stop half way")]
#[test_case(Misbehaviour::LongIds, 600, 1; "hundreds with long ids")]
#[test_case(Misbehaviour::FloodRejected, 1, 1; "a flood of requests that are rejected")]
#[test_case(Misbehaviour::FloodUnknownNames, 20, 1; "floods of unknown names")]
#[test_case(Misbehaviour::FloodChecks, 4, 1; "floods of readiness checks")]
fn misbehaving_clients_harm_no_others(
    misbehaviour: Misbehaviour,
    connections: usize,
    busy_processes: usize,
) {
    let _running = RUNNING.lock().unwrap_or_else(|error| error.into_inner());
    let pressure = Pressure {
        misbehaviour,
        connections,
        duration: Duration::from_secs(3),
        seed: 1,
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        shared_core: Some(0),
        busy_processes,
    };
    let report = pressure.run();
    assert_eq!(report.violations(MEMORY_MB), Vec::<String>::new());
    assert!(report.regular_requests > 100, "{report:?}");
}

/// A hundred clients that leave with answers unread, or with requests unread, at a sixth of a core.
#[test]
fn nothing_is_sent_for_many_clients_that_have_left() {
    for misbehaviour in [Misbehaviour::LeaveUnread, Misbehaviour::LeaveRead] {
        misbehaving_clients_harm_no_others(misbehaviour, 100, 5);
    }
}
