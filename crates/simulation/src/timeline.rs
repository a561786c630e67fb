//! Timeline of a simulation: a digest of all recorded events and, on request, a line of text for
//! each.
use rosewall::types::Nanos;

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Selects whether the lines of the timeline are collected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trace {
    /// Computes the digest only.
    Off,
    /// Collects the lines as well.
    On,
}

/// Kind of a timeline entry. Digests include the position in this list: add new kinds at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimelineEvent {
    /// A client is about to send a request.
    RequestCreated,
    /// A client resends a request over a new connection.
    RequestResent,
    /// A client has received a complete response.
    ResponseReceived,
    /// A client's connection ended without a response.
    ResponseLost,
    /// A client stopped waiting for a response.
    RequestTimedOut,
    /// A client disconnected before its deadline.
    ClientDisconnected,
    /// A client violates the protocol.
    ClientMisbehaves,
    /// A second request with the same id was answered.
    ReusedIdAnswered,
    /// A complete attempt has reached a worker.
    AttemptArrived,
    /// A worker starts to execute a request.
    ExecutionStarted,
    /// A worker answers with a malformed response.
    MalformedResponse,
    /// A worker is overloaded while warming up.
    WorkerOverloaded,
    /// A worker's process has ended.
    WorkerTerminated,
    /// A new process of a worker has started.
    WorkerRestarted,
    /// An endpoint list was sent to a dispatcher.
    EndpointsPublished,
    /// A dispatcher's process has started.
    DispatcherStarted,
    /// A dispatcher's process was killed.
    DispatcherKilled,
    /// The shutdown of a dispatcher has begun.
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

/// One collected line of the timeline.
pub struct TimelineEntry {
    /// Virtual time of the event.
    pub at: Nanos,
    /// Label and description of the event.
    pub text: String,
}

/// Digest of all recorded events, and their lines if a trace is on.
pub struct Timeline {
    digest: u64,
    entries: Option<Vec<TimelineEntry>>,
}

impl Timeline {
    /// Creates an empty timeline.
    pub fn new(trace: Trace) -> Self {
        Timeline {
            digest: FNV_OFFSET_BASIS,
            entries: (trace == Trace::On).then(Vec::new),
        }
    }

    /// Returns the digest of all events recorded so far.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Removes and returns the collected lines; empty without a trace.
    pub fn take_entries(&mut self) -> Vec<TimelineEntry> {
        self.entries.take().unwrap_or_default()
    }

    /// Records an event. The time, the kind, `a` and `b` go into the digest; `text` does not.
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
