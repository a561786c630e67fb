//! Limits on descriptors and on the bytes of requests, and which idle client gives way to a new one.
mod idle_clients;
#[cfg(test)]
mod tests;

pub use idle_clients::{IdleClient, IdleRegistration};

use async_channel::Receiver;
use idle_clients::IdleClients;
use rosewall::types::Nanos;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Descriptors for everything but connections of clients and workers: standard streams, the poller's three, signals, the
/// listener, discovery's connection and files that are open for a moment; twice what these need.
const RESERVED_DESCRIPTORS: usize = 32;

/// How many of the reserved descriptors clients beyond the limit may use, each only for a rejection.
const MAX_OVERFLOW_CLIENTS: usize = 8;

/// What a client's connection needs before its request is large: a read buffer, a head and a task.
const BYTES_PER_CLIENT: usize = 32 * 1024;

/// How many copies of a request's bytes may exist: as read, as a body, as an attempt, and an answer of the same size.
const COPIES_PER_REQUEST: usize = 4;

/// The descriptors and request bytes of one process.
#[derive(Default)]
pub struct ResourceLimits {
    max_descriptors: Cell<usize>,
    max_clients: Cell<usize>,
    max_request_bytes: Cell<usize>,
    descriptors: Cell<usize>,
    overflow_clients: Cell<usize>,
    clients: Cell<usize>,
    request_bytes: Cell<usize>,
    idle: RefCell<IdleClients>,
}

enum PermitKind {
    Client { reserved_bytes: Cell<usize> },
    OverflowClient,
    Worker,
}

/// Permission to use one descriptor, returned when dropped.
pub struct DescriptorPermit {
    limits: Rc<ResourceLimits>,
    kind: PermitKind,
}

impl DescriptorPermit {
    /// Reserves memory for all bytes that the client's requests take now, in place of what was reserved before. False, with
    /// nothing changed, where that exceeds the limit. Permits of other kinds need no reservation.
    pub fn reserve_bytes(&self, bytes: usize) -> bool {
        let PermitKind::Client { reserved_bytes } = &self.kind else {
            return true;
        };
        let needed = bytes * COPIES_PER_REQUEST;
        let total = self.limits.request_bytes.get() - reserved_bytes.get() + needed;
        let fits = needed <= reserved_bytes.get() || total <= self.limits.max_request_bytes.get();
        if fits {
            self.limits.request_bytes.set(total);
            reserved_bytes.set(needed);
        }
        fits
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        let limits = &self.limits;
        match &self.kind {
            PermitKind::OverflowClient => decrease(&limits.overflow_clients, 1),
            PermitKind::Worker => decrease(&limits.descriptors, 1),
            PermitKind::Client { reserved_bytes } => {
                decrease(&limits.descriptors, 1);
                decrease(&limits.request_bytes, reserved_bytes.get());
                decrease(&limits.clients, 1);
            }
        }
    }
}

impl ResourceLimits {
    /// Limits for a process that may use `max_descriptors` and `memory_mb` MiB of memory.
    pub fn new(max_descriptors: usize, memory_mb: usize) -> Self {
        let limits = ResourceLimits::default();
        limits.set_limits(max_descriptors, memory_mb);
        limits
    }

    /// Sets new limits. What exceeds a lower one is not closed, but ends as it becomes idle.
    pub fn set_limits(&self, max_descriptors: usize, memory_mb: usize) {
        let descriptors = max_descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(2);
        let memory = memory_mb * 1024 * 1024;
        self.max_descriptors.set(descriptors);
        // Each client has one request at a time and a request one attempt; some clients only wait. A quarter of the memory
        // is for client connections, half for requests, the rest for the program.
        let clients_by_memory = memory / 4 / BYTES_PER_CLIENT;
        self.max_clients
            .set((descriptors * 3 / 5).min(clients_by_memory).max(1));
        self.max_request_bytes.set(memory / 2);
    }

    /// Whether the limit on clients allows one more, whatever the number of descriptors in use.
    pub fn has_client_capacity(&self) -> bool {
        self.clients.get() < self.max_clients.get()
    }

    /// A permit for a client's connection; none where a limit is reached.
    pub fn acquire_client(self: &Rc<Self>) -> Option<DescriptorPermit> {
        if !self.has_client_capacity() {
            return None;
        }
        let permit = self.acquire(PermitKind::Client {
            reserved_bytes: Cell::new(0),
        })?;
        increase(&self.clients, 1);
        Some(permit)
    }

    /// One of the few permits for clients beyond the limit. They are rejected at once, where they would otherwise wait
    /// unaccepted past their deadline.
    pub fn acquire_overflow_client(self: &Rc<Self>) -> Option<DescriptorPermit> {
        if self.overflow_clients.get() >= MAX_OVERFLOW_CLIENTS {
            return None;
        }
        increase(&self.overflow_clients, 1);
        Some(self.permit(PermitKind::OverflowClient))
    }

    /// A permit for a connection to a worker; none where all descriptors are in use.
    pub fn acquire_worker(self: &Rc<Self>) -> Option<DescriptorPermit> {
        self.acquire(PermitKind::Worker)
    }

    fn acquire(self: &Rc<Self>, kind: PermitKind) -> Option<DescriptorPermit> {
        if self.descriptors.get() >= self.max_descriptors.get() {
            return None;
        }
        increase(&self.descriptors, 1);
        Some(self.permit(kind))
    }

    fn permit(self: &Rc<Self>, kind: PermitKind) -> DescriptorPermit {
        DescriptorPermit {
            limits: self.clone(),
            kind,
        }
    }

    /// How many permits exist now.
    pub fn descriptors_used(&self) -> usize {
        self.descriptors.get() + self.overflow_clients.get()
    }

    /// How many clients have a permit now, without those beyond the limit.
    pub fn client_count(&self) -> usize {
        self.clients.get()
    }

    /// Registers a client that waits for bytes, until the registration is dropped. The channel tells it to close.
    pub fn register_idle(
        self: &Rc<Self>,
        now: Nanos,
        client: IdleClient,
    ) -> (IdleRegistration, Receiver<()>) {
        let (serial, close) = self.idle.borrow_mut().register(now, client);
        let registration = IdleRegistration {
            limits: self.clone(),
            client,
            serial,
        };
        (registration, close)
    }

    fn unregister_idle(&self, client: IdleClient, serial: u64) {
        self.idle.borrow_mut().unregister(client, serial);
    }

    /// Whether an idle client exists whose descriptor becomes free for others when it closes.
    pub fn has_evictable_client(&self) -> bool {
        self.idle.borrow().has_evictable()
    }

    /// Tells the client that has been idle for longest to close; false where none may be closed.
    pub fn evict_idle_client(&self, now: Nanos) -> bool {
        self.idle.borrow_mut().evict(now)
    }
}

fn increase(cell: &Cell<usize>, amount: usize) {
    cell.set(cell.get() + amount);
}

fn decrease(cell: &Cell<usize>, amount: usize) {
    cell.set(cell.get() - amount);
}
