//! Locks the behaviour of the cluster's state machines: seeded runs on a lossy network must give exactly the
//! datagrams, views, grants and stored states that the digests were computed from.
//!
//! Effects enter the digest as bytes and numbers, so a renamed type or reworded log line does not change it.
//! A digest may change only with an intended change of behaviour, which the commit states.
use rosewall::pcg::Pcg;
use rosewall::types::{FleetPosition, Nanos, PeerLoad, WorkerId};
use rosewall_cluster::cluster::{Cluster, Effect, LogLine};
use rosewall_cluster::config::ClusterConfig;
use rosewall_cluster::register::{
    self, AcceptedValue, Document, DocumentId, Message, PersistentState, Register,
};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use test_case::test_case;

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;

fn below(rng: &mut Pcg, limit: u64) -> u64 {
    (rng.unit() * limit as f64) as u64
}

fn add_numbers(digest: &mut Sha256, numbers: &[u64]) {
    numbers
        .iter()
        .for_each(|number| digest.update(number.to_le_bytes()));
}

fn add_bytes(digest: &mut Sha256, bytes: &[u8]) {
    add_numbers(digest, &[bytes.len() as u64]);
    digest.update(bytes);
}

fn short_hex(digest: Sha256) -> String {
    digest.finalize()[..8]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

fn address(at: usize) -> SocketAddr {
    ([10, 0, 0, at as u8 + 1], 7946).into()
}

fn worker(number: u8) -> WorkerId {
    WorkerId {
        addr: [10, 1, 0, number],
        port: 80,
    }
}

fn worker_number(id: &WorkerId) -> u64 {
    u64::from(u32::from_be_bytes(id.addr)) << 16 | u64::from(id.port)
}

enum Event {
    Deliver {
        to: usize,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    Wake(usize),
    RandomAction,
}

/// Several members on one virtual clock and a network that loses, duplicates, delays and corrupts datagrams.
struct Members {
    clusters: Vec<Option<Cluster>>,
    quorum: usize,
    now: Nanos,
    queue: BTreeMap<(Nanos, u64), Event>,
    serial: u64,
    rng: Pcg,
    digest: Sha256,
    effects: u64,
}

impl Members {
    fn new(count: usize, quorum: usize, seed: u64) -> Self {
        let mut members = Members {
            clusters: (0..count).map(|_| None).collect(),
            quorum,
            now: SECOND,
            queue: BTreeMap::new(),
            serial: 0,
            rng: Pcg::new(seed),
            digest: Sha256::new(),
            effects: 0,
        };
        (0..count).for_each(|at| members.start(at));
        members.push(40 * MILLISECOND, Event::RandomAction);
        members
    }

    fn push(&mut self, delay: Nanos, event: Event) {
        self.serial += 1;
        self.queue.insert((self.now + delay, self.serial), event);
    }

    fn start(&mut self, at: usize) {
        let cluster_config = ClusterConfig {
            cluster: "lock".to_string(),
            name: format!("n{at:02}"),
            listen: address(at),
            seeds: (0..3).map(address).collect(),
            quorum: (0..self.quorum).map(|at| format!("n{at:02}")).collect(),
            relay: None,
            max_clock_skew: 0,
        };
        let seed = below(&mut self.rng, 1 << 40);
        self.clusters[at] = Some(Cluster::new(&cluster_config, self.now, seed));
        self.push(0, Event::Wake(at));
    }

    fn with_cluster(
        &mut self,
        at: usize,
        action: impl FnOnce(&mut Cluster, Nanos, &mut Vec<Effect>),
    ) {
        let mut effects = Vec::new();
        let Some(cluster) = &mut self.clusters[at] else {
            return;
        };
        action(cluster, self.now, &mut effects);
        let next_timeout = cluster.next_timeout();
        self.push(
            next_timeout.saturating_sub(self.now) + 1_000,
            Event::Wake(at),
        );
        for effect in effects {
            self.effects += 1;
            self.record(at, &effect);
            if let Effect::Send { to, bytes } = effect {
                self.send(at, to, &bytes);
            }
        }
    }

    fn record(&mut self, at: usize, effect: &Effect) {
        let (now, at) = (self.now, at as u64);
        let digest = &mut self.digest;
        match effect {
            Effect::Send { to, bytes } => {
                add_numbers(digest, &[now, at, 1, u64::from(to.port())]);
                add_bytes(digest, to.ip().to_string().as_bytes());
                add_bytes(digest, bytes);
            }
            Effect::FleetView(None) => add_numbers(digest, &[now, at, 2]),
            Effect::FleetView(Some(FleetPosition { rank, dispatchers })) => {
                add_numbers(
                    digest,
                    &[now, at, 3, u64::from(*rank), u64::from(*dispatchers)],
                );
            }
            Effect::WarmUpGranted {
                worker,
                work,
                until,
            } => {
                add_numbers(digest, &[now, at, 4, worker_number(worker), *work, *until]);
            }
            Effect::PeerLoad { from, load } => {
                let numbers = [
                    u64::from(load.half_slots),
                    u64::from(load.work_units),
                    u64::from(load.speed_code),
                ];
                add_numbers(
                    digest,
                    &[now, at, 5, u64::from(*from), worker_number(&load.worker)],
                );
                add_numbers(digest, &numbers);
            }
            Effect::Log(LogLine::Info(_)) => add_numbers(digest, &[now, at, 6]),
            Effect::Log(LogLine::Error(_)) => add_numbers(digest, &[now, at, 7]),
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: &[u8]) {
        let Some(to) = (0..self.clusters.len()).find(|at| address(*at) == to) else {
            return;
        };
        if below(&mut self.rng, 10) == 0 {
            return;
        }
        for _ in 0..1 + u64::from(below(&mut self.rng, 20) == 0) {
            let delay = (1 + below(&mut self.rng, 3)) * MILLISECOND / 2;
            let mut bytes = bytes.to_vec();
            if below(&mut self.rng, 200) == 0 {
                let at = below(&mut self.rng, bytes.len() as u64) as usize;
                bytes[at] ^= 1 << below(&mut self.rng, 8);
            }
            self.push(
                delay,
                Event::Deliver {
                    to,
                    from: address(from),
                    bytes,
                },
            );
        }
    }

    /// Performs a random action on a member: a call of the dispatch decisions, a crash, a leave or a start.
    fn random_action(&mut self) {
        let delay = (5 + below(&mut self.rng, 60)) * MILLISECOND;
        self.push(delay, Event::RandomAction);
        let at = below(&mut self.rng, self.clusters.len() as u64) as usize;
        let id = worker(below(&mut self.rng, 3) as u8);
        let work = below(&mut self.rng, 300) * MILLISECOND + 7;
        match below(&mut self.rng, 40) {
            0 => self.clusters[at] = None,
            1 => {
                self.with_cluster(at, |cluster, _, effects| cluster.leave(effects));
                self.clusters[at] = None;
            }
            2..=4 if self.clusters[at].is_none() => self.start(at),
            5..=14 => self.with_cluster(at, |cluster, now, effects| {
                cluster.request_grant(now, id, work, effects)
            }),
            15..=24 => self.with_cluster(at, |cluster, _, _| {
                cluster.set_warm_up_budget(id, 4 * SECOND, SECOND)
            }),
            _ => {
                let to = below(&mut self.rng, 10) as u16;
                let load = PeerLoad {
                    worker: id,
                    half_slots: 3,
                    work_units: (work / (16 * MILLISECOND)) as u16,
                    speed_code: 130,
                };
                self.with_cluster(at, |cluster, now, _| cluster.send_load(now, to, load));
            }
        }
    }

    fn run(mut self, until: Nanos) -> (u64, String) {
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > until {
                break;
            }
            self.now = at;
            match event {
                Event::Deliver { to, from, bytes } => {
                    self.with_cluster(to, |cluster, now, effects| {
                        cluster.handle_datagram(now, from, &bytes, effects)
                    });
                }
                Event::Wake(at) => {
                    let due = |cluster: &Cluster| cluster.next_timeout() <= self.now;
                    if self.clusters[at].as_ref().is_some_and(due) {
                        self.with_cluster(at, |cluster, now, effects| {
                            cluster.handle_timeout(now, effects)
                        });
                    }
                }
                Event::RandomAction => self.random_action(),
            }
        }
        (self.effects, short_hex(self.digest))
    }
}

#[test_case(5, 3, 3 =>
    "9180 effects, 6e5159712c9a47a9 e781ed602bc79894 6f528096a92f8535"; "five members of whom three are the quorum")]
#[test_case(14, 5, 2 =>
    "26363 effects, 091136f71bfd399e d65c74f96433de91"; "fourteen members of whom five are the quorum")]
#[test_case(6, 0, 2 =>
    "8185 effects, 337d84aa37bf0413 98cb2e79cd6963c8"; "no quorum")]
fn member_effects_match_the_locked_digests(count: usize, quorum: usize, seeds: u64) -> String {
    let runs = (0..seeds).map(|seed| Members::new(count, quorum, seed).run(25 * SECOND));
    let (effects, digests): (Vec<u64>, Vec<String>) = runs.unzip();
    format!(
        "{} effects, {}",
        effects.iter().sum::<u64>(),
        digests.join(" ")
    )
}

/// Replicas of the register on a network that loses and reorders messages, with failing disks and restarts.
struct Replicas {
    registers: Vec<Register>,
    disks: Vec<PersistentState>,
    network: Vec<(u8, u8, Message)>,
    writes: Vec<(usize, u64, PersistentState)>,
    now: Nanos,
    rng: Pcg,
    digest: Sha256,
    effects: u64,
}

fn add_ballot(digest: &mut Sha256, ballot: &register::Ballot) {
    add_numbers(digest, &[ballot.round, u64::from(ballot.replica)]);
}

fn add_document(digest: &mut Sha256, document: &Document) {
    add_numbers(digest, &[document.version]);
    add_bytes(digest, document.text.as_bytes());
    digest.update(document.digest());
}

fn add_message(digest: &mut Sha256, message: &Message) {
    match message {
        Message::Prepare { ballot } => {
            add_numbers(digest, &[1]);
            add_ballot(digest, ballot);
        }
        Message::Promise { ballot, accepted } => {
            add_numbers(digest, &[2, u64::from(accepted.is_some())]);
            add_ballot(digest, ballot);
            if let Some(AcceptedValue { ballot, document }) = accepted {
                add_ballot(digest, ballot);
                add_document(digest, document);
            }
        }
        Message::Preempted { ballot, promised } => {
            add_numbers(digest, &[3]);
            add_ballot(digest, ballot);
            add_ballot(digest, promised);
        }
        Message::Accept { ballot, document } => {
            add_numbers(digest, &[4]);
            add_ballot(digest, ballot);
            add_document(digest, document);
        }
        Message::Accepted { ballot } => {
            add_numbers(digest, &[5]);
            add_ballot(digest, ballot);
        }
        Message::Chosen(DocumentId {
            version,
            digest: sum,
        }) => {
            add_numbers(digest, &[6, *version]);
            digest.update(sum);
        }
    }
}

impl Replicas {
    fn new(count: u8, seed: u64) -> Self {
        let register = |id| {
            Register::new(
                id,
                count,
                PersistentState::default(),
                0,
                seed + u64::from(id),
            )
        };
        Replicas {
            registers: (0..count).map(register).collect(),
            disks: vec![PersistentState::default(); usize::from(count)],
            network: Vec::new(),
            writes: Vec::new(),
            now: 0,
            rng: Pcg::new(seed),
            digest: Sha256::new(),
            effects: 0,
        }
    }

    fn with_register(
        &mut self,
        at: usize,
        action: impl FnOnce(&mut Register, Nanos, &mut Vec<register::Effect>),
    ) {
        let mut effects = Vec::new();
        action(&mut self.registers[at], self.now, &mut effects);
        for effect in effects {
            self.effects += 1;
            add_numbers(&mut self.digest, &[self.now, at as u64]);
            self.execute(at, effect);
        }
    }

    fn execute(&mut self, at: usize, effect: register::Effect) {
        let digest = &mut self.digest;
        match effect {
            register::Effect::Send { to, message } => {
                add_numbers(digest, &[1, u64::from(to)]);
                add_message(digest, &message);
                self.network.push((at as u8, to, message));
            }
            register::Effect::Persist { serial, state } => {
                add_numbers(digest, &[2, serial]);
                add_ballot(digest, &state.promised);
                if let Some(AcceptedValue { ballot, document }) = &state.accepted {
                    add_ballot(digest, ballot);
                    add_document(digest, document);
                }
                add_document(digest, &state.committed);
                self.writes.push((at, serial, state));
            }
            register::Effect::Completed(outcome) => {
                let numbers = match outcome {
                    register::Outcome::Accepted { version } => [3, version, 0],
                    register::Outcome::Conflict { based_on, current } => [4, based_on, current],
                    register::Outcome::Unknown => [5, 0, 0],
                    register::Outcome::Busy => [6, 0, 0],
                    register::Outcome::TooLarge { bytes } => [7, bytes as u64, 0],
                };
                add_numbers(digest, &numbers);
            }
            register::Effect::Committed(document) => {
                add_numbers(digest, &[8]);
                add_document(digest, &document);
            }
            register::Effect::Fetch(id) => {
                add_numbers(digest, &[9, id.version]);
                digest.update(id.digest);
                let found = self
                    .registers
                    .iter()
                    .find_map(|register| register.document(&id));
                if let Some(document) = found.cloned() {
                    let document = (*document).clone();
                    self.with_register(at, |register, _, effects| {
                        register.handle_fetched(id, document, effects);
                    });
                }
            }
        }
    }

    /// Performs one random step: advances the time, then delivers a message, completes a write, proposes a
    /// change, restarts a replica or handles a timeout.
    fn step(&mut self, number: u64) {
        self.now += below(&mut self.rng, 20) * MILLISECOND;
        let at = below(&mut self.rng, self.registers.len() as u64) as usize;
        match below(&mut self.rng, 100) {
            0 => {
                let (id, count) = (at as u8, self.registers.len() as u8);
                self.writes.retain(|(of, ..)| *of != at);
                self.registers[at] =
                    Register::new(id, count, self.disks[at].clone(), self.now, number);
            }
            1..=4 => {
                let based_on = self.registers[at].committed().version;
                let text = format!("settings {number}");
                self.with_register(at, |register, now, effects| {
                    register.propose(now, based_on, &text, effects)
                });
            }
            5..=54 if !self.network.is_empty() => {
                let index = below(&mut self.rng, self.network.len() as u64) as usize;
                let (from, to, message) = self.network.swap_remove(index);
                if below(&mut self.rng, 8) != 0 {
                    let to = usize::from(to);
                    self.with_register(to, |register, now, effects| {
                        register.handle_message(now, from, message, effects)
                    });
                }
            }
            55..=89 if !self.writes.is_empty() => {
                let (at, serial, state) = self.writes.remove(0);
                let succeeded = below(&mut self.rng, 30) != 0;
                if succeeded {
                    self.disks[at] = state;
                }
                self.with_register(at, |register, now, effects| {
                    register.handle_write_result(now, serial, succeeded, effects)
                });
            }
            _ => {
                if self.registers[at]
                    .next_timeout()
                    .is_some_and(|due| due <= self.now)
                {
                    self.with_register(at, |register, now, effects| {
                        register.handle_timeout(now, effects)
                    });
                }
            }
        }
    }

    fn run(mut self, steps: u64) -> (u64, String) {
        (0..steps).for_each(|number| self.step(number));
        (self.effects, short_hex(self.digest))
    }
}

#[test_case(1 =>
    "5109 effects, ccd7958c72bd2731 e9f1c7a7bc79b004 a745c70c3c1b67c7 02d4afd7ee1349cf 297f91c17c049d57 2c892b13c34179d0"; "one replica")]
#[test_case(3 =>
    "18677 effects, 33351834eae3051d 2ef792efb3f92ff4 2a2f6378a6be0be2 b140164ea524b88a d51c7326cb44c701 c15eb53aebdd859e"; "three replicas")]
#[test_case(5 =>
    "25407 effects, 71cdc00068bd3871 3732c702a6dae676 985730d854af20d3 8019be16c181e8ae 4af021af66fe1d42 0682859fbb4321a4"; "five replicas")]
fn register_effects_match_the_locked_digests(count: u8) -> String {
    let (effects, digests): (Vec<u64>, Vec<String>) = (0..6)
        .map(|seed| Replicas::new(count, seed).run(6_000))
        .unzip();
    format!(
        "{} effects, {}",
        effects.iter().sum::<u64>(),
        digests.join(" ")
    )
}
