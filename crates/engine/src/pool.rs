//! Idle connections to workers, of whatever kind carries them: which one is used again, and for how long it may be.
#[cfg(test)]
mod tests;

use rosewall::types::{Nanos, WorkerId};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;

/// How long after a connection broke in use the shorter idle timeout applies that follows from it.
const BROKEN_IDLE_RETENTION: Nanos = 30 * SECOND;

/// How long after an answer the last byte of an attempt must not be written to the same connection.
///
/// A faulty worker may send a second answer to the same attempt some milliseconds late. It would be taken for the answer to
/// the next request, which would then be sent again although it runs.
pub const REUSE_DELAY: Nanos = 10 * MILLISECOND;

/// How many attempts to one worker in `EARLY_REUSE_WINDOW` may take a connection that has not rested. Beyond that no
/// connection is given, so that the caller opens one more.
const MAX_EARLY_REUSES: u32 = 25;
const EARLY_REUSE_WINDOW: Nanos = SECOND;

/// Expired connections are looked for at multiples of this.
const EXPIRY_GRANULARITY: Nanos = 100 * MILLISECOND;

/// What the pool needs to know of a connection.
pub trait Reusable {
    /// Whether the connection is open and has nothing to read: the worker has not closed it, and no part of an earlier answer
    /// is still arriving.
    fn is_reusable(&self) -> bool;
}

/// A connection taken from the pool.
pub struct IdleConnection<C> {
    /// The connection.
    pub connection: C,
    /// When it was put into the pool.
    pub idle_since: Nanos,
}

/// What [`Pool::take`] found.
pub struct Taken<C> {
    /// A reusable connection, if there is one.
    pub connection: Option<IdleConnection<C>>,
    /// How many connections were dropped because they had expired or were not reusable.
    pub stale: usize,
}

struct PooledConnection<C> {
    connection: C,
    address: SocketAddr,
    idle_since: Nanos,
}

/// The idle connections to one worker, the one that was used last at the end.
struct WorkerPool<C> {
    connections: Vec<PooledConnection<C>>,
    /// How many attempts found no rested connection since `window_start`.
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

    /// Counts an attempt that found no rested connection; whether it may take one that has not rested.
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

    /// Of the connections that have rested, the reusable one that was used last.
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

    /// The reusable connection that has been idle for longest.
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

    /// Removes one connection; gives it if it is reusable, else drops and counts it.
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

/// The idle connections to all workers.
pub struct Pool<C> {
    by_worker: BTreeMap<WorkerId, WorkerPool<C>>,
    idle_timeout: Nanos,
    /// The shortest recent idle time after which a connection broke in use although it had looked reusable.
    shortest_broken_idle: Nanos,
    /// When a connection last broke so.
    last_broken_at: Nanos,
    /// When to look for expired connections.
    expiries: VecDeque<Nanos>,
}

impl<C: Reusable> Pool<C> {
    /// For workers that close a connection after it was idle for `worker_idle_timeout`. Connections are used for three fifths
    /// of that, which leaves time for clocks that differ and for the attempt that is being written.
    pub fn new(worker_idle_timeout: Nanos) -> Self {
        Pool {
            by_worker: BTreeMap::new(),
            idle_timeout: three_fifths(worker_idle_timeout),
            shortest_broken_idle: Nanos::MAX,
            last_broken_at: 0,
            expiries: VecDeque::new(),
        }
    }

    /// Records that a connection which looked reusable, idle since `idle_since`, broke as it was used. Workers, or devices
    /// between, may drop idle connections silently and earlier than the settings say; whether a request ran there is unknown.
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

    /// Takes a connection to a worker: of those that have rested the one used last, else the one that has been idle for
    /// longest, unless too many attempts took such a one recently.
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

    /// Puts in a connection that leads to `address`.
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

    /// Drops the connections to a worker that do not lead to `address`: all of them where it is none.
    pub fn evict_worker(&mut self, worker: WorkerId, address: Option<SocketAddr>) {
        if let Some(pool) = self.by_worker.get_mut(&worker) {
            pool.connections
                .retain(|pooled| Some(pooled.address) == address);
        }
    }

    /// When to call [`Pool::evict_expired`] next.
    pub fn next_expiry(&self) -> Option<Nanos> {
        self.expiries.front().copied()
    }

    /// Drops connections that have been idle for too long.
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

    /// Drops the connection that has been idle for longest, to free its descriptor; false if there is none.
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
