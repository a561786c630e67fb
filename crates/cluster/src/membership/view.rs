//! The view: the members that run, alive or suspect, and its digest.
use super::{Member, Membership};
use crate::datagram::Part;
use crate::member::{MemberRecord, fnv1a};

/// What is kept up to date of the view.
pub(super) struct ViewSummary {
    /// How many others run.
    live_others: usize,
    /// The others' part of the digest.
    digest_sum: u32,
    /// Whether the view or a claimed rank has changed since it was last asked.
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

    /// Accounts for a record that takes the place of another.
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
    /// Whether the named member runs, by this process's view; it runs itself.
    pub fn is_live(&self, name: &str) -> bool {
        *name == *self.own.name || self.members.get(name).is_some_and(Member::is_live)
    }

    /// The members that run, without this one.
    pub fn live_others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members
            .values()
            .filter(|member| member.is_live())
            .map(|member| &member.record)
    }

    /// All members that run, in the order of their names.
    pub fn view(&self) -> Vec<&MemberRecord> {
        let mut view: Vec<&MemberRecord> = self.live_others().collect();
        let index = view.partition_point(|record| record.name < self.own.name);
        view.insert(index, &self.own);
        view
    }

    /// How many members run, this one included.
    pub fn count(&self) -> usize {
        self.view.live_others + 1
    }

    /// Equal where the same processes are in the view with the same claimed ranks.
    pub fn digest(&self) -> u32 {
        self.view.digest_sum.wrapping_add(digest_of(&self.own))
    }

    /// Whether the view or a claimed rank has changed since the last call.
    pub fn take_view_changed(&mut self) -> bool {
        std::mem::take(&mut self.view.changed)
    }

    pub(super) fn digest_part(&self) -> Part {
        Part::Digest {
            hash: self.digest(),
            count: self.count() as u16,
        }
    }

    /// The factor by which timeouts and retransmissions grow with the number of members.
    pub(super) fn log_count(&self) -> f64 {
        (self.count() as f64).log10().max(1.0)
    }
}

fn digest_of(record: &MemberRecord) -> u32 {
    let process = fnv1a(record.name.as_bytes()).wrapping_mul(0x9e37_79b1)
        ^ fnv1a(&record.generation.to_be_bytes());
    process ^ u32::from(record.claimed_rank).wrapping_mul(0x85eb_ca6b)
}
