//! Which members run: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health (Dadgar, Phillips, Currey 2018).
//!
//! In each period one member is pinged, also by others if it does not answer. A member that no one reaches is suspected. It
//! may refute that with a higher incarnation, and is taken for dead after a time that shrinks with the number of members
//! that suspect it. Updates are piggybacked on the datagrams that are sent anyway.
//!
//! - `state_table`: which of two records wins
//! - `merge`: applying a received record, and the suspicion timeout
//! - `probing`: pings, indirect pings and their timeouts
//! - `dissemination`: piggybacked updates and gossip
//! - `anti_entropy`: digests and pages of records, seeds, probes of dead members
//! - `duplicate_name`: standby while another process has this member's name
//! - `view`: the running members
mod anti_entropy;
mod dissemination;
mod duplicate_name;
mod merge;
mod probing;
mod state_table;
mod view;

use crate::datagram::Part;
use crate::member::{MemberRecord, MemberState, NO_RANK, Name};
use crate::outbox::Outbox;
use crate::time::MILLISECOND;
use anti_entropy::AntiEntropy;
use dissemination::UpdateQueue;
use duplicate_name::Standby;
use probing::Probing;
use rosewall::mutation::{Mutation, is_active};
use rosewall::pcg::Pcg;
use rosewall::types::Nanos;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use view::ViewSummary;

/// The time from one probe to the next: a dead member is known everywhere within some 3 s, of which two or three periods until
/// it is probed and 1.5 s to refute the suspicion.
const PROBE_PERIOD: Nanos = 250 * MILLISECOND;
/// A process that has handled neither input nor timeouts for this time was not running.
const PAUSE_THRESHOLD: Nanos = 4 * PROBE_PERIOD / 5;
/// A rank is claimed once it has been the same for this time.
const RANK_SETTLE_TIME: Nanos = 1_000 * MILLISECOND;
/// How many members are notified as this one leaves; a large cluster learns it from those.
const LEAVE_FANOUT: usize = 64;

/// A member other than this process.
#[derive(Clone, Debug)]
pub struct Member {
    /// What is known of it.
    pub record: MemberRecord,
    /// Since when it has been in its state.
    since: Nanos,
    /// When a suspect is taken for dead.
    suspect_until: Nanos,
    /// The hashes of the names of those who suspect it.
    suspected_by: Vec<u32>,
    /// How often its current record was passed on.
    transmissions: u32,
    /// Whether its record is in the update queue.
    queued: bool,
}

/// A change of the membership, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The member runs.
    Joined(Name),
    /// The member did not answer.
    Suspected(Name),
    /// The member refuted a suspicion.
    Refuted(Name),
    /// The member is taken for dead.
    Died(Name),
    /// The member stopped in order.
    Left(Name),
    /// Another process, at this address, has this member's name; this process is on standby.
    DuplicateName(SocketAddr),
    /// The other process of this name is gone; this process is a member again.
    DuplicateNameGone,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct MembershipCounts {
    /// Members that became suspects.
    pub suspected: u64,
    /// Suspicions of this process that it refuted.
    pub refuted: u64,
    /// Members that were taken for dead.
    pub died: u64,
}

/// What a process needs to join.
pub struct MembershipConfig {
    /// The hash of the cluster's name.
    pub cluster_hash: u32,
    /// This member's name.
    pub name: Name,
    /// Where this member receives datagrams.
    pub listen: SocketAddr,
    /// Members to ask for others.
    pub seeds: Vec<SocketAddr>,
}

/// A rank that this member may claim.
struct RankCandidate {
    rank: u16,
    since: Nanos,
}

/// The members, as one process knows them.
pub struct Membership {
    own: MemberRecord,
    cluster_hash: u32,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<Name, Member>,
    view: ViewSummary,
    updates: UpdateQueue,
    probing: Probing,
    anti_entropy: AntiEntropy,
    standby: Standby,
    rank: RankCandidate,
    /// When this process last handled input or a timeout.
    last_active: Nanos,
    leaving: bool,
    /// Whether it ever knew another member.
    has_had_peers: bool,
    rng: Pcg,
    changes: Vec<Change>,
    /// Counters since the start.
    pub counts: MembershipCounts,
}

impl Membership {
    /// A member that starts now. Its generation is higher at each start, as far as the clock goes.
    pub fn new(config: MembershipConfig, now: Nanos, seed: u64) -> Self {
        let mut rng = Pcg::new(seed);
        // Two starts in one instant of a coarse clock differ in the random part.
        let generation = now & !0xffff | (rng.unit() * 65_536.0) as u64;
        let listen = config.listen;
        let own = MemberRecord {
            name: config.name,
            addr: listen,
            generation,
            incarnation: 0,
            state: MemberState::Alive,
            claimed_rank: NO_RANK,
            issues_grants: false,
            suspected_by: 0,
        };
        let first_period = now + (rng.unit() * PROBE_PERIOD as f64) as Nanos;
        let other = |seed: &SocketAddr| *seed != listen;
        Membership {
            own,
            cluster_hash: config.cluster_hash,
            seeds: config.seeds.into_iter().filter(other).collect(),
            members: BTreeMap::new(),
            view: ViewSummary::new(),
            updates: UpdateQueue::new(first_period),
            probing: Probing::new(first_period),
            anti_entropy: AntiEntropy::new(now),
            standby: Standby::new(now),
            rank: RankCandidate {
                rank: NO_RANK,
                since: now,
            },
            last_active: now,
            leaving: false,
            has_had_peers: false,
            rng,
            changes: Vec::new(),
            counts: MembershipCounts::default(),
        }
    }

    /// This member's own record.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own
    }

    /// Whether another process has this member's name, or this one is leaving: then it takes no part.
    pub fn is_standby(&self) -> bool {
        self.standby.is_active() || self.leaving
    }

    /// Whether this process ever knew another member.
    pub fn has_had_peers(&self) -> bool {
        self.has_had_peers
    }

    /// Another member by its name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Announces whether this member issues grants.
    pub fn set_issues_grants(&mut self, issues_grants: bool) {
        if self.own.issues_grants != issues_grants {
            self.own.issues_grants = issues_grants;
            self.announce_own_record();
        }
    }

    /// Claims the rank that follows from the view, once it has been the same for some time.
    pub fn claim_stable_rank(&mut self, now: Nanos, rank: u16) {
        if self.rank.rank != rank {
            self.rank = RankCandidate { rank, since: now };
        } else if self.own.claimed_rank != rank && now >= self.rank.since + RANK_SETTLE_TIME {
            self.own.claimed_rank = rank;
            self.announce_own_record();
        }
    }

    /// When [`Membership::handle_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Nanos {
        if self.leaving {
            return Nanos::MAX / 2;
        }
        if let Some(timeout) = self.standby.next_timeout() {
            return timeout;
        }
        let gossip = self.has_updates().then_some(self.updates.next_gossip_at);
        let optional = [
            self.next_suspicion_timeout(),
            self.probing.next_timeout(),
            gossip,
        ];
        // Early enough that a process that runs does not look paused.
        let activity_timeout = self.last_active + PAUSE_THRESHOLD / 2;
        optional
            .into_iter()
            .flatten()
            .chain(self.anti_entropy.timeouts())
            .fold(activity_timeout, Nanos::min)
    }

    /// Does what is due by now.
    pub fn handle_timeout(&mut self, now: Nanos, out: &mut Outbox) {
        self.handle_pause(now);
        if self.leaving {
            return;
        }
        if self.standby.is_active() {
            return self.watch_duplicate(now, out);
        }
        self.expire_suspicions(now);
        self.expire_proxied_pings(now, out);
        self.send_indirect_pings(now, out);
        self.run_probe_period(now, out);
        self.gossip(now, out);
        self.probe_dead_member(now, out);
        self.contact_seeds(now, out);
    }

    /// Handles a received datagram.
    pub fn handle_datagram(
        &mut self,
        now: Nanos,
        from: SocketAddr,
        sender: &MemberRecord,
        parts: &[Part],
        out: &mut Outbox,
    ) {
        self.handle_pause(now);
        let mut sender = sender.clone();
        sender.addr = from;
        if sender.name == self.own.name {
            return self.handle_duplicate(now, &sender, out);
        }
        if self.is_standby() {
            return;
        }
        self.merge(now, sender.clone());
        // A member that is known in a worse state than it claims is notified, so that it can refute that.
        if let Some(known) = self.members.get(&sender.name)
            && known.record.state > sender.state
            && known.record.generation >= sender.generation
        {
            out.send(from, vec![Part::Record(known.record.clone())]);
        }
        for part in parts {
            self.handle_part(now, from, &sender.name, part, out);
        }
    }

    fn handle_part(
        &mut self,
        now: Nanos,
        from: SocketAddr,
        sender: &Name,
        part: &Part,
        out: &mut Outbox,
    ) {
        match part {
            Part::Ping { seq, target } if *target == self.own.name => {
                out.send(from, vec![Part::Ack { seq: *seq }, self.digest_part()]);
            }
            Part::Ack { seq } => self.handle_ack(now, *seq, sender, out),
            Part::Nack { seq } => self.probing.handle_nack(*seq),
            Part::IndirectPing { seq, target, addr } => {
                let ping = self.probing.proxy_ping(now, from, *seq, target);
                out.send(*addr, vec![ping]);
            }
            Part::Record(record) => self.merge(now, record.clone()),
            Part::Digest { hash, count } => self.handle_digest(now, from, *hash, *count, out),
            Part::PageRequest { offset } => self.handle_page_request(from, *offset, out),
            _ => {}
        }
    }

    /// Announces that this member stops, so that others need not find out.
    pub fn leave(&mut self, out: &mut Outbox) {
        self.leaving = true;
        self.own.state = MemberState::Left;
        self.own.incarnation += 1;
        for addr in self.random_peers(LEAVE_FANOUT, None) {
            out.send_updates(addr);
        }
    }

    /// Discards what this process waited for if it was not running: missing answers then mean nothing.
    fn handle_pause(&mut self, now: Nanos) {
        let gap = now.saturating_sub(self.last_active);
        self.last_active = now;
        if gap < PAUSE_THRESHOLD || is_active(Mutation::IgnorePause) {
            return;
        }
        self.probing.restart(now);
        for member in self.members.values_mut() {
            if member.record.state == MemberState::Suspect {
                member.suspect_until += gap;
            }
        }
    }

    fn random_index(&mut self, length: usize) -> usize {
        (self.rng.unit() * length as f64) as usize
    }

    /// The addresses of up to `count` random running members, without the one excluded.
    fn random_peers(&mut self, count: usize, excluded: Option<&Name>) -> Vec<SocketAddr> {
        let candidates = self
            .live_others()
            .filter(|record| Some(&record.name) != excluded);
        let mut addrs: Vec<SocketAddr> = candidates.map(|record| record.addr).collect();
        for index in 0..count.min(addrs.len()) {
            let other = index + self.random_index(addrs.len() - index);
            addrs.swap(index, other);
        }
        addrs.truncate(count);
        addrs
    }
}

#[cfg(test)]
pub(crate) mod tests;
