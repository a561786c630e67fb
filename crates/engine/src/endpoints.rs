//! The table of workers: which id a host has, where to connect and what the endpoint lists said of it.
#[cfg(test)]
mod tests;

use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{Endpoint, EndpointState, Nanos, WorkerId};
use rosewall_protocol::discovery::{DiscoveredEndpoint, EndpointList};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// How long lists with a lower version than known are taken for old ones: longer than a replica of discovery takes to catch
/// up, so that a source which has lost its count and begins anew is believed in the end.
const OLD_LIST_WINDOW: Nanos = 60_000_000_000;

/// The worker id of a host. It follows from the host alone, so that it is the same at every dispatcher: FNV-1a with 64 bits,
/// folded to the 48 that an id has.
pub fn worker_id(host: &str) -> WorkerId {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let hash = host.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    let [a, b, c, d, e, f, ..] = (hash ^ hash >> 48 << 16).to_be_bytes();
    WorkerId {
        addr: [a, b, c, d],
        port: u16::from_be_bytes([e, f]),
    }
}

/// What is known of one worker.
struct KnownWorker {
    host: String,
    address: Option<SocketAddr>,
    /// When the process started, as the list says; it tells a process from its predecessor.
    born: Nanos,
    /// When the process started, by this dispatcher's clock.
    started: Nanos,
    state: EndpointState,
}

/// What a worker's entry says, or what it amounts to beside what is known.
struct EntryState {
    address: Option<SocketAddr>,
    born: Nanos,
    state: EndpointState,
}

impl KnownWorker {
    /// What an entry amounts to. An entry of an old list cannot improve the state of a process that a newer list named.
    fn merge(&self, entry: EntryState, list_is_old: bool) -> EntryState {
        if list_is_old && entry.born <= self.born {
            EntryState {
                address: self.address.or(entry.address),
                born: self.born,
                state: stricter(entry.state, self.state),
            }
        } else {
            EntryState {
                address: entry.address.or(self.address),
                ..entry
            }
        }
    }

    /// Takes over an entry; true if idle connections may lead to a process that is no more.
    fn update(&mut self, entry: EntryState, started: Nanos) -> bool {
        let restarted = self.born != entry.born;
        let connections_are_stale =
            restarted || self.address != entry.address || entry.state == EndpointState::Removed;
        if restarted {
            self.started = started;
        }
        self.address = entry.address;
        self.born = entry.born;
        self.state = entry.state;
        connections_are_stale
    }
}

/// The stricter of two states: removed before draining before ready.
fn stricter(one: EndpointState, other: EndpointState) -> EndpointState {
    use EndpointState::{Draining, Ready, Removed};
    match (one, other) {
        (Removed, _) | (_, Removed) => Removed,
        (Draining, _) | (_, Draining) => Draining,
        _ => Ready,
    }
}

/// What follows from an endpoint list.
#[derive(Default)]
pub struct ListUpdate {
    /// The entries for the decisions.
    pub endpoints: Vec<Endpoint>,
    /// The workers whose idle connections must not be used again.
    pub stale_connections: Vec<WorkerId>,
    /// How many hosts were passed over because another host has their id.
    pub id_collisions: usize,
}

/// Where to connect to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointAddress<'a> {
    /// The name that discovery gives the worker.
    pub host: &'a str,
    /// The address of its process.
    pub address: SocketAddr,
}

/// All workers that endpoint lists have named.
#[derive(Default)]
pub struct EndpointTable {
    workers: BTreeMap<WorkerId, KnownWorker>,
    /// The highest version of a list.
    version: u64,
    /// Since when only lists with lower versions have come.
    old_lists_since: Option<Nanos>,
    /// Where wall clocks may differ: a worker started longer ago than this is not warming up by any clock.
    slow_start_over_after: Option<Nanos>,
}

impl EndpointTable {
    /// A table for a fleet whose wall clocks differ by up to `max_clock_skew`, where a worker warms up for
    /// `slow_start_duration`.
    pub fn with_clock_skew(max_clock_skew: Nanos, slow_start_duration: Nanos) -> Self {
        EndpointTable {
            slow_start_over_after: Some(max_clock_skew + slow_start_duration),
            ..EndpointTable::default()
        }
    }

    /// Where to connect to a worker, if a list has named its address.
    pub fn address_of(&self, worker: WorkerId) -> Option<EndpointAddress<'_>> {
        let known = self.workers.get(&worker)?;
        Some(EndpointAddress {
            host: &known.host,
            address: known.address?,
        })
    }

    /// Takes in a list.
    pub fn apply(&mut self, now: Nanos, list: EndpointList) -> ListUpdate {
        let list_is_old = self.is_old(now, list.version);
        let mut update = ListUpdate::default();
        let mut unlisted = BTreeSet::new();
        if list.is_snapshot {
            unlisted.extend(self.workers.keys().copied());
        }
        for entry in list.endpoints {
            let worker = worker_id(&entry.host);
            let applied = self.apply_entry(now, worker, entry, list_is_old, &mut update);
            if applied {
                unlisted.remove(&worker);
            }
        }
        self.remove(&unlisted);
        update.stale_connections.extend(unlisted);
        update
    }

    /// Takes in one entry; false if another host has its id.
    fn apply_entry(
        &mut self,
        now: Nanos,
        worker: WorkerId,
        entry: DiscoveredEndpoint,
        list_is_old: bool,
        update: &mut ListUpdate,
    ) -> bool {
        let started = self.started(now, entry.born);
        let known = self.workers.entry(worker).or_insert_with(|| KnownWorker {
            host: entry.host.clone(),
            address: entry.address,
            born: entry.born,
            started,
            state: entry.state,
        });
        if known.host != entry.host {
            update.id_collisions += 1;
            return false;
        }
        let listed = EntryState {
            address: entry.address,
            born: entry.born,
            state: entry.state,
        };
        let merged = known.merge(listed, list_is_old);
        if known.update(merged, started) {
            update.stale_connections.push(worker);
        }
        log::debug!(
            "at={now} host={} listed {:?} born={}",
            known.host,
            known.state,
            known.born
        );
        update.endpoints.push(Endpoint {
            worker,
            state: known.state,
            zone: entry.zone,
            worker_type: entry.worker_type,
            size: entry.size,
            started: known.started,
            group: entry.group,
        });
        true
    }

    fn remove(&mut self, workers: &BTreeSet<WorkerId>) {
        for worker in workers {
            if let Some(known) = self.workers.get_mut(worker) {
                known.state = EndpointState::Removed;
            }
        }
    }

    /// When a process that is listed now has started. Where wall clocks differ, a clock that is ahead would make a warming
    /// worker look warm: all that is certain then is that it started before it was listed, so it counts as started now.
    fn started(&self, now: Nanos, born: Nanos) -> Nanos {
        match self.slow_start_over_after {
            Some(over_after) if born > 0 && born + over_after > now => now,
            _ => born,
        }
    }

    /// Whether a list is older than what is known: it then comes from a replica of discovery that lags behind the one asked
    /// before, and may show workers as ready that are draining or removed.
    fn is_old(&mut self, now: Nanos, version: u64) -> bool {
        let window_is_over = self
            .old_lists_since
            .is_some_and(|since| now >= since + OLD_LIST_WINDOW);
        if version >= self.version || window_is_over || is_active(Mutation::AcceptStaleList) {
            self.version = version;
            self.old_lists_since = None;
            return false;
        }
        self.old_lists_since.get_or_insert(now);
        true
    }
}
