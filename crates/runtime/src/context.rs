//! What all tasks of a dispatcher share: the runtime, names, counters, resource limits, idle connections and the channel to
//! the engine's task.
use crate::cluster::ClusterDriver;
use crate::event::EngineEvent;
use crate::peer_load::PeerLoadExchange;
use crate::traits::{Readiness, Runtime, Stream};
use async_channel::Sender;
use rosewall::types::{Nanos, RequestId, WorkerId};
use rosewall_engine::config::Config;
use rosewall_engine::counters::Counters;
use rosewall_engine::limits::{DescriptorPermit, ResourceLimits};
use rosewall_engine::pool::{IdleConnection, Pool, Reusable};
use rosewall_protocol::names::Names;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// At most one refused request in this time is logged, so that a flood of them does not fill the log.
const REFUSAL_LOG_INTERVAL: Nanos = 1_000_000_000;

/// A connection to a worker.
pub struct WorkerConnection<S> {
    /// The connection.
    pub stream: S,
    /// Where it leads.
    pub address: SocketAddr,
    /// Its descriptor, counted for as long as it is open.
    pub _slot: DescriptorPermit,
}

impl<S: Stream> Reusable for WorkerConnection<S> {
    fn is_reusable(&self) -> bool {
        self.stream.readiness() == Readiness::Idle
    }
}

/// What all tasks share.
pub struct Context<R: Runtime> {
    /// Time, tasks and the network.
    pub runtime: R,
    /// The names that the settings list.
    pub names: Names,
    /// The names of a load report's values, as workers send them.
    pub report_fields: Vec<String>,
    /// Counters for the log.
    pub counters: Rc<Counters>,
    /// Descriptors and memory.
    pub limits: Rc<ResourceLimits>,
    /// Idle connections to workers.
    pub pool: RefCell<Pool<WorkerConnection<R::Stream>>>,
    /// Whether an endpoint list is known.
    pub ready: Cell<bool>,
    /// Whether the program shuts down.
    pub stopping: Cell<bool>,
    /// How many requests are active.
    pub active_requests: Cell<usize>,
    /// The number of the latest request.
    pub last_request_id: Cell<RequestId>,
    /// When a refused request was last logged.
    pub last_refusal_logged: Cell<Nanos>,
    /// The channel to the engine's task.
    pub events: Sender<EngineEvent<R>>,
    /// The exchange of load reports with other dispatchers, where addresses of theirs are configured.
    pub peer_loads: Option<PeerLoadExchange<R::DatagramSocket>>,
    /// The membership among the dispatchers, where it is configured.
    pub cluster: Option<ClusterDriver<R::DatagramSocket>>,
}

/// What [`Context::new`] is given beside the configuration.
pub struct ContextParts<R: Runtime> {
    /// See [`Context::runtime`].
    pub runtime: R,
    /// See [`Context::counters`].
    pub counters: Rc<Counters>,
    /// See [`Context::events`].
    pub events: Sender<EngineEvent<R>>,
    /// See [`Context::peer_loads`].
    pub peer_loads: Option<PeerLoadExchange<R::DatagramSocket>>,
    /// See [`Context::cluster`].
    pub cluster: Option<ClusterDriver<R::DatagramSocket>>,
}

impl<R: Runtime> Context<R> {
    /// The context of a dispatcher that starts.
    pub fn new(parts: ContextParts<R>, config: &Config) -> Self {
        let limits = ResourceLimits::new(config.max_descriptors, config.memory_mb);
        Context {
            runtime: parts.runtime,
            names: config.names(),
            report_fields: config.runtime.report_fields.clone(),
            counters: parts.counters,
            limits: Rc::new(limits),
            pool: RefCell::new(Pool::new(config.runtime.idle_timeout)),
            ready: Cell::new(false),
            stopping: Cell::new(false),
            active_requests: Cell::new(0),
            last_request_id: Cell::new(0),
            last_refusal_logged: Cell::new(0),
            events: parts.events,
            peer_loads: parts.peer_loads,
            cluster: parts.cluster,
        }
    }

    /// Reports to the engine's task.
    pub fn report(&self, event: EngineEvent<R>) {
        // The engine's task outlives all others but for the end of the program, where no one needs the report.
        let _ = self.events.try_send(event);
    }

    /// A reusable connection to a worker, if there is one.
    pub fn take_idle_connection(
        &self,
        worker: WorkerId,
    ) -> Option<IdleConnection<WorkerConnection<R::Stream>>> {
        let taken = self.pool.borrow_mut().take(self.runtime.now(), worker);
        self.counters.pool_stale.add_many(taken.stale);
        taken.connection
    }

    /// Records that a connection, idle since a moment, broke when it was used again.
    pub fn record_broken_connection(&self, idle_since: Nanos) {
        self.pool
            .borrow_mut()
            .record_broken(self.runtime.now(), idle_since);
        self.counters.pool_broken.add();
    }

    /// Frees a descriptor: that of an idle connection to a worker, else of an idle client. False where there is none.
    pub fn free_descriptor(&self) -> bool {
        if self.pool.borrow_mut().evict_oldest() {
            self.counters.pool_evicted.add();
            return true;
        }
        self.limits.evict_idle_client(self.runtime.now())
    }

    /// Makes it possible to accept one more client. Connections to workers are kept where the number of clients is at its
    /// own limit, since closing them would not help.
    pub fn free_client_slot(&self) -> bool {
        if self.limits.has_client_capacity() {
            self.free_descriptor()
        } else {
            self.limits.evict_idle_client(self.runtime.now())
        }
    }

    /// Counts a request that is refused, and logs it unless another one was logged just before.
    pub fn record_refusal(&self, status: u16, reason: &str) {
        self.counters.requests_malformed.add();
        let now = self.runtime.now();
        if now >= self.last_refusal_logged.get() + REFUSAL_LOG_INTERVAL {
            self.last_refusal_logged.set(now);
            log::info!(
                "a request was refused with status {status}: {reason} ({} so far)",
                self.counters.requests_malformed.get()
            );
        }
    }

    /// A number for a new request; numbers repeat only after all others were used.
    pub fn next_request_id(&self) -> RequestId {
        let id = self.last_request_id.get().wrapping_add(1);
        self.last_request_id.set(id);
        id
    }
}
