//! The virtual clock and the event queue. Events of one instant are processed in an order that
//! depends on the seed. The kernel is independent of the network and the checker: it yields events,
//! and [`crate::context`] dispatches them.
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

/// Identifies the executor that runs a task: [`ENVIRONMENT`], or the host number of a dispatcher.
pub type Owner = usize;

/// The owner of all simulated parts other than dispatchers: clients, workers and discovery.
pub const ENVIRONMENT: Owner = 0;

/// An event of the simulation, scheduled for a point in virtual time.
pub enum Event {
    /// A timer fires.
    Wake(Waker),
    /// The next segment in transit in one direction of a link arrives.
    Deliver {
        /// The key of the link in the network.
        link: usize,
        /// The direction: 0 carries the bytes written by the connecting side, 1 those of the
        /// accepting side.
        direction: usize,
    },
    /// A datagram arrives.
    Datagram(Datagram),
}

/// A datagram in transit.
pub struct Datagram {
    /// The destination address.
    pub to: SocketAddr,
    /// The address of the sending socket.
    pub from: SocketAddr,
    /// The payload.
    pub bytes: Vec<u8>,
}

/// An event, and the owner of the tasks that it wakes.
pub struct OwnedEvent {
    /// The owner whose executor runs after the event.
    pub owner: Owner,
    /// The event to process.
    pub event: Event,
}

#[derive(Default)]
struct Queue {
    heap: BinaryHeap<Reverse<(Nanos, u32, u64)>>,
    events: FxHashMap<u64, OwnedEvent>,
    serial: u64,
}

/// The virtual clock, the event queue, the main random stream and the timeline of a simulation.
pub struct Kernel {
    now: Cell<Nanos>,
    queue: RefCell<Queue>,
    rng: RefCell<Rng>,
    executor: Weak<LocalExecutor<'static>>,
    /// Owners with tasks woken since the owner last ran.
    runnable: RefCell<Vec<Owner>>,
    /// Owners that do not run at present.
    suspended: RefCell<Vec<Owner>>,
    /// Number of pending timers by owner.
    timers: RefCell<FxHashMap<Owner, usize>>,
    timeline: RefCell<Timeline>,
}

impl Kernel {
    /// Creates a kernel whose clock shows `start`; `executor` runs the tasks of the environment.
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
            suspended: RefCell::default(),
            timers: RefCell::default(),
            timeline: RefCell::new(Timeline::new(trace)),
        })
    }

    /// Returns the current virtual time, in Unix nanoseconds.
    pub fn now(&self) -> Nanos {
        self.now.get()
    }

    /// Returns a digest of the timeline so far.
    pub fn digest(&self) -> u64 {
        self.timeline.borrow().digest()
    }

    /// Takes the collected lines of the timeline; empty with [`Trace::Off`].
    pub fn take_timeline(&self) -> Vec<TimelineEntry> {
        self.timeline.borrow_mut().take_entries()
    }

    /// Draws from the simulation's main random stream.
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

    /// Records an event at the current time in the timeline. The time, the kind, `a` and `b` are
    /// part of the digest, `text` is not.
    pub fn record(&self, event: TimelineEvent, a: u64, b: u64, text: impl FnOnce() -> String) {
        self.timeline
            .borrow_mut()
            .record(self.now.get(), event, [a, b], text);
    }

    /// Schedules an owner's executor to run before the next event.
    pub fn mark_runnable(&self, owner: Owner) {
        let mut runnable = self.runnable.borrow_mut();
        if !runnable.contains(&owner) {
            runnable.push(owner);
        }
    }

    /// Wakes a task and marks its owner as runnable.
    pub fn wake(&self, owner: Owner, waker: Waker) {
        self.mark_runnable(owner);
        waker.wake();
    }

    /// Stops running the tasks of an owner until it is resumed. They can still be woken.
    pub fn suspend(&self, owner: Owner) {
        self.suspended.borrow_mut().push(owner);
    }

    /// Runs the tasks of an owner again.
    pub fn resume(&self, owner: Owner) {
        self.suspended.borrow_mut().retain(|other| *other != owner);
        self.mark_runnable(owner);
    }

    /// Takes the runnable owners that are not suspended, in random order.
    pub fn take_runnable(&self) -> Vec<Owner> {
        let mut owners = std::mem::take(&mut *self.runnable.borrow_mut());
        let suspended = self.suspended.borrow();
        if !suspended.is_empty() {
            let waits = |owner: &mut Owner| suspended.contains(owner);
            self.runnable
                .borrow_mut()
                .extend(owners.extract_if(.., waits));
        }
        drop(suspended);
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

    /// Returns the time of the next event, or `None` if the queue is empty.
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

    /// Advances the clock to the next event and removes it from the queue; returns `None` if the
    /// queue is empty.
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

    /// Returns a future that completes at the virtual time `at`, in a task of `owner`.
    pub fn sleep_until(self: &Rc<Self>, owner: Owner, at: Nanos) -> SleepUntil {
        SleepUntil {
            kernel: self.clone(),
            owner,
            at,
            serial: None,
        }
    }

    /// Sleeps for `duration`, in a task of the environment.
    pub async fn sleep(self: &Rc<Self>, duration: Nanos) {
        self.sleep_until(ENVIRONMENT, self.now() + duration).await;
    }

    /// Runs `work` in a task of the environment; returns `None` if it has not completed by the time
    /// `at`.
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

    /// Returns the number of pending timers of an owner.
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
            // Dropping a waker may drop a task, which may schedule an event: the queue must not be
            // borrowed here.
            drop(event);
        }
    }
}
