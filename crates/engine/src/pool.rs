//! Idle connections to workers, of whatever kind carries them. One that is taken out was looked at first.
use rosewall::types::{Nanos, WorkerId};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// What the pool asks of a connection.
pub trait Idle {
    /// Whether it is open and silent. Guards against an attempt on a connection that the worker has closed,
    /// or on which an answer to an earlier one still comes.
    fn is_reusable(&self) -> bool;
}

struct Kept<C> {
    conn: C,
    address: SocketAddr,
    since: Nanos,
}

/// The connections to one worker, the one used last at the end.
struct Line<C> {
    kept: Vec<Kept<C>>,
    /// How many attempts were to wait for a rest, since a moment.
    waits: (u32, Nanos),
}

pub struct Pool<C> {
    idle: BTreeMap<WorkerId, Line<C>>,
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

/// So long after an answer nothing is posted whole over its connection: a second answer to the same attempt comes some
/// milliseconds late if it comes. Guards against one that is taken for the next request's: as what never ran, it would have
/// that posted twice.
pub const REST: Nanos = 10_000_000;
/// So many attempts a second to one worker wait for that, up to a quarter of the time; then one more connection to it is opened,
/// until there are enough that each rests. Guards against a wait for each attempt at a busy dispatcher, and against several
/// connections for who posts one by one.
const WAITS: u32 = 25;
const WAITS_WITHIN: Nanos = 1_000_000_000;
/// Those idle for too long are looked for this often at most: short beside the seconds by which they are dropped early.
const REAP: Nanos = 100_000_000;

impl<C: Idle> Pool<C> {
    /// The worker closes what was idle for `limit`. Three fifths leave seconds for clocks and for the
    /// attempt that is being written.
    pub fn new(limit: Nanos) -> Self {
        let (idle, reaps) = (BTreeMap::new(), VecDeque::new());
        Pool {
            idle,
            keep: limit / 5 * 3,
            broke: Nanos::MAX,
            broke_at: 0,
            reaps,
        }
    }

    /// One that looked sound, idle since `since`, broke as it was used. Guards against workers, or what is between,
    /// that drop kept connections in silence, and sooner than the settings say: what ran on those cannot be told.
    pub fn broke(&mut self, now: Nanos, since: Nanos) {
        let age = now.saturating_sub(since);
        self.broke = age.min(if self.remembers(now) {
            self.broke
        } else {
            Nanos::MAX
        });
        self.broke_at = now;
    }

    fn remembers(&self, now: Nanos) -> bool {
        now < self.broke_at + REMEMBERED
    }

    fn keep(&self, now: Nanos) -> Nanos {
        if self.remembers(now) {
            self.keep.min(self.broke / 5 * 3)
        } else {
            self.keep
        }
    }

    /// A sound connection, if one is to be used, with the moment since when it is idle, and how many were not sound. Of those
    /// that have rested the one used last; else the one that has rested longest, unless too many waited so of late.
    pub fn take(&mut self, now: Nanos, worker: WorkerId) -> (Option<(C, Nanos)>, usize) {
        let (mut stale, keep) = (0, self.keep(now));
        let Some(Line { kept, waits }) = self.idle.get_mut(&worker) else {
            return (None, 0);
        };
        let mut take_if_reusable = |Kept { conn, since, .. }: Kept<C>| {
            let sound = now < since + keep && conn.is_reusable();
            stale += usize::from(!sound);
            sound.then_some((conn, since))
        };
        let rested = kept.partition_point(|kept| kept.since + REST <= now);
        let mut found = (0..rested)
            .rev()
            .find_map(|at| take_if_reusable(kept.remove(at)));
        if found.is_none() && !kept.is_empty() {
            if now >= waits.1 + WAITS_WITHIN {
                *waits = (0, now);
            }
            waits.0 += 1;
            while found.is_none() && waits.0 <= WAITS && !kept.is_empty() {
                found = take_if_reusable(kept.remove(0));
            }
        }
        (found, stale)
    }

    /// Puts one in that leads to `address`.
    pub fn put(&mut self, now: Nanos, worker: WorkerId, address: SocketAddr, conn: C) {
        let line = self.idle.entry(worker).or_insert_with(|| Line {
            kept: Vec::new(),
            waits: (0, now),
        });
        line.kept.push(Kept {
            conn,
            address,
            since: now,
        });
        let at = (now + self.keep).next_multiple_of(REAP);
        if self.reaps.back() != Some(&at) {
            self.reaps.push_back(at);
        }
    }

    /// Drops those to a worker that do not lead to `address`: all of them where it is none.
    pub fn drop_worker(&mut self, worker: WorkerId, address: Option<SocketAddr>) {
        if let Some(line) = self.idle.get_mut(&worker) {
            line.kept.retain(|kept| Some(kept.address) == address);
        }
    }

    /// When to call `reap` next.
    pub fn next_reap(&self) -> Option<Nanos> {
        self.reaps.front().copied()
    }

    /// Drops what has been idle for too long.
    pub fn reap(&mut self, now: Nanos) {
        let keep = self.keep(now);
        self.idle
            .values_mut()
            .for_each(|line| line.kept.retain(|kept| now < kept.since + keep));
        self.idle.retain(|_, line| !line.kept.is_empty());
        while self.reaps.front().is_some_and(|at| *at <= now) {
            self.reaps.pop_front();
        }
    }

    /// Drops the one that has been idle longest, to make room; false if there is none.
    pub fn evict(&mut self) -> bool {
        let oldest = self.idle.values_mut().filter(|line| !line.kept.is_empty());
        let oldest = oldest.min_by_key(|line| line.kept[0].since);
        oldest.map(|line| line.kept.remove(0)).is_some()
    }
}
