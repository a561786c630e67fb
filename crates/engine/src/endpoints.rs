//! The table of known workers: their ids, addresses and states according to the endpoint lists.
#[cfg(test)]
mod tests;

use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{Endpoint, EndpointState, Nanos, WorkerId};
use rosewall_protocol::discovery::{DiscoveredEndpoint, EndpointList};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Time during which lists with a version lower than the known one are treated as old. Longer than
/// a lagging replica of discovery takes to catch up. After it the lower versions are accepted, as
/// the source may have restarted its count.
const OLD_LIST_WINDOW: Nanos = 60_000_000_000;

/// Returns the worker id of a host: its 64-bit FNV-1a hash folded to 48 bits. Depends only on the
/// host name, so that all dispatchers use the same id.
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

/// State of one worker according to the endpoint lists.
struct KnownWorker {
    host: String,
    address: Option<SocketAddr>,
    /// Start time of the process as listed. Distinguishes a process from its predecessor.
    started_at: Nanos,
    /// Start time of the process for slow start, by this dispatcher's clock.
    slow_start_since: Nanos,
    state: EndpointState,
}

/// Address and state in a list entry, or the result of merging them with the known ones.
struct EntryState {
    address: Option<SocketAddr>,
    started_at: Nanos,
    state: EndpointState,
}

impl KnownWorker {
    /// Merges an entry with the known state. An entry of an old list cannot replace the state of a
    /// process from a newer list by a less strict one.
    fn merge(&self, entry: EntryState, list_is_old: bool) -> EntryState {
        if list_is_old && entry.started_at <= self.started_at {
            EntryState {
                address: self.address.or(entry.address),
                started_at: self.started_at,
                state: stricter(entry.state, self.state),
            }
        } else {
            EntryState {
                address: entry.address.or(self.address),
                ..entry
            }
        }
    }

    /// Applies a merged entry. Returns true if idle connections may lead to a process that no
    /// longer runs.
    fn update(&mut self, entry: EntryState, slow_start_since: Nanos) -> bool {
        let restarted = self.started_at != entry.started_at;
        let connections_are_stale =
            restarted || self.address != entry.address || entry.state == EndpointState::Removed;
        if restarted {
            self.slow_start_since = slow_start_since;
        }
        self.address = entry.address;
        self.started_at = entry.started_at;
        self.state = entry.state;
        connections_are_stale
    }
}

/// Returns the stricter of two states: removed is stricter than draining, draining stricter than
/// ready.
fn stricter(one: EndpointState, other: EndpointState) -> EndpointState {
    use EndpointState::{Draining, Ready, Removed};
    match (one, other) {
        (Removed, _) | (_, Removed) => Removed,
        (Draining, _) | (_, Draining) => Draining,
        _ => Ready,
    }
}

/// Result of applying an endpoint list.
#[derive(Default)]
pub struct ListUpdate {
    /// Merged entries, to be passed to the policy.
    pub endpoints: Vec<Endpoint>,
    /// Workers whose idle connections must not be reused.
    pub stale_connections: Vec<WorkerId>,
    /// Number of hosts ignored because another host has the same worker id.
    pub id_collisions: usize,
}

/// Host name and address of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointAddress<'a> {
    /// Host name of the worker, as given by discovery.
    pub host: &'a str,
    /// Address of its current process.
    pub address: SocketAddr,
}

/// All workers that an endpoint list has named so far, including removed ones.
#[derive(Default)]
pub struct EndpointTable {
    workers: BTreeMap<WorkerId, KnownWorker>,
    /// Version of the latest list that was not old.
    version: u64,
    /// Time of the first old list after that one; `None` if there was none.
    old_lists_since: Option<Nanos>,
    /// Time since its listed start after which a worker is past slow start by every clock; `None`
    /// if wall clocks agree.
    slow_start_over_after: Option<Nanos>,
}

impl EndpointTable {
    /// Creates a table for a fleet whose wall clocks differ by up to `max_clock_skew` and whose
    /// workers warm up for `slow_start_duration`.
    pub fn with_clock_skew(max_clock_skew: Nanos, slow_start_duration: Nanos) -> Self {
        EndpointTable {
            slow_start_over_after: Some(max_clock_skew + slow_start_duration),
            ..EndpointTable::default()
        }
    }

    /// Returns where to connect to a worker; `None` if no list has given its address.
    pub fn address_of(&self, worker: WorkerId) -> Option<EndpointAddress<'_>> {
        let known = self.workers.get(&worker)?;
        Some(EndpointAddress {
            host: &known.host,
            address: known.address?,
        })
    }

    /// Applies an endpoint list.
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

    /// Applies one entry. Returns false if another host has the same worker id.
    fn apply_entry(
        &mut self,
        now: Nanos,
        worker: WorkerId,
        entry: DiscoveredEndpoint,
        list_is_old: bool,
        update: &mut ListUpdate,
    ) -> bool {
        let slow_start_since = self.slow_start_since(now, entry.started_at);
        let known = self.workers.entry(worker).or_insert_with(|| KnownWorker {
            host: entry.host.clone(),
            address: entry.address,
            started_at: entry.started_at,
            slow_start_since,
            state: entry.state,
        });
        if known.host != entry.host {
            update.id_collisions += 1;
            return false;
        }
        let listed = EntryState {
            address: entry.address,
            started_at: entry.started_at,
            state: entry.state,
        };
        let merged = known.merge(listed, list_is_old);
        if known.update(merged, slow_start_since) {
            update.stale_connections.push(worker);
        }
        log::debug!(
            "at={now} host={} listed {:?} born={}",
            known.host,
            known.state,
            known.started_at
        );
        update.endpoints.push(Endpoint {
            worker,
            state: known.state,
            zone: entry.zone,
            worker_type: entry.worker_type,
            size: entry.size,
            started: known.slow_start_since,
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

    /// Returns the start time for slow start of a process that is listed now. If wall clocks
    /// differ, a dispatcher whose clock is ahead would end slow start too early. A process that may
    /// still be warming up therefore counts as started now: it is only known to have started before
    /// it was listed.
    fn slow_start_since(&self, now: Nanos, started_at: Nanos) -> Nanos {
        match self.slow_start_over_after {
            Some(over_after) if started_at > 0 && started_at + over_after > now => now,
            _ => started_at,
        }
    }

    /// Returns whether a list is older than a list applied before. It then comes from a lagging
    /// replica of discovery and may show draining or removed workers as ready.
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
