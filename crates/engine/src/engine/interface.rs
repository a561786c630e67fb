//! Inputs and effects of the engine.
use rosewall::types::{FleetPosition, HealthChecked, Nanos, PeerLoad, RequestId, WorkerId};
use rosewall_protocol::client::{Answer, ClientRequest};
use rosewall_protocol::discovery::EndpointList;
use rosewall_protocol::worker::{AttemptProgress, EncodedRequest};
use std::net::SocketAddr;

/// Event from outside the engine.
pub enum Input {
    /// A complete request was read from a client.
    RequestArrived {
        /// Number of the request, unique in this process.
        request_id: RequestId,
        /// Time at which its last byte was read.
        at: Nanos,
        /// Request as the client sent it.
        request: ClientRequest,
    },
    /// The client of this request has closed its connection.
    ClientDisconnected(RequestId),
    /// A worker reported progress on an attempt, or the attempt ended.
    AttemptProgress {
        /// Request that the attempt belongs to.
        request_id: RequestId,
        /// Index of the attempt within the request, from 0.
        attempt_index: u8,
        /// Start, result or end of the attempt.
        progress: AttemptProgress,
    },
    /// A health check has ended.
    HealthChecked(HealthChecked),
    /// A load report was received from another dispatcher.
    PeerLoad {
        /// Rank of the sender.
        from: u16,
        /// Load that the sender places on one worker.
        load: PeerLoad,
    },
    /// This dispatcher's rank among the running dispatchers; `None` if it is unknown.
    FleetView(Option<FleetPosition>),
    /// A warm-up grant was received.
    WarmUpGranted {
        /// Worker that is warming up.
        worker: WorkerId,
        /// Work that may be sent to it, in nanoseconds of one concurrency slot.
        work: Nanos,
        /// Time at which the grant expires.
        until: Nanos,
    },
    /// An endpoint list was received from discovery.
    EndpointList(EndpointList),
    /// A watch on a polled endpoint list failed.
    EndpointListFailed,
    /// The program is shutting down; all requests must be answered by this time.
    ShutDown(Nanos),
}

/// Attempt to send to a worker.
#[derive(Debug)]
pub struct OutboundAttempt {
    /// Request that the attempt belongs to.
    pub request_id: RequestId,
    /// Index of the attempt within the request, from 0.
    pub attempt_index: u8,
    /// Worker that receives the attempt.
    pub worker: WorkerId,
    /// Address to connect to.
    pub address: SocketAddr,
    /// Request id chosen by the client; the worker repeats it in its answer.
    pub id: String,
    /// Encoded HTTP request. Its time-out must be set again when it is written.
    pub message: EncodedRequest,
    /// Deadline of the request, until which the worker's answer is waited for.
    pub deadline: Nanos,
    /// Time by which the last byte must be written. Later the attempt must end as
    /// [`NotSent`](rosewall::types::Outcome::NotSent) instead.
    pub send_by: Nanos,
    /// Longest time that opening a new connection may take.
    pub connect_timeout: Nanos,
}

/// Operation for the caller to execute. Effects must be executed in order.
#[derive(Debug)]
pub enum Effect {
    /// Send the one final answer of a request to its client.
    Answer {
        /// Request to answer.
        request_id: RequestId,
        /// Final answer.
        answer: Answer,
    },
    /// Send an attempt to a worker.
    SendAttempt(OutboundAttempt),
    /// Cancel an attempt at once unless its last byte was written. Its client has disconnected, or
    /// its worker was replaced or is not ready.
    CancelUnsent {
        /// Request that the attempt belongs to.
        request_id: RequestId,
        /// Index of the attempt within the request, from 0.
        attempt_index: u8,
    },
    /// Advance the time by which an attempt must be sent.
    AdvanceSendDeadline {
        /// Request that the attempt belongs to.
        request_id: RequestId,
        /// Index of the attempt within the request, from 0.
        attempt_index: u8,
        /// Time by which the last byte must be written, unless an earlier one was given.
        send_by: Nanos,
    },
    /// Abort an attempt and close its connection.
    Abort {
        /// Request that the attempt belongs to.
        request_id: RequestId,
        /// Index of the attempt within the request, from 0.
        attempt_index: u8,
    },
    /// Release the connection of an ended attempt. The rest of the answer may be read, which makes
    /// the connection reusable.
    Finished {
        /// Request that the attempt belongs to.
        request_id: RequestId,
        /// Index of the attempt within the request, from 0.
        attempt_index: u8,
    },
    /// Send a health check.
    CheckHealth {
        /// Worker to check.
        worker: WorkerId,
        /// Address to connect to.
        address: SocketAddr,
        /// Host name of the worker, as given by discovery.
        host: String,
        /// Longest time that the check may take, including the connection.
        timeout: Nanos,
    },
    /// Close idle connections to a worker, except those to its current address.
    EvictIdle {
        /// Worker whose connections are closed.
        worker: WorkerId,
        /// Address of its current process; `None` closes all its idle connections.
        address: Option<SocketAddr>,
    },
    /// Send a load report to another dispatcher.
    SendPeerLoad {
        /// Rank of the receiver.
        to: u16,
        /// Load that this dispatcher places on one worker.
        load: PeerLoad,
    },
    /// Request a grant to send work to a worker that is warming up.
    RequestWarmUpGrant {
        /// Worker that the grant is for.
        worker: WorkerId,
        /// Work that the grant must cover, in nanoseconds of one concurrency slot.
        work: Nanos,
    },
    /// Set the warm-up budget of a worker, from which the grants of all dispatchers are taken.
    SetWarmUpBudget {
        /// Worker that the budget is for.
        worker: WorkerId,
        /// Work that may be granted in one window, in nanoseconds of one concurrency slot.
        work: Nanos,
        /// Length of the window.
        window: Nanos,
    },
    /// Permit the next poll of the endpoint list.
    WatchEndpoints,
}
