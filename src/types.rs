//! The words between the decisions and whatever carries them: events in, actions out.

/// Times and spans, in whole nanoseconds.
pub type Nanos = u64;
pub type RequestId = u32;

/// A worker's address, as it was given; its order is the order of the lanes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId {
    pub addr: [u8; 4],
    pub port: u16,
}

impl std::fmt::Display for WorkerId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", std::net::Ipv4Addr::from(self.addr), self.port)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    Ready,
    Draining,
    #[default]
    Removed,
}

/// One line of the list of workers. `started` is 0 for a worker that has been up for long.
#[derive(Clone, Copy, Debug)]
pub struct Endpoint {
    pub worker: WorkerId,
    pub state: EndpointState,
    pub zone: u16,
    pub worker_type: u8,
    pub size: f32,
    pub started: Nanos,
    pub group: u16,
}

/// What a list event covers. `Kept` is the whole list as last known before a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    Delta,
    Snapshot,
    Cached,
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Succeeded,
    WorkerError,
    /// The worker finds fault with the job itself, as any other would.
    InvalidRequest,
    AtCapacity,
    TimedOut,
    ConnectFailed,
    ConnectionLost,
    Cancelled,
    NotSent,
}

/// A worker's load report: the values of the setting `report.fields`, in its order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    pub count: usize,
    pub values: [f32; 4],
}

/// A request as it comes in. `deadline` is the moment at which the client stops waiting.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub id: RequestId,
    pub class: u8,
    pub tenant: u16,
    pub hint: Option<Nanos>,
    pub slots: f32,
    pub memory: f32,
    pub deadline: Nanos,
}

/// How an attempt ended; `complete` when the request has its final answer with it or had it before.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded {
    pub request_id: RequestId,
    pub attempt_index: u8,
    pub outcome: Outcome,
    pub complete: bool,
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
    pub work: u16,
    /// How the worker runs the sender's own requests: [`PeerLoad::SPEED_UNKNOWN`], [`PeerLoad::SPEED_SILENT`], else the
    /// service-time factor in 32nds of an octave around 128.
    pub speed_code: u8,
}

impl PeerLoad {
    /// Nothing is known of the worker's speed.
    pub const SPEED_UNKNOWN: u8 = 0;
    /// The worker does not respond.
    pub const SPEED_SILENT: u8 = 1;
    /// The unit of `work`, in nanoseconds of one slot.
    pub const WORK_UNIT: f64 = 16e6;

    const SPEED_CODE_OF_ONE: f64 = 128.0;
    const SPEED_CODES_PER_OCTAVE: f64 = 32.0;

    /// A report of slots and of work in nanoseconds, rounded to what it can carry.
    pub fn new(worker: WorkerId, slots: f64, work: f64, speed_code: u8) -> Self {
        PeerLoad {
            worker,
            half_slots: (2.0 * slots).ceil() as u8,
            work: (work / PeerLoad::WORK_UNIT) as u16,
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
        (self.speed_code > PeerLoad::SPEED_SILENT).then(|| {
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
        f64::from(self.work) * PeerLoad::WORK_UNIT
    }
}

/// The position of a dispatcher among those that run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPosition {
    /// From 0 up, without gaps.
    pub rank: u16,
    /// How many run.
    pub dispatchers: u16,
}

/// The answer to a probe.
#[derive(Clone, Copy, Debug)]
pub struct HealthChecked {
    pub worker: WorkerId,
    pub outcome: Outcome,
    pub report: Report,
}

#[derive(Clone, Debug)]
pub enum Event {
    EndpointList {
        scope: ListScope,
        endpoints: Vec<Endpoint>,
    },
    RequestArrived(Request),
    AttemptStarted {
        request_id: RequestId,
        attempt_index: u8,
    },
    StreamStarted {
        request_id: RequestId,
    },
    AttemptEnded(AttemptEnded),
    HealthChecked(HealthChecked),
    /// Another dispatcher, by its number, tells what it has out.
    PeerLoad {
        from: u16,
        load: PeerLoad,
    },
    /// This dispatcher's place among so many that run; none where that is not known: then as the settings say.
    FleetView(Option<FleetPosition>),
    /// So much work may be sent to a cold worker up to then, beside what it has a part in anyway.
    WarmUpGranted {
        worker: WorkerId,
        work: Nanos,
        until: Nanos,
    },
    ClientGone {
        request_id: RequestId,
    },
    TimerFired {
        token: u64,
    },
    /// The dispatcher is to end: deadlines later than `by` are brought forward to it.
    ShuttingDown {
        by: Nanos,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    SendAttempt {
        request_id: RequestId,
        worker: WorkerId,
    },
    CheckHealth {
        worker: WorkerId,
    },
    Reject {
        request_id: RequestId,
        retry_after: Nanos,
    },
    Fail {
        request_id: RequestId,
    },
    WatchEndpoints,
    /// To another dispatcher, by its number; only where the settings allow it.
    SendPeerLoad {
        to: u16,
        load: PeerLoad,
    },
    /// A right to send so much work to a cold worker is wanted.
    RequestWarmUpGrant {
        worker: WorkerId,
        work: Nanos,
    },
    /// What all dispatchers together may be given for a cold worker in any window; 0 once it is warm.
    SetWarmUpBudget {
        worker: WorkerId,
        work: Nanos,
        window: Nanos,
    },
    SetTimer {
        at: Nanos,
        token: u64,
    },
    Log(String),
}
