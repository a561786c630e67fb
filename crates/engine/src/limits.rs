//! Descriptors and the bytes of requests, all counted here. What waits at the door makes room before anyone is kept out.
use async_channel::{Receiver, Sender};
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::Nanos;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Kept back for what is no connection of a client or worker: standard streams, the poller's three, signals,
/// the listener, discovery's, and files opened for a moment; twice what was counted.
const KEPT_BACK: usize = 32;

/// Of those kept back, how many may be taken by clients that are only told that there is no room.
const TO_TURN_AWAY: usize = 8;

/// What a client's connection holds before its request is large: the buffer it is read by, a head and its task.
const CLIENT_BYTES: usize = 32 * 1024;

/// Copies there may be of the bytes a client has sent: as read, as a body, as an attempt, and as much of an answer.
const COPIES: usize = 4;

/// A client that means to ask does so as it connects, within some round trips of a slow network. One that has not
/// asked for so long goes before those that have.
const MEANS_TO_ASK: Nanos = 100_000_000;

/// Who waits for a client's bytes, oldest first, each with a way to tell it to close.
type Waiting = BTreeMap<u64, (Nanos, Sender<()>)>;

/// Who waits for a client's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleClient {
    /// One that has not asked yet.
    AwaitingFirstRequest,
    /// One that has asked before.
    BetweenRequests,
    /// One that is only told that there is no room: to close it gives no place.
    Overflow,
}

#[derive(Default)]
pub struct ResourceLimits {
    most: Cell<usize>,
    most_clients: Cell<usize>,
    most_bytes: Cell<usize>,
    used: Cell<usize>,
    turned_away: Cell<usize>,
    clients: Cell<usize>,
    bytes: Cell<usize>,
    /// Those that have not asked yet, those that have, and those that hold no place.
    waiting: [RefCell<Waiting>; 3],
    serial: Cell<u64>,
}

/// One descriptor in use; given back when dropped.
pub struct DescriptorPermit {
    limits: Rc<ResourceLimits>,
    /// Whether it is one of those kept back.
    kept_back: bool,
    /// For a client, how many bytes of its requests are held.
    client: Option<Cell<usize>>,
}

impl DescriptorPermit {
    /// Counts the bytes that a client's requests hold now; false where there is no room for them.
    pub fn reserve_bytes(&self, bytes: usize) -> bool {
        let Some(held) = &self.client else {
            return true;
        };
        let all = self.limits.bytes.get() - held.get() + bytes * COPIES;
        let fits = bytes * COPIES <= held.get() || all <= self.limits.most_bytes.get();
        if fits {
            self.limits.bytes.set(all);
            held.set(bytes * COPIES);
        }
        fits
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        if self.kept_back {
            return self
                .limits
                .turned_away
                .set(self.limits.turned_away.get() - 1);
        }
        self.limits.used.set(self.limits.used.get() - 1);
        if let Some(held) = &self.client {
            self.limits.bytes.set(self.limits.bytes.get() - held.get());
            self.limits.clients.set(self.limits.clients.get() - 1);
        }
    }
}

impl ResourceLimits {
    pub fn new(sockets: usize, memory_mb: usize) -> Self {
        let limits = ResourceLimits::default();
        limits.set_limits(sockets, memory_mb);
        limits
    }

    /// Sets the limits; what is over a lower one ends as it falls idle.
    pub fn set_limits(&self, sockets: usize, memory_mb: usize) {
        let (most, memory) = (
            sockets.saturating_sub(KEPT_BACK).max(2),
            memory_mb * 1024 * 1024,
        );
        self.most.set(most);
        // Each client has one request at a time and a request one posting; some clients only wait. A quarter of the memory
        // is for their connections, half for what they send, the rest for the program.
        self.most_clients
            .set((most * 3 / 5).min(memory / 4 / CLIENT_BYTES).max(1));
        self.most_bytes.set(memory / 2);
    }

    /// Whether one more client fits among the clients, whatever else is open.
    pub fn has_client_capacity(&self) -> bool {
        self.clients.get() < self.most_clients.get()
    }

    pub fn acquire_client(self: &Rc<Self>) -> Option<DescriptorPermit> {
        let slot = if self.has_client_capacity() {
            self.slot(Some(Cell::new(0)))?
        } else {
            return None;
        };
        self.clients.set(self.clients.get() + 1);
        Some(slot)
    }

    /// One of the few for clients that are only told that there is no room. Guards against requests that wait at the door
    /// past their deadline.
    pub fn acquire_overflow_client(self: &Rc<Self>) -> Option<DescriptorPermit> {
        let taken = self.turned_away.get();
        (taken < TO_TURN_AWAY).then(|| {
            self.turned_away.set(taken + 1);
            DescriptorPermit {
                limits: self.clone(),
                kept_back: true,
                client: None,
            }
        })
    }

    pub fn acquire_worker(self: &Rc<Self>) -> Option<DescriptorPermit> {
        self.slot(None)
    }

    fn slot(self: &Rc<Self>, client: Option<Cell<usize>>) -> Option<DescriptorPermit> {
        if self.used.get() >= self.most.get() {
            return None;
        }
        self.used.set(self.used.get() + 1);
        Some(DescriptorPermit {
            limits: self.clone(),
            kept_back: false,
            client,
        })
    }

    /// Descriptors in use now.
    pub fn descriptors_used(&self) -> usize {
        self.used.get() + self.turned_away.get()
    }

    pub fn client_count(&self) -> usize {
        self.clients.get()
    }

    /// A client waits until what is given back is dropped; the channel tells it to close.
    pub fn register_idle(
        self: &Rc<Self>,
        now: Nanos,
        waiter: IdleClient,
    ) -> (IdleRegistration, Receiver<()>) {
        let serial = self.serial.get();
        self.serial.set(serial + 1);
        let (close, closed) = async_channel::bounded(1);
        self.waiting[waiter as usize]
            .borrow_mut()
            .insert(serial, (now, close));
        (
            IdleRegistration {
                limits: self.clone(),
                waiter,
                serial,
            },
            closed,
        )
    }

    /// Whether there is a client whose place may fall free as it is closed.
    pub fn has_evictable_client(&self) -> bool {
        self.waiting[..2]
            .iter()
            .any(|waiting| !waiting.borrow().is_empty())
    }

    /// Closes the client that has waited longest; false where none may be closed. Guards against silent connections by
    /// the hundred that keep others out, or have those closed that are of use; and, as no one who came just now is
    /// closed, against the loss of a first request that is on its way.
    pub fn evict_idle_client(&self, now: Nanos) -> bool {
        let [strangers, known, _] = &self.waiting;
        let (mut strangers, mut known) = (strangers.borrow_mut(), known.borrow_mut());
        let oldest = strangers
            .first_key_value()
            .map(|(_, (since, _))| now.saturating_sub(*since));
        let stranger = oldest.is_some_and(|waited| {
            waited >= MEANS_TO_ASK || is_active(Mutation::CloseWithoutAnswer)
        });
        let closed = if stranger {
            strangers.pop_first()
        } else {
            known.pop_first()
        };
        closed.is_some_and(|(_, (_, close))| close.try_send(()).is_ok())
    }
}

pub struct IdleRegistration {
    limits: Rc<ResourceLimits>,
    waiter: IdleClient,
    serial: u64,
}

impl Drop for IdleRegistration {
    fn drop(&mut self) {
        self.limits.waiting[self.waiter as usize]
            .borrow_mut()
            .remove(&self.serial);
    }
}
