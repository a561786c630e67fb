//! Tests of the start: one for each state of the list.
use crate::engine::tests::{Fixture, worker};
use crate::engine::{CachedListUse, Input};
use rosewall::types::EndpointState::{self, Draining, Ready};
use rosewall_protocol::discovery::EndpointList;
use test_case::test_case;

const GRACE_MS: u64 = 3_000;
/// Time until which requests are sent by a list that was not confirmed.
const GRACE_USED_MS: u64 = GRACE_MS - 250;

/// An engine with a cached list of one ready worker, whose agent has not answered yet.
fn unconfirmed() -> Fixture {
    let usage = CachedListUse::UntilConfirmed {
        drain_grace: GRACE_MS * 1_000_000,
    };
    Fixture::with_cached_list("non-idempotent", vec![worker(Ready)], usage)
}

fn list(is_snapshot: bool, states: &[EndpointState]) -> Input {
    Input::EndpointList(EndpointList {
        version: 2,
        is_snapshot,
        endpoints: states.iter().copied().map(worker).collect(),
    })
}

#[test]
fn within_the_grace_requests_are_sent_by_the_cached_list_but_no_clients_are_invited() {
    let mut fixture = unconfirmed();
    assert!(!fixture.engine.is_ready());
    assert_eq!(fixture.run_until(GRACE_USED_MS - 1), Vec::<String>::new());
    assert_eq!(
        fixture.send_request_at(GRACE_USED_MS - 1, 1, "a"),
        ["send 1 0"]
    );
}

/// Guards against work for a worker that began to drain before the start, while its agent is silent.
#[test]
fn after_the_grace_nothing_is_sent_by_a_list_that_was_not_confirmed() {
    let mut fixture = unconfirmed();
    fixture.send_request_at(GRACE_USED_MS - 1, 1, "a");
    assert_eq!(fixture.run_until(GRACE_USED_MS), ["cancel 1 0"]);
    assert_eq!(
        fixture.send_request_at(GRACE_USED_MS, 2, "b"),
        Vec::<String>::new()
    );
    assert!(!fixture.engine.is_ready());
}

#[test]
fn without_a_grace_nothing_is_sent_by_a_list_that_was_not_confirmed() {
    let usage = CachedListUse::UntilConfirmed { drain_grace: 0 };
    let mut fixture = Fixture::with_cached_list("idempotent", vec![worker(Ready)], usage);
    fixture.run_until(1);
    assert_eq!(fixture.send_request_at(1, 1, "a"), Vec::<String>::new());
}

#[test]
fn after_nine_seconds_the_dispatcher_is_ready_and_still_sends_nothing() {
    let mut fixture = unconfirmed();
    fixture.run_until(8_999);
    assert!(!fixture.engine.is_ready());
    fixture.run_until(9_000);
    assert!(fixture.engine.is_ready());
    assert_eq!(fixture.send_request_at(9_000, 1, "a"), Vec::<String>::new());
}

#[test]
fn after_thirty_seconds_the_cached_list_is_used() {
    let mut fixture = unconfirmed();
    fixture.run_until(29_999);
    assert_eq!(
        fixture.send_request_at(29_999, 1, "a"),
        Vec::<String>::new()
    );
    fixture.run_until(30_000);
    assert_eq!(fixture.send_request_at(30_001, 2, "b"), ["send 2 0"]);
}

#[test_case(true, &[Ready], true; "a snapshot")]
#[test_case(false, &[], true; "a delta without changes")]
#[test_case(true, &[Draining], false; "a snapshot with a drain")]
#[test_case(false, &[Draining], false; "a delta with a drain")]
fn a_list_confirms_or_replaces_the_cached_one(
    is_snapshot: bool,
    states: &[EndpointState],
    is_sent: bool,
) {
    for arrives_at in [1_000, 5_000, 10_000] {
        let mut fixture = unconfirmed();
        fixture.run_until(arrives_at);
        fixture.handle(arrives_at, list(is_snapshot, states));
        assert!(fixture.engine.is_ready());
        fixture.run_until(arrives_at + 100);
        let effects = fixture.send_request_at(arrives_at + 100, 1, "a");
        assert_eq!(!effects.is_empty(), is_sent, "{effects:?}");
    }
}

#[test]
fn a_confirmed_list_is_not_withheld_later() {
    let mut fixture = unconfirmed();
    fixture.handle(10, list(true, &[Ready]));
    fixture.run_until(40_000);
    assert_eq!(fixture.send_request_at(40_000, 1, "a"), ["send 1 0"]);
}

#[test]
fn a_polled_cached_list_is_used_from_the_start() {
    let usage = CachedListUse::UntilChanged;
    let mut fixture = Fixture::with_cached_list("idempotent", vec![worker(Ready)], usage);
    assert!(fixture.engine.is_ready());
    fixture.run_until(60_000);
    assert_eq!(fixture.send_request_at(60_000, 1, "a"), ["send 1 0"]);
}
