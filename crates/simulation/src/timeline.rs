//! The timeline of a simulation: a digest of all that was recorded, and the lines themselves where they are wanted.
use rosewall::types::Nanos;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Whether the lines of the timeline are collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trace {
    /// Only the digest is kept.
    Off,
    /// The lines are collected.
    On,
}

/// What a line of the timeline records. The digest takes the place in this list: new kinds go to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimelineEvent {
    /// A client is about to send a request.
    RequestCreated,
    /// A client sends a request again over a new connection.
    RequestResent,
    /// A client has received a complete response.
    ResponseReceived,
    /// A client's connection ended without a response.
    ResponseLost,
    /// A client gave up waiting.
    RequestTimedOut,
    /// A client disconnected before its deadline.
    ClientDisconnected,
    /// A client breaks the protocol.
    ClientMisbehaves,
    /// The second request with one id was answered.
    ReusedIdAnswered,
    /// A complete attempt has reached a worker.
    AttemptArrived,
    /// A worker begins to run a request.
    ExecutionStarted,
    /// A worker answers with a malformed response.
    MalformedResponse,
    /// A warming worker is overloaded.
    WorkerOverloaded,
    /// A worker's process has ended.
    WorkerTerminated,
    /// A new process of a worker has started.
    WorkerRestarted,
    /// An endpoint list was written to a dispatcher.
    EndpointsPublished,
    /// A dispatcher's process has started.
    DispatcherStarted,
    /// A dispatcher's process was killed.
    DispatcherKilled,
    /// A dispatcher was told to shut down.
    DispatcherStopping,
    /// A dispatcher's process has ended after its shutdown.
    DispatcherStopped,
    /// A fault begins.
    FaultInjected,
}

impl TimelineEvent {
    fn label(self) -> &'static str {
        match self {
            Self::RequestCreated => "request-created",
            Self::RequestResent => "request-resent",
            Self::ResponseReceived => "response-received",
            Self::ResponseLost => "response-lost",
            Self::RequestTimedOut => "request-timed-out",
            Self::ClientDisconnected => "client-disconnected",
            Self::ClientMisbehaves => "client-misbehaves",
            Self::ReusedIdAnswered => "reused-id-answered",
            Self::AttemptArrived => "attempt-arrived",
            Self::ExecutionStarted => "execution-started",
            Self::MalformedResponse => "malformed-response",
            Self::WorkerOverloaded => "worker-overloaded",
            Self::WorkerTerminated => "worker-terminated",
            Self::WorkerRestarted => "worker-restarted",
            Self::EndpointsPublished => "endpoints-published",
            Self::DispatcherStarted => "dispatcher-started",
            Self::DispatcherKilled => "dispatcher-killed",
            Self::DispatcherStopping => "dispatcher-stopping",
            Self::DispatcherStopped => "dispatcher-stopped",
            Self::FaultInjected => "fault-injected",
        }
    }
}

/// One line of the timeline.
pub struct TimelineEntry {
    /// When it was recorded.
    pub at: Nanos,
    /// What happened.
    pub text: String,
}

/// A digest of all that was recorded, and the lines where they are wanted.
pub struct Timeline {
    digest: u64,
    entries: Option<Vec<TimelineEntry>>,
}

impl Timeline {
    /// An empty timeline.
    pub fn new(trace: Trace) -> Self {
        Timeline {
            digest: FNV_OFFSET_BASIS,
            entries: (trace == Trace::On).then(Vec::new),
        }
    }

    /// A digest of all that was recorded so far.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Takes the lines that were collected.
    pub fn take_entries(&mut self) -> Vec<TimelineEntry> {
        self.entries.take().unwrap_or_default()
    }

    /// Records an event; `a` and `b` go into the digest with it.
    pub fn record(
        &mut self,
        at: Nanos,
        event: TimelineEvent,
        [a, b]: [u64; 2],
        text: impl FnOnce() -> String,
    ) {
        for part in [at, event as u64, a, b] {
            self.digest = (self.digest ^ part).wrapping_mul(FNV_PRIME).rotate_left(23);
        }
        if let Some(entries) = &mut self.entries {
            entries.push(TimelineEntry {
                at,
                text: format!("{} {}", event.label(), text()),
            });
        }
    }
}
