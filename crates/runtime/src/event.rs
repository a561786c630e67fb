//! What the tasks report to the task of the engine.
use crate::context::WorkerConnection;
use crate::traits::Runtime;
use async_channel::Sender;
use rosewall::types::{FleetPosition, HealthChecked, Nanos, PeerLoad, RequestId, WorkerId};
use rosewall_protocol::client::{Answer, ClientRequest};
use rosewall_protocol::discovery::EndpointList;
use rosewall_protocol::worker::AttemptProgress;

/// One report.
pub enum EngineEvent<R: Runtime> {
    /// A client sent a request.
    RequestArrived {
        /// Its number in this process.
        request_id: RequestId,
        /// When it arrived.
        at: Nanos,
        /// The request.
        request: ClientRequest,
        /// Where its answer goes.
        reply: Sender<Answer>,
    },
    /// The client of a request closed its connection.
    ClientDisconnected(RequestId),
    /// A worker, or the connection to it, reports on an attempt.
    AttemptProgress {
        /// The request.
        request_id: RequestId,
        /// Which attempt of it.
        attempt_index: u8,
        /// The report.
        progress: AttemptProgress,
    },
    /// A connection to a worker may be used again.
    ConnectionIdle {
        /// The worker.
        worker: WorkerId,
        /// The connection.
        connection: WorkerConnection<R::Stream>,
    },
    /// A health check ended.
    HealthChecked(HealthChecked),
    /// This dispatcher's position among those that run, if it is known.
    FleetView(Option<FleetPosition>),
    /// Work may be sent to a worker that is warming up.
    WarmUpGranted {
        /// The worker.
        worker: WorkerId,
        /// How much work.
        work: Nanos,
        /// Until when.
        until: Nanos,
    },
    /// Another dispatcher reports its load on a worker.
    PeerLoad {
        /// The number of the dispatcher.
        from: u16,
        /// The report.
        load: PeerLoad,
    },
    /// The discovery service sent a list.
    EndpointList(EndpointList),
    /// The watch on the list broke.
    WatchFailed,
    /// The program ends: all requests are to be answered by this moment.
    ShutDown(Nanos),
}
