//! What the drivers and the hub all reach: the clock, names, counters, descriptors, and the way to the hub.
use crate::cluster::Members;
use crate::peer_load::Talk;
use crate::traits::{Ground, Look, Stream};
use async_channel::Sender;
use rosewall::types::{FleetPosition, HealthChecked, Nanos, PeerLoad, RequestId, WorkerId};
use rosewall_engine::counters::Counters;
use rosewall_engine::limits::{Budget, Slot};
use rosewall_engine::pool::{Idle, Pool};
use rosewall_protocol::client::{Answer, ClientRequest, Names};
use rosewall_protocol::discovery::EndpointList;
use rosewall_protocol::worker::Told;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// A connection to a worker.
pub struct Conn<S> {
    pub stream: S,
    pub address: SocketAddr,
    /// Its place in the budget, for as long as it is open.
    pub _slot: Slot,
}

impl<S: Stream> Idle for Conn<S> {
    fn sound(&self) -> bool {
        self.stream.look() == Look::Silent
    }
}

/// What drivers tell the hub.
pub enum News<G: Ground> {
    Arrived {
        request_id: RequestId,
        at: Nanos,
        request: ClientRequest,
        reply: Sender<Answer>,
    },
    Left(RequestId),
    Told {
        request_id: RequestId,
        attempt_index: u8,
        told: Told,
    },
    Spare {
        worker: WorkerId,
        conn: Conn<G::Stream>,
    },
    HealthChecked(HealthChecked),
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
    List(EndpointList),
    ListFailed,
    /// The program ends: all is to be answered by this moment.
    Stop(Nanos),
}

pub struct Shared<G: Ground> {
    pub ground: G,
    pub names: Names,
    /// The names of a report's values, as workers send them.
    pub report: Vec<String>,
    pub counters: Rc<Counters>,
    pub budget: Rc<Budget>,
    pub pool: RefCell<Pool<Conn<G::Stream>>>,
    /// Whether a list of workers is known, and whether the program is to end.
    pub ready: Cell<bool>,
    pub stopping: Cell<bool>,
    /// Txns in the hub's hands.
    pub active_requests: Cell<usize>,
    pub serial: Cell<RequestId>,
    /// When the log last spoke of a request that was turned down.
    pub bad_told: Cell<Nanos>,
    pub news: Sender<News<G>>,
    /// The way to the other dispatchers, where there is one.
    pub talk: Option<Talk<G::Mail>>,
    /// What this dispatcher is to the others, where it is to know them.
    pub members: Option<Members<G::Mail>>,
}

impl<G: Ground> Shared<G> {
    pub fn tell(&self, news: News<G>) {
        // The hub outlives all drivers; at the end of the program no one is left to be told.
        let _ = self.news.try_send(news);
    }

    /// A kept connection to a worker, if a sound one is there, and since when it is idle.
    pub fn pooled(&self, worker: WorkerId) -> Option<(Conn<G::Stream>, Nanos)> {
        let (conn, stale) = self.pool.borrow_mut().take(self.ground.now(), worker);
        self.counters.pool_stale.more(stale);
        conn
    }

    /// A kept connection, idle since then, broke as it was used.
    pub fn broke(&self, since: Nanos) {
        self.pool.borrow_mut().broke(self.ground.now(), since);
        self.counters.pool_broke.add();
    }

    /// Makes room for one more descriptor: idle connections to workers go first, then idle clients.
    pub fn make_room(&self) -> bool {
        if self.pool.borrow_mut().evict() {
            self.counters.pool_evicted.add();
            return true;
        }
        self.budget.close_waiting(self.ground.now())
    }

    /// Makes room for one more client. Guards against dropping the connections to workers where it is the clients that
    /// are too many.
    pub fn make_client_room(&self) -> bool {
        if self.budget.has_client_room() {
            self.make_room()
        } else {
            self.budget.close_waiting(self.ground.now())
        }
    }

    /// Counts a request that is turned down; the log is told of one a second. Guards against a log that a flood of
    /// them fills.
    pub fn turned_down(&self, status: u16, why: &str) {
        self.counters.requests_bad.add();
        let now = self.ground.now();
        if now >= self.bad_told.get() + 1_000_000_000 {
            self.bad_told.set(now);
            log::info!(
                "a request was turned down with {status}: {why} ({} so far)",
                self.counters.requests_bad.get()
            );
        }
    }

    /// A number for a request; it comes again only after all others.
    pub fn next_request_id(&self) -> RequestId {
        self.serial.set(self.serial.get().wrapping_add(1));
        self.serial.get()
    }
}
