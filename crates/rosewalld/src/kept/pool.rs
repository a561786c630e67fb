//! Idle connections to workers. One that is taken out was looked at first.
use crate::kept::budget::Slot;
use async_io::Async;
use rosewall::types::{Nanos, WorkerId};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};

pub struct Conn {
    pub stream: Async<TcpStream>,
    pub dial: SocketAddr,
    /// Since when it is idle, or connected.
    pub since: Nanos,
    /// Its place in the budget, for as long as it is open.
    pub _slot: Slot,
}

impl Conn {
    /// Whether it is open and silent. Guards against a posting on a connection that the worker has closed,
    /// or on which an answer to an earlier one still comes.
    fn sound(&self) -> bool {
        let looked = self.stream.get_ref().peek(&mut [0]);
        looked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }
}

pub struct Pool {
    /// By worker, the one used last at the end.
    idle: BTreeMap<WorkerId, Vec<Conn>>,
    keep: Nanos,
    /// The shortest time of late after which a connection broke though it had looked sound, and when it last did.
    broke: Nanos,
    broke_at: Nanos,
}

/// How long a break is remembered: a few times what a busy dispatcher needs to meet the next one, and short beside
/// a day if it was chance.
const REMEMBERED: Nanos = 30_000_000_000;

impl Pool {
    /// The worker closes what was idle for `limit`. Three fifths leave seconds for clocks and for the
    /// posting that is being written.
    pub fn new(limit: Nanos) -> Self {
        Pool { idle: BTreeMap::new(), keep: limit / 5 * 3, broke: Nanos::MAX, broke_at: 0 }
    }

    /// One that looked sound broke as it was used. Guards against workers, or what is between, that drop kept
    /// connections in silence, and sooner than the settings say: what ran on those cannot be told.
    pub fn broke(&mut self, now: Nanos, since: Nanos) {
        self.broke = (now - since).min(if self.remembers(now) { self.broke } else { Nanos::MAX });
        self.broke_at = now;
    }

    fn remembers(&self, now: Nanos) -> bool {
        now < self.broke_at + REMEMBERED
    }

    fn keep(&self, now: Nanos) -> Nanos {
        if self.remembers(now) { self.keep.min(self.broke / 5 * 3) } else { self.keep }
    }

    /// The connection used last, if a sound one is there, and how many were not.
    pub fn take(&mut self, now: Nanos, worker: WorkerId) -> (Option<Conn>, usize) {
        let (mut stale, keep) = (0, self.keep(now));
        let Some(idle) = self.idle.get_mut(&worker) else { return (None, 0) };
        while let Some(conn) = idle.pop() {
            if now < conn.since + keep && conn.sound() {
                return (Some(conn), stale);
            }
            stale += 1;
        }
        (None, stale)
    }

    /// Puts one in; gives when it must be out again.
    pub fn put(&mut self, now: Nanos, worker: WorkerId, conn: Conn) -> Nanos {
        self.idle.entry(worker).or_default().push(Conn { since: now, ..conn });
        now + self.keep
    }

    pub fn drop_worker(&mut self, worker: WorkerId) {
        self.idle.remove(&worker);
    }

    /// Drops what has been idle for too long.
    pub fn reap(&mut self, now: Nanos) {
        let keep = self.keep(now);
        self.idle.values_mut().for_each(|idle| idle.retain(|conn| now < conn.since + keep));
        self.idle.retain(|_, idle| !idle.is_empty());
    }

    /// Drops the one that has been idle longest, to make room; false if there is none.
    pub fn evict(&mut self) -> bool {
        let oldest = self.idle.iter_mut().filter(|(_, idle)| !idle.is_empty());
        let oldest = oldest.min_by_key(|(_, idle)| idle[0].since);
        oldest.map(|(_, idle)| idle.remove(0)).is_some()
    }
}
