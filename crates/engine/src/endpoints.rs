//! The table of workers: host, id, where to dial, when born.
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{Endpoint, EndpointState, Nanos, WorkerId};
use rosewall_protocol::discovery::{DiscoveredEndpoint, EndpointList};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

struct Site {
    host: String,
    address: Option<SocketAddr>,
    born: Nanos,
    /// When it started, by this process's clock.
    started: Nanos,
    state: EndpointState,
}

/// How long a list whose number went back is doubted: longer than a copy that lags takes to catch up, so that a source
/// that has lost its count and begins anew is believed in the end.
const DOUBTED_FOR: Nanos = 60_000_000_000;

#[derive(Default)]
pub struct EndpointTable {
    by_id: BTreeMap<WorkerId, Site>,
    /// The highest number of a list, and since when only lower ones have come.
    version: u64,
    back_since: Option<Nanos>,
    /// Where clocks are not taken for one: a worker born longer ago than this is warm, however far they lie apart.
    own_clock: Option<Nanos>,
}

/// The stricter of two: gone before draining before ready.
fn stricter(one: EndpointState, other: EndpointState) -> EndpointState {
    use EndpointState::{Draining, Ready, Removed};
    match (one, other) {
        (Removed, _) | (_, Removed) => Removed,
        (Draining, _) | (_, Draining) => Draining,
        _ => Ready,
    }
}

/// The id follows from the host alone, so that it is the same at every dispatcher: FNV-1a (64 bits), of which
/// the id has room for 48.
pub fn id(host: &str) -> WorkerId {
    let hash = host.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let [a, b, c, d, e, f, ..] = (hash ^ hash >> 48 << 16).to_be_bytes();
    WorkerId {
        addr: [a, b, c, d],
        port: u16::from_be_bytes([e, f]),
    }
}

impl EndpointTable {
    /// For a fleet whose clocks lie up to `apart` from one another, where a worker is warm `cold` after its birth.
    pub fn by_own_clock(apart: Nanos, cold: Nanos) -> Self {
        EndpointTable {
            own_clock: Some(apart + cold),
            ..EndpointTable::default()
        }
    }

    /// When a process started that is heard of now. By its own clock a dispatcher can only know that it was before it was
    /// told: a younger one is taken to have started just then. Guards against a clock that is ahead, by which a cold
    /// worker would look warm.
    fn started(&self, now: Nanos, born: Nanos) -> Nanos {
        match self.own_clock {
            Some(warm) if born > 0 && born + warm > now => now,
            _ => born,
        }
    }

    /// Its host, and where to dial it.
    pub fn reach(&self, id: WorkerId) -> Option<(&str, SocketAddr)> {
        self.by_id
            .get(&id)
            .and_then(|site| Some((site.host.as_str(), site.address?)))
    }

    /// Whether a list is older than what is known. Guards against a copy of discovery that lags behind the one asked
    /// before, and shows workers as ready that are known to drain or to be gone.
    fn is_old(&mut self, now: Nanos, version: u64) -> bool {
        if is_active(Mutation::AcceptStaleList)
            || version >= self.version
            || self
                .back_since
                .is_some_and(|since| now >= since + DOUBTED_FOR)
        {
            (self.version, self.back_since) = (version, None);
            return false;
        }
        self.back_since.get_or_insert(now);
        true
    }

    /// Takes in a list. Gives the entries for the decisions, the workers whose connections are not to be used
    /// again, and how many hosts were passed over because another has their id.
    pub fn take(
        &mut self,
        now: Nanos,
        list: EndpointList,
    ) -> (Vec<Endpoint>, Vec<WorkerId>, usize) {
        let old = self.is_old(now, list.version);
        let (mut endpoints, mut void, mut clashing) = (Vec::new(), Vec::new(), 0);
        let mut left: BTreeSet<WorkerId> = match list.is_snapshot {
            true => self.by_id.keys().copied().collect(),
            false => BTreeSet::new(),
        };
        for DiscoveredEndpoint {
            host,
            address,
            state,
            zone,
            worker_type,
            group,
            size,
            born,
        } in list.endpoints
        {
            let worker = id(&host);
            let started = self.started(now, born);
            let new = || Site {
                host: host.clone(),
                address,
                born,
                started,
                state,
            };
            let site = self.by_id.entry(worker).or_insert_with(new);
            if site.host != host {
                clashing += 1;
                continue;
            }
            left.remove(&worker);
            // An older list tells nothing new of the process that a newer one spoke of, but that it is worse.
            let (state, born, address) = match old && born <= site.born {
                true => (
                    stricter(state, site.state),
                    site.born,
                    site.address.or(address),
                ),
                false => (state, born, address.or(site.address)),
            };
            if site.born != born || site.address != address || state == EndpointState::Removed {
                void.push(worker);
            }
            if site.born != born {
                site.started = started;
            }
            (site.address, site.born, site.state) = (address, born, state);
            let started = site.started;
            log::debug!("at={now} host={host} listed {state:?} born={born}");
            endpoints.push(Endpoint {
                worker,
                state,
                zone,
                worker_type,
                size,
                started,
                group,
            });
        }
        // Whoever a whole list leaves out is gone.
        for worker in &left {
            if let Some(site) = self.by_id.get_mut(worker) {
                site.state = EndpointState::Removed;
            }
        }
        void.extend(left);
        (endpoints, void, clashing)
    }
}
