//! The relay of datagrams between dispatchers, which can lose, delay, duplicate and reorder them on each directed link.
//! A datagram has its destination address as a prefix; the relay forwards it with the source address in that place.
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

/// Network conditions of a directed link.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkConditions {
    /// Fraction of datagrams that is lost, 0 to 1.
    pub loss: f64,
    /// Fraction of datagrams that is duplicated, 0 to 1.
    #[serde(rename = "twice")]
    pub duplicate: f64,
    /// Minimum delay in milliseconds.
    pub delay_ms: u64,
    /// Maximum random addition to the delay in milliseconds, which also reorders datagrams.
    pub jitter_ms: u64,
    /// Whether all datagrams are lost.
    pub cut: bool,
}

/// Number of datagrams and their bytes, without the address prefix.
#[derive(Clone, Copy, Debug, Default)]
pub struct DatagramCount {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Payload bytes.
    pub bytes: u64,
}

impl DatagramCount {
    fn add(&mut self, bytes: u64) {
        self.datagrams += 1;
        self.bytes += bytes;
    }

    /// Returns the difference to an earlier count.
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

/// Traffic of one dispatcher.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Datagrams sent, including those that the relay lost.
    pub sent: DatagramCount,
    /// Datagrams forwarded to the dispatcher.
    pub received: DatagramCount,
}

impl AddAssign for Traffic {
    fn add_assign(&mut self, other: Traffic) {
        self.sent += other.sent;
        self.received += other.received;
    }
}

/// Totals over all datagrams of the relay.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayTotals {
    /// Datagrams that were forwarded.
    pub forwarded: DatagramCount,
    /// Datagrams that were lost.
    pub lost: u64,
}

/// Conditions of all links, and traffic counts.
#[derive(Default)]
struct Links {
    default: LinkConditions,
    /// Conditions of single links, by the numbers of sender and receiver.
    overrides: HashMap<(usize, usize), LinkConditions>,
    dispatchers: HashMap<SocketAddr, usize>,
    /// Latencies between zones, or `None` if they are not simulated.
    zone_latencies: Option<Latencies>,
    /// Active partition between two regions.
    partition: Option<Partition>,
    traffic: HashMap<usize, Traffic>,
    totals: RelayTotals,
}

/// Conditions under which a datagram is forwarded.
struct Forwarding {
    conditions: LinkConditions,
    zone_latency: Duration,
}

impl Links {
    /// Counts a datagram and decides at random whether it is lost, for which it returns `None`.
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

/// A running relay, whose thread ends on drop.
pub struct Relay {
    /// Address that dispatchers send their datagrams to.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
    }
}

impl Relay {
    /// Starts a relay whose random losses and delays follow from a seed.
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

    /// Registers the number of the dispatcher that sends from an address.
    pub fn register(&self, address: SocketAddr, dispatcher: usize) {
        self.shared
            .with_links(|links| links.dispatchers.insert(address, dispatcher));
    }

    /// Sets the conditions of all links without conditions of their own.
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

    /// Returns the traffic of one dispatcher so far.
    pub fn traffic(&self, dispatcher: usize) -> Traffic {
        self.shared
            .with_links(|links| links.traffic.get(&dispatcher).copied().unwrap_or_default())
    }

    /// Returns the totals over all datagrams so far.
    pub fn totals(&self) -> RelayTotals {
        self.shared.with_links(|links| links.totals)
    }
}
