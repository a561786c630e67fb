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
pub struct Way {
    pub loss: f64,
    pub twice: f64,
    pub delay: Nanos,
    /// Up to so much more, drawn for each.
    pub jitter: Nanos,
}

/// What the decisions of a process were told.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    FleetView(Option<FleetPosition>),
    WarmUpGranted {
        worker: WorkerId,
        work: Nanos,
        until: Nanos,
    },
    Error(String),
}

pub struct Node {
    pub cluster: Cluster,
    cluster_config: ClusterConfig,
    /// Its clock: what it shows at the field's start, and how fast it runs.
    offset: f64,
    rate: f64,
    paused: Option<Nanos>,
    /// What came while it was paused.
    waiting: Vec<(SocketAddr, Vec<u8>)>,
    pub heard: Vec<(Nanos, Heard)>,
    pub bytes: u64,
    pub datagrams: u64,
}

impl Node {
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

pub struct Field {
    pub now: Nanos,
    pub nodes: Vec<Option<Node>>,
    pub way: Way,
    /// How much more the way takes between two regions, of which there are three, by turns.
    pub regions: Nanos,
    /// The groups that a split has made; datagrams pass only within one.
    pub side: Vec<u32>,
    /// Directed pairs that are cut.
    pub cut: Vec<(usize, usize)>,
    addresses: std::collections::BTreeMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(Nanos, u64, Event)>>,
    serial: u64,
    pub chance: Pcg,
}

pub fn address(at: usize) -> SocketAddr {
    ([10, 0, (at / 250) as u8, (at % 250) as u8 + 1], 7946).into()
}

impl Field {
    /// So many places; none runs yet.
    pub fn new(count: usize, seed: u64) -> Self {
        Field {
            now: 0,
            nodes: (0..count).map(|_| None).collect(),
            way: Way {
                delay: MS / 2,
                jitter: MS,
                ..Way::default()
            },
            regions: 0,
            side: vec![0; count],
            cut: Vec::new(),
            addresses: (0..count).map(|at| (address(at), at)).collect(),
            queue: BinaryHeap::new(),
            serial: 0,
            chance: Pcg::new(seed),
        }
    }

    pub fn below(&mut self, most: u64) -> u64 {
        (self.chance.unit() * most as f64) as u64
    }

    fn push(&mut self, at: Nanos, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial, event)));
    }

    pub fn config_of(&self, at: usize, keepers: usize) -> ClusterConfig {
        ClusterConfig {
            cluster: "field".to_string(),
            name: format!("n{at:04}"),
            listen: address(at),
            seeds: (0..3.min(self.nodes.len())).map(address).collect(),
            quorum: (0..keepers).map(|at| format!("n{at:04}")).collect(),
            relay: None,
            max_clock_skew: 0,
        }
    }

    /// Starts a process at a place; its clock is off by up to `skew` and by up to one in a hundred in speed.
    pub fn start(&mut self, at: usize, cluster_config: ClusterConfig, skew: Nanos) {
        let offset = 1e18 + self.chance.unit() * skew as f64;
        let rate = 1.0 + (self.chance.unit() - 0.5) * if skew > 0 { 0.018 } else { 0.0 };
        let local = (offset + self.now as f64 * rate) as Nanos;
        let seed = (self.chance.unit() * 1e18) as u64;
        let cluster = Cluster::new(&cluster_config, local, seed);
        let (paused, bytes, datagrams) = (None, 0, 0);
        let (waiting, heard) = (Vec::new(), Vec::new());
        self.nodes[at] = Some(Node {
            cluster,
            cluster_config,
            offset,
            rate,
            paused,
            waiting,
            heard,
            bytes,
            datagrams,
        });
        self.push(self.now, Event::Due(at));
    }

    /// Starts it again under its name, with nothing kept.
    pub fn restart(&mut self, at: usize, skew: Nanos) {
        let cluster_config = self.nodes[at]
            .as_ref()
            .map(|node| node.cluster_config.clone());
        let cluster_config = cluster_config.unwrap_or_else(|| self.config_of(at, 3));
        self.start(at, cluster_config, skew);
    }

    pub fn kill(&mut self, at: usize) {
        self.nodes[at] = None;
    }

    pub fn leave(&mut self, at: usize) {
        let mut effects = Vec::new();
        if let Some(node) = &mut self.nodes[at] {
            node.cluster.leave(&mut effects);
        }
        self.carry(at, effects);
        self.nodes[at] = None;
    }

    pub fn pause(&mut self, at: usize, until: Nanos) {
        if let Some(node) = &mut self.nodes[at] {
            node.paused = Some(until);
            self.push(until, Event::Due(at));
        }
    }

    pub fn paused(&self, at: usize) -> bool {
        self.nodes[at]
            .as_ref()
            .is_some_and(|node| node.paused.is_some_and(|until| until > self.now))
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|at| self.nodes[*at].is_some())
            .collect()
    }

    /// Lets a process act, if it runs.
    pub fn act(&mut self, at: usize, act: impl FnOnce(&mut Cluster, Nanos, &mut Vec<Effect>)) {
        if self.paused(at) {
            return;
        }
        let now = self.now;
        let mut effects = Vec::new();
        if let Some(node) = &mut self.nodes[at] {
            let local = node.local(now);
            act(&mut node.cluster, local, &mut effects);
        }
        self.carry(at, effects);
    }

    fn carry(&mut self, at: usize, effects: Vec<Effect>) {
        let (now, way) = (self.now, self.way);
        for effect in effects {
            let Some(node) = &mut self.nodes[at] else {
                return;
            };
            match effect {
                Effect::Send { to, bytes } => {
                    (node.bytes, node.datagrams) =
                        (node.bytes + bytes.len() as u64, node.datagrams + 1);
                    let from = node.cluster_config.listen;
                    let other = self.addresses.get(&to).copied();
                    let apart = other.is_none_or(|other| {
                        self.side[other] != self.side[at] || self.cut.contains(&(at, other))
                    });
                    if apart || self.chance.unit() < way.loss {
                        continue;
                    }
                    let far = if other.is_some_and(|other| other % 3 != at % 3) {
                        self.regions
                    } else {
                        0
                    };
                    for _ in 0..1 + u64::from(self.chance.unit() < way.twice) {
                        let late =
                            far + way.delay + (self.chance.unit() * way.jitter as f64) as Nanos;
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
                Effect::FleetView(view) => node.heard.push((now, Heard::FleetView(view))),
                Effect::WarmUpGranted {
                    worker,
                    work,
                    until,
                } => {
                    node.heard.push((
                        now,
                        Heard::WarmUpGranted {
                            worker,
                            work,
                            until,
                        },
                    ));
                }
                Effect::Log(LogLine::Error(text)) => node.heard.push((now, Heard::Error(text))),
                Effect::Log(LogLine::Info(_)) | Effect::PeerLoad { .. } => {}
            }
        }
        if let Some(node) = &self.nodes[at] {
            let next = node.cluster.next_due();
            let wait = next.saturating_sub(node.local(now)) as f64 / node.rate;
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
                    if let Some(node) = &mut self.nodes[at].as_mut().filter(|_| paused) {
                        // A socket's buffer holds so many.
                        if node.waiting.len() < 200 {
                            node.waiting.push((from, bytes));
                        }
                        continue;
                    }
                    self.act(at, |cluster, now, effects| {
                        cluster.feed(now, from, &bytes, effects)
                    });
                }
                Event::Due(at) => {
                    if self.paused(at) || self.nodes[at].is_none() {
                        continue;
                    }
                    let waiting = self.nodes[at].as_mut().map(|node| {
                        node.paused = None;
                        std::mem::take(&mut node.waiting)
                    });
                    for (from, bytes) in waiting.into_iter().flatten() {
                        self.act(at, |cluster, now, effects| {
                            cluster.feed(now, from, &bytes, effects)
                        });
                    }
                    let due = |node: &Node| node.cluster.next_due() <= node.local(self.now);
                    if self.nodes[at].as_ref().is_some_and(due) {
                        self.act(at, |cluster, now, effects| cluster.due(now, effects));
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
            let Some(Some(position)) = self.nodes[*at].as_ref().map(|node| node.cluster.view())
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
            self.nodes[*at]
                .as_ref()
                .map(|node| node.cluster.members().digest())
        };
        ranks.into_iter().eq(0..who.len() as u16)
            && who.iter().all(|at| digest(at) == digest(&who[0]))
    }

    /// Plays on until they agree: after how long, if within the limit.
    pub fn until_agreed(&mut self, who: &[usize], within: Nanos) -> Option<Nanos> {
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
