//! The requester's side: pending requests, and validation of the answers.
use super::GrantTerms;
use crate::quota::PerSecondQuota;
use crate::time::SECOND;
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{Nanos, WorkerId};

/// The maximum number of grants that one process requests per second.
const MAX_REQUESTS_PER_SECOND: u64 = 200;
/// The time for which a request is pending; a later answer to it is ignored.
const REQUEST_RETENTION: Nanos = SECOND;

#[derive(Clone, Copy)]
struct PendingRequest {
    seq: u32,
    worker: WorkerId,
    requested_at: Nanos,
    work: Nanos,
}

/// A grant that the dispatch decisions may use once, before it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptedGrant {
    /// The granted work, in ns of one concurrency slot.
    pub work: Nanos,
    /// The time at which the grant expires.
    pub expires_at: Nanos,
}

/// Requests grants and validates the answers; accepted grants are passed to the dispatch decisions.
#[derive(Default)]
pub struct GrantHolder {
    pending: Vec<PendingRequest>,
    last_seq: u32,
    quota: PerSecondQuota<MAX_REQUESTS_PER_SECOND>,
    /// The number of grants that arrived after they had expired.
    pub expired: u64,
}

impl GrantHolder {
    /// Registers a request and returns its number, or `None` if the quota of this second is used up.
    pub fn start_request(&mut self, now: Nanos, worker: WorkerId, work: Nanos) -> Option<u32> {
        self.pending
            .retain(|pending| now < pending.requested_at + REQUEST_RETENTION);
        self.quota.advance(now);
        if !self.quota.try_take() {
            return None;
        }
        self.last_seq = self.last_seq.wrapping_add(1);
        self.pending.push(PendingRequest {
            seq: self.last_seq,
            worker,
            requested_at: now,
            work,
        });
        Some(self.last_seq)
    }

    /// Validates the answer to a request.
    ///
    /// A grant is valid from the time of its request and is accepted once. Expired grants and late,
    /// duplicate or unsolicited answers are ignored.
    pub fn accept(
        &mut self,
        now: Nanos,
        seq: u32,
        worker: WorkerId,
        terms: GrantTerms,
    ) -> Option<AcceptedGrant> {
        let index = self
            .pending
            .iter()
            .position(|pending| pending.seq == seq && pending.worker == worker)?;
        let request = if is_active(Mutation::AcceptDuplicateGrant) {
            self.pending[index]
        } else {
            self.pending.swap_remove(index)
        };
        let valid_from = if is_active(Mutation::GrantFromReply) {
            now
        } else {
            request.requested_at
        };
        if terms.work == 0 || terms.work > request.work {
            return None;
        }
        let expires_at = valid_from + terms.validity;
        if now >= expires_at {
            self.expired += 1;
            return None;
        }
        Some(AcceptedGrant {
            work: terms.work,
            expires_at,
        })
    }
}
