//! The lease on issuing warm-up grants: at most one quorum member holds it at a time (Gray and Cheriton
//! 1989).
//!
//! A candidate needs the votes of more than half of the quorum. A vote is valid on the voter's clock
//! from the time at which it is given; the lease is valid on the holder's clock from the time at which
//! it was requested. Both are corrected by the maximum clock drift, so two leases never overlap under
//! message loss, delays or pauses. Nothing is persisted: a voter that has just started withholds its
//! vote until all its earlier promises must have expired.
use crate::member::{Name, ProcessId};
use crate::time::MILLISECOND;
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::Nanos;

/// The duration of a lease, and the time for which a starting voter withholds its vote, both before the
/// correction for clock drift.
pub const LEASE_DURATION: Nanos = 2_000 * MILLISECOND;
/// Clock rates may be off by one part in this many: a hundred times the error of a quartz clock.
const CLOCK_DRIFT_DIVISOR: Nanos = 100;
/// The interval of lease requests. Three are sent before a lease expires, so two successive ones may be
/// lost.
const RENEW_INTERVAL: Nanos = LEASE_DURATION / 4;

/// Returns a span on the local clock during which at least `span` passes on every other clock.
pub fn with_drift_margin(span: Nanos) -> Nanos {
    span + 2 * span / CLOCK_DRIFT_DIVISOR
}

/// The vote of one quorum member.
#[derive(Default)]
pub struct LeaseVoter {
    promised_to: Option<ProcessId>,
    promised_until: Nanos,
}

impl LeaseVoter {
    /// Returns a voter that starts now and withholds its vote at first.
    pub fn new(now: Nanos) -> Self {
        let withheld_for = if is_active(Mutation::ForgetLeasePromise) {
            0
        } else {
            with_drift_margin(LEASE_DURATION)
        };
        LeaseVoter {
            promised_to: None,
            promised_until: now + withheld_for,
        }
    }

    /// Handles a lease request; returns whether the vote is given to the candidate.
    pub fn vote(&mut self, now: Nanos, candidate: ProcessId) -> bool {
        let renews = self.promised_to.as_ref() == Some(&candidate);
        if !renews && now < self.promised_until && !is_active(Mutation::PromiseLeaseTwice) {
            return false;
        }
        self.promised_to = Some(candidate);
        self.promised_until = now + with_drift_margin(LEASE_DURATION);
        true
    }
}

/// Whether a candidate requests a free lease; only one does, so that votes are not split.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidacy {
    /// The first running quorum member in this member's view: requests a free lease.
    Preferred,
    /// Any other quorum member: only renews a lease that it holds.
    Backup,
}

/// A quorum member as holder of the lease or candidate for it.
#[derive(Default)]
pub struct LeaseCandidate {
    /// The number of the current round.
    seq: u32,
    /// The time at which the current round began.
    requested_at: Nanos,
    /// The members that have voted for this candidate in the current round.
    votes: Vec<Name>,
    expires_at: Nanos,
    next_round_at: Nanos,
    /// The time since which the lease has been held without interruption.
    held_since: Nanos,
}

impl LeaseCandidate {
    /// Whether this member holds the lease.
    pub fn holds(&self, now: Nanos) -> bool {
        now < self.expires_at
    }

    /// Returns the time since which this member has held the lease without interruption, or `None` if
    /// it does not hold it.
    pub fn held_since(&self, now: Nanos) -> Option<Nanos> {
        self.holds(now).then_some(self.held_since)
    }

    /// Returns the time at which [`LeaseCandidate::start_round`] is to be called next.
    pub fn next_timeout(&self) -> Nanos {
        self.next_round_at
    }

    /// Starts a round if one is due and returns its number.
    pub fn start_round(&mut self, now: Nanos, candidacy: Candidacy) -> Option<u32> {
        let preferred = candidacy == Candidacy::Preferred;
        if now < self.next_round_at || !(preferred || self.holds(now)) {
            let delay = if preferred { 0 } else { RENEW_INTERVAL };
            self.next_round_at = self.next_round_at.max(now + delay);
            return None;
        }
        self.seq = self.seq.wrapping_add(1);
        self.requested_at = now;
        self.next_round_at = now + RENEW_INTERVAL;
        self.votes.clear();
        Some(self.seq)
    }

    /// Counts a vote in the round `seq`; votes of more than half of `quorum_size` give the lease.
    pub fn handle_vote(&mut self, now: Nanos, seq: u32, voter: &Name, quorum_size: usize) {
        if seq != self.seq || self.votes.contains(voter) {
            return;
        }
        self.votes.push(voter.clone());
        let uncounted = usize::from(is_active(Mutation::LeaseWithoutMajority));
        if (self.votes.len() + uncounted) * 2 <= quorum_size {
            return;
        }
        // Every vote was given after the request, so a lease that is valid from the request ends before
        // any of them.
        let granted_at = if is_active(Mutation::LeaseFromReply) {
            now
        } else {
            self.requested_at
        };
        let expires_at = granted_at + LEASE_DURATION - LEASE_DURATION / CLOCK_DRIFT_DIVISOR;
        if now >= expires_at {
            return;
        }
        if !self.holds(now) {
            self.held_since = now;
        }
        self.expires_at = self.expires_at.max(expires_at);
    }

    /// Ends the lease at once, as if it had expired.
    pub fn relinquish(&mut self) {
        self.expires_at = 0;
    }
}

#[cfg(test)]
pub(crate) mod tests;
