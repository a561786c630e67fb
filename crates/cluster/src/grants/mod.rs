//! Rights to send to a cold worker, whole ones, each for a stated work and a short time. One process gives them, as long
//! as it holds the lease: out of what the fleet together may send in a window, less what it gave in that window and in the
//! time for which a right lasts. So in no window can more be spent than that, whoever spends it when; a right that is
//! lost is lost until its window is over.
use crate::lease::with_drift_margin;
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{Nanos, WorkerId};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

const MS: Nanos = 1_000_000;
/// Works are whole ms of one seat on the way.
pub const WORK_UNIT: Nanos = MS;
/// A right lasts so long, or half a window: it is asked for by a request that waits for it. Short, as what a window holds is
/// shared with as much of the next; but longer than the way there and back between distant rooms.
const MAX_GRANT_VALIDITY: Nanos = 100 * MS;
/// So many may be asked for in a second by one process.
pub const MAX_REQUESTS_PER_SECOND: u64 = 200;

/// What may be given of one worker.
#[derive(Default)]
struct WarmUpBudget {
    /// What all together may be given in a window, and its length, by what this process knows of the worker now.
    work_per_window: Nanos,
    window: Nanos,
    issued: VecDeque<(Nanos, Nanos)>,
}

/// The side that gives.
#[derive(Default)]
pub struct GrantIssuer {
    budgets: FxHashMap<WorkerId, WarmUpBudget>,
    /// What the same process was given, by name and number: one request that comes twice counts once.
    answered_requests: FxHashMap<(u32, u64), VecDeque<u32>>,
    pub issued: u64,
    pub refused: u64,
}

impl GrantIssuer {
    /// What the fleet may send this worker in a window, by rights; 0 where it is cold no more.
    pub fn set_warm_up_budget(&mut self, worker: WorkerId, work_per_window: Nanos, window: Nanos) {
        if work_per_window == 0 {
            self.budgets.remove(&worker);
            return;
        }
        let budget = self.budgets.entry(worker).or_default();
        (budget.work_per_window, budget.window) = (work_per_window, window);
    }

    /// How long a right lasts, of a window so long.
    pub fn validity(window: Nanos) -> Nanos {
        MAX_GRANT_VALIDITY.min(window / 2)
    }

    /// Gives a right, or none (0). `held` is since when the lease is held: what another gave before it must be over.
    pub fn issue(
        &mut self,
        now: Nanos,
        held: Nanos,
        from: (u32, u64),
        seq: u32,
        worker: WorkerId,
        work: Nanos,
    ) -> (Nanos, Nanos) {
        let Some(budget) = self.budgets.get_mut(&worker) else {
            return (0, 0);
        };
        let validity = GrantIssuer::validity(budget.window);
        // A window, and as long as a right lasts: a right may be spent at its very end.
        let span = with_drift_margin(
            budget.window
                + if is_active(Mutation::ForgetIssuedGrant) {
                    0
                } else {
                    validity
                },
        );
        if now < held + span && !is_active(Mutation::IssueWithoutHandoverWait) {
            return (0, 0);
        }
        let seen = self.answered_requests.entry(from).or_default();
        if seen.contains(&seq) && !is_active(Mutation::GrantDuplicateRequest) {
            return (0, 0);
        }
        seen.push_back(seq);
        if seen.len() > 64 {
            seen.pop_front();
        }
        while budget
            .issued
            .front()
            .is_some_and(|(at, _)| at + span <= now)
        {
            budget.issued.pop_front();
        }
        let out: Nanos = budget.issued.iter().map(|(_, work)| work).sum();
        if work == 0 || out + work > budget.work_per_window {
            self.refused += 1;
            return (0, 0);
        }
        // Taken off before it is sent.
        if !is_active(Mutation::KeepGrantedWork) {
            budget.issued.push_back((now, work));
        }
        self.issued += 1;
        (work, validity)
    }

    /// All is forgotten as the lease is lost; whoever holds it next waits.
    pub fn clear(&mut self) {
        self.answered_requests.clear();
        self.budgets
            .values_mut()
            .for_each(|budget| budget.issued.clear());
    }

    /// For each cold worker what may be given in a window, and what was given of late.
    pub fn budgets(&self) -> impl Iterator<Item = (WorkerId, Nanos, Nanos)> {
        let of = |budget: &WarmUpBudget| budget.issued.iter().map(|(_, work)| work).sum();
        self.budgets
            .iter()
            .map(move |(worker, budget)| (*worker, budget.work_per_window, of(budget)))
    }
}

struct PendingRequest {
    seq: u32,
    worker: WorkerId,
    at: Nanos,
    work: Nanos,
}

/// The side that asks and holds. What is held is with the decisions, who spend it: each right once, by its end.
#[derive(Default)]
pub struct GrantHolder {
    pending: Vec<PendingRequest>,
    serial: u32,
    second: (Nanos, u64),
    pub accepted: u64,
    pub expired: u64,
}

impl GrantHolder {
    /// The number to ask under, if it is time to ask for this.
    pub fn request_grant(&mut self, now: Nanos, worker: WorkerId, work: Nanos) -> Option<u32> {
        self.pending.retain(|pending| now < pending.at + 1_000 * MS);
        if now >= self.second.0 + 1_000 * MS {
            self.second = (now, 0);
        }
        if self.second.1 >= MAX_REQUESTS_PER_SECOND {
            return None;
        }
        self.second.1 += 1;
        self.serial = self.serial.wrapping_add(1);
        self.pending.push(PendingRequest {
            seq: self.serial,
            worker,
            at: now,
            work,
        });
        Some(self.serial)
    }

    /// A right that came: until when it may be spent, and its work. It counts from when it was asked for, once, and not
    /// at all once that is over. Guards against answers that are late, come twice, or were never asked for.
    pub fn accept(
        &mut self,
        now: Nanos,
        seq: u32,
        worker: WorkerId,
        work: Nanos,
        validity: Nanos,
    ) -> Option<(Nanos, Nanos)> {
        let at = self
            .pending
            .iter()
            .position(|pending| pending.seq == seq && pending.worker == worker)?;
        let pending = if is_active(Mutation::AcceptDuplicateGrant) {
            &self.pending[at]
        } else {
            &self.pending.swap_remove(at)
        };
        let (from, most) = (pending.at, pending.work);
        let from = if is_active(Mutation::GrantFromReply) {
            now
        } else {
            from
        };
        if work == 0 || work > most {
            return None;
        }
        let until = from + validity;
        if now >= until {
            self.expired += 1;
            return None;
        }
        self.accepted += 1;
        Some((until, work))
    }
}

#[cfg(test)]
pub(crate) mod tests;
