//! One process among the others: members, ranks, leases, rights and signals put together. It is fed datagrams and
//! moments and says what is to be sent and what the decisions are to hear.
use crate::config::ClusterConfig;
use crate::datagram::{self, Name, Part, Record, hash};
use crate::error::ClusterError;
use crate::grants::{GrantHolder, GrantIssuer, UNIT};
use crate::lease::{Candidate, Keeper};
use crate::membership::{Change, Members, Out};
use crate::peer_load::{LoadReceiver, LoadSender};
use crate::ranks::ranks;
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{FleetPosition, Nanos, PeerLoad, WorkerId};
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;
/// The view is worked out anew at most so often, as many changes come together.
const VIEW: Nanos = 20 * MS;
/// How often the log is told of datagrams that were dropped.
const TELL: Nanos = 60_000 * MS;

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
    pub heard: u64,
    pub malformed: u64,
    pub other_version: u64,
    pub other_cluster: u64,
}

pub struct Cluster {
    members: Members,
    cluster: u32,
    keepers: Vec<Name>,
    keeper: Option<Keeper>,
    candidate: Candidate,
    pub grant_issuer: GrantIssuer,
    pub grant_holder: GrantHolder,
    pub load_sender: LoadSender,
    pub load_receiver: LoadReceiver,
    /// The members by rank, as the decisions were told.
    by_rank: Vec<Name>,
    told: Option<FleetPosition>,
    view_at: Nanos,
    stale: bool,
    pub counts: Counts,
    version: u8,
    tell_at: Nanos,
    out: Out,
}

impl Cluster {
    pub fn new(cluster_config: &ClusterConfig, now: Nanos, seed: u64) -> Self {
        let cluster = hash(cluster_config.cluster.as_bytes());
        let name: Name = cluster_config.name.as_str().into();
        let keepers: Vec<Name> = cluster_config
            .quorum
            .iter()
            .map(|name| name.as_str().into())
            .collect();
        let keeper = keepers.contains(&name).then(|| Keeper::new(now));
        let members = Members::new(
            cluster,
            name,
            cluster_config.listen,
            cluster_config.seeds.clone(),
            now,
            seed,
        );
        Cluster {
            members,
            cluster,
            keepers,
            keeper,
            candidate: Candidate::default(),
            grant_issuer: GrantIssuer::default(),
            grant_holder: GrantHolder::default(),
            load_sender: LoadSender::default(),
            load_receiver: LoadReceiver::default(),
            by_rank: Vec::new(),
            told: None,
            view_at: now,
            stale: true,
            counts: Counts::default(),
            version: 0,
            tell_at: now,
            out: Vec::new(),
        }
    }

    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Rank and number of members, as last told.
    pub fn view(&self) -> Option<FleetPosition> {
        self.told
    }

    pub fn by_rank(&self) -> &[Name] {
        &self.by_rank
    }

    /// Whether it gives rights now.
    pub fn gives(&self, now: Nanos) -> bool {
        self.candidate.holds(now)
    }

    pub fn next_due(&self) -> Nanos {
        let lease =
            (self.keeper.is_some() && !self.members.aside()).then(|| self.candidate.next_due());
        let view = self.stale.then_some(self.view_at);
        let some = lease
            .into_iter()
            .chain(view)
            .chain(self.load_sender.next_due());
        some.fold(self.members.next_due(), Nanos::min)
    }

    /// Sends what was laid out.
    fn flush(&mut self, effects: &mut Vec<Effect>) {
        for (to, parts) in std::mem::take(&mut self.out) {
            let bytes = self.members.pack(&parts);
            self.counts.sent += 1;
            self.counts.sent_bytes += bytes.len() as u64;
            effects.push(Effect::Send { to, bytes });
        }
    }

    fn after(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        let me = self.members.me.name.clone();
        for change in std::mem::take(&mut self.members.changes) {
            self.stale = true;
            let info =
                |what: &str, name: &Name| LogLine::Info(format!("cluster member={name} {what}"));
            effects.push(Effect::Log(match change {
                Change::Came(name) => info("came", &name),
                Change::Suspected(name) => info("suspected", &name),
                Change::Refuted(name) => info("refuted", &name),
                Change::Died(name) => info("dead", &name),
                Change::Left(name) => info("left", &name),
                Change::Twice(other) => {
                    self.stand_aside();
                    LogLine::Error(
                        ClusterError::Twice {
                            name: me.to_string(),
                            other,
                        }
                        .line(),
                    )
                }
                Change::Once => info("is a member again", &me),
            }));
        }
        self.stale |= std::mem::take(&mut self.members.moved);
        if self.stale && now >= self.view_at {
            self.look(now, effects);
        }
        self.flush(effects);
    }

    fn stand_aside(&mut self) {
        self.candidate.end();
        self.grant_issuer.end();
        self.members.give(false);
    }

    /// Works the view out anew.
    fn look(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        self.view_at = now + VIEW;
        let view = if self.members.aside() || !self.members.met {
            self.by_rank.clear();
            self.stale = false;
            None
        } else {
            let all: Vec<(Name, u16)> = self
                .members
                .view()
                .into_iter()
                .map(|record| (record.name.clone(), record.claim))
                .collect();
            let ranks = ranks(&all);
            let mine = all
                .iter()
                .position(|(name, _)| *name == self.members.me.name)
                .unwrap_or(0);
            let rank = ranks[mine];
            self.by_rank = vec![self.members.me.name.clone(); all.len()];
            for ((name, _), rank) in all.iter().zip(&ranks) {
                if let Some(place) = self.by_rank.get_mut(usize::from(*rank)) {
                    *place = name.clone();
                }
            }
            self.members.settle(now, rank);
            // Until its rank is its own it looks again.
            self.stale = self.members.me.claim != rank;
            if self.stale {
                self.view_at = now + 5 * VIEW;
            }
            self.load_receiver
                .keep(|name| all.iter().any(|(known, _)| known == name));
            Some(FleetPosition {
                rank: if is_active(Mutation::WrongRank) {
                    rank + 1
                } else {
                    rank
                },
                dispatchers: all.len() as u16,
            })
        };
        if view != self.told {
            self.told = view;
            effects.push(Effect::FleetView(view));
            if let Some(FleetPosition { rank, dispatchers }) = view {
                let digest = self.members.digest();
                let text =
                    format!("cluster view rank={rank} members={dispatchers} digest={digest:08x}");
                effects.push(Effect::Log(LogLine::Info(text)));
            }
        }
    }

    /// What is due by now.
    pub fn due(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        self.members.due(now, &mut self.out);
        self.ask_lease(now);
        let held = self.candidate.holds(now);
        if self.members.me.gives && !held {
            self.grant_issuer.end();
        }
        if !self.members.aside() {
            self.members.give(held);
        }
        for (name, parts) in self.load_sender.due(now) {
            match self.members.get(&name) {
                Some(member) => self.out.push((member.record.addr, parts)),
                None => self.load_sender.lost += parts.len() as u64,
            }
        }
        if self.counts.other_version > 0 && self.version > 0 && now >= self.tell_at {
            self.tell_at = now + TELL;
            let fault = ClusterError::Version {
                version: self.version,
                count: self.counts.other_version,
            };
            self.version = 0;
            effects.push(Effect::Log(LogLine::Error(fault.line())));
        }
        self.after(now, effects);
    }

    fn ask_lease(&mut self, now: Nanos) {
        let Some(keeper) = &mut self.keeper else {
            return;
        };
        if self.members.aside() {
            return;
        }
        let me = &self.members.me;
        let lives = |name: &Name| {
            *name == me.name
                || self.members.get(name).is_some_and(|member| {
                    matches!(
                        member.record.standing,
                        datagram::Standing::Alive | datagram::Standing::Suspect
                    )
                })
        };
        let first = self.keepers.iter().find(|name| lives(name)) == Some(&me.name);
        let Some(seq) = self.candidate.begin(now, first) else {
            return;
        };
        let (name, count) = (me.name.clone(), self.keepers.len());
        if keeper.ask(now, &name, me.start) {
            self.candidate.promise(now, seq, &name, count);
        }
        for other in self.keepers.iter().filter(|other| **other != name) {
            if let Some(member) = self.members.get(other) {
                self.out
                    .push((member.record.addr, vec![Part::Lease { seq }]));
            }
        }
    }

    /// One datagram.
    pub fn feed(&mut self, now: Nanos, from: SocketAddr, bytes: &[u8], effects: &mut Vec<Effect>) {
        let datagram = match datagram::read(self.cluster, bytes) {
            Ok(datagram) => datagram,
            Err(fault) => {
                match fault {
                    datagram::Fault::Version(version) => {
                        self.counts.other_version += 1;
                        self.version = version;
                    }
                    datagram::Fault::Cluster => self.counts.other_cluster += 1,
                    datagram::Fault::Length | datagram::Fault::Mark | datagram::Fault::Part => {
                        self.counts.malformed += 1
                    }
                }
                return;
            }
        };
        self.counts.heard += 1;
        let sender = &datagram.sender;
        self.members
            .heard(now, from, sender, &datagram.parts, &mut self.out);
        if !self.members.aside() && sender.name != self.members.me.name {
            for part in &datagram.parts {
                self.part(now, from, sender, part, effects);
            }
        }
        self.after(now, effects);
    }

    fn part(
        &mut self,
        now: Nanos,
        from: SocketAddr,
        sender: &Record,
        part: &Part,
        effects: &mut Vec<Effect>,
    ) {
        match part {
            Part::Lease { seq } => {
                if let Some(keeper) = &mut self.keeper {
                    let given = keeper.ask(now, &sender.name, sender.start);
                    self.out
                        .push((from, vec![Part::Promise { seq: *seq, given }]));
                }
            }
            Part::Promise { seq, given: true } if self.keepers.contains(&sender.name) => {
                self.candidate
                    .promise(now, *seq, &sender.name, self.keepers.len());
            }
            Part::Want { seq, worker, work } => {
                let by = (hash(sender.name.as_bytes()), sender.start);
                let (work, lasts) = self.give(now, by, *seq, *worker, Nanos::from(*work) * UNIT);
                // None given is not answered: what is asked for in vain is asked for again, and what came twice was
                // answered before.
                if work == 0 {
                    return;
                }
                let (work, lasts) = ((work / UNIT) as u32, (lasts / MS) as u16);
                self.out.push((
                    from,
                    vec![Part::Grant {
                        seq: *seq,
                        worker: *worker,
                        work,
                        lasts,
                    }],
                ));
            }
            Part::Grant {
                seq,
                worker,
                work,
                lasts,
            } => {
                let (work, lasts) = (Nanos::from(*work) * UNIT, Nanos::from(*lasts) * MS);
                self.granted(now, *seq, *worker, work, lasts, effects);
            }
            Part::PeerLoad { load, age } => {
                let rank = self.by_rank.iter().position(|name| *name == sender.name);
                if let Some(rank) = rank {
                    let load = self.load_receiver.line(now, &sender.name, *load, *age);
                    effects.push(Effect::PeerLoad {
                        from: rank as u16,
                        load,
                    });
                }
            }
            _ => {}
        }
    }

    fn give(
        &mut self,
        now: Nanos,
        by: (u32, u64),
        seq: u32,
        worker: WorkerId,
        work: Nanos,
    ) -> (Nanos, Nanos) {
        match self.candidate.since(now) {
            Some(since) => self.grant_issuer.give(now, since, by, seq, worker, work),
            None => (0, 0),
        }
    }

    fn granted(
        &mut self,
        now: Nanos,
        seq: u32,
        worker: WorkerId,
        work: Nanos,
        lasts: Nanos,
        effects: &mut Vec<Effect>,
    ) {
        if let Some((until, work)) = self.grant_holder.granted(now, seq, worker, work, lasts) {
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
        let work = work.div_ceil(UNIT);
        if self.members.aside() || self.keepers.is_empty() || work > Nanos::from(u32::MAX) {
            return;
        }
        let own = self.candidate.holds(now);
        let grant_issuer = self
            .keepers
            .iter()
            .filter_map(|name| self.members.get(name));
        let grant_issuer = grant_issuer.map(|member| &member.record).find(|record| {
            record.gives
                && matches!(
                    record.standing,
                    datagram::Standing::Alive | datagram::Standing::Suspect
                )
        });
        let Some(to) = (if own {
            Some(self.members.me.addr)
        } else {
            grant_issuer.map(|record| record.addr)
        }) else {
            return;
        };
        let Some(seq) = self.grant_holder.request_grant(now, worker, work * UNIT) else {
            return;
        };
        if own {
            let by = (hash(self.members.me.name.as_bytes()), self.members.me.start);
            let (work, lasts) = self.give(now, by, seq, worker, work * UNIT);
            self.granted(now, seq, worker, work, lasts, effects);
        } else {
            self.out.push((
                to,
                vec![Part::Want {
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
            Some(name) if *name != self.members.me.name => {
                let name = name.clone();
                self.load_sender.send_load(now, &name, load);
            }
            _ => self.load_sender.lost += 1,
        }
    }

    /// The process ends in order.
    pub fn leave(&mut self, effects: &mut Vec<Effect>) {
        self.stand_aside();
        self.members.leave(&mut self.out);
        self.flush(effects);
    }
}
