//! The virtual clock: what is to happen, in order, and who is to be woken by it. Events of one instant come in an
//! order that the seed draws.
use crate::judge::Judge;
use crate::mail::{self, Post};
use crate::net::Net;
use async_executor::{LocalExecutor, Task};
use rosewall::pcg::Pcg;
use rosewall::types::Nanos;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};

/// Whose process something belongs to: 0 is the world's own (clients, workers, discovery), others are dispatchers.
pub type Owner = usize;

pub const MS: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000 * MS;

/// Draws, each from its own stream of the seed.
pub struct Chance(Pcg);

impl Chance {
    pub fn new(seed: u64, stream: u64) -> Self {
        // Spread by the golden ratio, so that seeds and streams that follow one another have nothing in common.
        Chance(Pcg::new(
            seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)
                ^ (stream + 1).wrapping_mul(0xd1b5_4a32_d192_ed03),
        ))
    }

    pub fn unit(&mut self) -> f64 {
        self.0.unit()
    }

    pub fn is(&mut self, part: f64) -> bool {
        self.unit() < part
    }

    /// A whole number from `from` up to, but not including, `to`; `from` where there is none between.
    pub fn below(&mut self, from: u64, to: u64) -> u64 {
        from + (self.unit() * to.saturating_sub(from) as f64) as u64
    }

    pub fn among<'a, T>(&mut self, all: &'a [T]) -> &'a T {
        &all[self.below(0, all.len() as u64) as usize]
    }

    /// A gap between arrivals that come at random, so many a second.
    pub fn gap(&mut self, rate: f64) -> Nanos {
        (-(1.0 - self.unit()).ln() / rate.max(1e-6) * SECOND as f64) as Nanos
    }
}

pub enum Event {
    Wake(Waker),
    /// The next part on its way through one half of a link arrives.
    Deliver {
        link: usize,
        half: usize,
    },
    Datagram {
        to: SocketAddr,
        from: SocketAddr,
        bytes: Vec<u8>,
    },
}

#[derive(Default)]
struct Queue {
    heap: BinaryHeap<Reverse<(Nanos, u32, u64)>>,
    events: FxHashMap<u64, (Owner, Event)>,
    serial: u64,
}

pub struct Core {
    now: Cell<Nanos>,
    queue: RefCell<Queue>,
    chance: RefCell<Chance>,
    pub net: RefCell<Net>,
    pub post: RefCell<Post>,
    pub judge: RefCell<Judge>,
    home: Weak<LocalExecutor<'static>>,
    /// Owners that something was woken for since they were last run.
    dirty: RefCell<Vec<Owner>>,
    /// Timers that each owner waits for.
    timers: RefCell<FxHashMap<Owner, usize>>,
    digest: Cell<u64>,
    /// The timeline, where it is wanted.
    pub trace: Option<RefCell<Vec<(Nanos, String)>>>,
}

impl Core {
    pub fn new(
        start: Nanos,
        seed: u64,
        net: Net,
        judge: Judge,
        home: &Rc<LocalExecutor<'static>>,
        trace: bool,
    ) -> Rc<Self> {
        Rc::new(Core {
            now: Cell::new(start),
            queue: RefCell::default(),
            chance: RefCell::new(Chance::new(seed, 0)),
            net: RefCell::new(net),
            post: RefCell::default(),
            judge: RefCell::new(judge),
            home: Rc::downgrade(home),
            dirty: RefCell::default(),
            timers: RefCell::default(),
            digest: Cell::new(0xcbf2_9ce4_8422_2325),
            trace: trace.then(RefCell::default),
        })
    }

    pub fn now(&self) -> Nanos {
        self.now.get()
    }

    pub fn digest(&self) -> u64 {
        self.digest.get()
    }

    pub fn draw<T>(&self, with: impl FnOnce(&mut Chance) -> T) -> T {
        with(&mut self.chance.borrow_mut())
    }

    /// Work of the world's own.
    pub fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        if let Some(home) = self.home.upgrade() {
            let task: Task<()> = home.spawn(work);
            task.detach();
            self.mark(0);
        }
    }

    /// One line of the timeline: all of it goes into the digest, and to the trace if there is one.
    pub fn note(&self, what: &'static str, a: u64, b: u64, words: impl FnOnce() -> String) {
        let mut hash = self.digest.get();
        for part in [
            self.now.get(),
            what.len() as u64 ^ u64::from(what.as_bytes()[0]) << 8,
            a,
            b,
        ] {
            hash = (hash ^ part).wrapping_mul(0x0100_0000_01b3).rotate_left(23);
        }
        self.digest.set(hash);
        if let Some(trace) = &self.trace {
            trace
                .borrow_mut()
                .push((self.now.get(), format!("{what} {}", words())));
        }
    }

    pub fn mark(&self, owner: Owner) {
        let mut dirty = self.dirty.borrow_mut();
        if !dirty.contains(&owner) {
            dirty.push(owner);
        }
    }

    /// The owners to be run, in an order that is drawn.
    pub fn take_dirty(&self) -> Vec<Owner> {
        let mut owners = std::mem::take(&mut *self.dirty.borrow_mut());
        for at in (1..owners.len()).rev() {
            let other = self.draw(|chance| chance.below(0, at as u64 + 1)) as usize;
            owners.swap(at, other);
        }
        owners
    }

    pub fn at(&self, at: Nanos, owner: Owner, event: Event) -> u64 {
        let tie = self.draw(|chance| (chance.unit() * f64::from(u32::MAX)) as u32);
        let mut queue = self.queue.borrow_mut();
        queue.serial += 1;
        let serial = queue.serial;
        queue
            .heap
            .push(Reverse((at.max(self.now.get()), tie, serial)));
        queue.events.insert(serial, (owner, event));
        serial
    }

    /// When the next event is.
    pub fn next_at(&self) -> Option<Nanos> {
        let mut queue = self.queue.borrow_mut();
        loop {
            let Reverse((at, _, serial)) = *queue.heap.peek()?;
            if queue.events.contains_key(&serial) {
                return Some(at);
            }
            queue.heap.pop();
        }
    }

    /// Lets the next event happen; false where there is none.
    pub fn step(self: &Rc<Self>) -> bool {
        let Some(at) = self.next_at() else {
            return false;
        };
        let found = {
            let mut queue = self.queue.borrow_mut();
            let Some(Reverse((_, _, serial))) = queue.heap.pop() else {
                return false;
            };
            queue.events.remove(&serial)
        };
        self.now.set(at);
        match found {
            Some((owner, Event::Wake(waker))) => {
                self.mark(owner);
                waker.wake();
            }
            Some((_, Event::Deliver { link, half })) => Net::deliver(self, link, half),
            Some((_, Event::Datagram { to, from, bytes })) => mail::deliver(self, to, from, bytes),
            None => {}
        }
        true
    }

    /// Ends at the moment.
    pub fn until(self: &Rc<Self>, owner: Owner, at: Nanos) -> Until {
        Until {
            core: self.clone(),
            owner,
            at,
            armed: None,
        }
    }

    pub async fn sleep(self: &Rc<Self>, span: Nanos) {
        self.until(0, self.now() + span).await;
    }

    /// Timers that an owner waits for just now.
    pub fn timers(&self, owner: Owner) -> usize {
        self.timers
            .borrow()
            .get(&owner)
            .copied()
            .unwrap_or_default()
    }

    fn count_timer(&self, owner: Owner, more: bool) {
        let mut timers = self.timers.borrow_mut();
        let count = timers.entry(owner).or_default();
        *count = if more { *count + 1 } else { *count - 1 };
    }
}

pub struct Until {
    core: Rc<Core>,
    owner: Owner,
    at: Nanos,
    armed: Option<u64>,
}

impl Future for Until {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<()> {
        if self.core.now() >= self.at {
            return Poll::Ready(());
        }
        let waker = cx.waker().clone();
        match self.armed {
            Some(serial) => {
                if let Some(event) = self.core.queue.borrow_mut().events.get_mut(&serial) {
                    event.1 = Event::Wake(waker);
                }
            }
            None => {
                self.armed = Some(self.core.at(self.at, self.owner, Event::Wake(waker)));
                self.core.count_timer(self.owner, true);
            }
        }
        Poll::Pending
    }
}

impl Drop for Until {
    fn drop(&mut self) {
        if let Some(serial) = self.armed {
            self.core.count_timer(self.owner, false);
            let event = self.core.queue.borrow_mut().events.remove(&serial);
            drop(event);
        }
    }
}

/// Ends with `work`, or with none once the moment has come.
pub async fn by<T>(core: &Rc<Core>, at: Nanos, work: impl Future<Output = T>) -> Option<T> {
    let work = async { Some(work.await) };
    let late = async {
        core.until(0, at).await;
        None
    };
    futures_lite::FutureExt::or(work, late).await
}
