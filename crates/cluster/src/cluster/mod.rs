//! One process among the others: members, ranks, leases, rights and signals put together. It is fed datagrams and
//! moments and says what is to be sent and what the decisions are to hear.
use crate::config::ClusterConfig;
use crate::datagram::{self, MemberRecord, Name, Part, hash};
use crate::error::ClusterError;
use crate::grants::{GrantHolder, GrantIssuer, WORK_UNIT};
use crate::lease::{LeaseCandidate, LeaseVoter};
use crate::membership::{Change, Membership, Out};
use crate::peer_load::{LoadReceiver, LoadSender};
use crate::ranks::ranks;
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{FleetPosition, Nanos, PeerLoad, WorkerId};
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;
/// The view is worked out anew at most so often, as many changes come together.
const VIEW_INTERVAL: Nanos = 20 * MS;
/// How often the log is told of datagrams that were dropped.
const VERSION_LOG_INTERVAL: Nanos = 60_000 * MS;

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// The place among so many members, for the decisions; none where it is no member.
    FleetView(Option<FleetPosition>),
    /// So much work may be sent to a cold worker, until then.
    WarmUpGranted {
        worker: WorkerId,
        work: Nanos,
        until: Nanos,
    },
    /// A member, by its rank, tells.
    PeerLoad {
        from: u16,
        load: PeerLoad,
    },
    Log(LogLine),
}

/// A line for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogLine {
    Info(String),
    /// With code and remedy.
    Error(String),
}

/// Sums, since the start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub malformed: u64,
    pub other_version: u64,
    pub other_cluster: u64,
}

pub struct Cluster {
    membership: Membership,
    cluster: u32,
    quorum: Vec<Name>,
    lease_voter: Option<LeaseVoter>,
    candidate: LeaseCandidate,
    pub grant_issuer: GrantIssuer,
    pub grant_holder: GrantHolder,
    pub load_sender: LoadSender,
    pub load_receiver: LoadReceiver,
    /// The members by rank, as the decisions were told.
    by_rank: Vec<Name>,
    position: Option<FleetPosition>,
    view_at: Nanos,
    view_is_stale: bool,
    pub counts: Counts,
    version: u8,
    version_log_at: Nanos,
    out: Out,
}

impl Cluster {
    pub fn new(cluster_config: &ClusterConfig, now: Nanos, seed: u64) -> Self {
        let cluster = hash(cluster_config.cluster.as_bytes());
        let name: Name = cluster_config.name.as_str().into();
        let quorum: Vec<Name> = cluster_config
            .quorum
            .iter()
            .map(|name| name.as_str().into())
            .collect();
        let lease_voter = quorum.contains(&name).then(|| LeaseVoter::new(now));
        let membership = Membership::new(
            cluster,
            name,
            cluster_config.listen,
            cluster_config.seeds.clone(),
            now,
            seed,
        );
        Cluster {
            membership,
            cluster,
            quorum,
            lease_voter,
            candidate: LeaseCandidate::default(),
            grant_issuer: GrantIssuer::default(),
            grant_holder: GrantHolder::default(),
            load_sender: LoadSender::default(),
            load_receiver: LoadReceiver::default(),
            by_rank: Vec::new(),
            position: None,
            view_at: now,
            view_is_stale: true,
            counts: Counts::default(),
            version: 0,
            version_log_at: now,
            out: Vec::new(),
        }
    }

    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Rank and number of members, as last told.
    pub fn view(&self) -> Option<FleetPosition> {
        self.position
    }

    pub fn by_rank(&self) -> &[Name] {
        &self.by_rank
    }

    /// Whether it gives rights now.
    pub fn issues_grants(&self, now: Nanos) -> bool {
        self.candidate.holds(now)
    }

    pub fn next_timeout(&self) -> Nanos {
        let lease = (self.lease_voter.is_some() && !self.membership.is_standby())
            .then(|| self.candidate.next_timeout());
        let view = self.view_is_stale.then_some(self.view_at);
        let some = lease
            .into_iter()
            .chain(view)
            .chain(self.load_sender.next_timeout());
        some.fold(self.membership.next_timeout(), Nanos::min)
    }

    /// Sends what was laid out.
    fn flush(&mut self, effects: &mut Vec<Effect>) {
        for (to, parts) in std::mem::take(&mut self.out) {
            let bytes = self.membership.encode(&parts);
            self.counts.sent += 1;
            self.counts.sent_bytes += bytes.len() as u64;
            effects.push(Effect::Send { to, bytes });
        }
    }

    fn after_input(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        let me = self.membership.me.name.clone();
        for change in std::mem::take(&mut self.membership.changes) {
            self.view_is_stale = true;
            let info =
                |what: &str, name: &Name| LogLine::Info(format!("cluster member={name} {what}"));
            effects.push(Effect::Log(match change {
                Change::Joined(name) => info("came", &name),
                Change::Suspected(name) => info("suspected", &name),
                Change::Refuted(name) => info("refuted", &name),
                Change::Died(name) => info("dead", &name),
                Change::Left(name) => info("left", &name),
                Change::DuplicateName(other) => {
                    self.enter_standby();
                    LogLine::Error(
                        ClusterError::DuplicateName {
                            name: me.to_string(),
                            other,
                        }
                        .line(),
                    )
                }
                Change::DuplicateNameGone => info("is a member again", &me),
            }));
        }
        self.view_is_stale |= std::mem::take(&mut self.membership.view_changed);
        if self.view_is_stale && now >= self.view_at {
            self.update_fleet_view(now, effects);
        }
        self.flush(effects);
    }

    fn enter_standby(&mut self) {
        self.candidate.relinquish();
        self.grant_issuer.clear();
        self.membership.set_issues_grants(false);
    }

    /// Works the view out anew.
    fn update_fleet_view(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        self.view_at = now + VIEW_INTERVAL;
        let view = if self.membership.is_standby() || !self.membership.has_met_peers {
            self.by_rank.clear();
            self.view_is_stale = false;
            None
        } else {
            let all: Vec<(Name, u16)> = self
                .membership
                .view()
                .into_iter()
                .map(|record| (record.name.clone(), record.claimed_rank))
                .collect();
            let ranks = ranks(&all);
            let mine = all
                .iter()
                .position(|(name, _)| *name == self.membership.me.name)
                .unwrap_or(0);
            let rank = ranks[mine];
            self.by_rank = vec![self.membership.me.name.clone(); all.len()];
            for ((name, _), rank) in all.iter().zip(&ranks) {
                if let Some(place) = self.by_rank.get_mut(usize::from(*rank)) {
                    *place = name.clone();
                }
            }
            self.membership.settle_rank(now, rank);
            // Until its rank is its own it looks again.
            self.view_is_stale = self.membership.me.claimed_rank != rank;
            if self.view_is_stale {
                self.view_at = now + 5 * VIEW_INTERVAL;
            }
            self.load_receiver
                .retain_members(|name| all.iter().any(|(known, _)| known == name));
            Some(FleetPosition {
                rank: if is_active(Mutation::WrongRank) {
                    rank + 1
                } else {
                    rank
                },
                dispatchers: all.len() as u16,
            })
        };
        if view != self.position {
            self.position = view;
            effects.push(Effect::FleetView(view));
            if let Some(FleetPosition { rank, dispatchers }) = view {
                let digest = self.membership.digest();
                let text =
                    format!("cluster view rank={rank} members={dispatchers} digest={digest:08x}");
                effects.push(Effect::Log(LogLine::Info(text)));
            }
        }
    }

    /// What is due by now.
    pub fn handle_timeout(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        self.membership.handle_timeout(now, &mut self.out);
        self.request_lease(now);
        let held = self.candidate.holds(now);
        if self.membership.me.issues_grants && !held {
            self.grant_issuer.clear();
        }
        if !self.membership.is_standby() {
            self.membership.set_issues_grants(held);
        }
        for (name, parts) in self.load_sender.take_due(now) {
            match self.membership.get(&name) {
                Some(member) => self.out.push((member.record.addr, parts)),
                None => self.load_sender.dropped += parts.len() as u64,
            }
        }
        if self.counts.other_version > 0 && self.version > 0 && now >= self.version_log_at {
            self.version_log_at = now + VERSION_LOG_INTERVAL;
            let fault = ClusterError::VersionMismatch {
                version: self.version,
                count: self.counts.other_version,
            };
            self.version = 0;
            effects.push(Effect::Log(LogLine::Error(fault.line())));
        }
        self.after_input(now, effects);
    }

    fn request_lease(&mut self, now: Nanos) {
        let Some(lease_voter) = &mut self.lease_voter else {
            return;
        };
        if self.membership.is_standby() {
            return;
        }
        let me = &self.membership.me;
        let lives = |name: &Name| {
            *name == me.name
                || self.membership.get(name).is_some_and(|member| {
                    matches!(
                        member.record.state,
                        datagram::MemberState::Alive | datagram::MemberState::Suspect
                    )
                })
        };
        let first = self.quorum.iter().find(|name| lives(name)) == Some(&me.name);
        let Some(seq) = self.candidate.start_round(now, first) else {
            return;
        };
        let (name, count) = (me.name.clone(), self.quorum.len());
        if lease_voter.request(now, &name, me.start) {
            self.candidate.handle_vote(now, seq, &name, count);
        }
        for other in self.quorum.iter().filter(|other| **other != name) {
            if let Some(member) = self.membership.get(other) {
                self.out
                    .push((member.record.addr, vec![Part::LeaseRequest { seq }]));
            }
        }
    }

    /// One datagram.
    pub fn handle_datagram(
        &mut self,
        now: Nanos,
        from: SocketAddr,
        bytes: &[u8],
        effects: &mut Vec<Effect>,
    ) {
        let datagram = match datagram::read(self.cluster, bytes) {
            Ok(datagram) => datagram,
            Err(fault) => {
                match fault {
                    datagram::DecodeError::Version(version) => {
                        self.counts.other_version += 1;
                        self.version = version;
                    }
                    datagram::DecodeError::Cluster => self.counts.other_cluster += 1,
                    datagram::DecodeError::Length
                    | datagram::DecodeError::Mark
                    | datagram::DecodeError::Part => self.counts.malformed += 1,
                }
                return;
            }
        };
        self.counts.received += 1;
        let sender = &datagram.sender;
        self.membership
            .handle_datagram(now, from, sender, &datagram.parts, &mut self.out);
        if !self.membership.is_standby() && sender.name != self.membership.me.name {
            for part in &datagram.parts {
                self.part(now, from, sender, part, effects);
            }
        }
        self.after_input(now, effects);
    }

    fn part(
        &mut self,
        now: Nanos,
        from: SocketAddr,
        sender: &MemberRecord,
        part: &Part,
        effects: &mut Vec<Effect>,
    ) {
        match part {
            Part::LeaseRequest { seq } => {
                if let Some(lease_voter) = &mut self.lease_voter {
                    let given = lease_voter.request(now, &sender.name, sender.start);
                    self.out
                        .push((from, vec![Part::LeaseVote { seq: *seq, given }]));
                }
            }
            Part::LeaseVote { seq, given: true } if self.quorum.contains(&sender.name) => {
                self.candidate
                    .handle_vote(now, *seq, &sender.name, self.quorum.len());
            }
            Part::GrantRequest { seq, worker, work } => {
                let by = (hash(sender.name.as_bytes()), sender.start);
                let (work, validity) =
                    self.issue_grant(now, by, *seq, *worker, Nanos::from(*work) * WORK_UNIT);
                // None given is not answered: what is asked for in vain is asked for again, and what came twice was
                // answered before.
                if work == 0 {
                    return;
                }
                let (work, validity) = ((work / WORK_UNIT) as u32, (validity / MS) as u16);
                self.out.push((
                    from,
                    vec![Part::Grant {
                        seq: *seq,
                        worker: *worker,
                        work,
                        lasts: validity,
                    }],
                ));
            }
            Part::Grant {
                seq,
                worker,
                work,
                lasts: validity,
            } => {
                let (work, validity) =
                    (Nanos::from(*work) * WORK_UNIT, Nanos::from(*validity) * MS);
                self.accept_grant(now, *seq, *worker, work, validity, effects);
            }
            Part::PeerLoad { load, age } => {
                let rank = self.by_rank.iter().position(|name| *name == sender.name);
                if let Some(rank) = rank {
                    let load = self.load_receiver.receive(now, &sender.name, *load, *age);
                    effects.push(Effect::PeerLoad {
                        from: rank as u16,
                        load,
                    });
                }
            }
            _ => {}
        }
    }

    fn issue_grant(
        &mut self,
        now: Nanos,
        by: (u32, u64),
        seq: u32,
        worker: WorkerId,
        work: Nanos,
    ) -> (Nanos, Nanos) {
        match self.candidate.held_since(now) {
            Some(since) => self.grant_issuer.issue(now, since, by, seq, worker, work),
            None => (0, 0),
        }
    }

    fn accept_grant(
        &mut self,
        now: Nanos,
        seq: u32,
        worker: WorkerId,
        work: Nanos,
        validity: Nanos,
        effects: &mut Vec<Effect>,
    ) {
        if let Some((until, work)) = self.grant_holder.accept(now, seq, worker, work, validity) {
            effects.push(Effect::WarmUpGranted {
                worker,
                work,
                until,
            });
        }
    }

    /// The decisions want a right to send so much work to a cold worker.
    pub fn request_grant(
        &mut self,
        now: Nanos,
        worker: WorkerId,
        work: Nanos,
        effects: &mut Vec<Effect>,
    ) {
        // Whole ms, so that what is given covers what was asked for.
        let work = work.div_ceil(WORK_UNIT);
        if self.membership.is_standby() || self.quorum.is_empty() || work > Nanos::from(u32::MAX) {
            return;
        }
        let own = self.candidate.holds(now);
        let grant_issuer = self
            .quorum
            .iter()
            .filter_map(|name| self.membership.get(name));
        let grant_issuer = grant_issuer.map(|member| &member.record).find(|record| {
            record.issues_grants
                && matches!(
                    record.state,
                    datagram::MemberState::Alive | datagram::MemberState::Suspect
                )
        });
        let Some(to) = (if own {
            Some(self.membership.me.addr)
        } else {
            grant_issuer.map(|record| record.addr)
        }) else {
            return;
        };
        let Some(seq) = self
            .grant_holder
            .request_grant(now, worker, work * WORK_UNIT)
        else {
            return;
        };
        if own {
            let by = (
                hash(self.membership.me.name.as_bytes()),
                self.membership.me.start,
            );
            let (work, validity) = self.issue_grant(now, by, seq, worker, work * WORK_UNIT);
            self.accept_grant(now, seq, worker, work, validity, effects);
        } else {
            self.out.push((
                to,
                vec![Part::GrantRequest {
                    seq,
                    worker,
                    work: work as u32,
                }],
            ));
        }
        self.flush(effects);
    }

    /// What the fleet together may be given for a cold worker in a window, by what the decisions know of it.
    pub fn set_warm_up_budget(&mut self, worker: WorkerId, work: Nanos, window: Nanos) {
        self.grant_issuer.set_warm_up_budget(worker, work, window);
    }

    /// One line of what this process has out, to a member by its rank.
    pub fn send_load(&mut self, now: Nanos, to: u16, load: PeerLoad) {
        match self.by_rank.get(usize::from(to)) {
            Some(name) if *name != self.membership.me.name => {
                let name = name.clone();
                self.load_sender.send_load(now, &name, load);
            }
            _ => self.load_sender.dropped += 1,
        }
    }

    /// The process ends in order.
    pub fn leave(&mut self, effects: &mut Vec<Effect>) {
        self.enter_standby();
        self.membership.leave(&mut self.out);
        self.flush(effects);
    }
}
