//! Application of received records to the members, and expiry of suspicions.
use super::state_table::{Precedence, Transition, transition};
use super::{Change, Member, Membership, PROBE_PERIOD};
use crate::member::MemberState::{Alive, Dead, Left, Suspect};
use crate::member::{MemberRecord, MemberState, Name};
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::Nanos;
use std::cmp::Ordering;

/// The suspicion timeout with [`CONFIRMATIONS_FOR_MIN`] or more confirmations, in probe periods.
const MIN_SUSPICION_PERIODS: f64 = 3.0;
/// The suspicion timeout without confirmations, in probe periods.
const MAX_SUSPICION_PERIODS: f64 = 5.0;
/// The number of confirmations that shorten the suspicion timeout to the minimum.
const CONFIRMATIONS_FOR_MIN: f64 = 3.0;

impl Membership {
    /// Applies a received record.
    pub(super) fn merge(&mut self, now: Nanos, record: MemberRecord) {
        if record.name == self.own.name {
            return self.handle_own_record(now, &record);
        }
        let Some(known) = self.members.get(&record.name) else {
            if record.state.is_live() {
                self.add_member(now, record);
            }
            return;
        };
        let precedence = precedence(&record, &known.record);
        match transition(known.record.state, precedence, record.state) {
            None => {}
            Some(Transition::Confirm) => self.confirm_suspicion(&record),
            Some(Transition::Replace) => self.replace_record(now, record),
        }
    }

    /// Declares suspects dead that have not refuted the suspicion in time.
    pub(super) fn expire_suspicions(&mut self, now: Nanos) {
        let expired: Vec<Name> = self
            .suspects()
            .filter(|member| member.suspect_until <= now)
            .map(|member| member.record.name.clone())
            .collect();
        for name in expired {
            if let Some(member) = self.members.get(&name) {
                let record = MemberRecord {
                    state: Dead,
                    ..member.record.clone()
                };
                self.merge(now, record);
            }
        }
    }

    pub(super) fn suspects(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|member| member.record.state == Suspect)
    }

    pub(super) fn next_suspicion_timeout(&self) -> Option<Nanos> {
        self.suspects().map(|member| member.suspect_until).min()
    }

    fn add_member(&mut self, now: Nanos, record: MemberRecord) {
        let suspect_until = now + self.suspicion_timeout(0);
        let name = record.name.clone();
        self.has_had_peers = true;
        self.changes.push(Change::Joined(name.clone()));
        self.suspect_previous_at_address(now, &record);
        self.view.replace(None, &record);
        let member = Member {
            record,
            since: now,
            suspect_until,
            suspected_by: Vec::new(),
            transmissions: 0,
            queued: false,
        };
        self.members.insert(name.clone(), member);
        self.queue_update(&name);
    }

    /// Records that one more member suspects the member of the record, which shortens the timeout.
    fn confirm_suspicion(&mut self, record: &MemberRecord) {
        let Some(known) = self.members.get_mut(&record.name) else {
            return;
        };
        if known.suspected_by.contains(&record.suspected_by)
            || known.suspected_by.len() as f64 > CONFIRMATIONS_FOR_MIN
        {
            return;
        }
        known.suspected_by.push(record.suspected_by);
        let confirmations = known.suspected_by.len() - 1;
        let suspect_until = known.since + self.suspicion_timeout(confirmations);
        if let Some(known) = self.members.get_mut(&record.name) {
            known.suspect_until = suspect_until;
        }
        self.queue_update(&record.name);
    }

    fn replace_record(&mut self, now: Nanos, record: MemberRecord) {
        let suspect_until = now + self.suspicion_timeout(0);
        let Some(known) = self.members.get_mut(&record.name) else {
            return;
        };
        let old = std::mem::replace(&mut known.record, record.clone());
        if old.state != record.state {
            known.since = now;
        }
        known.suspect_until = suspect_until;
        known.suspected_by = vec![record.suspected_by];
        let change = change(old.state, record.state, &record.name);
        match change {
            Some(Change::Suspected(_)) => self.counts.suspected += 1,
            Some(Change::Died(_)) => self.counts.died += 1,
            _ => {}
        }
        self.view.replace(Some(&old), &record);
        if old.addr != record.addr && record.state == Alive {
            self.suspect_previous_at_address(now, &record);
        }
        self.changes.extend(change);
        self.queue_update(&record.name);
    }

    /// Suspects the member whose address another member now uses.
    fn suspect_previous_at_address(&mut self, now: Nanos, new: &MemberRecord) {
        let previous = self
            .live_others()
            .find(|record| record.addr == new.addr && record.name != new.name);
        if let Some(previous) = previous.filter(|previous| previous.state == Alive) {
            let suspicion = previous.with_suspicion_by(&self.own.name);
            self.merge(now, suspicion);
        }
    }

    /// Returns the time in which a suspect may refute, by the number of confirmations.
    fn suspicion_timeout(&self, confirmations: usize) -> Nanos {
        let unit = PROBE_PERIOD as f64 * self.log_count();
        let part = (confirmations as f64 + 1.0).ln() / (CONFIRMATIONS_FOR_MIN + 1.0).ln();
        let periods =
            MAX_SUSPICION_PERIODS - (MAX_SUSPICION_PERIODS - MIN_SUSPICION_PERIODS) * part.min(1.0);
        (unit * periods) as Nanos
    }
}

fn precedence(received: &MemberRecord, known: &MemberRecord) -> Precedence {
    let version = |record: &MemberRecord| (record.generation, record.incarnation);
    match version(received).cmp(&version(known)) {
        Ordering::Greater => Precedence::Newer,
        Ordering::Equal => Precedence::Same,
        Ordering::Less if is_active(Mutation::AcceptOldIncarnation) => Precedence::Newer,
        Ordering::Less => Precedence::Older,
    }
}

/// Returns the change to log for a transition between two states; `None` if there is nothing to log.
fn change(old: MemberState, new: MemberState, name: &Name) -> Option<Change> {
    let name = name.clone();
    match (old, new) {
        (Alive, Alive) | (Dead | Left, Dead | Left) | (Suspect, Suspect) => None,
        (Suspect, Alive) => Some(Change::Refuted(name)),
        (Dead | Left, Alive | Suspect) => Some(Change::Joined(name)),
        (_, Suspect) => Some(Change::Suspected(name)),
        (_, Dead) => Some(Change::Died(name)),
        (_, Left) => Some(Change::Left(name)),
    }
}
