//! Tests of the endpoint table: worker ids, stale connections and old lists.
use super::{EndpointTable, worker_id};
use rosewall::types::{EndpointState, Nanos};
use rosewall_protocol::discovery::{DiscoveredEndpoint, EndpointList};
use test_case::test_case;

const SECOND: Nanos = 1_000_000_000;

fn endpoint(host: &str, port: u16, state: EndpointState, started_at: Nanos) -> DiscoveredEndpoint {
    DiscoveredEndpoint {
        host: host.into(),
        address: Some(([127, 0, 0, 1], port).into()),
        state,
        zone: 0,
        worker_type: 0,
        group: 0,
        size: 1.0,
        started_at,
    }
}

fn snapshot(endpoints: Vec<DiscoveredEndpoint>) -> EndpointList {
    EndpointList {
        version: 1,
        is_snapshot: true,
        endpoints,
    }
}

fn delta(version: u64, endpoints: Vec<DiscoveredEndpoint>) -> EndpointList {
    EndpointList {
        version,
        is_snapshot: false,
        endpoints,
    }
}

#[test]
fn a_worker_id_depends_only_on_the_host() {
    let mut one = EndpointTable::default();
    let mut other = EndpointTable::default();
    let a = endpoint("a", 1, EndpointState::Ready, 0);
    let a_restarted_elsewhere = endpoint("a", 9, EndpointState::Ready, 7);
    let b = endpoint("b", 2, EndpointState::Ready, 0);

    let first = one.apply(0, snapshot(vec![a, b.clone()])).endpoints;
    let second = other
        .apply(0, snapshot(vec![b, a_restarted_elsewhere]))
        .endpoints;

    assert_eq!(
        (first[0].worker, first[1].worker),
        (second[1].worker, second[0].worker)
    );
    assert_ne!(first[0].worker, first[1].worker);
}

#[test_case(true, &[endpoint("a", 1, EndpointState::Ready, 0)] => vec!["b"]; "missing from a snapshot")]
#[test_case(false, &[endpoint("a", 1, EndpointState::Ready, 0)] => Vec::<&str>::new(); "not among the changes")]
#[test_case(false, &[endpoint("a", 1, EndpointState::Removed, 0)] => vec!["a"]; "removed")]
#[test_case(false, &[endpoint("a", 1, EndpointState::Ready, 5)] => vec!["a"]; "restarted")]
#[test_case(false, &[endpoint("a", 3, EndpointState::Ready, 0)] => vec!["a"]; "at another address")]
#[test_case(false, &[endpoint("a", 1, EndpointState::Draining, 0)] => Vec::<&str>::new(); "draining")]
fn a_list_update_reports_workers_with_stale_connections(
    is_snapshot: bool,
    endpoints: &[DiscoveredEndpoint],
) -> Vec<&'static str> {
    let mut table = EndpointTable::default();
    table.apply(
        0,
        snapshot(vec![
            endpoint("a", 1, EndpointState::Ready, 0),
            endpoint("b", 2, EndpointState::Ready, 0),
        ]),
    );

    let update = table.apply(
        0,
        EndpointList {
            version: 1,
            is_snapshot,
            endpoints: endpoints.to_vec(),
        },
    );

    ["a", "b"]
        .into_iter()
        .filter(|host| update.stale_connections.contains(&worker_id(host)))
        .collect()
}

#[test_case(EndpointState::Draining, 0, 1 => EndpointState::Draining; "an old list")]
#[test_case(EndpointState::Removed, 0, 1 => EndpointState::Removed; "an old list of a removed worker")]
#[test_case(EndpointState::Draining, 5, 1 => EndpointState::Ready; "restarted since")]
#[test_case(EndpointState::Ready, 0, 1 => EndpointState::Ready; "the worker was ready")]
#[test_case(EndpointState::Draining, 0, 61 => EndpointState::Ready; "lower versions are accepted after a minute")]
fn an_old_list_does_not_make_a_draining_or_removed_worker_ready(
    known: EndpointState,
    started_at: Nanos,
    after_seconds: u64,
) -> EndpointState {
    let mut table = EndpointTable::default();
    table.apply(0, delta(9, vec![endpoint("a", 1, known, 0)]));
    table.apply(SECOND, delta(3, Vec::new()));

    let old_list = delta(4, vec![endpoint("a", 1, EndpointState::Ready, started_at)]);
    let update = table.apply(after_seconds * SECOND, old_list);

    update.endpoints[0].state
}

#[test]
fn an_old_list_does_not_restore_the_address_of_an_earlier_process() {
    let mut table = EndpointTable::default();
    let ready = |port, started_at| vec![endpoint("a", port, EndpointState::Ready, started_at)];

    table.apply(0, delta(9, ready(2, 5)));
    table.apply(0, delta(3, ready(1, 0)));

    assert_eq!(
        table
            .address_of(worker_id("a"))
            .map(|known| known.address.port()),
        Some(2)
    );
}
