//! The interface of the decisions: events in, actions out. It knows no protocol.

/// A time or a duration, in whole nanoseconds.
pub type Nanos = u64;

/// The number of a request inside one process.
pub type RequestId = u32;

/// A worker's address as listed. Subsets are divided by its order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId {
    /// The IPv4 address.
    pub addr: [u8; 4],
    /// The TCP port.
    pub port: u16,
}

impl std::fmt::Display for WorkerId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", std::net::Ipv4Addr::from(self.addr), self.port)
    }
}

/// The state of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It completes what it has and takes nothing new.
    Draining,
    /// It is gone.
    #[default]
    Removed,
}

/// One line of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// Its zone.
    pub zone: u16,
    /// Its worker type. Workers of one type run the same classes and have like capacity.
    pub worker_type: u8,
    /// Its capacity relative to other workers.
    pub size: f32,
    /// When its process started; 0 if that is long ago.
    pub started: Nanos,
    /// The group within which it shares idempotency keys.
    pub group: u16,
}

/// What an endpoint list event covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Changed endpoints only.
    Delta,
    /// All endpoints; others are gone.
    Snapshot,
    /// All endpoints as last known before a restart.
    Cached,
    /// Nothing: the list could not be obtained.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker's result is there.
    Succeeded,
    /// The worker reports a failure; the request may have run.
    WorkerError,
    /// The worker finds fault with the request itself, as any other would.
    InvalidRequest,
    /// The worker did not take the request on; it did not run.
    AtCapacity,
    /// The deadline came first; the request may have run.
    TimedOut,
    /// No connection, or it broke before the last byte; the request did not run.
    ConnectFailed,
    /// The connection broke after the last byte; the request may have run.
    ConnectionLost,
    /// Cancelled on the way; the request may have run.
    Cancelled,
    /// Never sent; the request did not run.
    NotSent,
}

/// A worker's load report: the values of the setting `report.fields`, in its order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// How many values there are.
    pub count: usize,
    /// The values; those from `count` on have no meaning.
    pub values: [f32; 4],
}

/// A request as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// The index of its class in the settings.
    pub class: u8,
    /// The index of its tenant in the settings.
    pub tenant: u16,
    /// The service time that the client expects.
    pub hint: Option<Nanos>,
    /// The concurrency slots that it takes at a worker.
    pub slots: f32,
    /// The units of memory that it takes; a worker has one for each slot.
    pub memory: f32,
    /// The moment at which the client stops waiting.
    pub deadline: Nanos,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded {
    /// The request.
    pub request_id: RequestId,
    /// The number of the attempt, from 0.
    pub attempt_index: u8,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the request has its final answer, by this attempt or before.
    pub complete: bool,
    /// The worker's load report; empty if there was none.
    pub report: Report,
}

/// The load of one dispatcher at one worker, as it is reported to others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerLoad {
    /// The worker.
    pub worker: WorkerId,
    /// The concurrency slots in use, in halves of a slot.
    pub half_slots: u8,
    /// The work left, in units of [`PeerLoad::WORK_UNIT`].
    pub work_units: u16,
    /// How the worker runs the sender's own requests: [`PeerLoad::SPEED_UNKNOWN`], [`PeerLoad::SPEED_UNRESPONSIVE`], else the
    /// service-time factor in 32nds of an octave around 128.
    pub speed_code: u8,
}

impl PeerLoad {
    /// Nothing is known of the worker's speed.
    pub const SPEED_UNKNOWN: u8 = 0;
    /// The worker does not respond.
    pub const SPEED_UNRESPONSIVE: u8 = 1;
    /// The unit of `work_units`, in nanoseconds of one slot.
    pub const WORK_UNIT: f64 = 16e6;

    const SPEED_CODE_OF_ONE: f64 = 128.0;
    const SPEED_CODES_PER_OCTAVE: f64 = 32.0;

    /// A report of slots and of work in nanoseconds, rounded to what it can carry.
    pub fn new(worker: WorkerId, slots: f64, work: f64, speed_code: u8) -> Self {
        PeerLoad {
            worker,
            half_slots: (2.0 * slots).ceil() as u8,
            work_units: (work / PeerLoad::WORK_UNIT) as u16,
            speed_code,
        }
    }

    /// The code of a service-time factor.
    pub fn encode_speed(service_time_factor: f64) -> u8 {
        (PeerLoad::SPEED_CODE_OF_ONE
            + PeerLoad::SPEED_CODES_PER_OCTAVE * service_time_factor.log2())
        .clamp(2.0, 255.0) as u8
    }

    /// The service-time factor, if it is known.
    pub fn service_time_factor(&self) -> Option<f64> {
        (self.speed_code > PeerLoad::SPEED_UNRESPONSIVE).then(|| {
            ((f64::from(self.speed_code) - PeerLoad::SPEED_CODE_OF_ONE)
                / PeerLoad::SPEED_CODES_PER_OCTAVE)
                .exp2()
        })
    }

    /// The concurrency slots in use.
    pub fn slots(&self) -> f64 {
        f64::from(self.half_slots) / 2.0
    }

    /// The work left, in nanoseconds of one slot.
    pub fn work(&self) -> f64 {
        f64::from(self.work_units) * PeerLoad::WORK_UNIT
    }
}

/// The position of a dispatcher among those that run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPosition {
    /// From 0 up, without gaps.
    pub rank: u16,
    /// How many dispatchers run.
    pub dispatchers: u16,
}

/// The end of a health check.
#[derive(Clone, Copy, Debug)]
pub struct HealthChecked {
    /// The worker.
    pub worker: WorkerId,
    /// How the check ended.
    pub outcome: Outcome,
    /// The worker's load report; empty if there was none.
    pub report: Report,
}

/// What happens outside the decisions.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list has changed, or could not be obtained.
    EndpointList {
        /// What the event covers.
        scope: ListScope,
        /// The endpoints.
        endpoints: Vec<Endpoint>,
    },
    /// A request has arrived.
    RequestArrived(Request),
    /// A worker has started to run an attempt.
    AttemptStarted {
        /// The request.
        request_id: RequestId,
        /// The number of the attempt, from 0.
        attempt_index: u8,
    },
    /// The answer has begun to reach the client, so no other can be given.
    StreamStarted {
        /// The request.
        request_id: RequestId,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnded),
    /// A health check has ended. No decision uses it, as attempts themselves show a worker's health; the simulator's
    /// protocol can deliver it.
    HealthChecked(HealthChecked),
    /// Another dispatcher reports its load at a worker.
    PeerLoad {
        /// The rank of the dispatcher.
        from: u16,
        /// Its load.
        load: PeerLoad,
    },
    /// The position among the dispatchers that run; none where it is not known and the settings count.
    FleetView(Option<FleetPosition>),
    /// Work may be sent to a warming worker beside this dispatcher's regular part.
    WarmUpGranted {
        /// The worker.
        worker: WorkerId,
        /// How much work, in nanoseconds of one slot.
        work: Nanos,
        /// When the grant expires.
        until: Nanos,
    },
    /// The client has disconnected.
    ClientDisconnected {
        /// The request.
        request_id: RequestId,
    },
    /// A timer has fired.
    TimerFired {
        /// The token that it was set with.
        token: u64,
    },
    /// The dispatcher is to end.
    ShuttingDown {
        /// The moment to which later deadlines are brought forward.
        by: Nanos,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request to the worker.
    SendAttempt {
        /// The request.
        request_id: RequestId,
        /// The worker.
        worker: WorkerId,
    },
    /// Check a worker's health. No decision asks for it, as attempts themselves show a worker's health; the simulator's
    /// protocol can carry it.
    CheckHealth {
        /// The worker.
        worker: WorkerId,
    },
    /// Answer that the request did not run.
    Reject {
        /// The request.
        request_id: RequestId,
        /// How long the client should wait before it tries again; 0 to leave it open.
        retry_after: Nanos,
    },
    /// Answer that the request failed and may have run.
    Fail {
        /// The request.
        request_id: RequestId,
    },
    /// Obtain the endpoint list and watch its changes.
    WatchEndpoints,
    /// Report the load at a worker to another dispatcher. Only where the settings allow it.
    SendPeerLoad {
        /// The rank of the dispatcher.
        to: u16,
        /// The load.
        load: PeerLoad,
    },
    /// Ask for a grant to send work to a warming worker.
    RequestWarmUpGrant {
        /// The worker.
        worker: WorkerId,
        /// How much work, in nanoseconds of one slot.
        work: Nanos,
    },
    /// State how much work may be granted to all dispatchers together for a warming worker.
    SetWarmUpBudget {
        /// The worker.
        worker: WorkerId,
        /// How much in any window, in nanoseconds of one slot; 0 once the worker is warm.
        work: Nanos,
        /// The length of the window.
        window: Nanos,
    },
    /// Set a timer.
    SetTimer {
        /// When it fires.
        at: Nanos,
        /// What [`Event::TimerFired`] returns.
        token: u64,
    },
    /// Write a line to the log.
    Log(String),
}
