//! Descriptors, all counted here. Accepting pauses before the limit; idle connections make room.
use async_channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Kept back for what is no connection of a client or worker: standard streams, the poller's three, signals,
/// the listener, discovery's, and files opened for a moment; twice what was counted.
const KEPT_BACK: usize = 32;

/// What one client may hold at worst, of its request, the posting, and the answer: 64 KiB each, with heads and
/// copies on the way.
const CLIENT_BYTES: usize = 400 * 1024;

pub struct Budget {
    most: Cell<usize>,
    most_clients: Cell<usize>,
    used: Cell<usize>,
    clients: Cell<usize>,
    /// Idle clients, oldest first, each with a way to tell it to close.
    idle: RefCell<BTreeMap<u64, Sender<()>>>,
    serial: Cell<u64>,
}

/// One descriptor in use; given back when dropped.
pub struct Slot {
    budget: Rc<Budget>,
    client: bool,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - 1);
        if self.client {
            self.budget.clients.set(self.budget.clients.get() - 1);
        }
    }
}

impl Budget {
    pub fn new(sockets: usize, memory_mb: usize) -> Self {
        let none = Cell::new(0);
        let (idle, serial) = (RefCell::default(), Cell::default());
        let (most, most_clients) = (none.clone(), none.clone());
        let budget = Budget { most, most_clients, used: none.clone(), clients: none, idle, serial };
        budget.limit(sockets, memory_mb);
        budget
    }

    /// Sets the limits; what is over a lower one ends as it falls idle.
    pub fn limit(&self, sockets: usize, memory_mb: usize) {
        let most = sockets.saturating_sub(KEPT_BACK).max(2);
        // Clients hold half at most: each has one txn at a time, and a txn one posting. And what they hold at
        // worst fits in three quarters of the memory.
        let most_clients = (most / 2).min(memory_mb * 1024 * 1024 / 4 * 3 / CLIENT_BYTES).max(1);
        self.most.set(most);
        self.most_clients.set(most_clients);
    }

    pub fn client(self: &Rc<Self>) -> Option<Slot> {
        if self.clients.get() >= self.most_clients.get() {
            return None;
        }
        let slot = self.slot(true)?;
        self.clients.set(self.clients.get() + 1);
        Some(slot)
    }

    pub fn worker(self: &Rc<Self>) -> Option<Slot> {
        self.slot(false)
    }

    fn slot(self: &Rc<Self>, client: bool) -> Option<Slot> {
        if self.used.get() >= self.most.get() {
            return None;
        }
        self.used.set(self.used.get() + 1);
        Some(Slot { budget: self.clone(), client })
    }

    pub fn clients(&self) -> usize {
        self.clients.get()
    }

    /// A client is idle until what is given back is dropped; the channel tells it to close.
    pub fn idle(self: &Rc<Self>) -> (Idle, Receiver<()>) {
        let serial = self.serial.get();
        self.serial.set(serial + 1);
        let (close, closed) = async_channel::bounded(1);
        self.idle.borrow_mut().insert(serial, close);
        (Idle { budget: self.clone(), serial }, closed)
    }

    /// Closes the client that has been idle longest; false where there is none.
    pub fn close_idle(&self) -> bool {
        let oldest = self.idle.borrow_mut().pop_first();
        oldest.is_some_and(|(_, close)| close.try_send(()).is_ok())
    }
}

pub struct Idle {
    budget: Rc<Budget>,
    serial: u64,
}

impl Drop for Idle {
    fn drop(&mut self) {
        self.budget.idle.borrow_mut().remove(&self.serial);
    }
}
