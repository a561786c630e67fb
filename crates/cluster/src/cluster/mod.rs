//! The state machine of one process in the cluster, composed of membership, ranks, the lease, warm-up
//! grants and load reports.
//!
//! Inputs are datagrams, timeouts and calls of the dispatch decisions; outputs are [`Effect`]s.
mod effect;
mod fleet_view;
mod grants;

pub use effect::{Effect, LogLine};

use crate::config::ClusterConfig;
use crate::datagram::{self, DecodeError, Part};
use crate::error::ClusterError;
use crate::grants::{GrantHolder, GrantIssuer};
use crate::lease::{Candidacy, LeaseCandidate, LeaseVoter};
use crate::member::{MemberRecord, Name, fnv1a};
use crate::membership::{Change, Membership, MembershipConfig};
use crate::outbox::Outbox;
use crate::peer_load::{LoadReceiver, LoadSender};
use crate::time::SECOND;
use rosewall::types::{FleetPosition, Nanos, PeerLoad};
use std::net::SocketAddr;

/// The minimum time between two log lines on datagrams of another version.
const VERSION_LOG_INTERVAL: Nanos = 60 * SECOND;

/// Counters of datagrams since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct DatagramCounts {
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams dropped because they were malformed.
    pub malformed: u64,
    /// Datagrams dropped because they had another version of the format.
    pub other_version: u64,
    /// Datagrams dropped because they belong to another cluster.
    pub other_cluster: u64,
}

/// The state of one process in the cluster.
pub struct Cluster {
    cluster_hash: u32,
    membership: Membership,
    /// The names of the quorum members in order of preference for the lease.
    quorum: Vec<Name>,
    /// This process's vote; `None` if the process is not a quorum member.
    lease_voter: Option<LeaseVoter>,
    lease_candidate: LeaseCandidate,
    /// Issues grants while this process holds the lease.
    pub grant_issuer: GrantIssuer,
    /// Requests grants and validates the answers.
    pub grant_holder: GrantHolder,
    load_sender: LoadSender,
    /// Checks the load reports of other members.
    pub load_receiver: LoadReceiver,
    /// The names of the members by rank, as of the last fleet view.
    members_by_rank: Vec<Name>,
    /// The fleet view of the last notification to the dispatch decisions.
    position: Option<FleetPosition>,
    view_is_stale: bool,
    next_view_at: Nanos,
    /// Counters of datagrams since the start of the process.
    pub counts: DatagramCounts,
    /// The version of the last datagram dropped for its version, until it is logged.
    unlogged_version: Option<u8>,
    version_log_at: Nanos,
    outbox: Outbox,
}

impl Cluster {
    /// Returns the state of a process that starts now; `seed` determines all its random choices.
    pub fn new(config: &ClusterConfig, now: Nanos, seed: u64) -> Self {
        let cluster_hash = fnv1a(config.cluster.as_bytes());
        let name: Name = config.name.as_str().into();
        let quorum: Vec<Name> = config
            .quorum
            .iter()
            .map(|name| name.as_str().into())
            .collect();
        let lease_voter = quorum.contains(&name).then(|| LeaseVoter::new(now));
        let membership_config = MembershipConfig {
            cluster_hash,
            name,
            listen: config.listen,
            seeds: config.seeds.clone(),
        };
        Cluster {
            cluster_hash,
            membership: Membership::new(membership_config, now, seed),
            quorum,
            lease_voter,
            lease_candidate: LeaseCandidate::default(),
            grant_issuer: GrantIssuer::default(),
            grant_holder: GrantHolder::default(),
            load_sender: LoadSender::default(),
            load_receiver: LoadReceiver::default(),
            members_by_rank: Vec::new(),
            position: None,
            view_is_stale: true,
            next_view_at: now,
            counts: DatagramCounts::default(),
            unlogged_version: None,
            version_log_at: now,
            outbox: Outbox::default(),
        }
    }

    /// Returns the members of the cluster, as known to this process.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the rank and the number of dispatchers of the last [`Effect::FleetView`]; `None` while
    /// this process is on standby or has never known another member.
    pub fn position(&self) -> Option<FleetPosition> {
        self.position
    }

    /// Whether this process holds the lease.
    pub fn holds_lease(&self, now: Nanos) -> bool {
        self.lease_candidate.holds(now)
    }

    /// Returns the time at which [`Cluster::handle_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Nanos {
        let takes_part_in_leases = self.lease_voter.is_some() && !self.membership.is_standby();
        let lease = takes_part_in_leases.then(|| self.lease_candidate.next_timeout());
        let view = self.view_is_stale.then_some(self.next_view_at);
        let optional = [lease, view, self.load_sender.next_timeout()];
        optional
            .into_iter()
            .flatten()
            .fold(self.membership.next_timeout(), Nanos::min)
    }

    /// Performs all actions that are due.
    pub fn handle_timeout(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        self.membership.handle_timeout(now, &mut self.outbox);
        self.request_lease(now);
        let holds_lease = self.lease_candidate.holds(now);
        if self.membership.own_record().issues_grants && !holds_lease {
            self.grant_issuer.clear();
        }
        if !self.membership.is_standby() {
            self.membership.set_issues_grants(holds_lease);
        }
        self.send_load_reports(now);
        self.log_other_version(now, effects);
        self.finish_input(now, effects);
    }

    /// Handles a received datagram.
    pub fn handle_datagram(
        &mut self,
        now: Nanos,
        from: SocketAddr,
        bytes: &[u8],
        effects: &mut Vec<Effect>,
    ) {
        let datagram = match datagram::decode(self.cluster_hash, bytes) {
            Ok(datagram) => datagram,
            Err(error) => return self.count_dropped(error),
        };
        let sender = &datagram.sender;
        self.membership
            .handle_datagram(now, from, sender, &datagram.parts, &mut self.outbox);
        if !self.membership.is_standby() && sender.name != self.membership.own_record().name {
            for part in &datagram.parts {
                self.handle_part(now, from, sender, part, effects);
            }
        }
        self.finish_input(now, effects);
    }

    /// Queues a report of this process's load at a worker to the member with the rank `to_rank`.
    pub fn send_load(&mut self, now: Nanos, to_rank: u16, load: PeerLoad) {
        if let Some(name) = self.members_by_rank.get(usize::from(to_rank))
            && *name != self.membership.own_record().name
        {
            self.load_sender.queue(now, name, load);
        }
    }

    /// Gives up the lease and announces that this process leaves.
    pub fn leave(&mut self, effects: &mut Vec<Effect>) {
        self.give_up_lease();
        self.membership.leave(&mut self.outbox);
        self.flush(effects);
    }

    fn handle_part(
        &mut self,
        now: Nanos,
        from: SocketAddr,
        sender: &MemberRecord,
        part: &Part,
        effects: &mut Vec<Effect>,
    ) {
        match *part {
            Part::LeaseRequest { seq } => {
                if let Some(voter) = &mut self.lease_voter {
                    let granted = voter.vote(now, sender.process());
                    self.outbox
                        .send(from, vec![Part::LeaseVote { seq, granted }]);
                }
            }
            Part::LeaseVote { seq, granted: true } if self.quorum.contains(&sender.name) => {
                let quorum_size = self.quorum.len();
                self.lease_candidate
                    .handle_vote(now, seq, &sender.name, quorum_size);
            }
            Part::GrantRequest {
                seq,
                worker,
                work_ms,
            } => self.handle_grant_request(now, from, sender, seq, worker, work_ms),
            Part::Grant {
                seq,
                worker,
                work_ms,
                validity_ms,
            } => {
                let terms = grants::terms_of(work_ms, validity_ms);
                self.accept_grant(now, seq, worker, terms, effects);
            }
            Part::PeerLoad { load, age } => {
                let rank = self
                    .members_by_rank
                    .iter()
                    .position(|name| *name == sender.name);
                if let Some(rank) = rank {
                    let load = self.load_receiver.receive(now, &sender.name, load, age);
                    let from = rank as u16;
                    effects.push(Effect::PeerLoad { from, load });
                }
            }
            _ => {}
        }
    }

    fn count_dropped(&mut self, error: DecodeError) {
        match error {
            DecodeError::Version(version) => {
                self.counts.other_version += 1;
                self.unlogged_version = Some(version);
            }
            DecodeError::Cluster => self.counts.other_cluster += 1,
            DecodeError::Length | DecodeError::Magic | DecodeError::Part => {
                self.counts.malformed += 1;
            }
        }
    }

    fn log_other_version(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        // The format never has version 0, so it is not reported.
        let Some(version) = self.unlogged_version.filter(|version| *version > 0) else {
            return;
        };
        if now < self.version_log_at {
            return;
        }
        self.version_log_at = now + VERSION_LOG_INTERVAL;
        self.unlogged_version = None;
        let error = ClusterError::VersionMismatch {
            version,
            count: self.counts.other_version,
        };
        effects.push(Effect::Log(LogLine::Error(error.line())));
    }

    fn send_load_reports(&mut self, now: Nanos) {
        for batch in self.load_sender.take_due(now) {
            if let Some(member) = self.membership.get(&batch.to) {
                self.outbox.send(member.record.addr, batch.parts);
            }
        }
    }

    /// Requests the lease or its renewal if a round is due.
    fn request_lease(&mut self, now: Nanos) {
        let Some(voter) = &mut self.lease_voter else {
            return;
        };
        if self.membership.is_standby() {
            return;
        }
        let own = self.membership.own_record();
        let mut running = self
            .quorum
            .iter()
            .filter(|name| self.membership.is_live(name));
        let candidacy = if running.next() == Some(&own.name) {
            Candidacy::Preferred
        } else {
            Candidacy::Backup
        };
        let Some(seq) = self.lease_candidate.start_round(now, candidacy) else {
            return;
        };
        if voter.vote(now, own.process()) {
            self.lease_candidate
                .handle_vote(now, seq, &own.name, self.quorum.len());
        }
        for other in self.quorum.iter().filter(|name| **name != own.name) {
            if let Some(member) = self.membership.get(other) {
                self.outbox
                    .send(member.record.addr, vec![Part::LeaseRequest { seq }]);
            }
        }
    }

    fn give_up_lease(&mut self) {
        self.lease_candidate.relinquish();
        self.grant_issuer.clear();
        self.membership.set_issues_grants(false);
    }

    /// Logs changes of the membership, updates the fleet view if it is due, and sends all queued
    /// datagrams.
    fn finish_input(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        for change in self.membership.take_changes() {
            self.view_is_stale = true;
            if let Change::DuplicateName(_) = change {
                self.give_up_lease();
            }
            let line = fleet_view::log_line(change, &self.membership.own_record().name);
            effects.push(Effect::Log(line));
        }
        self.view_is_stale |= self.membership.take_view_changed();
        if self.view_is_stale && now >= self.next_view_at {
            self.update_fleet_view(now, effects);
        }
        self.flush(effects);
    }

    fn flush(&mut self, effects: &mut Vec<Effect>) {
        for outgoing in self.outbox.take() {
            let bytes = self.membership.encode(&outgoing.parts);
            self.counts.sent_bytes += bytes.len() as u64;
            let to = outgoing.to;
            effects.push(Effect::Send { to, bytes });
        }
    }
}
