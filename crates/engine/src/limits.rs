//! Limits on descriptors, clients and request bytes, and the eviction of idle clients.
mod idle_clients;
#[cfg(test)]
mod tests;

pub use idle_clients::{IdleClient, IdleRegistration};

use async_channel::Receiver;
use idle_clients::IdleClients;
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::Nanos;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Descriptors reserved for uses other than connections of clients and workers: standard streams,
/// three for the poller, signals, the listener, the connection to discovery and briefly opened
/// files. Twice what these need.
const RESERVED_DESCRIPTORS: usize = 32;

/// Maximum number of clients beyond the limit. Each uses a reserved descriptor, only until it is
/// rejected.
const MAX_OVERFLOW_CLIENTS: usize = 8;

/// Memory of a client connection with a small request: read buffer, request head and task.
const BYTES_PER_CLIENT: usize = 32 * 1024;

/// Maximum number of copies of a request's bytes: read buffer, body, attempt, and an answer of the
/// same size.
const COPIES_PER_REQUEST: usize = 4;

/// Number of copies of an answer's bytes: the result, and the answer as it is written.
const COPIES_PER_ANSWER: usize = 2;

/// Limits and current use of the descriptors, clients and request bytes of one process.
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

/// Permission to use one descriptor. Released when dropped, with the bytes reserved by it.
pub struct DescriptorPermit {
    limits: Rc<ResourceLimits>,
    kind: PermitKind,
}

impl DescriptorPermit {
    /// Reserves memory for `bytes`, the current size of the client's requests, in place of the
    /// permit's previous reservation. Returns false and changes nothing if a larger reservation
    /// would exceed the limit. Returns true for permits of workers and of clients beyond the limit,
    /// which reserve nothing.
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

    /// Counts the bytes of an answer that is written to the client, beside those that it has sent
    /// ahead, in place of the permit's previous reservation. The answer is due whatever the limit:
    /// while it is exceeded, others may reserve nothing.
    pub fn reserve_answer(&self, answer_bytes: usize, sent_ahead_bytes: usize) {
        let PermitKind::Client { reserved_bytes } = &self.kind else {
            return;
        };
        let answer_bytes = if is_active(Mutation::IgnoreAnswerBytes) {
            0
        } else {
            answer_bytes
        };
        let needed = answer_bytes * COPIES_PER_ANSWER + sent_ahead_bytes * COPIES_PER_REQUEST;
        let total = self.limits.request_bytes.get() - reserved_bytes.get() + needed;
        self.limits.request_bytes.set(total);
        reserved_bytes.set(needed);
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
    /// Creates limits for a process that may use `max_descriptors` descriptors and `memory_mb` MiB
    /// of memory.
    pub fn new(max_descriptors: usize, memory_mb: usize) -> Self {
        let limits = ResourceLimits::default();
        limits.set_limits(max_descriptors, memory_mb);
        limits
    }

    /// Sets new limits. Connections above a lowered limit are not closed at once; they end when
    /// they become idle.
    pub fn set_limits(&self, max_descriptors: usize, memory_mb: usize) {
        let descriptors = max_descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(2);
        let memory = memory_mb * 1024 * 1024;
        self.max_descriptors.set(descriptors);
        // Three fifths of the descriptors are for clients: a client has one request at a time, a
        // request one attempt, and some clients are idle. A quarter of the memory is for client
        // connections, half for requests, the rest for the program.
        let clients_by_memory = memory / 4 / BYTES_PER_CLIENT;
        self.max_clients
            .set((descriptors * 3 / 5).min(clients_by_memory).max(1));
        self.max_request_bytes.set(memory / 2);
    }

    /// Returns whether the limit on clients allows one more. Does not check the limit on
    /// descriptors.
    pub fn has_client_capacity(&self) -> bool {
        self.clients.get() < self.max_clients.get()
    }

    /// Returns a permit for a client's connection, or `None` if a limit is reached.
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

    /// Returns a permit for a client beyond the limit, or `None` if all of these few are in use.
    /// Such a client is rejected at once; otherwise it would wait unaccepted past its deadline.
    pub fn acquire_overflow_client(self: &Rc<Self>) -> Option<DescriptorPermit> {
        if self.overflow_clients.get() >= MAX_OVERFLOW_CLIENTS {
            return None;
        }
        increase(&self.overflow_clients, 1);
        Some(self.permit(PermitKind::OverflowClient))
    }

    /// Returns a permit for a connection to a worker, or `None` if all descriptors are in use.
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

    /// Returns the number of permits in use, including those of clients beyond the limit.
    pub fn descriptors_used(&self) -> usize {
        self.descriptors.get() + self.overflow_clients.get()
    }

    /// Returns the number of clients with a permit, excluding those beyond the limit.
    pub fn client_count(&self) -> usize {
        self.clients.get()
    }

    /// Registers a client that waits for bytes, until the registration is dropped. A message on the
    /// channel requests that the client be closed.
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

    /// Returns whether an idle client exists whose closing frees a descriptor for others.
    pub fn has_evictable_client(&self) -> bool {
        self.idle.borrow().has_evictable()
    }

    /// Requests that an idle client be closed: the oldest without a request past its grace time,
    /// else the oldest that has sent one. Returns false if none may be closed.
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
