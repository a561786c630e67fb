//! State shared by all tasks of a dispatcher: the runtime, names, counters, resource limits, idle
//! connections and the channel to the engine's task.
use crate::client::DISCARD_READ_BYTES;
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

/// Minimum time between two log lines for refused requests, so that a flood of them does not fill
/// the log.
const REFUSAL_LOG_INTERVAL: Nanos = 1_000_000_000;

/// A connection to a worker.
pub struct WorkerConnection<S> {
    /// Byte stream to and from the worker.
    pub stream: S,
    /// Address that the connection was opened to.
    pub address: SocketAddr,
    /// Permit for the connection's descriptor, released when the connection is dropped.
    pub _slot: DescriptorPermit,
}

impl<S: Stream> Reusable for WorkerConnection<S> {
    fn is_reusable(&self) -> bool {
        self.stream.readiness() == Readiness::Idle
    }
}

/// State shared by all tasks.
pub struct Context<R: Runtime> {
    /// Clock, task spawning and network access.
    pub runtime: R,
    /// Names listed in the settings.
    pub names: Names,
    /// Names of the values in a load report, as workers send them. Empty if load reports are not
    /// requested.
    pub report_fields: Vec<String>,
    /// Counters that are written to the log.
    pub counters: Rc<Counters>,
    /// Limits on descriptors and memory.
    pub limits: Rc<ResourceLimits>,
    /// Idle connections to workers.
    pub pool: RefCell<Pool<WorkerConnection<R::Stream>>>,
    /// Bytes that clients have sent beyond their buffers are read to here, and not used.
    pub discard_buffer: RefCell<Box<[u8]>>,
    /// Whether clients may be sent to this dispatcher.
    pub ready: Cell<bool>,
    /// Whether the dispatcher is shutting down.
    pub stopping: Cell<bool>,
    /// Number of active requests.
    pub active_requests: Cell<usize>,
    /// Number that was assigned to the latest request.
    pub last_request_id: Cell<RequestId>,
    /// Time of the last log line for a refused request.
    pub last_refusal_logged: Cell<Nanos>,
    /// Channel to the engine's task.
    pub events: Sender<EngineEvent<R>>,
    /// Exchange of load reports with other dispatchers; present if their addresses are configured.
    pub peer_loads: Option<PeerLoadExchange<R::DatagramSocket>>,
    /// Membership in the cluster of dispatchers; present if a cluster is configured.
    pub cluster: Option<ClusterDriver<R::DatagramSocket>>,
}

/// Arguments of [`Context::new`] besides the configuration.
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
    /// Creates the context of a dispatcher that starts.
    pub fn new(parts: ContextParts<R>, config: &Config) -> Self {
        let limits = ResourceLimits::new(config.max_descriptors, config.memory_mb);
        Context {
            runtime: parts.runtime,
            names: config.names(),
            report_fields: config.runtime.report_fields.clone(),
            counters: parts.counters,
            limits: Rc::new(limits),
            pool: RefCell::new(Pool::new(config.runtime.idle_timeout)),
            discard_buffer: RefCell::new(vec![0; DISCARD_READ_BYTES].into()),
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

    /// Sends an event to the engine's task.
    pub fn report(&self, event: EngineEvent<R>) {
        // The engine's task outlives all others except at process exit, when events are no longer
        // needed.
        let _ = self.events.try_send(event);
    }

    /// Takes a reusable connection to a worker from the pool, if there is one.
    pub fn take_idle_connection(
        &self,
        worker: WorkerId,
    ) -> Option<IdleConnection<WorkerConnection<R::Stream>>> {
        let taken = self.pool.borrow_mut().take(self.runtime.now(), worker);
        self.counters.pool_stale.add_many(taken.stale);
        taken.connection
    }

    /// Records that a connection, idle since `idle_since`, failed when it was reused.
    pub fn record_broken_connection(&self, idle_since: Nanos) {
        self.pool
            .borrow_mut()
            .record_broken(self.runtime.now(), idle_since);
        self.counters.pool_broken.add();
    }

    /// Frees a descriptor by closing an idle connection to a worker or, if there is none, an idle
    /// client. Returns false if there is neither.
    pub fn free_descriptor(&self) -> bool {
        if self.pool.borrow_mut().evict_oldest() {
            self.counters.pool_evicted.add();
            return true;
        }
        self.limits.evict_idle_client(self.runtime.now())
    }

    /// Frees capacity for one more client. Returns false if nothing could be closed. If the number
    /// of clients is at its own limit, connections to workers stay open, since closing them would
    /// free no client slot.
    pub fn free_client_slot(&self) -> bool {
        if self.limits.has_client_capacity() {
            self.free_descriptor()
        } else {
            self.limits.evict_idle_client(self.runtime.now())
        }
    }

    /// Counts a refused request, and logs it unless another one was logged within the last second.
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

    /// Returns a number for a new request. Numbers repeat only after all others have been used.
    pub fn next_request_id(&self) -> RequestId {
        let id = self.last_request_id.get().wrapping_add(1);
        self.last_request_id.set(id);
        id
    }
}
