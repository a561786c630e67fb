//! Simulation of many members on one virtual clock, for tests.
//!
//! Datagrams can be lost, delayed, duplicated or blocked. Members have clocks of their own, and can
//! pause, stop and restart. All random choices follow from one seed.
mod member;
mod network;

pub use member::{Observed, SimulatedMember};
pub use network::{Address, Link, Network, address};

use crate::cluster::{Cluster, Effect};
use crate::config::ClusterConfig;
use crate::time::MILLISECOND;
use rosewall::pcg::Pcg;
use rosewall::types::Nanos;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

/// The interval at which [`SimulatedCluster::run_until_agreed`] checks whether the members agree.
const AGREEMENT_CHECK_INTERVAL: Nanos = 20 * MILLISECOND;
/// The delay of a wake-up after a member's timeout, so that the timeout has passed on its own clock.
const WAKE_MARGIN: Nanos = 1_000;
/// The difference between the rates of the slowest and the fastest clock: each is within the drift that
/// leases allow for.
const CLOCK_RATE_SPREAD: f64 = 0.018;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Deliver {
        to: SocketAddr,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
    Wake(usize),
}

/// An event with its time; events at the same time are ordered by their scheduling.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Scheduled {
    at: Nanos,
    serial: u64,
    event: Event,
}

/// A cluster of members on one virtual clock and network.
pub struct SimulatedCluster {
    /// The virtual time since the start of the simulation.
    pub now: Nanos,
    /// The members by index; `None` for those that do not run.
    pub members: Vec<Option<SimulatedMember>>,
    /// The simulated network, with its faults.
    pub network: Network,
    queue: BinaryHeap<Reverse<Scheduled>>,
    last_serial: u64,
    rng: Pcg,
}

impl SimulatedCluster {
    /// Returns a cluster of up to `count` members, none of which runs yet.
    pub fn new(count: usize, seed: u64) -> Self {
        SimulatedCluster {
            now: 0,
            members: (0..count).map(|_| None).collect(),
            network: Network::new(count),
            queue: BinaryHeap::new(),
            last_serial: 0,
            rng: Pcg::new(seed),
        }
    }

    /// Returns a random number below `limit`.
    pub fn random_below(&mut self, limit: u64) -> u64 {
        (self.rng.unit() * limit as f64) as u64
    }

    /// Returns the configuration of the member at `index`; the first `quorum_size` members are the
    /// quorum.
    pub fn config_of(&self, index: usize, quorum_size: usize) -> ClusterConfig {
        ClusterConfig {
            cluster: "simulated".to_string(),
            name: format!("n{index:04}"),
            listen: address(index),
            seeds: (0..3.min(self.members.len())).map(address).collect(),
            quorum: (0..quorum_size)
                .map(|index| format!("n{index:04}"))
                .collect(),
            relay: None,
            max_clock_skew: 0,
        }
    }

    /// Starts a member. Its clock is ahead by up to `skew`; unless that is 0, its rate is off by up to
    /// half of [`CLOCK_RATE_SPREAD`].
    pub fn start(&mut self, index: usize, config: ClusterConfig, skew: Nanos) {
        let spread = if skew > 0 { CLOCK_RATE_SPREAD } else { 0.0 };
        let offset = 1e18 + self.rng.unit() * skew as f64;
        let rate = 1.0 + (self.rng.unit() - 0.5) * spread;
        let local = (offset + self.now as f64 * rate) as Nanos;
        let seed = (self.rng.unit() * 1e18) as u64;
        let cluster = Cluster::new(&config, local, seed);
        self.members[index] = Some(SimulatedMember::new(cluster, config, offset, rate));
        self.schedule(self.now, Event::Wake(index));
    }

    /// Restarts a member under its name, without its previous state.
    pub fn restart(&mut self, index: usize, skew: Nanos) {
        let config = match &self.members[index] {
            Some(member) => member.config.clone(),
            None => self.config_of(index, 3),
        };
        self.start(index, config, skew);
    }

    /// Stops a member abruptly, without an announcement.
    pub fn kill(&mut self, index: usize) {
        self.members[index] = None;
    }

    /// Stops a member after it has announced that it leaves.
    pub fn leave(&mut self, index: usize) {
        let mut effects = Vec::new();
        if let Some(member) = &mut self.members[index] {
            member.cluster.leave(&mut effects);
        }
        self.apply_effects(index, effects);
        self.members[index] = None;
    }

    /// Pauses a member until the given virtual time.
    pub fn pause(&mut self, index: usize, until: Nanos) {
        if let Some(member) = &mut self.members[index] {
            member.paused_until = Some(until);
            self.schedule(until, Event::Wake(index));
        }
    }

    /// Whether a member is paused.
    pub fn is_paused(&self, index: usize) -> bool {
        let member = self.members[index].as_ref();
        member.is_some_and(|member| member.is_paused(self.now))
    }

    /// Returns the member at `index`.
    ///
    /// # Panics
    ///
    /// Panics if the member does not run.
    pub fn member(&self, index: usize) -> &SimulatedMember {
        self.members[index].as_ref().expect("the member runs")
    }

    /// Returns the running members, paused ones included.
    pub fn running_members(&self) -> impl Iterator<Item = &SimulatedMember> {
        self.members.iter().flatten()
    }

    /// Returns the indices of the running members.
    pub fn running(&self) -> Vec<usize> {
        (0..self.members.len())
            .filter(|index| self.members[*index].is_some())
            .collect()
    }

    /// Calls `action` with a member's cluster and local time, and applies the effects. Does nothing if the
    /// member is paused or does not run.
    pub fn with_cluster(
        &mut self,
        index: usize,
        action: impl FnOnce(&mut Cluster, Nanos, &mut Vec<Effect>),
    ) {
        if self.is_paused(index) {
            return;
        }
        let mut effects = Vec::new();
        if let Some(member) = &mut self.members[index] {
            let local = member.local_time(self.now);
            action(&mut member.cluster, local, &mut effects);
        }
        self.apply_effects(index, effects);
    }

    /// Runs the simulation until the given virtual time.
    pub fn run(&mut self, until: Nanos) {
        while let Some(event) = self.next_event(until) {
            match event {
                Event::Deliver { to, from, bytes } => self.deliver(to, from, bytes),
                Event::Wake(index) => self.wake(index),
            }
        }
        self.now = until;
    }

    /// Whether the views of these members contain exactly these members, each with a distinct rank.
    pub fn agree(&self, indices: &[usize]) -> bool {
        let mut ranks: Vec<u16> = Vec::new();
        for index in indices {
            let member = self.members[*index].as_ref();
            let Some(position) = member.and_then(|member| member.cluster.position()) else {
                return false;
            };
            if usize::from(position.dispatchers) != indices.len() {
                return false;
            }
            ranks.push(position.rank);
        }
        ranks.sort_unstable();
        let digest = |index: &usize| {
            let member = self.members[*index].as_ref();
            member.map(|member| member.cluster.membership().digest())
        };
        ranks.into_iter().eq(0..indices.len() as u16)
            && indices
                .iter()
                .all(|index| digest(index) == digest(&indices[0]))
    }

    /// Runs until these members agree; returns the time that it took, or `None` if they do not agree
    /// within the limit.
    pub fn run_until_agreed(&mut self, indices: &[usize], limit: Nanos) -> Option<Nanos> {
        let start = self.now;
        while self.now < start + limit {
            self.run(self.now + AGREEMENT_CHECK_INTERVAL);
            if self.agree(indices) {
                return Some(self.now - start);
            }
        }
        None
    }

    fn schedule(&mut self, at: Nanos, event: Event) {
        self.last_serial += 1;
        self.queue.push(Reverse(Scheduled {
            at,
            serial: self.last_serial,
            event,
        }));
    }

    /// Removes and returns the next event up to the given time, and advances the clock to it.
    fn next_event(&mut self, until: Nanos) -> Option<Event> {
        let Reverse(next) = self.queue.peek()?;
        if next.at > until {
            return None;
        }
        let Reverse(next) = self.queue.pop()?;
        self.now = self.now.max(next.at);
        Some(next.event)
    }

    fn deliver(&mut self, to: SocketAddr, from: SocketAddr, bytes: Vec<u8>) {
        let Some(index) = self.network.index_of(to) else {
            return;
        };
        let now = self.now;
        match &mut self.members[index] {
            Some(member) if member.is_paused(now) => member.buffer(from, bytes),
            _ => self.handle_datagram(index, from, &bytes),
        }
    }

    fn handle_datagram(&mut self, index: usize, from: SocketAddr, bytes: &[u8]) {
        self.with_cluster(index, |cluster, now, effects| {
            cluster.handle_datagram(now, from, bytes, effects);
        });
    }

    /// Handles the datagrams that were buffered during a pause, and a due timeout.
    fn wake(&mut self, index: usize) {
        if self.is_paused(index) {
            return;
        }
        let Some(member) = &mut self.members[index] else {
            return;
        };
        for (from, bytes) in member.resume() {
            self.handle_datagram(index, from, &bytes);
        }
        let now = self.now;
        let is_due =
            |member: &SimulatedMember| member.cluster.next_timeout() <= member.local_time(now);
        if self.members[index].as_ref().is_some_and(is_due) {
            self.with_cluster(index, |cluster, now, effects| {
                cluster.handle_timeout(now, effects);
            });
        }
    }

    fn apply_effects(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            let Some(member) = &mut self.members[index] else {
                return;
            };
            match effect {
                Effect::Send { to, bytes } => {
                    member.count_sent(bytes.len());
                    let from = Address {
                        index,
                        addr: member.config.listen,
                    };
                    self.send(from, to, &bytes);
                }
                other => member.observe(self.now, other),
            }
        }
        if let Some(member) = &self.members[index] {
            let wait = member.wait_until_timeout(self.now);
            self.schedule(self.now + wait + WAKE_MARGIN, Event::Wake(index));
        }
    }

    fn send(&mut self, from: Address, to: SocketAddr, bytes: &[u8]) {
        for delay in self.network.delays(&from, to, &mut self.rng) {
            let event = Event::Deliver {
                to,
                from: from.addr,
                bytes: bytes.to_vec(),
            };
            self.schedule(self.now + delay, event);
        }
    }
}

#[cfg(test)]
mod tests;
