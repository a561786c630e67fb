//! The lease holder's side: issuing of grants from the budgets of warming workers.
use super::GrantTerms;
use crate::lease::with_drift_margin;
use crate::member::{MemberRecord, fnv1a};
use crate::time::MILLISECOND;
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{Nanos, WorkerId};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// The maximum validity of a grant. It is short, since the budget of a window also covers this much of
/// the next window, and longer than a round trip between distant sites.
const MAX_VALIDITY: Nanos = 100 * MILLISECOND;
/// The number of answered requests of one process that are tracked to detect duplicates.
const MAX_TRACKED_REQUESTS: usize = 64;

/// Identifies the process that requests a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequesterId {
    name_hash: u32,
    generation: u64,
}

impl RequesterId {
    /// Returns the identifier of the process with this record.
    pub fn of(record: &MemberRecord) -> Self {
        RequesterId {
            name_hash: fnv1a(record.name.as_bytes()),
            generation: record.generation,
        }
    }
}

/// A request for a grant, as the issuer receives it.
#[derive(Clone, Copy, Debug)]
pub struct GrantRequest {
    /// The requesting process.
    pub requester: RequesterId,
    /// The number of the request, unique within the requesting process.
    pub seq: u32,
    /// The warming worker.
    pub worker: WorkerId,
    /// The requested work, in ns of one concurrency slot.
    pub work: Nanos,
}

#[derive(Clone, Copy)]
struct IssuedGrant {
    at: Nanos,
    work: Nanos,
}

/// The budget of one warming worker, as last set at this process.
#[derive(Default)]
struct Budget {
    work_per_window: Nanos,
    window: Nanos,
    issued: VecDeque<IssuedGrant>,
}

impl Budget {
    fn validity(&self) -> Nanos {
        MAX_VALIDITY.min(self.window / 2)
    }

    /// Returns the time for which an issued grant is charged to the budget: a window plus the validity,
    /// since a grant may be used just before it expires.
    fn accounting_span(&self) -> Nanos {
        let validity = if is_active(Mutation::ForgetIssuedGrant) {
            0
        } else {
            self.validity()
        };
        with_drift_margin(self.window + validity)
    }
}

/// Issues grants while this process holds the lease.
#[derive(Default)]
pub struct GrantIssuer {
    budgets: FxHashMap<WorkerId, Budget>,
    /// Numbers of the latest answered requests, so that a duplicate is not granted again.
    answered: FxHashMap<RequesterId, VecDeque<u32>>,
    /// The number of grants that were issued.
    pub issued: u64,
    /// The number of requests that were refused for lack of budget.
    pub refused: u64,
}

impl GrantIssuer {
    /// Sets the work that the fleet may send to a worker by grants in each window; 0 ends the warm-up.
    pub fn set_budget(&mut self, worker: WorkerId, work_per_window: Nanos, window: Nanos) {
        if work_per_window == 0 {
            self.budgets.remove(&worker);
            return;
        }
        let budget = self.budgets.entry(worker).or_default();
        budget.work_per_window = work_per_window;
        budget.window = window;
    }

    /// Answers a request; returns `None` if nothing is granted.
    ///
    /// `lease_since` is the time since which this process has held the lease. Nothing is granted until
    /// the grants of a previous holder no longer count against the budget.
    pub fn issue(
        &mut self,
        now: Nanos,
        lease_since: Nanos,
        request: GrantRequest,
    ) -> Option<GrantTerms> {
        let budget = self.budgets.get_mut(&request.worker)?;
        let span = budget.accounting_span();
        if now < lease_since + span && !is_active(Mutation::IssueWithoutHandoverWait) {
            return None;
        }
        let answered = self.answered.entry(request.requester).or_default();
        if answered.contains(&request.seq) && !is_active(Mutation::GrantDuplicateRequest) {
            return None;
        }
        answered.push_back(request.seq);
        if answered.len() > MAX_TRACKED_REQUESTS {
            answered.pop_front();
        }
        while budget
            .issued
            .front()
            .is_some_and(|grant| grant.at + span <= now)
        {
            budget.issued.pop_front();
        }
        let outstanding: Nanos = budget.issued.iter().map(|grant| grant.work).sum();
        let work = request.work;
        if work == 0 || outstanding + work > budget.work_per_window {
            self.refused += 1;
            return None;
        }
        // The budget is charged before the answer is sent.
        if !is_active(Mutation::KeepGrantedWork) {
            budget.issued.push_back(IssuedGrant { at: now, work });
        }
        self.issued += 1;
        let validity = budget.validity();
        Some(GrantTerms { work, validity })
    }

    /// Discards all issued grants after the loss of the lease. The next holder waits until they no longer
    /// count against the budget.
    pub fn clear(&mut self) {
        self.answered.clear();
        for budget in self.budgets.values_mut() {
            budget.issued.clear();
        }
    }
}
