//! What is held, without a socket.
use super::endpoints::{EndpointTable, id};
use super::limits::{IdleClient, ResourceLimits};
use super::pool::{Pool, REST_AFTER_ANSWER, Reusable, Taken};
use rosewall::types::{EndpointState, Nanos};
use rosewall_protocol::discovery::{DiscoveredEndpoint, EndpointList};
use std::rc::Rc;
use test_case::test_case;

fn host(name: &str, port: u16, state: EndpointState, born: u64) -> DiscoveredEndpoint {
    let address = Some(([127, 0, 0, 1], port).into());
    DiscoveredEndpoint {
        host: name.into(),
        address,
        state,
        zone: 0,
        worker_type: 0,
        group: 0,
        size: 1.0,
        born,
    }
}

fn list(is_snapshot: bool, endpoints: Vec<DiscoveredEndpoint>) -> EndpointList {
    EndpointList {
        version: 1,
        is_snapshot,
        endpoints,
    }
}

#[test]
fn an_id_follows_from_the_host_alone() {
    let (mut one, mut other) = (EndpointTable::default(), EndpointTable::default());
    let (a, b) = (
        host("a", 1, EndpointState::Ready, 0),
        host("b", 2, EndpointState::Ready, 0),
    );
    let first = one.take(0, list(true, vec![a.clone(), b.clone()])).0;
    let second = other
        .take(
            0,
            list(true, vec![b, host("a", 9, EndpointState::Ready, 7)]),
        )
        .0;
    assert_eq!(
        (first[0].worker, first[1].worker),
        (second[1].worker, second[0].worker)
    );
    assert_ne!(first[0].worker, first[1].worker);
}

/// Connections that may lead to a process that is no more are named.
#[test_case(true, &[host("a", 1, EndpointState::Ready, 0)] => vec!["b"]; "missing from a whole list")]
#[test_case(false, &[host("a", 1, EndpointState::Ready, 0)] => Vec::<&str>::new(); "not among the changes")]
#[test_case(false, &[host("a", 1, EndpointState::Removed, 0)] => vec!["a"]; "gone")]
#[test_case(false, &[host("a", 1, EndpointState::Ready, 5)] => vec!["a"]; "reborn")]
#[test_case(false, &[host("a", 3, EndpointState::Ready, 0)] => vec!["a"]; "dialled elsewhere")]
#[test_case(false, &[host("a", 1, EndpointState::Draining, 0)] => Vec::<&str>::new(); "draining")]
fn a_list_voids_connections(
    is_snapshot: bool,
    endpoints: &[DiscoveredEndpoint],
) -> Vec<&'static str> {
    let mut workers = EndpointTable::default();
    workers.take(
        0,
        list(
            true,
            vec![
                host("a", 1, EndpointState::Ready, 0),
                host("b", 2, EndpointState::Ready, 0),
            ],
        ),
    );
    let void = workers.take(0, list(is_snapshot, endpoints.to_vec())).1;
    ["a", "b"]
        .into_iter()
        .filter(|name| void.contains(&id(name)))
        .collect()
}

#[test]
fn descriptors_are_given_back_and_leave_room_for_postings() {
    let limits = Rc::new(ResourceLimits::new(32 + 10, 192));
    let clients: Vec<_> = std::iter::from_fn(|| limits.acquire_client()).collect();
    let attempts: Vec<_> = std::iter::from_fn(|| limits.acquire_worker()).collect();
    assert_eq!(
        (clients.len(), attempts.len(), limits.client_count()),
        (6, 4, 6)
    );
    drop(clients);
    assert!(limits.acquire_client().is_some() && limits.acquire_worker().is_some());
    assert_eq!(limits.client_count(), 0);
}

#[test]
fn a_lower_limit_holds_from_then_on() {
    let limits = Rc::new(ResourceLimits::new(1024, 192));
    let clients: Vec<_> = (0..9).map_while(|_| limits.acquire_client()).collect();
    limits.set_limits(32 + 10, 192);
    assert!(limits.acquire_client().is_none());
    drop(clients);
    assert_eq!(
        std::iter::from_fn(|| limits.acquire_client())
            .collect::<Vec<_>>()
            .len(),
        6
    );
}

/// The oldest of those that have not asked, if it has had time to; else the oldest of those that have.
#[test_case(&[false, true, false], 0 => Some(1); "a stranger may be about to ask")]
#[test_case(&[true, false, false], 100 => Some(1); "a stranger that does not ask")]
#[test_case(&[true, true], 100 => Some(0); "no stranger")]
#[test_case(&[false, false], 0 => None; "strangers whose request may be on its way")]
#[test_case(&[false, false], 100 => Some(0); "strangers only")]
#[test_case(&[], 0 => None; "no one")]
fn who_makes_room(asked: &[bool], waited: u64) -> Option<usize> {
    let limits = Rc::new(ResourceLimits::new(1024, 192));
    let waiting: Vec<_> = asked
        .iter()
        .map(|asked| {
            limits.register_idle(
                7,
                if *asked {
                    IdleClient::BetweenRequests
                } else {
                    IdleClient::AwaitingFirstRequest
                },
            )
        })
        .collect();
    let closed = limits.evict_idle_client(7 + waited * 1_000_000);
    let told: Vec<_> = waiting
        .iter()
        .map(|(_, closed)| closed.try_recv().is_ok())
        .collect();
    assert_eq!(
        told.iter().filter(|told| **told).count(),
        usize::from(closed)
    );
    told.iter().position(|told| *told)
}

#[test]
fn to_close_who_holds_no_place_makes_no_room() {
    let limits = Rc::new(ResourceLimits::new(1024, 192));
    let _away = limits.register_idle(0, IdleClient::Overflow);
    assert!(!limits.has_evictable_client() && !limits.evict_idle_client(SECOND));
}

#[test]
fn who_waits_no_longer_is_not_closed() {
    let limits = Rc::new(ResourceLimits::new(1024, 192));
    drop(limits.register_idle(7, IdleClient::BetweenRequests));
    assert!(!limits.evict_idle_client(7));
}

/// Half of the memory is for four copies of what clients send.
#[test]
fn memory_bounds_what_clients_send() {
    let limits = Rc::new(ResourceLimits::new(1024, 16));
    let (one, other) = (
        limits.acquire_client().unwrap(),
        limits.acquire_client().unwrap(),
    );
    assert!(
        one.reserve_bytes(1024 * 1024)
            && !other.reserve_bytes(1024 * 1024 + 1)
            && other.reserve_bytes(1024)
    );
    assert!(one.reserve_bytes(1024 * 1024 - 2048) && other.reserve_bytes(2048));
    drop(one);
    assert!(other.reserve_bytes(2 * 1024 * 1024));
}

#[test]
fn memory_bounds_the_clients_too() {
    let limits = Rc::new(ResourceLimits::new(100_000, 16));
    let clients: Vec<_> = std::iter::from_fn(|| limits.acquire_client()).collect();
    assert_eq!(clients.len(), 128);
}

struct Sound(bool);

impl Reusable for Sound {
    fn is_reusable(&self) -> bool {
        self.0
    }
}

const SECOND: Nanos = 1_000_000_000;
const MS: Nanos = 1_000_000;

/// Kept for three fifths of the settings' 30 s, or of the time after which one broke, for half a minute.
#[test_case(None, 17 => true; "within the settings")]
#[test_case(None, 19 => false; "too old")]
#[test_case(Some((10, 20)), 5 => true; "younger than what broke")]
#[test_case(Some((10, 20)), 7 => false; "nearly as old as what broke")]
#[test_case(Some((10, 60)), 7 => true; "forgotten")]
fn how_long_a_connection_is_used_again(broke: Option<(Nanos, Nanos)>, idle: Nanos) -> bool {
    let (now, address) = (100 * SECOND, ([127, 0, 0, 1], 9).into());
    let mut pool = Pool::new(30 * SECOND);
    pool.put(now - idle * SECOND, id("a"), address, Sound(true));
    if let Some((age, ago)) = broke {
        pool.record_broken(now - ago * SECOND, now - (ago + age) * SECOND);
    }
    pool.take(now, id("a")).connection.is_some()
}

#[test]
fn a_connection_that_looks_closed_is_passed_over() {
    let (address, mut pool) = (([127, 0, 0, 1], 9).into(), Pool::new(30 * SECOND));
    [true, false]
        .into_iter()
        .for_each(|sound| pool.put(SECOND, id("a"), address, Sound(sound)));
    let Taken { connection, stale } = pool.take(SECOND + REST_AFTER_ANSWER, id("a"));
    assert!(
        connection.is_some_and(|idle| idle.connection.0 && idle.idle_since == SECOND) && stale == 1
    );
}

/// Guards against a wait for a rest where another connection has had its own, and against one that is older than need be.
#[test_case(&[100, 80, 5] => Some(80); "of those that have rested the one used last")]
#[test_case(&[9, 5, 1] => Some(9); "of those that have not the one that rests longest")]
#[test_case(&[10] => Some(10); "ten ms are a rest")]
#[test_case(&[] => None; "there is none")]
fn which_connection_is_used_again(ages: &[Nanos]) -> Option<Nanos> {
    let (now, address) = (SECOND, ([127, 0, 0, 1], 9).into());
    let mut pool = Pool::new(30 * SECOND);
    ages.iter()
        .for_each(|age| pool.put(now - age * MS, id("a"), address, Sound(true)));
    pool.take(now, id("a"))
        .connection
        .map(|idle| (now - idle.idle_since) / MS)
}

/// Guards against a wait before each attempt of a busy dispatcher, and against a connection more for one that posts twice now
/// and then. Each attempt comes 1 ms after the last answer, and the next so much later.
#[test_case(1, 25 => true; "a few wait")]
#[test_case(1, 26 => false; "with one more another connection is opened")]
#[test_case(45, 60 => true; "one now and then waits")]
fn who_waits_often_opens_one_connection_more(apart: Nanos, postings: usize) -> bool {
    let address = ([127, 0, 0, 1], 9).into();
    let mut pool = Pool::new(30 * SECOND);
    (0..postings as Nanos).all(|n| {
        let now = SECOND + n * apart * MS;
        pool.put(now, id("a"), address, Sound(true));
        pool.take(now + MS, id("a")).connection.is_some()
    })
}

#[test]
fn connections_to_an_address_that_was_left_go_and_the_others_stay() {
    let mut pool = Pool::new(30 * SECOND);
    let dials = [9, 10].map(|port| ([127, 0, 0, 1], port).into());
    dials
        .into_iter()
        .for_each(|address| pool.put(SECOND, id("a"), address, Sound(true)));
    pool.evict_worker(id("a"), Some(dials[0]));
    assert!(
        pool.take(SECOND, id("a")).connection.is_some()
            && pool.take(SECOND, id("a")).connection.is_none()
    );
}

/// A list with a lower number says nothing new of a process that is known to drain or to be gone.
#[test_case(EndpointState::Draining, 0, 1 => EndpointState::Draining; "an old list")]
#[test_case(EndpointState::Removed, 0, 1 => EndpointState::Removed; "an old list of one gone")]
#[test_case(EndpointState::Draining, 5, 1 => EndpointState::Ready; "born since")]
#[test_case(EndpointState::Ready, 0, 1 => EndpointState::Ready; "nothing was held against it")]
#[test_case(EndpointState::Draining, 0, 61 => EndpointState::Ready; "a count begun anew is believed in the end")]
fn what_an_old_list_says_of_a_worker(
    known: EndpointState,
    born: u64,
    after: Nanos,
) -> EndpointState {
    let mut workers = EndpointTable::default();
    let list = |seq, endpoints| EndpointList {
        version: seq,
        is_snapshot: false,
        endpoints,
    };
    workers.take(0, list(9, vec![host("a", 1, known, 0)]));
    workers.take(SECOND, list(3, Vec::new()));
    let (endpoints, ..) = workers.take(
        after * SECOND,
        list(4, vec![host("a", 1, EndpointState::Ready, born)]),
    );
    endpoints[0].state
}

#[test]
fn those_only_told_that_there_is_no_room_take_a_few_kept_back() {
    let limits = Rc::new(ResourceLimits::new(32 + 2, 192));
    let all: Vec<_> = std::iter::from_fn(|| limits.acquire_worker()).collect();
    let away: Vec<_> = std::iter::from_fn(|| limits.acquire_overflow_client()).collect();
    assert_eq!(
        (all.len(), away.len(), limits.descriptors_used()),
        (2, 8, 10)
    );
    drop(away);
    assert_eq!(limits.descriptors_used(), 2);
}

/// Guards against the address of a process that is no more, told by a list from before its successor.
#[test]
fn an_old_list_takes_no_worker_back_to_its_old_address() {
    let mut workers = EndpointTable::default();
    let list = |seq, port, born| EndpointList {
        version: seq,
        is_snapshot: false,
        endpoints: vec![host("a", port, EndpointState::Ready, born)],
    };
    workers.take(0, list(9, 2, 5));
    workers.take(0, list(3, 1, 0));
    assert_eq!(
        workers.reach(id("a")).map(|(_, address)| address.port()),
        Some(2)
    );
}
