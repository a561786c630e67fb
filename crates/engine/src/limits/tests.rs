//! Tests of the limits on descriptors, clients and request bytes.
use super::{DescriptorPermit, IdleClient, ResourceLimits};
use rosewall::types::Nanos;
use std::rc::Rc;
use test_case::test_case;

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;
/// Descriptors reserved for uses other than connections of clients and workers.
const RESERVED_DESCRIPTORS: usize = 32;
const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

fn limits(max_descriptors: usize, memory_mb: usize) -> Rc<ResourceLimits> {
    Rc::new(ResourceLimits::new(max_descriptors, memory_mb))
}

fn all_clients(limits: &Rc<ResourceLimits>) -> Vec<DescriptorPermit> {
    std::iter::from_fn(|| limits.acquire_client()).collect()
}

fn all_workers(limits: &Rc<ResourceLimits>) -> Vec<DescriptorPermit> {
    std::iter::from_fn(|| limits.acquire_worker()).collect()
}

#[test]
fn clients_leave_descriptors_for_attempts_and_return_their_own() {
    let limits = limits(RESERVED_DESCRIPTORS + 10, 192);
    let clients = all_clients(&limits);
    let attempts = all_workers(&limits);
    assert_eq!(
        (clients.len(), attempts.len(), limits.client_count()),
        (6, 4, 6)
    );

    drop(clients);

    assert!(limits.acquire_client().is_some() && limits.acquire_worker().is_some());
    assert_eq!(limits.client_count(), 0);
}

#[test]
fn a_lower_limit_applies_to_clients_that_connect_later() {
    let limits = limits(1024, 192);
    let clients: Vec<_> = (0..9).map_while(|_| limits.acquire_client()).collect();

    limits.set_limits(RESERVED_DESCRIPTORS + 10, 192);

    assert!(limits.acquire_client().is_none());
    drop(clients);
    assert_eq!(all_clients(&limits).len(), 6);
}

#[test_case(&[false, true, false], 0 => Some(1); "a first request may be on its way")]
#[test_case(&[true, false, false], 100 => Some(1); "a first request is overdue")]
#[test_case(&[true, true], 100 => Some(0); "all have sent requests")]
#[test_case(&[false, false], 0 => None; "only first requests that may be on their way")]
#[test_case(&[false, false], 100 => Some(0); "only first requests that are overdue")]
#[test_case(&[], 0 => None; "no client is idle")]
fn the_oldest_overdue_client_is_evicted_before_the_oldest_that_has_sent_requests(
    sent_a_request: &[bool],
    idle_ms: u64,
) -> Option<usize> {
    let limits = limits(1024, 192);
    let registered_at = 7;
    let register = |sent: &bool| {
        let client = if *sent {
            IdleClient::BetweenRequests
        } else {
            IdleClient::AwaitingFirstRequest
        };
        limits.register_idle(registered_at, client)
    };
    let registrations: Vec<_> = sent_a_request.iter().map(register).collect();

    let evicted = limits.evict_idle_client(registered_at + idle_ms * MILLISECOND);

    let close_requested: Vec<bool> = registrations
        .iter()
        .map(|(_, close)| close.try_recv().is_ok())
        .collect();
    let closed_count = close_requested.iter().filter(|closed| **closed).count();
    assert_eq!(closed_count, usize::from(evicted));
    close_requested.iter().position(|closed| *closed)
}

#[test]
fn a_client_beyond_the_limit_is_not_evicted() {
    let limits = limits(1024, 192);
    let _registration = limits.register_idle(0, IdleClient::Overflow);
    assert!(!limits.has_evictable_client() && !limits.evict_idle_client(SECOND));
}

#[test]
fn a_client_that_is_no_longer_idle_is_not_evicted() {
    let limits = limits(1024, 192);
    drop(limits.register_idle(7, IdleClient::BetweenRequests));
    assert!(!limits.evict_idle_client(7));
}

/// Half of the memory is for requests, of which up to four copies exist.
#[test]
fn memory_limits_the_bytes_of_requests() {
    let limits = limits(1024, 16);
    let one = limits.acquire_client().unwrap();
    let other = limits.acquire_client().unwrap();

    assert!(one.reserve_bytes(MIB));
    assert!(!other.reserve_bytes(MIB + 1) && other.reserve_bytes(KIB));
    assert!(one.reserve_bytes(MIB - 2 * KIB) && other.reserve_bytes(2 * KIB));
    drop(one);
    assert!(other.reserve_bytes(2 * MIB));
}

/// An answer that its client doesn't read holds memory that others may not use as well.
#[test]
fn answers_count_beside_requests_and_are_never_refused() {
    let limits = limits(1024, 16);
    let one = limits.acquire_client().unwrap();
    let other = limits.acquire_client().unwrap();

    one.reserve_answer(5 * MIB, 0);
    assert!(!other.reserve_bytes(1));
    one.reserve_answer(3 * MIB, 0);
    assert!(other.reserve_bytes(512 * KIB) && !other.reserve_bytes(512 * KIB + 1));
    assert!(one.reserve_bytes(0) && other.reserve_bytes(2 * MIB));
}

#[test]
fn memory_limits_the_number_of_clients() {
    let limits = limits(100_000, 16);
    assert_eq!(all_clients(&limits).len(), 128);
}

#[test]
fn clients_beyond_the_limit_use_a_few_reserved_descriptors() {
    let limits = limits(RESERVED_DESCRIPTORS + 2, 192);
    let workers = all_workers(&limits);

    let overflow: Vec<_> = std::iter::from_fn(|| limits.acquire_overflow_client()).collect();

    assert_eq!(
        (workers.len(), overflow.len(), limits.descriptors_used()),
        (2, 8, 10)
    );
    drop(overflow);
    assert_eq!(limits.descriptors_used(), 2);
}
