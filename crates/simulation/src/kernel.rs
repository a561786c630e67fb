//! The virtual clock and the event queue. Events of one instant happen in an order that the seed draws. The kernel
//! knows neither the network nor the checker: it hands out events, and [`crate::context`] acts on them.
use crate::rng::Rng;
use crate::timeline::{Timeline, TimelineEntry, TimelineEvent, Trace};
use async_executor::{LocalExecutor, Task};
use rosewall::types::Nanos;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};

/// Whose executor runs a task: [`ENVIRONMENT`], or the host number of a dispatcher.
pub type Owner = usize;

/// The owner of everything that is no dispatcher: clients, workers, discovery.
pub const ENVIRONMENT: Owner = 0;

/// Something that happens at a moment.
pub enum Event {
    /// A timer fires.
    Wake(Waker),
    /// The next segment in transit in one direction of a link arrives.
    Deliver {
        /// The link.
        link: usize,
        /// The direction: 0 carries what the connecting side writes.
        direction: usize,
    },
    /// A datagram arrives.
    Datagram(Datagram),
}

/// A datagram in transit.
pub struct Datagram {
    /// The address to which it was sent.
    pub to: SocketAddr,
    /// The address from which it was sent.
    pub from: SocketAddr,
    /// Its payload.
    pub bytes: Vec<u8>,
}

/// An event, and the owner of what it wakes.
pub struct OwnedEvent {
    /// The owner.
    pub owner: Owner,
    /// The event.
    pub event: Event,
}

#[derive(Default)]
struct Queue {
    heap: BinaryHeap<Reverse<(Nanos, u32, u64)>>,
    events: FxHashMap<u64, OwnedEvent>,
    serial: u64,
}

/// The virtual clock, the event queue, the randomness of the simulation and its timeline.
pub struct Kernel {
    now: Cell<Nanos>,
    queue: RefCell<Queue>,
    rng: RefCell<Rng>,
    executor: Weak<LocalExecutor<'static>>,
    /// Owners of which something was woken since they last ran.
    runnable: RefCell<Vec<Owner>>,
    /// How many timers each owner waits for.
    timers: RefCell<FxHashMap<Owner, usize>>,
    timeline: RefCell<Timeline>,
}

impl Kernel {
    /// A kernel whose clock stands at `start`; `executor` runs the tasks of the environment.
    pub fn new(
        start: Nanos,
        seed: u64,
        executor: &Rc<LocalExecutor<'static>>,
        trace: Trace,
    ) -> Rc<Self> {
        Rc::new(Kernel {
            now: Cell::new(start),
            queue: RefCell::default(),
            rng: RefCell::new(Rng::new(seed, 0)),
            executor: Rc::downgrade(executor),
            runnable: RefCell::default(),
            timers: RefCell::default(),
            timeline: RefCell::new(Timeline::new(trace)),
        })
    }

    /// The virtual time.
    pub fn now(&self) -> Nanos {
        self.now.get()
    }

    /// A digest of the timeline so far.
    pub fn digest(&self) -> u64 {
        self.timeline.borrow().digest()
    }

    /// Takes the lines of the timeline, where they were collected.
    pub fn take_timeline(&self) -> Vec<TimelineEntry> {
        self.timeline.borrow_mut().take_entries()
    }

    /// Draws from the simulation's main stream.
    pub fn random<T>(&self, draw: impl FnOnce(&mut Rng) -> T) -> T {
        draw(&mut self.rng.borrow_mut())
    }

    /// Spawns a task of the environment.
    pub fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.executor.upgrade() {
            let task: Task<()> = executor.spawn(work);
            task.detach();
            self.mark_runnable(ENVIRONMENT);
        }
    }

    /// Records an event of this moment in the timeline; `a` and `b` go into the digest with it.
    pub fn record(&self, event: TimelineEvent, a: u64, b: u64, text: impl FnOnce() -> String) {
        self.timeline
            .borrow_mut()
            .record(self.now.get(), event, [a, b], text);
    }

    /// Has an owner's executor run before the next event.
    pub fn mark_runnable(&self, owner: Owner) {
        let mut runnable = self.runnable.borrow_mut();
        if !runnable.contains(&owner) {
            runnable.push(owner);
        }
    }

    /// Wakes a task of an owner.
    pub fn wake(&self, owner: Owner, waker: Waker) {
        self.mark_runnable(owner);
        waker.wake();
    }

    /// The owners to be run, in a random order.
    pub fn take_runnable(&self) -> Vec<Owner> {
        let mut owners = std::mem::take(&mut *self.runnable.borrow_mut());
        for last in (1..owners.len()).rev() {
            let other = self.random(|rng| rng.index(last + 1));
            owners.swap(last, other);
        }
        owners
    }

    /// Schedules an event and returns its serial number.
    pub fn schedule(&self, at: Nanos, owner: Owner, event: Event) -> u64 {
        let tie_break = self.random(|rng| (rng.unit() * f64::from(u32::MAX)) as u32);
        let mut queue = self.queue.borrow_mut();
        queue.serial += 1;
        let serial = queue.serial;
        queue
            .heap
            .push(Reverse((at.max(self.now.get()), tie_break, serial)));
        queue.events.insert(serial, OwnedEvent { owner, event });
        serial
    }

    /// When the next event is.
    pub fn next_event_at(&self) -> Option<Nanos> {
        let mut queue = self.queue.borrow_mut();
        loop {
            let Reverse((at, _, serial)) = *queue.heap.peek()?;
            if queue.events.contains_key(&serial) {
                return Some(at);
            }
            queue.heap.pop();
        }
    }

    /// Advances the clock to the next event and removes it from the queue; none where the queue is empty.
    pub fn next_event(&self) -> Option<OwnedEvent> {
        let at = self.next_event_at()?;
        let event = {
            let mut queue = self.queue.borrow_mut();
            let Reverse((_, _, serial)) = queue.heap.pop()?;
            queue.events.remove(&serial)
        };
        self.now.set(at);
        event
    }

    /// Ends at the moment.
    pub fn sleep_until(self: &Rc<Self>, owner: Owner, at: Nanos) -> SleepUntil {
        SleepUntil {
            kernel: self.clone(),
            owner,
            at,
            serial: None,
        }
    }

    /// Ends after the time, in a task of the environment.
    pub async fn sleep(self: &Rc<Self>, duration: Nanos) {
        self.sleep_until(ENVIRONMENT, self.now() + duration).await;
    }

    /// The result of `work`, or none once the moment has come, in a task of the environment.
    pub async fn timeout_at<T>(
        self: &Rc<Self>,
        at: Nanos,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let work = async { Some(work.await) };
        let timeout = async {
            self.sleep_until(ENVIRONMENT, at).await;
            None
        };
        futures_lite::FutureExt::or(work, timeout).await
    }

    /// How many timers an owner waits for.
    pub fn timers(&self, owner: Owner) -> usize {
        self.timers
            .borrow()
            .get(&owner)
            .copied()
            .unwrap_or_default()
    }

    fn timer_armed(&self, owner: Owner) {
        *self.timers.borrow_mut().entry(owner).or_default() += 1;
    }

    fn timer_disarmed(&self, owner: Owner) {
        *self.timers.borrow_mut().entry(owner).or_default() -= 1;
    }
}

/// The future of [`Kernel::sleep_until`].
pub struct SleepUntil {
    kernel: Rc<Kernel>,
    owner: Owner,
    at: Nanos,
    /// The scheduled event, once the future has been polled.
    serial: Option<u64>,
}

impl Future for SleepUntil {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<()> {
        if self.kernel.now() >= self.at {
            return Poll::Ready(());
        }
        let waker = cx.waker().clone();
        match self.serial {
            Some(serial) => {
                if let Some(scheduled) = self.kernel.queue.borrow_mut().events.get_mut(&serial) {
                    scheduled.event = Event::Wake(waker);
                }
            }
            None => {
                let serial = self
                    .kernel
                    .schedule(self.at, self.owner, Event::Wake(waker));
                self.serial = Some(serial);
                self.kernel.timer_armed(self.owner);
            }
        }
        Poll::Pending
    }
}

impl Drop for SleepUntil {
    fn drop(&mut self) {
        if let Some(serial) = self.serial {
            self.kernel.timer_disarmed(self.owner);
            let event = self.kernel.queue.borrow_mut().events.remove(&serial);
            // Dropping a waker may drop a task, which may schedule: the queue is not borrowed any more.
            drop(event);
        }
    }
}
