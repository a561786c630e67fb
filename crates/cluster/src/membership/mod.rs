//! Failure detection and membership: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health
//! (Dadgar, Phillips, Currey 2018).
//!
//! In each period one member is pinged; if it does not answer, other members ping it as well. A
//! member that no one reaches is suspected. It can refute the suspicion with a higher incarnation;
//! otherwise it is declared dead after a timeout that shrinks with the number of members that
//! suspect it. Updates are piggybacked on all datagrams.
//!
//! - `state_table`: precedence between two records of a member
//! - `merge`: applying received records, and the suspicion timeout
//! - `probing`: pings, indirect pings and their timeouts
//! - `dissemination`: piggybacked updates and gossip
//! - `anti_entropy`: digests, pages of records, contact with seeds, probes of dead members
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

/// The time between two probes. A dead member is known everywhere within about 3 s, including two or
/// three periods until it is probed and 1.5 s in which it may refute the suspicion.
const PROBE_PERIOD: Nanos = 250 * MILLISECOND;
/// A process that has handled neither input nor timeouts for this time counts as paused.
const PAUSE_THRESHOLD: Nanos = 4 * PROBE_PERIOD / 5;
/// A member claims a rank once the assigned rank has not changed for this time.
const RANK_SETTLE_TIME: Nanos = 1_000 * MILLISECOND;
/// The number of members that a leaving member notifies; these spread the update to the others.
const LEAVE_FANOUT: usize = 64;

/// A member other than this process.
#[derive(Clone, Debug)]
pub struct Member {
    /// The latest record of the member.
    pub record: MemberRecord,
    /// The time at which the member entered its state.
    since: Nanos,
    /// The time at which the member is declared dead if it is still a suspect.
    suspect_until: Nanos,
    /// Hashes of the names of the members that suspect it.
    suspected_by: Vec<u32>,
    /// The number of transmissions of its current record.
    transmissions: u32,
    /// Whether its record is in the update queue.
    queued: bool,
}

/// A change of the membership, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The member was added, or runs again after it was dead or had left.
    Joined(Name),
    /// The member did not answer probes, or another member suspects it.
    Suspected(Name),
    /// The member refuted a suspicion.
    Refuted(Name),
    /// The member did not refute a suspicion in time and is declared dead.
    Died(Name),
    /// The member announced that it leaves.
    Left(Name),
    /// Another process, at this address, runs under this member's name; this process is on standby.
    DuplicateName(SocketAddr),
    /// The other process with this name no longer answers; this process is a member again.
    DuplicateNameGone,
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct MembershipCounts {
    /// Transitions of members to the state suspect.
    pub suspected: u64,
    /// Suspicions of this process that this process refuted.
    pub refuted: u64,
    /// Transitions of members to the state dead.
    pub died: u64,
}

/// Parameters with which a process joins the cluster.
pub struct MembershipConfig {
    /// FNV-1a hash of the cluster's name; datagrams of other clusters are dropped by it.
    pub cluster_hash: u32,
    /// This member's name, unique in the cluster.
    pub name: Name,
    /// The address at which this member receives datagrams.
    pub listen: SocketAddr,
    /// Addresses of members that are contacted first; this member's own address is ignored.
    pub seeds: Vec<SocketAddr>,
}

/// The rank that is assigned to this member, before it is claimed.
struct RankCandidate {
    rank: u16,
    since: Nanos,
}

/// The members of the cluster, as known to one process.
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
    /// The time at which this process last handled input or a timeout.
    last_active: Nanos,
    leaving: bool,
    /// Whether this process has ever known another member.
    has_had_peers: bool,
    rng: Pcg,
    changes: Vec<Change>,
    /// Counters since the start of the process.
    pub counts: MembershipCounts,
}

impl Membership {
    /// Returns the state of a member that starts now.
    ///
    /// The generation is derived from the clock, so a later start has a higher one unless the clock
    /// was set back.
    pub fn new(config: MembershipConfig, now: Nanos, seed: u64) -> Self {
        let mut rng = Pcg::new(seed);
        // The random part distinguishes two starts within one tick of a coarse clock.
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

    /// Returns this member's own record.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own
    }

    /// Whether this process takes no part in the cluster, since it is leaving or another process
    /// runs under its name.
    pub fn is_standby(&self) -> bool {
        self.standby.is_active() || self.leaving
    }

    /// Whether this process has ever known another member.
    pub fn has_had_peers(&self) -> bool {
        self.has_had_peers
    }

    /// Returns another member by its name, in any state.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Removes and returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Sets and announces whether this member issues warm-up grants.
    pub fn set_issues_grants(&mut self, issues_grants: bool) {
        if self.own.issues_grants != issues_grants {
            self.own.issues_grants = issues_grants;
            self.announce_own_record();
        }
    }

    /// Claims the rank assigned by the view, once it has not changed for `RANK_SETTLE_TIME`.
    pub fn claim_stable_rank(&mut self, now: Nanos, rank: u16) {
        if self.rank.rank != rank {
            self.rank = RankCandidate { rank, since: now };
        } else if self.own.claimed_rank != rank && now >= self.rank.since + RANK_SETTLE_TIME {
            self.own.claimed_rank = rank;
            self.announce_own_record();
        }
    }

    /// Returns the time at which [`Membership::handle_timeout`] is to be called next.
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
        // Early enough that a running process is not classified as paused.
        let activity_timeout = self.last_active + PAUSE_THRESHOLD / 2;
        optional
            .into_iter()
            .flatten()
            .chain(self.anti_entropy.timeouts())
            .fold(activity_timeout, Nanos::min)
    }

    /// Performs all actions that are due.
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
        // A member that is known in a worse state than it claims receives the known record, so that
        // it can refute it.
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

    /// Announces that this member leaves, so that the others need not detect it.
    pub fn leave(&mut self, out: &mut Outbox) {
        self.leaving = true;
        self.own.state = MemberState::Left;
        self.own.incarnation += 1;
        for addr in self.random_peers(LEAVE_FANOUT, None) {
            out.send_updates(addr);
        }
    }

    /// Discards pending probes after a pause of this process, since answers may have been missed
    /// during it, and extends the timeouts of suspects by its duration.
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

    /// Returns the addresses of up to `count` random running members other than `excluded`.
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
