//! Events that the other tasks send to the engine's task.
use crate::context::WorkerConnection;
use crate::traits::Runtime;
use async_channel::Sender;
use rosewall::types::{FleetPosition, HealthChecked, Nanos, PeerLoad, RequestId, WorkerId};
use rosewall_protocol::client::{Answer, ClientRequest};
use rosewall_protocol::discovery::EndpointList;
use rosewall_protocol::worker::AttemptProgress;

/// Event for the engine's task.
pub enum EngineEvent<R: Runtime> {
    /// A client sent a request.
    RequestArrived {
        /// Number of the request in this process.
        request_id: RequestId,
        /// Arrival time.
        at: Nanos,
        /// The complete request.
        request: ClientRequest,
        /// Channel to the client's task for the answer.
        reply: Sender<Answer>,
    },
    /// The client closed its connection before this request was answered.
    ClientDisconnected(RequestId),
    /// An attempt started or ended, according to the worker or the state of its connection.
    AttemptProgress {
        /// Number of the request in this process.
        request_id: RequestId,
        /// Index of the attempt within the request.
        attempt_index: u8,
        /// Start of the attempt, or its end with the outcome.
        progress: AttemptProgress,
    },
    /// A connection to a worker can be reused.
    ConnectionIdle {
        /// Worker that the connection was opened to.
        worker: WorkerId,
        /// Open connection without an active request.
        connection: WorkerConnection<R::Stream>,
    },
    /// A health check ended.
    HealthChecked(HealthChecked),
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
    /// The discovery service sent a snapshot or a delta of the endpoint list.
    EndpointList(EndpointList),
    /// A watch on a polled endpoint list failed.
    WatchFailed,
    /// The dispatcher shuts down: all requests must be answered by this time.
    ShutDown(Nanos),
}
