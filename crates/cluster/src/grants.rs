//! Rights to send to a cold worker, whole ones, each for a stated work and a short time. One process gives them, as long
//! as it holds the lease: out of what the fleet together may send in a window, less what it gave in that window and in the
//! time for which a right lasts. So in no window can more be spent than that, whoever spends it when; a right that is
//! lost is lost until its window is over.
use crate::lease::long;
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{Nanos, WorkerId};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

const MS: Nanos = 1_000_000;
/// Works are whole ms of one seat on the way.
pub const UNIT: Nanos = MS;
/// A right lasts so long, or half a window: it is asked for by a request that waits for it. Short, as what a window holds is
/// shared with as much of the next; but longer than the way there and back between distant rooms.
const LASTS: Nanos = 100 * MS;
/// So many may be asked for in a second by one process.
pub const WANTS_A_SECOND: u64 = 200;

/// What may be given of one worker.
#[derive(Default)]
struct Purse {
    /// What all together may be given in a window, and its length, by what this process knows of the worker now.
    joint: Nanos,
    window: Nanos,
    given: VecDeque<(Nanos, Nanos)>,
}

/// The side that gives.
#[derive(Default)]
pub struct GrantIssuer {
    purses: FxHashMap<WorkerId, Purse>,
    /// What the same process was given, by name and number: one request that comes twice counts once.
    answered: FxHashMap<(u32, u64), VecDeque<u32>>,
    pub given: u64,
    pub short: u64,
}

impl GrantIssuer {
    /// What the fleet may send this worker in a window, by rights; 0 where it is cold no more.
    pub fn set_warm_up_budget(&mut self, worker: WorkerId, joint: Nanos, window: Nanos) {
        if joint == 0 {
            self.purses.remove(&worker);
            return;
        }
        let purse = self.purses.entry(worker).or_default();
        (purse.joint, purse.window) = (joint, window);
    }

    /// How long a right lasts, of a window so long.
    pub fn lasts(window: Nanos) -> Nanos {
        LASTS.min(window / 2)
    }

    /// Gives a right, or none (0). `held` is since when the lease is held: what another gave before it must be over.
    pub fn give(
        &mut self,
        now: Nanos,
        held: Nanos,
        from: (u32, u64),
        seq: u32,
        worker: WorkerId,
        work: Nanos,
    ) -> (Nanos, Nanos) {
        let Some(purse) = self.purses.get_mut(&worker) else {
            return (0, 0);
        };
        let lasts = GrantIssuer::lasts(purse.window);
        // A window, and as long as a right lasts: a right may be spent at its very end.
        let span = long(
            purse.window
                + if is_active(Mutation::ForgetIssuedGrant) {
                    0
                } else {
                    lasts
                },
        );
        if now < held + span && !is_active(Mutation::IssueWithoutHandoverWait) {
            return (0, 0);
        }
        let seen = self.answered.entry(from).or_default();
        if seen.contains(&seq) && !is_active(Mutation::GrantDuplicateRequest) {
            return (0, 0);
        }
        seen.push_back(seq);
        if seen.len() > 64 {
            seen.pop_front();
        }
        while purse.given.front().is_some_and(|(at, _)| at + span <= now) {
            purse.given.pop_front();
        }
        let out: Nanos = purse.given.iter().map(|(_, work)| work).sum();
        if work == 0 || out + work > purse.joint {
            self.short += 1;
            return (0, 0);
        }
        // Taken off before it is sent.
        if !is_active(Mutation::KeepGrantedWork) {
            purse.given.push_back((now, work));
        }
        self.given += 1;
        (work, lasts)
    }

    /// All is forgotten as the lease is lost; whoever holds it next waits.
    pub fn end(&mut self) {
        self.answered.clear();
        self.purses
            .values_mut()
            .for_each(|purse| purse.given.clear());
    }

    /// For each cold worker what may be given in a window, and what was given of late.
    pub fn all(&self) -> impl Iterator<Item = (WorkerId, Nanos, Nanos)> {
        let of = |purse: &Purse| purse.given.iter().map(|(_, work)| work).sum();
        self.purses
            .iter()
            .map(move |(worker, purse)| (*worker, purse.joint, of(purse)))
    }
}

struct Asked {
    seq: u32,
    worker: WorkerId,
    at: Nanos,
    work: Nanos,
}

/// The side that asks and holds. What is held is with the decisions, who spend it: each right once, by its end.
#[derive(Default)]
pub struct GrantHolder {
    asked: Vec<Asked>,
    serial: u32,
    second: (Nanos, u64),
    pub got: u64,
    pub late: u64,
}

impl GrantHolder {
    /// The number to ask under, if it is time to ask for this.
    pub fn request_grant(&mut self, now: Nanos, worker: WorkerId, work: Nanos) -> Option<u32> {
        self.asked.retain(|asked| now < asked.at + 1_000 * MS);
        if now >= self.second.0 + 1_000 * MS {
            self.second = (now, 0);
        }
        if self.second.1 >= WANTS_A_SECOND {
            return None;
        }
        self.second.1 += 1;
        self.serial = self.serial.wrapping_add(1);
        self.asked.push(Asked {
            seq: self.serial,
            worker,
            at: now,
            work,
        });
        Some(self.serial)
    }

    /// A right that came: until when it may be spent, and its work. It counts from when it was asked for, once, and not
    /// at all once that is over. Guards against answers that are late, come twice, or were never asked for.
    pub fn granted(
        &mut self,
        now: Nanos,
        seq: u32,
        worker: WorkerId,
        work: Nanos,
        lasts: Nanos,
    ) -> Option<(Nanos, Nanos)> {
        let at = self
            .asked
            .iter()
            .position(|asked| asked.seq == seq && asked.worker == worker)?;
        let asked = if is_active(Mutation::AcceptDuplicateGrant) {
            &self.asked[at]
        } else {
            &self.asked.swap_remove(at)
        };
        let (from, most) = (asked.at, asked.work);
        let from = if is_active(Mutation::GrantFromReply) {
            now
        } else {
            from
        };
        if work == 0 || work > most {
            return None;
        }
        let until = from + lasts;
        if now >= until {
            self.late += 1;
            return None;
        }
        self.got += 1;
        Some((until, work))
    }
}
