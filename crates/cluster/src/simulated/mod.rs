//! Many processes' machines on one virtual clock, with datagrams lost, late, doubled and cut between them, clocks of
//! their own, pauses, ends and starts: all from one seed. For tests and for the command that measures by size.
use crate::cluster::{Cluster, Effect, LogLine};
use crate::config::ClusterConfig;
use rosewall::pcg::Pcg;
use rosewall::types::{FleetPosition, Nanos, WorkerId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

pub const MS: Nanos = 1_000_000;

/// What happens to datagrams.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    pub loss: f64,
    pub duplication: f64,
    pub delay: Nanos,
    /// Up to so much more, drawn for each.
    pub jitter: Nanos,
}

/// What the decisions of a process were told.
#[derive(Clone, Debug, PartialEq)]
pub enum Observed {
    FleetView(Option<FleetPosition>),
    WarmUpGranted {
        worker: WorkerId,
        work: Nanos,
        until: Nanos,
    },
    Error(String),
}

pub struct SimulatedMember {
    pub cluster: Cluster,
    cluster_config: ClusterConfig,
    /// Its clock: what it shows at the field's start, and how fast it runs.
    offset: f64,
    rate: f64,
    paused: Option<Nanos>,
    /// What came while it was paused.
    waiting: Vec<(SocketAddr, Vec<u8>)>,
    pub observed: Vec<(Nanos, Observed)>,
    pub bytes: u64,
    pub datagrams: u64,
}

impl SimulatedMember {
    /// Its own clock.
    pub fn local(&self, now: Nanos) -> Nanos {
        (self.offset + now as f64 * self.rate) as Nanos
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Deliver {
        to: SocketAddr,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    Due(usize),
}

pub struct SimulatedCluster {
    pub now: Nanos,
    pub members: Vec<Option<SimulatedMember>>,
    pub link: Link,
    /// How much more the way takes between two regions, of which there are three, by turns.
    pub inter_region_delay: Nanos,
    /// The groups that a split has made; datagrams pass only within one.
    pub partition: Vec<u32>,
    /// Directed pairs that are cut.
    pub cut_links: Vec<(usize, usize)>,
    addresses: std::collections::BTreeMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(Nanos, u64, Event)>>,
    last_event: u64,
    pub rng: Pcg,
}

pub fn address(at: usize) -> SocketAddr {
    ([10, 0, (at / 250) as u8, (at % 250) as u8 + 1], 7946).into()
}

impl SimulatedCluster {
    /// So many places; none runs yet.
    pub fn new(count: usize, seed: u64) -> Self {
        SimulatedCluster {
            now: 0,
            members: (0..count).map(|_| None).collect(),
            link: Link {
                delay: MS / 2,
                jitter: MS,
                ..Link::default()
            },
            inter_region_delay: 0,
            partition: vec![0; count],
            cut_links: Vec::new(),
            addresses: (0..count).map(|at| (address(at), at)).collect(),
            queue: BinaryHeap::new(),
            last_event: 0,
            rng: Pcg::new(seed),
        }
    }

    pub fn below(&mut self, most: u64) -> u64 {
        (self.rng.unit() * most as f64) as u64
    }

    fn push(&mut self, at: Nanos, event: Event) {
        self.last_event += 1;
        self.queue.push(Reverse((at, self.last_event, event)));
    }

    pub fn config_of(&self, at: usize, keepers: usize) -> ClusterConfig {
        ClusterConfig {
            cluster: "field".to_string(),
            name: format!("n{at:04}"),
            listen: address(at),
            seeds: (0..3.min(self.members.len())).map(address).collect(),
            quorum: (0..keepers).map(|at| format!("n{at:04}")).collect(),
            relay: None,
            max_clock_skew: 0,
        }
    }

    /// Starts a process at a place; its clock is off by up to `skew` and by up to one in a hundred in speed.
    pub fn start(&mut self, at: usize, cluster_config: ClusterConfig, skew: Nanos) {
        let offset = 1e18 + self.rng.unit() * skew as f64;
        let rate = 1.0 + (self.rng.unit() - 0.5) * if skew > 0 { 0.018 } else { 0.0 };
        let local = (offset + self.now as f64 * rate) as Nanos;
        let seed = (self.rng.unit() * 1e18) as u64;
        let cluster = Cluster::new(&cluster_config, local, seed);
        let (paused, bytes, datagrams) = (None, 0, 0);
        let (waiting, observed) = (Vec::new(), Vec::new());
        self.members[at] = Some(SimulatedMember {
            cluster,
            cluster_config,
            offset,
            rate,
            paused,
            waiting,
            observed,
            bytes,
            datagrams,
        });
        self.push(self.now, Event::Due(at));
    }

    /// Starts it again under its name, with nothing kept.
    pub fn restart(&mut self, at: usize, skew: Nanos) {
        let cluster_config = self.members[at]
            .as_ref()
            .map(|member| member.cluster_config.clone());
        let cluster_config = cluster_config.unwrap_or_else(|| self.config_of(at, 3));
        self.start(at, cluster_config, skew);
    }

    pub fn kill(&mut self, at: usize) {
        self.members[at] = None;
    }

    pub fn leave(&mut self, at: usize) {
        let mut effects = Vec::new();
        if let Some(member) = &mut self.members[at] {
            member.cluster.leave(&mut effects);
        }
        self.apply_effects(at, effects);
        self.members[at] = None;
    }

    pub fn pause(&mut self, at: usize, until: Nanos) {
        if let Some(member) = &mut self.members[at] {
            member.paused = Some(until);
            self.push(until, Event::Due(at));
        }
    }

    pub fn paused(&self, at: usize) -> bool {
        self.members[at]
            .as_ref()
            .is_some_and(|member| member.paused.is_some_and(|until| until > self.now))
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.members.len())
            .filter(|at| self.members[*at].is_some())
            .collect()
    }

    /// Lets a process act, if it runs.
    pub fn act(&mut self, at: usize, act: impl FnOnce(&mut Cluster, Nanos, &mut Vec<Effect>)) {
        if self.paused(at) {
            return;
        }
        let now = self.now;
        let mut effects = Vec::new();
        if let Some(member) = &mut self.members[at] {
            let local = member.local(now);
            act(&mut member.cluster, local, &mut effects);
        }
        self.apply_effects(at, effects);
    }

    fn apply_effects(&mut self, at: usize, effects: Vec<Effect>) {
        let (now, link) = (self.now, self.link);
        for effect in effects {
            let Some(member) = &mut self.members[at] else {
                return;
            };
            match effect {
                Effect::Send { to, bytes } => {
                    (member.bytes, member.datagrams) =
                        (member.bytes + bytes.len() as u64, member.datagrams + 1);
                    let from = member.cluster_config.listen;
                    let other = self.addresses.get(&to).copied();
                    let apart = other.is_none_or(|other| {
                        self.partition[other] != self.partition[at]
                            || self.cut_links.contains(&(at, other))
                    });
                    if apart || self.rng.unit() < link.loss {
                        continue;
                    }
                    let far = if other.is_some_and(|other| other % 3 != at % 3) {
                        self.inter_region_delay
                    } else {
                        0
                    };
                    for _ in 0..1 + u64::from(self.rng.unit() < link.duplication) {
                        let late =
                            far + link.delay + (self.rng.unit() * link.jitter as f64) as Nanos;
                        self.push(
                            now + late,
                            Event::Deliver {
                                to,
                                from,
                                bytes: bytes.clone(),
                            },
                        );
                    }
                }
                Effect::FleetView(view) => member.observed.push((now, Observed::FleetView(view))),
                Effect::WarmUpGranted {
                    worker,
                    work,
                    until,
                } => {
                    member.observed.push((
                        now,
                        Observed::WarmUpGranted {
                            worker,
                            work,
                            until,
                        },
                    ));
                }
                Effect::Log(LogLine::Error(text)) => {
                    member.observed.push((now, Observed::Error(text)))
                }
                Effect::Log(LogLine::Info(_)) | Effect::PeerLoad { .. } => {}
            }
        }
        if let Some(member) = &self.members[at] {
            let next = member.cluster.next_timeout();
            let wait = next.saturating_sub(member.local(now)) as f64 / member.rate;
            self.push(now + wait as Nanos + 1_000, Event::Due(at));
        }
    }

    /// Plays on until a moment.
    pub fn run(&mut self, until: Nanos) {
        while self
            .queue
            .peek()
            .is_some_and(|Reverse((at, ..))| *at <= until)
        {
            let Some(Reverse((at, _, event))) = self.queue.pop() else {
                return;
            };
            self.now = self.now.max(at);
            match event {
                Event::Deliver { to, from, bytes } => {
                    let Some(at) = self.addresses.get(&to).copied() else {
                        continue;
                    };
                    let paused = self.paused(at);
                    if let Some(member) = &mut self.members[at].as_mut().filter(|_| paused) {
                        // A socket's buffer holds so many.
                        if member.waiting.len() < 200 {
                            member.waiting.push((from, bytes));
                        }
                        continue;
                    }
                    self.act(at, |cluster, now, effects| {
                        cluster.handle_datagram(now, from, &bytes, effects)
                    });
                }
                Event::Due(at) => {
                    if self.paused(at) || self.members[at].is_none() {
                        continue;
                    }
                    let waiting = self.members[at].as_mut().map(|member| {
                        member.paused = None;
                        std::mem::take(&mut member.waiting)
                    });
                    for (from, bytes) in waiting.into_iter().flatten() {
                        self.act(at, |cluster, now, effects| {
                            cluster.handle_datagram(now, from, &bytes, effects)
                        });
                    }
                    let due = |member: &SimulatedMember| {
                        member.cluster.next_timeout() <= member.local(self.now)
                    };
                    if self.members[at].as_ref().is_some_and(due) {
                        self.act(at, |cluster, now, effects| {
                            cluster.handle_timeout(now, effects)
                        });
                    }
                }
            }
        }
        self.now = until;
    }

    /// Whether all these know just each other, with ranks that are theirs alone.
    pub fn agree(&self, who: &[usize]) -> bool {
        let mut ranks: Vec<u16> = Vec::new();
        for at in who {
            let Some(Some(position)) = self.members[*at]
                .as_ref()
                .map(|member| member.cluster.view())
            else {
                return false;
            };
            if usize::from(position.dispatchers) != who.len() {
                return false;
            }
            ranks.push(position.rank);
        }
        ranks.sort_unstable();
        let digest = |at: &usize| {
            self.members[*at]
                .as_ref()
                .map(|member| member.cluster.membership().digest())
        };
        ranks.into_iter().eq(0..who.len() as u16)
            && who.iter().all(|at| digest(at) == digest(&who[0]))
    }

    /// Plays on until they agree: after how long, if within the limit.
    pub fn run_until_agreed(&mut self, who: &[usize], within: Nanos) -> Option<Nanos> {
        let from = self.now;
        while self.now < from + within {
            self.run(self.now + 20 * MS);
            if self.agree(who) {
                return Some(self.now - from);
            }
        }
        None
    }
}

#[cfg(test)]
pub(crate) mod tests;
