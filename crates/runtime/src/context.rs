//! What the drivers and the hub all reach: the clock, names, counters, descriptors, and the way to the hub.
use crate::cluster::ClusterDriver;
use crate::peer_load::PeerLoadExchange;
use crate::traits::{Readiness, Runtime, Stream};
use async_channel::Sender;
use rosewall::types::{FleetPosition, HealthChecked, Nanos, PeerLoad, RequestId, WorkerId};
use rosewall_engine::counters::Counters;
use rosewall_engine::limits::{DescriptorPermit, ResourceLimits};
use rosewall_engine::pool::{Pool, Reusable};
use rosewall_protocol::client::{Answer, ClientRequest};
use rosewall_protocol::discovery::EndpointList;
use rosewall_protocol::names::Names;
use rosewall_protocol::worker::AttemptProgress;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// A connection to a worker.
pub struct Conn<S> {
    pub stream: S,
    pub address: SocketAddr,
    /// Its place in the budget, for as long as it is open.
    pub _slot: DescriptorPermit,
}

impl<S: Stream> Reusable for Conn<S> {
    fn is_reusable(&self) -> bool {
        self.stream.readiness() == Readiness::Idle
    }
}

/// What drivers tell the hub.
pub enum EngineEvent<R: Runtime> {
    Arrived {
        request_id: RequestId,
        at: Nanos,
        request: ClientRequest,
        reply: Sender<Answer>,
    },
    Left(RequestId),
    AttemptProgress {
        request_id: RequestId,
        attempt_index: u8,
        told: AttemptProgress,
    },
    Spare {
        worker: WorkerId,
        conn: Conn<R::Stream>,
    },
    HealthChecked(HealthChecked),
    FleetView(Option<FleetPosition>),
    WarmUpGranted {
        worker: WorkerId,
        work: Nanos,
        until: Nanos,
    },
    PeerLoad {
        from: u16,
        load: PeerLoad,
    },
    List(EndpointList),
    ListFailed,
    /// The program ends: all is to be answered by this moment.
    Stop(Nanos),
}

pub struct Context<R: Runtime> {
    pub runtime: R,
    pub names: Names,
    /// The names of a report's values, as workers send them.
    pub report: Vec<String>,
    pub counters: Rc<Counters>,
    pub limits: Rc<ResourceLimits>,
    pub pool: RefCell<Pool<Conn<R::Stream>>>,
    /// Whether a list of workers is known, and whether the program is to end.
    pub ready: Cell<bool>,
    pub stopping: Cell<bool>,
    /// Txns in the hub's hands.
    pub active_requests: Cell<usize>,
    pub serial: Cell<RequestId>,
    /// When the log last spoke of a request that was turned down.
    pub bad_told: Cell<Nanos>,
    pub events: Sender<EngineEvent<R>>,
    /// The way to the other dispatchers, where there is one.
    pub talk: Option<PeerLoadExchange<R::DatagramSocket>>,
    /// What this dispatcher is to the others, where it is to know them.
    pub cluster: Option<ClusterDriver<R::DatagramSocket>>,
}

impl<R: Runtime> Context<R> {
    pub fn tell(&self, events: EngineEvent<R>) {
        // The hub outlives all drivers; at the end of the program no one is left to be told.
        let _ = self.events.try_send(events);
    }

    /// A kept connection to a worker, if a sound one is there, and since when it is idle.
    pub fn pooled(&self, worker: WorkerId) -> Option<(Conn<R::Stream>, Nanos)> {
        let taken = self.pool.borrow_mut().take(self.runtime.now(), worker);
        self.counters.pool_stale.add_many(taken.stale);
        taken
            .connection
            .map(|idle| (idle.connection, idle.idle_since))
    }

    /// A kept connection, idle since then, broke as it was used.
    pub fn broke(&self, since: Nanos) {
        self.pool
            .borrow_mut()
            .record_broken(self.runtime.now(), since);
        self.counters.pool_broken.add();
    }

    /// Makes room for one more descriptor: idle connections to workers go first, then idle clients.
    pub fn make_room(&self) -> bool {
        if self.pool.borrow_mut().evict_oldest() {
            self.counters.pool_evicted.add();
            return true;
        }
        self.limits.evict_idle_client(self.runtime.now())
    }

    /// Makes room for one more client. Guards against dropping the connections to workers where it is the clients that
    /// are too many.
    pub fn make_client_room(&self) -> bool {
        if self.limits.has_client_capacity() {
            self.make_room()
        } else {
            self.limits.evict_idle_client(self.runtime.now())
        }
    }

    /// Counts a request that is turned down; the log is told of one a second. Guards against a log that a flood of
    /// them fills.
    pub fn turned_down(&self, status: u16, why: &str) {
        self.counters.requests_malformed.add();
        let now = self.runtime.now();
        if now >= self.bad_told.get() + 1_000_000_000 {
            self.bad_told.set(now);
            log::info!(
                "a request was turned down with {status}: {why} ({} so far)",
                self.counters.requests_malformed.get()
            );
        }
    }

    /// A number for a request; it comes again only after all others.
    pub fn next_request_id(&self) -> RequestId {
        self.serial.set(self.serial.get().wrapping_add(1));
        self.serial.get()
    }
}
