//! The view: the members that run, alive or suspect, and its digest.
use super::{Member, Membership};
use crate::datagram::Part;
use crate::member::{MemberRecord, fnv1a};

/// Properties of the view that are updated with each record.
pub(super) struct ViewSummary {
    /// The number of running members, this one excluded.
    live_others: usize,
    /// The sum of the digests of the other running members' records, modulo 2^32.
    digest_sum: u32,
    /// Whether the view or a claimed rank has changed since [`Membership::take_view_changed`].
    changed: bool,
}

impl ViewSummary {
    pub(super) fn new() -> Self {
        ViewSummary {
            live_others: 0,
            digest_sum: 0,
            changed: true,
        }
    }

    /// Updates the summary for a record that is added or replaces another.
    pub(super) fn replace(&mut self, old: Option<&MemberRecord>, new: &MemberRecord) {
        self.changed = true;
        if let Some(old) = old.filter(|old| old.state.is_live()) {
            self.live_others -= 1;
            self.digest_sum = self.digest_sum.wrapping_sub(digest_of(old));
        }
        if new.state.is_live() {
            self.live_others += 1;
            self.digest_sum = self.digest_sum.wrapping_add(digest_of(new));
        }
    }
}

impl Member {
    pub(super) fn is_live(&self) -> bool {
        self.record.state.is_live()
    }
}

impl Membership {
    /// Whether the named member runs according to this process's view, which includes this process.
    pub fn is_live(&self, name: &str) -> bool {
        *name == *self.own.name || self.members.get(name).is_some_and(Member::is_live)
    }

    /// Returns the running members, this one excluded.
    pub fn live_others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members
            .values()
            .filter(|member| member.is_live())
            .map(|member| &member.record)
    }

    /// Returns all running members, this one included, ordered by name.
    pub fn view(&self) -> Vec<&MemberRecord> {
        let mut view: Vec<&MemberRecord> = self.live_others().collect();
        let index = view.partition_point(|record| record.name < self.own.name);
        view.insert(index, &self.own);
        view
    }

    /// Returns the number of running members, this one included.
    pub fn count(&self) -> usize {
        self.view.live_others + 1
    }

    /// Returns a digest of the view: equal for views with the same processes and claimed ranks.
    pub fn digest(&self) -> u32 {
        self.view.digest_sum.wrapping_add(digest_of(&self.own))
    }

    /// Whether the view or a claimed rank has changed since the last call; resets the flag.
    pub fn take_view_changed(&mut self) -> bool {
        std::mem::take(&mut self.view.changed)
    }

    pub(super) fn digest_part(&self) -> Part {
        Part::Digest {
            hash: self.digest(),
            count: self.count() as u16,
        }
    }

    /// Returns the factor of timeouts and retransmissions: the decimal logarithm of the number of
    /// members, at least 1.
    pub(super) fn log_count(&self) -> f64 {
        (self.count() as f64).log10().max(1.0)
    }
}

fn digest_of(record: &MemberRecord) -> u32 {
    let process = fnv1a(record.name.as_bytes()).wrapping_mul(0x9e37_79b1)
        ^ fnv1a(&record.generation.to_be_bytes());
    process ^ u32::from(record.claimed_rank).wrapping_mul(0x85eb_ca6b)
}
