//! The task of the cluster's state machine. It sends and receives the datagrams of the state
//! machine and calls it at its time-outs.
use crate::traits::{DatagramSocket, Runtime};
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use rosewall::types::{FleetPosition, Nanos, PeerLoad, WorkerId};
use rosewall_cluster::cluster::{Cluster, Effect, LogLine};
use rosewall_cluster::datagram::MAX_DATAGRAM_BYTES;
use rosewall_engine::counters::Counters;
use rosewall_engine::rate_limit::RateLimiter;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Maximum rate of received datagrams; excess datagrams are dropped and counted. Several times the
/// rate at which a thousand members send to a member that issues warm-up grants.
const MAX_DATAGRAMS_PER_SECOND: u64 = 20_000;

/// Event that the cluster reports to the engine.
pub enum ClusterEvent {
    /// Position of this dispatcher among the running ones; `None` if unknown.
    FleetView(Option<FleetPosition>),
    /// A warm-up grant was received: work may be sent to a worker that is warming up.
    WarmUpGranted {
        /// Worker that is warming up.
        worker: WorkerId,
        /// Granted work, in nanoseconds of one slot.
        work: Nanos,
        /// Time at which the grant expires.
        until: Nanos,
    },
    /// Another dispatcher reports its load on a worker.
    PeerLoad {
        /// Rank of the reporting dispatcher.
        from: u16,
        /// Reported load.
        load: PeerLoad,
    },
}

/// Owner of the state machine, its socket and the callback for its events.
pub struct ClusterDriver<S> {
    socket: S,
    cluster: RefCell<Cluster>,
    counters: Rc<Counters>,
    on_event: Box<dyn Fn(ClusterEvent)>,
    /// Wakes the task if a time-out is earlier than the one that the task sleeps until.
    wake: Sender<()>,
    woken: Receiver<()>,
    /// Time-out that the task sleeps until.
    sleeps_until: Cell<Nanos>,
}

impl<S: DatagramSocket> ClusterDriver<S> {
    /// Creates a driver that sends and receives over `socket` and passes events to `on_event`.
    pub fn new(
        socket: S,
        cluster: Cluster,
        counters: Rc<Counters>,
        on_event: impl Fn(ClusterEvent) + 'static,
    ) -> Self {
        let (wake, woken) = async_channel::bounded(1);
        ClusterDriver {
            socket,
            cluster: RefCell::new(cluster),
            counters,
            on_event: Box::new(on_event),
            wake,
            woken,
            sleeps_until: Cell::new(0),
        }
    }

    /// Sends a load report to the dispatcher with rank `to`.
    pub fn send_load(&self, now: Nanos, to: u16, load: PeerLoad) {
        self.counters.peer_loads_sent.add();
        self.with_cluster(|cluster, _| cluster.send_load(now, to, load));
    }

    /// Requests a grant to send work to a worker that is warming up.
    pub fn request_grant(&self, now: Nanos, worker: WorkerId, work: Nanos) {
        self.counters.warm_up_grants_requested.add();
        self.with_cluster(|cluster, effects| cluster.request_grant(now, worker, work, effects));
    }

    /// Sets the work that all dispatchers together may send to a worker that is warming up within
    /// one `window`. `work` is in nanoseconds of one slot.
    pub fn set_warm_up_budget(&self, worker: WorkerId, work: Nanos, window: Nanos) {
        log::debug!("warm-up budget: worker={worker} work={work} window={window}");
        self.with_cluster(|cluster, _| cluster.set_warm_up_budget(worker, work, window));
    }

    /// Leaves the cluster.
    pub fn leave(&self) {
        self.with_cluster(|cluster, effects| cluster.leave(effects));
    }

    /// Receives datagrams and handles time-outs until the task is dropped.
    pub async fn run<R: Runtime>(&self, runtime: &R) {
        let mut receive_limit = RateLimiter::new(MAX_DATAGRAMS_PER_SECOND);
        // One byte more than a datagram may have, so that a longer one is recognised.
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let next_timeout = self.cluster.borrow().next_timeout();
            self.sleeps_until.set(next_timeout);
            let received = async { Some(self.socket.receive(&mut bytes).await) };
            let timed_out = async {
                runtime.sleep_until(next_timeout).await;
                None
            };
            let woken = async {
                let _ = self.woken.recv().await;
                None
            };
            let received = received.or(timed_out).or(woken).await;
            let now = runtime.now();
            if let Some(Ok((length, from))) = received {
                if receive_limit.try_acquire(now) {
                    self.counters.member_datagrams_received.add();
                    self.with_cluster(|cluster, effects| {
                        cluster.handle_datagram(now, from, &bytes[..length], effects)
                    });
                } else {
                    self.counters.member_datagrams_lost.add();
                }
            }
            if self.cluster.borrow().next_timeout() <= now {
                self.with_cluster(|cluster, effects| cluster.handle_timeout(now, effects));
            }
            // A flood of datagrams must not block other tasks.
            yield_now().await;
        }
    }

    /// Calls the state machine and executes its effects.
    fn with_cluster(&self, call: impl FnOnce(&mut Cluster, &mut Vec<Effect>)) {
        let mut effects = Vec::new();
        call(&mut self.cluster.borrow_mut(), &mut effects);
        for effect in effects {
            self.execute(effect);
        }
        if self.cluster.borrow().next_timeout() < self.sleeps_until.get() {
            let _ = self.wake.try_send(());
        }
    }

    fn execute(&self, effect: Effect) {
        match effect {
            Effect::Send { to, bytes } => match self.socket.send(&bytes, to) {
                Ok(()) => self.counters.member_datagrams_sent.add(),
                Err(_) => self.counters.member_datagrams_lost.add(),
            },
            Effect::FleetView(position) => (self.on_event)(ClusterEvent::FleetView(position)),
            Effect::WarmUpGranted {
                worker,
                work,
                until,
            } => {
                self.counters.warm_up_grants_received.add();
                (self.on_event)(ClusterEvent::WarmUpGranted {
                    worker,
                    work,
                    until,
                });
            }
            Effect::PeerLoad { from, load } => {
                self.counters.peer_loads_received.add();
                (self.on_event)(ClusterEvent::PeerLoad { from, load });
            }
            Effect::Log(LogLine::Info(text)) => log::info!("{text}"),
            Effect::Log(LogLine::Error(text)) => log::error!("{text}"),
        }
    }
}

/// Formats the fields of the membership's log line; `docs/cluster.md` explains them.
impl<S> std::fmt::Display for ClusterDriver<S> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let cluster = self.cluster.borrow();
        let membership = cluster.membership();
        let counts = cluster.counts;
        let (rank, count) = cluster
            .position()
            .map_or((0, 0), |view| (view.rank, view.dispatchers));
        write!(
            f,
            "members: rank={rank} count={count} digest={:08x} incarnation={}",
            membership.digest(),
            membership.own_record().incarnation
        )?;
        write!(
            f,
            " bytes={} malformed={}",
            counts.sent_bytes, counts.malformed
        )?;
        write!(
            f,
            " other_version={} other_cluster={}",
            counts.other_version, counts.other_cluster
        )?;
        write!(
            f,
            " suspected={} refuted={}",
            membership.counts.suspected, membership.counts.refuted
        )?;
        write!(
            f,
            " grants_issued={} grants_refused={}",
            cluster.grant_issuer.issued, cluster.grant_issuer.refused
        )?;
        write!(
            f,
            " grants_expired={} silence_reports_ignored={}",
            cluster.grant_holder.expired, cluster.load_receiver.ignored_silence
        )
    }
}
