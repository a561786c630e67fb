//! The relay of datagrams between dispatchers. Each datagram carries the address it is for as a prefix, and is forwarded
//! with the address it came from in its place. So every directed link can lose, delay, duplicate and reorder datagrams.
mod forwarder;

use crate::error::TestbedError;
use crate::scale::topology::{Latencies, Partition, zone};
use async_io::Async;
use forwarder::Forwarder;
use rosewall::pcg::Pcg;
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::ops::AddAssign;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// What happens to each datagram of a directed link.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkConditions {
    /// The share that is lost.
    pub loss: f64,
    /// The share that is duplicated.
    #[serde(rename = "twice")]
    pub duplicate: f64,
    /// The lowest delay.
    pub delay_ms: u64,
    /// How much longer than the lowest delay a datagram may take, which also changes their order.
    pub jitter_ms: u64,
    /// Whether nothing passes.
    pub cut: bool,
}

/// Datagrams and their bytes, without the address prefix.
#[derive(Clone, Copy, Debug, Default)]
pub struct DatagramCount {
    /// How many datagrams.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl DatagramCount {
    fn add(&mut self, bytes: u64) {
        self.datagrams += 1;
        self.bytes += bytes;
    }

    /// What has come since an earlier count.
    pub fn since(self, earlier: DatagramCount) -> DatagramCount {
        DatagramCount {
            datagrams: self.datagrams.saturating_sub(earlier.datagrams),
            bytes: self.bytes.saturating_sub(earlier.bytes),
        }
    }
}

impl AddAssign for DatagramCount {
    fn add_assign(&mut self, other: DatagramCount) {
        self.datagrams += other.datagrams;
        self.bytes += other.bytes;
    }
}

/// What one dispatcher has sent, and what was forwarded to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// What it has sent, with what was lost after it.
    pub sent: DatagramCount,
    /// What was forwarded to it.
    pub received: DatagramCount,
}

impl AddAssign for Traffic {
    fn add_assign(&mut self, other: Traffic) {
        self.sent += other.sent;
        self.received += other.received;
    }
}

/// What the relay has done with all datagrams.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayTotals {
    /// What was forwarded.
    pub forwarded: DatagramCount,
    /// How many datagrams were lost.
    pub lost: u64,
}

/// The conditions of all links, and the counts.
#[derive(Default)]
struct Links {
    default: LinkConditions,
    /// By the numbers of sender and receiver.
    overrides: HashMap<(usize, usize), LinkConditions>,
    dispatchers: HashMap<SocketAddr, usize>,
    /// Latencies between zones, where they are simulated.
    zone_latencies: Option<Latencies>,
    /// Two regions that are partitioned from each other.
    partition: Option<Partition>,
    traffic: HashMap<usize, Traffic>,
    totals: RelayTotals,
}

/// How a datagram that is not lost goes on.
struct Forwarding {
    conditions: LinkConditions,
    zone_latency: Duration,
}

impl Links {
    /// Counts a datagram and draws whether it is lost.
    fn on_datagram(
        &mut self,
        from: SocketAddr,
        to: SocketAddr,
        bytes: u64,
        rng: &mut Pcg,
    ) -> Option<Forwarding> {
        let sender = self.dispatchers.get(&from).copied();
        let pair = sender.zip(self.dispatchers.get(&to).copied());
        let conditions = pair
            .and_then(|pair| self.overrides.get(&pair))
            .copied()
            .unwrap_or(self.default);
        let zones = pair.map(|(from, to)| (zone(from), zone(to)));
        let partitioned = zones
            .zip(self.partition)
            .is_some_and(|((from, to), partition)| partition.separates(from, to));
        let lost = conditions.cut || partitioned || rng.unit() < conditions.loss;
        self.count(pair, bytes, lost);
        let zone_latency = zones
            .zip(self.zone_latencies)
            .map(|((from, to), latencies)| latencies.between(from, to))
            .unwrap_or_default();
        (!lost).then_some(Forwarding {
            conditions,
            zone_latency,
        })
    }

    fn count(&mut self, pair: Option<(usize, usize)>, bytes: u64, lost: bool) {
        if let Some((from, _)) = pair {
            self.traffic.entry(from).or_default().sent.add(bytes);
        }
        if lost {
            self.totals.lost += 1;
            return;
        }
        if let Some((_, to)) = pair {
            self.traffic.entry(to).or_default().received.add(bytes);
        }
        self.totals.forwarded.add(bytes);
    }
}

#[derive(Default)]
struct Shared {
    links: Mutex<Links>,
    stopped: AtomicBool,
}

impl Shared {
    fn with_links<T>(&self, apply: impl FnOnce(&mut Links) -> T) -> T {
        apply(&mut self.links.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// A relay; its thread ends once this is dropped.
pub struct Relay {
    /// Where dispatchers send their datagrams.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
    }
}

impl Relay {
    /// Starts a relay whose losses and delays are drawn from a seed.
    pub fn start(seed: u64) -> Result<Relay, TestbedError> {
        let socket = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0)).map_err(TestbedError::Socket)?;
        let address = socket
            .get_ref()
            .local_addr()
            .map_err(TestbedError::Socket)?;
        let shared = Arc::new(Shared::default());
        let forwarder = Forwarder::new(socket, shared.clone(), seed);
        thread::spawn(move || async_io::block_on(forwarder.run()));
        Ok(Relay { address, shared })
    }

    /// Registers the dispatcher that sends from an address.
    pub fn register(&self, address: SocketAddr, dispatcher: usize) {
        self.shared
            .with_links(|links| links.dispatchers.insert(address, dispatcher));
    }

    /// Sets the conditions of all links that have none of their own.
    pub fn set_default(&self, conditions: LinkConditions) {
        self.shared.with_links(|links| links.default = conditions);
    }

    /// Sets the conditions of one directed link; `None` restores the default.
    pub fn set_link(&self, from: usize, to: usize, conditions: Option<LinkConditions>) {
        self.shared.with_links(|links| match conditions {
            Some(conditions) => drop(links.overrides.insert((from, to), conditions)),
            None => drop(links.overrides.remove(&(from, to))),
        });
    }

    /// Adds latencies between zones to the delay of each link.
    pub fn set_zone_latencies(&self, latencies: Latencies) {
        self.shared
            .with_links(|links| links.zone_latencies = Some(latencies));
    }

    /// Partitions two regions from each other; `None` heals the partition.
    pub fn partition_regions(&self, partition: Option<Partition>) {
        self.shared.with_links(|links| links.partition = partition);
    }

    /// What one dispatcher has sent and received so far.
    pub fn traffic(&self, dispatcher: usize) -> Traffic {
        self.shared
            .with_links(|links| links.traffic.get(&dispatcher).copied().unwrap_or_default())
    }

    /// What the relay has forwarded and lost so far.
    pub fn totals(&self) -> RelayTotals {
        self.shared.with_links(|links| links.totals)
    }
}
