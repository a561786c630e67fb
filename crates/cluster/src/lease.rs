//! Who may give rights: one keeper at a time, by a lease that more than half of the keepers promise (Gray and Cheriton
//! 1989). A promise counts on the keeper's clock from when it is made, the lease on its holder's from when it was asked
//! for, each less what clocks may drift: so no two hold it at once, whatever is lost, late or paused. Nothing is written
//! to a disk: a keeper that has just started promises nothing until all that it may have promised before is over.
use crate::datagram::Name;
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::Nanos;

const MS: Nanos = 1_000_000;
/// How long a promise holds. A holder that dies is followed by another after it; a keeper that starts is mute for it.
pub const LEASE_DURATION: Nanos = 2_000 * MS;
/// Clocks are trusted to differ in speed by no more than one in so many: a hundred times what quartz does.
pub const CLOCK_DRIFT_DIVISOR: Nanos = 100;
/// Asked for anew so often: three may be lost.
const RENEW_INTERVAL: Nanos = LEASE_DURATION / 4;

/// A span by one's own clock that is surely over by anyone's.
pub fn with_drift_margin(span: Nanos) -> Nanos {
    span + 2 * span / CLOCK_DRIFT_DIVISOR
}

/// What one keeper has promised: to which process of which name, and until when.
#[derive(Default)]
pub struct LeaseVoter {
    promised: Option<(Name, u64)>,
    until: Nanos,
}

impl LeaseVoter {
    pub fn new(now: Nanos) -> Self {
        let silence = if is_active(Mutation::ForgetLeasePromise) {
            0
        } else {
            with_drift_margin(LEASE_DURATION)
        };
        LeaseVoter {
            promised: None,
            until: now + silence,
        }
    }

    /// Whether it promises this process the lease.
    pub fn request(&mut self, now: Nanos, name: &Name, start: u64) -> bool {
        let same = self
            .promised
            .as_ref()
            .is_some_and(|(to, at)| to == name && *at == start);
        if !same && now < self.until && !is_active(Mutation::PromiseLeaseTwice) {
            return false;
        }
        (self.promised, self.until) = (
            Some((name.clone(), start)),
            now + with_drift_margin(LEASE_DURATION),
        );
        true
    }
}

/// One that holds the lease or tries to.
#[derive(Default)]
pub struct LeaseCandidate {
    /// The round that is out: its number, when it was asked, and who promised.
    seq: u32,
    requested_at: Nanos,
    promised: Vec<Name>,
    until: Nanos,
    request_at: Nanos,
    /// Since when it has held it without a break.
    held_since: Nanos,
}

impl LeaseCandidate {
    pub fn holds(&self, now: Nanos) -> bool {
        now < self.until
    }

    /// Since when it holds it, if it does.
    pub fn held_since(&self, now: Nanos) -> Option<Nanos> {
        self.holds(now).then_some(self.held_since)
    }

    pub fn next_timeout(&self) -> Nanos {
        self.request_at
    }

    /// Begins a round, if one is due: its number. `first` says whether it is the one to try, by the view; others wait,
    /// so that votes are not split.
    pub fn start_round(&mut self, now: Nanos, first: bool) -> Option<u32> {
        if now < self.request_at || !(first || self.holds(now)) {
            self.request_at = self
                .request_at
                .max(now + if first { 0 } else { RENEW_INTERVAL });
            return None;
        }
        (self.seq, self.requested_at, self.request_at) =
            (self.seq.wrapping_add(1), now, now + RENEW_INTERVAL);
        self.promised.clear();
        Some(self.seq)
    }

    /// A keeper's answer; more than half of `voters` make a lease.
    pub fn handle_vote(&mut self, now: Nanos, seq: u32, by: &Name, voters: usize) {
        if seq != self.seq || self.promised.contains(by) {
            return;
        }
        self.promised.push(by.clone());
        let short = usize::from(is_active(Mutation::LeaseWithoutMajority));
        let enough = (self.promised.len() + short) * 2 > voters;
        if !enough {
            return;
        }
        // Counted from when it was asked for: whenever each promised, it was later. Guards against an answer that
        // was long on its way.
        let from = if is_active(Mutation::LeaseFromReply) {
            now
        } else {
            self.requested_at
        };
        let until = from + LEASE_DURATION - LEASE_DURATION / CLOCK_DRIFT_DIVISOR;
        if now >= until {
            return;
        }
        if !self.holds(now) {
            self.held_since = now;
        }
        self.until = self.until.max(until);
    }

    /// Gives it up.
    pub fn relinquish(&mut self) {
        self.until = 0;
    }
}

#[cfg(test)]
pub(crate) mod tests;
