//! Drives what this dispatcher is to the others: datagrams in and out, and what is due.
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

/// Datagrams a second that are heard: several times what a thousand members send to one that gives rights.
const A_SECOND: u64 = 20_000;

/// What the decisions are to hear.
pub enum Heard {
    FleetView(Option<FleetPosition>),
    WarmUpGranted {
        worker: WorkerId,
        work: Nanos,
        until: Nanos,
    },
    PeerLoad {
        from: u16,
        load: PeerLoad,
    },
}

pub struct ClusterDriver<M> {
    socket: M,
    cluster: RefCell<Cluster>,
    counters: Rc<Counters>,
    heard: Box<dyn Fn(Heard)>,
    /// Wakes the one that waits for what is due, where that is sooner than it was.
    sooner: (Sender<()>, Receiver<()>),
    waits: Cell<Nanos>,
}

impl<M: DatagramSocket> ClusterDriver<M> {
    pub fn new(
        socket: M,
        cluster: Cluster,
        counters: Rc<Counters>,
        heard: impl Fn(Heard) + 'static,
    ) -> Self {
        let sooner = async_channel::bounded(1);
        let (cluster, waits) = (RefCell::new(cluster), Cell::new(0));
        ClusterDriver {
            socket,
            cluster,
            counters,
            heard: Box::new(heard),
            sooner,
            waits,
        }
    }

    /// Lets the machine act and carries out what it says.
    fn act(&self, act: impl FnOnce(&mut Cluster, &mut Vec<Effect>)) {
        let mut effects = Vec::new();
        act(&mut self.cluster.borrow_mut(), &mut effects);
        for effect in effects {
            match effect {
                Effect::Send { to, bytes } => match self.socket.send(&bytes, to) {
                    Ok(()) => self.counters.member_datagrams_sent.add(),
                    Err(_) => self.counters.member_datagrams_lost.add(),
                },
                Effect::FleetView(place) => (self.heard)(Heard::FleetView(place)),
                Effect::WarmUpGranted {
                    worker,
                    work,
                    until,
                } => {
                    self.counters.warm_up_grants_received.add();
                    (self.heard)(Heard::WarmUpGranted {
                        worker,
                        work,
                        until,
                    });
                }
                Effect::PeerLoad { from, load } => {
                    self.counters.peer_loads_received.add();
                    (self.heard)(Heard::PeerLoad { from, load });
                }
                Effect::Log(LogLine::Info(text)) => log::info!("{text}"),
                Effect::Log(LogLine::Error(text)) => log::error!("{text}"),
            }
        }
        if self.cluster.borrow().next_timeout() < self.waits.get() {
            let _ = self.sooner.0.try_send(());
        }
    }

    pub fn send_load(&self, now: Nanos, to: u16, load: PeerLoad) {
        self.counters.peer_loads_sent.add();
        self.act(|cluster, _| cluster.send_load(now, to, load));
    }

    pub fn request_grant(&self, now: Nanos, worker: WorkerId, work: Nanos) {
        self.counters.warm_up_grants_requested.add();
        self.act(|cluster, effects| cluster.request_grant(now, worker, work, effects));
    }

    pub fn set_warm_up_budget(&self, worker: WorkerId, work: Nanos, window: Nanos) {
        log::debug!("joint worker={worker} work={work} window={window}");
        self.act(|cluster, _| cluster.set_warm_up_budget(worker, work, window));
    }

    pub fn leave(&self) {
        self.act(|cluster, effects| cluster.leave(effects));
    }

    /// Hears and does what is due, for ever.
    pub async fn run<R: Runtime>(&self, runtime: &R) {
        // Room for one byte more than is allowed, so that one too long is seen to be.
        let (mut rate_limit, mut bytes) = (RateLimiter::new(A_SECOND), [0; MAX_DATAGRAM_BYTES + 1]);
        loop {
            let next = self.cluster.borrow().next_timeout();
            self.waits.set(next);
            let came = async { Some(self.socket.receive(&mut bytes).await) };
            let due = async {
                runtime.sleep_until(next).await;
                None
            };
            let sooner = async {
                let _ = self.sooner.1.recv().await;
                None
            };
            let came = came.or(due).or(sooner).await;
            let now = runtime.now();
            if let Some(Ok((length, from))) = came {
                if rate_limit.try_acquire(now) {
                    self.counters.member_datagrams_received.add();
                    self.act(|cluster, effects| {
                        cluster.handle_datagram(now, from, &bytes[..length], effects)
                    });
                } else {
                    self.counters.member_datagrams_lost.add();
                }
            }
            if self.cluster.borrow().next_timeout() <= now {
                self.act(|cluster, effects| cluster.handle_timeout(now, effects));
            }
            // Guards against a flood of them that leaves no one else a turn.
            yield_now().await;
        }
    }
}

/// For the log, beside the counters.
impl<M> std::fmt::Display for ClusterDriver<M> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let cluster = self.cluster.borrow();
        let (members, counts) = (cluster.membership(), cluster.counts);
        let (rank, count) = cluster
            .position()
            .map_or((0, 0), |view| (view.rank, view.dispatchers));
        write!(
            f,
            "members: rank={rank} count={count} digest={:08x} incarnation={}",
            members.digest(),
            members.own_record().incarnation
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
            members.counts.suspected, members.counts.refuted
        )?;
        write!(
            f,
            " rights_given={} rights_short={}",
            cluster.grant_issuer.issued, cluster.grant_issuer.refused
        )?;
        write!(
            f,
            " rights_late={} words_bounded={}",
            cluster.grant_holder.expired, cluster.load_receiver.ignored_silence
        )
    }
}
