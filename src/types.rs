//! Interface of the decisions: events in, actions out. Independent of any protocol.

/// Time or duration, in whole nanoseconds.
pub type Nanos = u64;

/// Number of a request, unique within one process.
pub type RequestId = u32;

/// Address of a worker in the endpoint list. Its order determines how workers are divided into
/// subsets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId {
    /// Octets of the IPv4 address.
    pub addr: [u8; 4],
    /// TCP port.
    pub port: u16,
}

impl std::fmt::Display for WorkerId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", std::net::Ipv4Addr::from(self.addr), self.port)
    }
}

/// State of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The worker accepts requests.
    Ready,
    /// The worker completes its requests and accepts no new ones.
    Draining,
    /// The worker is no longer listed, or has been removed.
    #[default]
    Removed,
}

/// Entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    /// Address that identifies the worker.
    pub worker: WorkerId,
    /// State that the list gives; only ready workers get new requests.
    pub state: EndpointState,
    /// Zone of the worker, compared with the dispatcher's own zone.
    pub zone: u16,
    /// Type of the worker. Workers of one type run the same classes and have similar capacity.
    pub worker_type: u8,
    /// Capacity relative to other workers.
    pub size: f32,
    /// Start time of the worker's process; 0 if it is long ago.
    pub started: Nanos,
    /// Group of workers that share idempotency keys.
    pub group: u16,
}

/// Scope of an endpoint list event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Changed endpoints only.
    Delta,
    /// All endpoints. Workers that are not included have been removed.
    Snapshot,
    /// All endpoints as last known before a restart.
    Cached,
    /// No endpoints: the list could not be obtained.
    Failed,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker returned a result.
    Succeeded,
    /// The worker reported a failure. The request may have run.
    WorkerError,
    /// The worker reported the request as invalid. Any other worker would too.
    InvalidRequest,
    /// The worker rejected the request. The request did not run.
    AtCapacity,
    /// The deadline passed before a result. The request may have run.
    TimedOut,
    /// No connection, or it was lost before the last byte of the request was sent. The request did
    /// not run.
    ConnectFailed,
    /// The connection was lost after the last byte of the request was sent. The request may have run.
    ConnectionLost,
    /// Cancelled after it was sent. The request may have run.
    Cancelled,
    /// Never sent. The request did not run.
    NotSent,
}

/// Load report of a worker: the values of the setting `report.fields`, in the order of the setting.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Number of values; 0 if the worker sent no report.
    pub count: usize,
    /// Values of the report. Elements from index `count` on are undefined.
    pub values: [f32; 4],
}

/// Request as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Number that identifies the request in later events and actions.
    pub id: RequestId,
    /// Index of the request class in the settings.
    pub class: u8,
    /// Index of the tenant in the settings.
    pub tenant: u16,
    /// Service time that the client expects; `None` if it stated none.
    pub hint: Option<Nanos>,
    /// Concurrency slots that the request uses at a worker.
    pub slots: f32,
    /// Units of memory that the request uses. A worker has one unit for each slot.
    pub memory: f32,
    /// Time at which the client stops waiting.
    pub deadline: Nanos,
}

/// End of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded {
    /// Request that the attempt belongs to.
    pub request_id: RequestId,
    /// Index of the attempt within the request, from 0.
    pub attempt_index: u8,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Whether the request has its final answer, from this attempt or an earlier event.
    pub complete: bool,
    /// Load report of the worker; empty if it sent none.
    pub report: Report,
}

/// Load of one dispatcher at one worker, as reported to other dispatchers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerLoad {
    /// Worker that the load is at.
    pub worker: WorkerId,
    /// Concurrency slots in use, in halves of a slot.
    pub half_slots: u8,
    /// Remaining work, in units of [`PeerLoad::WORK_UNIT`].
    pub work_units: u16,
    /// Speed of the worker for the sender's own requests: [`PeerLoad::SPEED_UNKNOWN`],
    /// [`PeerLoad::SPEED_UNRESPONSIVE`], or the service-time factor in 32nds of an octave, where 128
    /// is a factor of 1.
    pub speed_code: u8,
}

impl PeerLoad {
    /// Speed code for a worker of unknown speed.
    pub const SPEED_UNKNOWN: u8 = 0;
    /// Speed code for a worker that does not respond.
    pub const SPEED_UNRESPONSIVE: u8 = 1;
    /// Unit of `work_units`, in nanoseconds of one slot.
    pub const WORK_UNIT: f64 = 16e6;

    const SPEED_CODE_OF_ONE: f64 = 128.0;
    const SPEED_CODES_PER_OCTAVE: f64 = 32.0;

    /// Creates a report of slots and of work in nanoseconds of one slot. In the units of the report,
    /// slots are rounded up and work is rounded down; larger values are limited to the maximum.
    pub fn new(worker: WorkerId, slots: f64, work: f64, speed_code: u8) -> Self {
        PeerLoad {
            worker,
            half_slots: (2.0 * slots).ceil() as u8,
            work_units: (work / PeerLoad::WORK_UNIT) as u16,
            speed_code,
        }
    }

    /// Returns the speed code of a service-time factor, limited to the range from 2 to 255.
    pub fn encode_speed(service_time_factor: f64) -> u8 {
        (PeerLoad::SPEED_CODE_OF_ONE
            + PeerLoad::SPEED_CODES_PER_OCTAVE * service_time_factor.log2())
        .clamp(2.0, 255.0) as u8
    }

    /// Returns the service-time factor; `None` if the speed is unknown or the worker unresponsive.
    pub fn service_time_factor(&self) -> Option<f64> {
        (self.speed_code > PeerLoad::SPEED_UNRESPONSIVE).then(|| {
            ((f64::from(self.speed_code) - PeerLoad::SPEED_CODE_OF_ONE)
                / PeerLoad::SPEED_CODES_PER_OCTAVE)
                .exp2()
        })
    }

    /// Returns the concurrency slots in use, as a multiple of 0.5.
    pub fn slots(&self) -> f64 {
        f64::from(self.half_slots) / 2.0
    }

    /// Returns the remaining work, in nanoseconds of one slot.
    pub fn work(&self) -> f64 {
        f64::from(self.work_units) * PeerLoad::WORK_UNIT
    }
}

/// Position of a dispatcher among the running dispatchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPosition {
    /// Rank, from 0 without gaps.
    pub rank: u16,
    /// Number of running dispatchers.
    pub dispatchers: u16,
}

/// End of a health check.
#[derive(Clone, Copy, Debug)]
pub struct HealthChecked {
    /// Worker that was checked.
    pub worker: WorkerId,
    /// Outcome of the check.
    pub outcome: Outcome,
    /// Load report of the worker; empty if it sent none.
    pub report: Report,
}

/// Input to the decisions.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list has changed, or could not be obtained.
    EndpointList {
        /// Scope of the event.
        scope: ListScope,
        /// Endpoints within the scope; empty if the list could not be obtained.
        endpoints: Vec<Endpoint>,
    },
    /// A request has arrived.
    RequestArrived(Request),
    /// A worker has started to run an attempt.
    AttemptStarted {
        /// Request that the attempt belongs to.
        request_id: RequestId,
        /// Index of the attempt within the request, from 0.
        attempt_index: u8,
    },
    /// The response has begun to reach the client. No other answer can be sent.
    StreamStarted {
        /// Request that is being answered.
        request_id: RequestId,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnded),
    /// A health check has ended. No decision uses it, as attempts already show a worker's health. The
    /// simulator's protocol can deliver it.
    HealthChecked(HealthChecked),
    /// Another dispatcher has reported its load at a worker.
    PeerLoad {
        /// Rank of the sender.
        from: u16,
        /// Load of the sender at the worker.
        load: PeerLoad,
    },
    /// The position among the running dispatchers has changed. `None` if it is unknown; the settings
    /// then apply.
    FleetView(Option<FleetPosition>),
    /// A grant allows work to be sent to a warming worker in addition to this dispatcher's regular
    /// allowance.
    WarmUpGranted {
        /// Warming worker that the grant is for.
        worker: WorkerId,
        /// Granted work, in nanoseconds of one slot.
        work: Nanos,
        /// Time at which the grant expires.
        until: Nanos,
    },
    /// The client has disconnected.
    ClientDisconnected {
        /// Request of the client.
        request_id: RequestId,
    },
    /// A timer has fired.
    TimerFired {
        /// Token from [`Action::SetTimer`].
        token: u64,
    },
    /// The dispatcher is shutting down.
    ShuttingDown {
        /// Upper bound for the deadlines of all active requests.
        by: Nanos,
    },
}

/// Output of the decisions, to be executed by the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a worker.
    SendAttempt {
        /// Request to send.
        request_id: RequestId,
        /// Worker to send it to.
        worker: WorkerId,
        /// Time by which its last byte must be written. Later the attempt must end as
        /// [`Outcome::NotSent`] instead.
        send_by: Nanos,
    },
    /// Check a worker's health. No decision requests it, as attempts already show a worker's health.
    /// The simulator's protocol can carry it.
    CheckHealth {
        /// Worker to check.
        worker: WorkerId,
    },
    /// Answer that the request did not run.
    Reject {
        /// Request to answer.
        request_id: RequestId,
        /// Time that the client should wait before it retries; 0 to state none.
        retry_after: Nanos,
    },
    /// Answer that the request failed and may have run.
    Fail {
        /// Request to answer.
        request_id: RequestId,
    },
    /// Obtain the endpoint list and watch its changes.
    WatchEndpoints,
    /// Report the load at a worker to another dispatcher. Only used if the settings allow it.
    SendPeerLoad {
        /// Rank of the receiver.
        to: u16,
        /// Load of this dispatcher at the worker.
        load: PeerLoad,
    },
    /// Request a grant to send work to a warming worker.
    RequestWarmUpGrant {
        /// Warming worker to send the work to.
        worker: WorkerId,
        /// Requested work, in nanoseconds of one slot.
        work: Nanos,
    },
    /// Set the work that may be granted to all dispatchers together for a warming worker.
    SetWarmUpBudget {
        /// Worker that the budget is for.
        worker: WorkerId,
        /// Work in any window, in nanoseconds of one slot; 0 once the worker is warm.
        work: Nanos,
        /// Length of the window.
        window: Nanos,
    },
    /// Set a timer.
    SetTimer {
        /// Time at which the timer fires.
        at: Nanos,
        /// Token that [`Event::TimerFired`] returns.
        token: u64,
    },
    /// Write a line to the log.
    Log(String),
}
