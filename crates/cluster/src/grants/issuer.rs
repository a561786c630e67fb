//! The lease holder's side: what is issued out of which budget.
use super::GrantTerms;
use crate::lease::with_drift_margin;
use crate::member::{MemberRecord, fnv1a};
use crate::time::MILLISECOND;
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{Nanos, WorkerId};
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// The longest validity of a grant. Short, as a window shares its budget with as much of the next; longer than a round trip
/// between distant sites.
const MAX_VALIDITY: Nanos = 100 * MILLISECOND;
/// How many answered requests of one process are remembered.
const MAX_TRACKED_REQUESTS: usize = 64;

/// The process that requests a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequesterId {
    name_hash: u32,
    generation: u64,
}

impl RequesterId {
    /// The process with this record.
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
    /// Who requests.
    pub requester: RequesterId,
    /// The requester's number of the request.
    pub seq: u32,
    /// The warming worker.
    pub worker: WorkerId,
    /// The requested work.
    pub work: Nanos,
}

#[derive(Clone, Copy)]
struct IssuedGrant {
    at: Nanos,
    work: Nanos,
}

/// The budget of one warming worker, by what this process knows of it now.
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

    /// How long an issued grant counts against the budget: a window, and the validity, since a grant may be used at its very
    /// end.
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
    /// The requests that were answered, so that a duplicate is not granted again.
    answered: FxHashMap<RequesterId, VecDeque<u32>>,
    /// How many grants were issued.
    pub issued: u64,
    /// How many requests were refused for lack of budget.
    pub refused: u64,
}

impl GrantIssuer {
    /// Sets what the fleet may send a worker by grants in a window; 0 ends the warm-up.
    pub fn set_budget(&mut self, worker: WorkerId, work_per_window: Nanos, window: Nanos) {
        if work_per_window == 0 {
            self.budgets.remove(&worker);
            return;
        }
        let budget = self.budgets.entry(worker).or_default();
        budget.work_per_window = work_per_window;
        budget.window = window;
    }

    /// Answers a request; `None` if nothing is granted.
    ///
    /// The lease has been held since `lease_since`: those of the previous holder must have expired.
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
        // Charged before the answer is sent.
        if !is_active(Mutation::KeepGrantedWork) {
            budget.issued.push_back(IssuedGrant { at: now, work });
        }
        self.issued += 1;
        let validity = budget.validity();
        Some(GrantTerms { work, validity })
    }

    /// Forgets what was issued, as the lease is lost; the next holder waits until it has expired.
    pub fn clear(&mut self) {
        self.answered.clear();
        for budget in self.budgets.values_mut() {
            budget.issued.clear();
        }
    }
}
