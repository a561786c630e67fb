//! Idle connections to workers, of whatever kind carries them. One that is taken out was looked at first.
use rosewall::types::{Nanos, WorkerId};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// What the pool asks of a connection.
pub trait Idle {
    /// Whether it is open and silent. Guards against a posting on a connection that the worker has closed,
    /// or on which an answer to an earlier one still comes.
    fn sound(&self) -> bool;
}

struct Kept<C> {
    conn: C,
    dial: SocketAddr,
    since: Nanos,
}

pub struct Pool<C> {
    /// By worker, the one used last at the end.
    idle: BTreeMap<WorkerId, Vec<Kept<C>>>,
    keep: Nanos,
    /// The shortest time of late after which a connection broke though it had looked sound, and when it last did.
    broke: Nanos,
    broke_at: Nanos,
    /// When to look for those that are idle for too long.
    reaps: VecDeque<Nanos>,
}

/// How long a break is remembered: a few times what a busy dispatcher needs to meet the next one, and short beside
/// a day if it was chance.
const REMEMBERED: Nanos = 30_000_000_000;

impl<C: Idle> Pool<C> {
    /// The worker closes what was idle for `limit`. Three fifths leave seconds for clocks and for the
    /// posting that is being written.
    pub fn new(limit: Nanos) -> Self {
        let (idle, reaps) = (BTreeMap::new(), VecDeque::new());
        Pool { idle, keep: limit / 5 * 3, broke: Nanos::MAX, broke_at: 0, reaps }
    }

    /// One that looked sound, idle since `since`, broke as it was used. Guards against workers, or what is between,
    /// that drop kept connections in silence, and sooner than the settings say: what ran on those cannot be told.
    pub fn broke(&mut self, now: Nanos, since: Nanos) {
        let age = now.saturating_sub(since);
        self.broke = age.min(if self.remembers(now) { self.broke } else { Nanos::MAX });
        self.broke_at = now;
    }

    fn remembers(&self, now: Nanos) -> bool {
        now < self.broke_at + REMEMBERED
    }

    fn keep(&self, now: Nanos) -> Nanos {
        if self.remembers(now) { self.keep.min(self.broke / 5 * 3) } else { self.keep }
    }

    /// The connection used last with the moment since when it was idle, if a sound one is there, and how many were not.
    pub fn take(&mut self, now: Nanos, worker: WorkerId) -> (Option<(C, Nanos)>, usize) {
        let (mut stale, keep) = (0, self.keep(now));
        let Some(idle) = self.idle.get_mut(&worker) else { return (None, 0) };
        while let Some(Kept { conn, since, .. }) = idle.pop() {
            if now < since + keep && conn.sound() {
                return (Some((conn, since)), stale);
            }
            stale += 1;
        }
        (None, stale)
    }

    /// Puts one in that leads to `dial`.
    pub fn put(&mut self, now: Nanos, worker: WorkerId, dial: SocketAddr, conn: C) {
        self.idle.entry(worker).or_default().push(Kept { conn, dial, since: now });
        self.reaps.push_back(now + self.keep);
    }

    /// Drops those to a worker that do not lead to `dial`: all of them where it is none.
    pub fn drop_worker(&mut self, worker: WorkerId, dial: Option<SocketAddr>) {
        if let Some(idle) = self.idle.get_mut(&worker) {
            idle.retain(|kept| Some(kept.dial) == dial);
        }
    }

    /// When to call `reap` next.
    pub fn next_reap(&self) -> Option<Nanos> {
        self.reaps.front().copied()
    }

    /// Drops what has been idle for too long.
    pub fn reap(&mut self, now: Nanos) {
        let keep = self.keep(now);
        self.idle.values_mut().for_each(|idle| idle.retain(|kept| now < kept.since + keep));
        self.idle.retain(|_, idle| !idle.is_empty());
        while self.reaps.front().is_some_and(|at| *at <= now) {
            self.reaps.pop_front();
        }
    }

    /// Drops the one that has been idle longest, to make room; false if there is none.
    pub fn evict(&mut self) -> bool {
        let oldest = self.idle.iter_mut().filter(|(_, idle)| !idle.is_empty());
        let oldest = oldest.min_by_key(|(_, idle)| idle[0].since);
        oldest.map(|(_, idle)| idle.remove(0)).is_some()
    }
}
