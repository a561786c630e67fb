//! The pool of idle connections to workers: which one is reused, and when it expires. Generic over
//! the connection type.
#[cfg(test)]
mod tests;

use rosewall::types::{Nanos, WorkerId};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;

/// Time during which a connection that broke in use shortens the idle timeout.
const BROKEN_IDLE_RETENTION: Nanos = 30 * SECOND;

/// Time after an answer during which the last byte of the next attempt must not be written to the
/// same connection.
///
/// A faulty worker may send a second answer to the same attempt some milliseconds late. It would be
/// mistaken for the answer to the next request, which would then be retried although it runs.
pub const REUSE_DELAY: Nanos = 10 * MILLISECOND;

/// Maximum number of attempts to one worker in `EARLY_REUSE_WINDOW` that may take a connection
/// within [`REUSE_DELAY`]. Further attempts get no connection, so that the caller opens a new one.
const MAX_EARLY_REUSES: u32 = 25;
const EARLY_REUSE_WINDOW: Nanos = SECOND;

/// Connections are checked for expiry at multiples of this interval.
const EXPIRY_GRANULARITY: Nanos = 100 * MILLISECOND;

/// Connection that the pool can hold.
pub trait Reusable {
    /// Returns whether the connection is open and has nothing to read: the worker has not closed
    /// it, and no part of an earlier answer is still arriving.
    fn is_reusable(&self) -> bool;
}

/// Connection taken from the pool.
pub struct IdleConnection<C> {
    /// Connection, reusable when it was taken.
    pub connection: C,
    /// Time at which it was put into the pool.
    pub idle_since: Nanos,
}

/// Result of [`Pool::take`].
pub struct Taken<C> {
    /// Reusable connection; `None` if the caller must open a new one.
    pub connection: Option<IdleConnection<C>>,
    /// Number of connections dropped because they had expired or were not reusable.
    pub stale: usize,
}

struct PooledConnection<C> {
    connection: C,
    address: SocketAddr,
    idle_since: Nanos,
}

/// Idle connections to one worker, the most recently used last.
struct WorkerPool<C> {
    connections: Vec<PooledConnection<C>>,
    /// Number of attempts since `window_start` that found only connections within [`REUSE_DELAY`].
    early_reuse_count: u32,
    window_start: Nanos,
}

impl<C> WorkerPool<C> {
    fn new(now: Nanos) -> Self {
        WorkerPool {
            connections: Vec::new(),
            early_reuse_count: 0,
            window_start: now,
        }
    }

    /// Counts an attempt that found only connections within [`REUSE_DELAY`]. Returns whether it may
    /// take one of them.
    fn may_reuse_early(&mut self, now: Nanos) -> bool {
        if now >= self.window_start + EARLY_REUSE_WINDOW {
            self.early_reuse_count = 0;
            self.window_start = now;
        }
        self.early_reuse_count += 1;
        self.early_reuse_count <= MAX_EARLY_REUSES
    }
}

impl<C: Reusable> WorkerPool<C> {
    fn take(&mut self, now: Nanos, idle_timeout: Nanos) -> Taken<C> {
        let mut stale = 0;
        let mut connection = self.take_after_reuse_delay(now, idle_timeout, &mut stale);
        if connection.is_none() && !self.connections.is_empty() && self.may_reuse_early(now) {
            connection = self.take_longest_idle(now, idle_timeout, &mut stale);
        }
        Taken { connection, stale }
    }

    /// Takes the most recently used of the reusable connections past [`REUSE_DELAY`].
    fn take_after_reuse_delay(
        &mut self,
        now: Nanos,
        idle_timeout: Nanos,
        stale: &mut usize,
    ) -> Option<IdleConnection<C>> {
        let past_delay = self
            .connections
            .partition_point(|pooled| pooled.idle_since + REUSE_DELAY <= now);
        (0..past_delay)
            .rev()
            .find_map(|index| self.remove_if_reusable(index, now, idle_timeout, stale))
    }

    /// Takes the reusable connection that has been idle for longest.
    fn take_longest_idle(
        &mut self,
        now: Nanos,
        idle_timeout: Nanos,
        stale: &mut usize,
    ) -> Option<IdleConnection<C>> {
        while !self.connections.is_empty() {
            let found = self.remove_if_reusable(0, now, idle_timeout, stale);
            if found.is_some() {
                return found;
            }
        }
        None
    }

    /// Removes one connection. Returns it if it is reusable, else drops it and counts it as stale.
    fn remove_if_reusable(
        &mut self,
        index: usize,
        now: Nanos,
        idle_timeout: Nanos,
        stale: &mut usize,
    ) -> Option<IdleConnection<C>> {
        let PooledConnection {
            connection,
            idle_since,
            ..
        } = self.connections.remove(index);
        if now < idle_since + idle_timeout && connection.is_reusable() {
            return Some(IdleConnection {
                connection,
                idle_since,
            });
        }
        *stale += 1;
        None
    }
}

/// Idle connections to all workers.
pub struct Pool<C> {
    by_worker: BTreeMap<WorkerId, WorkerPool<C>>,
    idle_timeout: Nanos,
    /// Shortest recent idle time of a connection that broke in use although it was reusable by
    /// [`Reusable::is_reusable`].
    shortest_broken_idle: Nanos,
    /// Time of the last such break; 0 if there was none.
    last_broken_at: Nanos,
    /// Times at which to check for expired connections, earliest first.
    expiries: VecDeque<Nanos>,
}

impl<C: Reusable> Pool<C> {
    /// Creates a pool for workers that close connections after `worker_idle_timeout` without use. A
    /// connection is reused only within three fifths of that, which leaves time for clock
    /// differences and for writing the attempt.
    pub fn new(worker_idle_timeout: Nanos) -> Self {
        Pool {
            by_worker: BTreeMap::new(),
            idle_timeout: three_fifths(worker_idle_timeout),
            shortest_broken_idle: Nanos::MAX,
            last_broken_at: 0,
            expiries: VecDeque::new(),
        }
    }

    /// Records that a reusable connection, idle since `idle_since`, broke when it was used. Workers
    /// or network devices may drop idle connections silently and earlier than configured. Whether a
    /// request ran on such a connection is unknown.
    pub fn record_broken(&mut self, now: Nanos, idle_since: Nanos) {
        let idle = now.saturating_sub(idle_since);
        self.shortest_broken_idle = if self.broke_recently(now) {
            idle.min(self.shortest_broken_idle)
        } else {
            idle
        };
        self.last_broken_at = now;
    }

    fn broke_recently(&self, now: Nanos) -> bool {
        now < self.last_broken_at + BROKEN_IDLE_RETENTION
    }

    fn current_idle_timeout(&self, now: Nanos) -> Nanos {
        if self.broke_recently(now) {
            self.idle_timeout
                .min(three_fifths(self.shortest_broken_idle))
        } else {
            self.idle_timeout
        }
    }

    /// Takes a connection to a worker: the most recently used one past [`REUSE_DELAY`]. If there is
    /// none, takes the one that has been idle for longest, unless too many recent attempts did so.
    pub fn take(&mut self, now: Nanos, worker: WorkerId) -> Taken<C> {
        let idle_timeout = self.current_idle_timeout(now);
        match self.by_worker.get_mut(&worker) {
            Some(pool) => pool.take(now, idle_timeout),
            None => Taken {
                connection: None,
                stale: 0,
            },
        }
    }

    /// Adds a connection that leads to `address`. Its idle time starts at `now`.
    pub fn put(&mut self, now: Nanos, worker: WorkerId, address: SocketAddr, connection: C) {
        let pool = self
            .by_worker
            .entry(worker)
            .or_insert_with(|| WorkerPool::new(now));
        pool.connections.push(PooledConnection {
            connection,
            address,
            idle_since: now,
        });
        let expiry = (now + self.idle_timeout).next_multiple_of(EXPIRY_GRANULARITY);
        if self.expiries.back() != Some(&expiry) {
            self.expiries.push_back(expiry);
        }
    }

    /// Drops the connections to a worker that do not lead to `address`; with `None`, drops all of
    /// them.
    pub fn evict_worker(&mut self, worker: WorkerId, address: Option<SocketAddr>) {
        if let Some(pool) = self.by_worker.get_mut(&worker) {
            pool.connections
                .retain(|pooled| Some(pooled.address) == address);
        }
    }

    /// Returns when to call [`Pool::evict_expired`] next; `None` if no check is scheduled.
    pub fn next_expiry(&self) -> Option<Nanos> {
        self.expiries.front().copied()
    }

    /// Drops connections that have been idle for longer than the current idle timeout.
    pub fn evict_expired(&mut self, now: Nanos) {
        let idle_timeout = self.current_idle_timeout(now);
        for pool in self.by_worker.values_mut() {
            pool.connections
                .retain(|pooled| now < pooled.idle_since + idle_timeout);
        }
        self.by_worker
            .retain(|_, pool| !pool.connections.is_empty());
        while self.expiries.front().is_some_and(|at| *at <= now) {
            self.expiries.pop_front();
        }
    }

    /// Drops the connection that has been idle for longest, to free its descriptor. Returns false
    /// if there is none.
    pub fn evict_oldest(&mut self) -> bool {
        self.by_worker
            .values_mut()
            .filter(|pool| !pool.connections.is_empty())
            .min_by_key(|pool| pool.connections[0].idle_since)
            .map(|pool| pool.connections.remove(0))
            .is_some()
    }
}

fn three_fifths(time: Nanos) -> Nanos {
    time / 5 * 3
}
