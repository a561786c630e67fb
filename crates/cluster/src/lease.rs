//! The lease on issuing warm-up grants: at most one quorum member holds it at a time (Gray and Cheriton 1989).
//!
//! More than half of the quorum must vote for the holder. A vote holds on the voter's clock from the moment at which it is
//! given, the lease on the holder's clock from the moment at which it was requested, each corrected by the maximal clock
//! drift: so two leases never overlap, whatever is lost, late or paused. Nothing is persisted: a voter that has just
//! started withholds its vote until all that it may have promised before has expired.
use crate::member::{Name, ProcessId};
use crate::time::MILLISECOND;
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::Nanos;

/// How long a lease lasts, and how long a voter that starts withholds its vote.
pub const LEASE_DURATION: Nanos = 2_000 * MILLISECOND;
/// Clocks may differ in speed by one part in this many, a hundred times the error of a quartz clock.
const CLOCK_DRIFT_DIVISOR: Nanos = 100;
/// How often the lease is requested: three requests may be lost before it expires.
const RENEW_INTERVAL: Nanos = LEASE_DURATION / 4;

/// A span on the local clock within which `span` has passed on every other clock.
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
    /// A voter that starts now.
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

    /// Answers a lease request; returns whether the lease is promised to the candidate.
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

/// Which candidate is to try for a free lease, so that votes are not split.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidacy {
    /// The first quorum member that runs, by this member's view.
    Preferred,
    /// Any other: it only renews a lease that it holds.
    Backup,
}

/// A quorum member that holds the lease or tries to.
#[derive(Default)]
pub struct LeaseCandidate {
    /// The number of the current round.
    seq: u32,
    /// When the current round began.
    requested_at: Nanos,
    /// Who has voted for it in the current round.
    votes: Vec<Name>,
    expires_at: Nanos,
    next_round_at: Nanos,
    /// Since when the lease has been held without a break.
    held_since: Nanos,
}

impl LeaseCandidate {
    /// Whether it holds the lease.
    pub fn holds(&self, now: Nanos) -> bool {
        now < self.expires_at
    }

    /// Since when it has held the lease without a break, if it holds it.
    pub fn held_since(&self, now: Nanos) -> Option<Nanos> {
        self.holds(now).then_some(self.held_since)
    }

    /// When [`LeaseCandidate::start_round`] is to be called next.
    pub fn next_timeout(&self) -> Nanos {
        self.next_round_at
    }

    /// Starts a round if one is due, and returns its number.
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

    /// Counts a vote in the round `seq`; more than half of `quorum_size` make a lease.
    pub fn handle_vote(&mut self, now: Nanos, seq: u32, voter: &Name, quorum_size: usize) {
        if seq != self.seq || self.votes.contains(voter) {
            return;
        }
        self.votes.push(voter.clone());
        let uncounted = usize::from(is_active(Mutation::LeaseWithoutMajority));
        if (self.votes.len() + uncounted) * 2 <= quorum_size {
            return;
        }
        // Every vote was given after the request, so a lease that counts from the request ends before any of them.
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

    /// Gives the lease up.
    pub fn relinquish(&mut self) {
        self.expires_at = 0;
    }
}

#[cfg(test)]
pub(crate) mod tests;
