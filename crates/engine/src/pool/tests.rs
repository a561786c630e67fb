//! Tests of the pool of idle connections: selection, expiry and eviction.
use super::{Pool, REUSE_DELAY, Reusable, Taken};
use rosewall::types::{Nanos, WorkerId};
use std::net::SocketAddr;
use test_case::test_case;

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;
const WORKER: WorkerId = WorkerId {
    addr: [10, 0, 0, 1],
    port: 1,
};

struct Connection {
    is_reusable: bool,
}

impl Reusable for Connection {
    fn is_reusable(&self) -> bool {
        self.is_reusable
    }
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn pool() -> Pool<Connection> {
    Pool::new(30 * SECOND)
}

fn put(pool: &mut Pool<Connection>, now: Nanos, is_reusable: bool) {
    pool.put(now, WORKER, address(9), Connection { is_reusable });
}

/// Idle time of a connection that broke in use, and how long ago that was.
struct Break {
    idle_seconds: u64,
    seconds_ago: u64,
}

/// The idle timeout is three fifths of the configured 30 s or, for 30 s after a break, of the
/// broken connection's idle time.
#[test_case(None, 17 => true; "within the configured timeout")]
#[test_case(None, 19 => false; "idle for too long")]
#[test_case(Some(Break { idle_seconds: 10, seconds_ago: 20 }), 5 => true; "idle for less than the broken one")]
#[test_case(Some(Break { idle_seconds: 10, seconds_ago: 20 }), 7 => false; "idle for nearly as long as the broken one")]
#[test_case(Some(Break { idle_seconds: 10, seconds_ago: 60 }), 7 => true; "the break is too long ago")]
fn a_connection_is_reused_within_its_idle_timeout(
    broken: Option<Break>,
    idle_seconds: u64,
) -> bool {
    let now = 100 * SECOND;
    let mut pool = pool();
    put(&mut pool, now - idle_seconds * SECOND, true);
    if let Some(broken) = broken {
        let broke_at = now - broken.seconds_ago * SECOND;
        pool.record_broken(broke_at, broke_at - broken.idle_seconds * SECOND);
    }

    pool.take(now, WORKER).connection.is_some()
}

#[test]
fn a_connection_that_is_not_reusable_is_dropped_and_counted() {
    let mut pool = pool();
    put(&mut pool, SECOND, true);
    put(&mut pool, SECOND, false);

    let Taken { connection, stale } = pool.take(SECOND + REUSE_DELAY, WORKER);

    assert!(
        connection.is_some_and(|idle| idle.connection.is_reusable && idle.idle_since == SECOND)
    );
    assert_eq!(stale, 1);
}

#[test_case(&[100, 80, 5] => Some(80); "the most recently used past the delay")]
#[test_case(&[9, 5, 1] => Some(9); "the longest idle if none is past the delay")]
#[test_case(&[10] => Some(10); "the delay is ten ms")]
#[test_case(&[] => None; "the pool is empty")]
fn a_connection_past_the_reuse_delay_is_preferred(idle_ms: &[u64]) -> Option<u64> {
    let now = SECOND;
    let mut pool = pool();
    for idle_ms in idle_ms {
        put(&mut pool, now - idle_ms * MILLISECOND, true);
    }

    pool.take(now, WORKER)
        .connection
        .map(|idle| (now - idle.idle_since) / MILLISECOND)
}

/// Each attempt starts 1 ms after the last answer, so that the connection is within the reuse
/// delay.
#[test_case(1, 25 => true; "a few early reuses are allowed")]
#[test_case(1, 26 => false; "one more in the window is not")]
#[test_case(45, 60 => true; "spread over longer than the window")]
fn frequent_early_reuse_makes_callers_open_new_connections(
    interval_ms: u64,
    attempts: u64,
) -> bool {
    let mut pool = pool();
    (0..attempts).all(|attempt| {
        let answered_at = SECOND + attempt * interval_ms * MILLISECOND;
        put(&mut pool, answered_at, true);
        pool.take(answered_at + MILLISECOND, WORKER)
            .connection
            .is_some()
    })
}

#[test]
fn eviction_keeps_only_connections_to_the_current_address() {
    let mut pool = pool();
    for port in [9, 10] {
        pool.put(
            SECOND,
            WORKER,
            address(port),
            Connection { is_reusable: true },
        );
    }

    pool.evict_worker(WORKER, Some(address(9)));

    assert!(pool.take(SECOND, WORKER).connection.is_some());
    assert!(pool.take(SECOND, WORKER).connection.is_none());
}
