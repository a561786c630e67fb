//! What goes into the engine and what comes out.
use rosewall::types::{FleetPosition, HealthChecked, Nanos, PeerLoad, RequestId, WorkerId};
use rosewall_protocol::client::{Answer, ClientRequest};
use rosewall_protocol::discovery::EndpointList;
use rosewall_protocol::worker::AttemptProgress;
use std::net::SocketAddr;

/// Something that happened.
pub enum Input {
    /// A request is complete.
    RequestArrived {
        /// Its number in this process.
        request_id: RequestId,
        /// When its last byte was read.
        at: Nanos,
        /// The request itself.
        request: ClientRequest,
    },
    /// The client of this request has closed its connection.
    ClientDisconnected(RequestId),
    /// A worker answered a part of an attempt, or the attempt ended.
    AttemptProgress {
        /// The request.
        request_id: RequestId,
        /// The number of its attempt.
        attempt_index: u8,
        /// What happened.
        progress: AttemptProgress,
    },
    /// A health check has ended.
    HealthChecked(HealthChecked),
    /// A load report of another dispatcher.
    PeerLoad {
        /// Its rank.
        from: u16,
        /// The report.
        load: PeerLoad,
    },
    /// The dispatcher's rank among those that run, if it is known.
    FleetView(Option<FleetPosition>),
    /// A warm-up grant was received.
    WarmUpGranted {
        /// The warming worker.
        worker: WorkerId,
        /// How much work may be sent there.
        work: Nanos,
        /// When the grant expires.
        until: Nanos,
    },
    /// Discovery sent an endpoint list.
    EndpointList(EndpointList),
    /// The endpoint list could not be had.
    EndpointListFailed,
    /// The program shuts down: all requests are to be answered by this moment.
    ShutDown(Nanos),
}

/// An attempt to be sent.
#[derive(Debug)]
pub struct OutboundAttempt {
    /// The request.
    pub request_id: RequestId,
    /// The number of the attempt.
    pub attempt_index: u8,
    /// The worker it goes to.
    pub worker: WorkerId,
    /// Where to connect.
    pub address: SocketAddr,
    /// The request's id as the client gave it, which the worker repeats in its answer.
    pub id: String,
    /// The bytes to write.
    pub message: Vec<u8>,
    /// How long a new connection may take to come up.
    pub connect_timeout: Nanos,
}

/// Something to be done; effects are carried out in their order.
#[derive(Debug)]
pub enum Effect {
    /// Send the one final answer of a request to its client.
    Answer {
        /// The request.
        request_id: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Send an attempt to a worker.
    SendAttempt(OutboundAttempt),
    /// Cancel an attempt unless its last byte was written: its client has disconnected, or its worker takes no new requests.
    CancelUnsent {
        /// The request.
        request_id: RequestId,
        /// The number of its attempt.
        attempt_index: u8,
    },
    /// Give up an attempt and close its connection.
    Abort {
        /// The request.
        request_id: RequestId,
        /// The number of its attempt.
        attempt_index: u8,
    },
    /// The attempt has ended. Its connection may be read on until it can be reused.
    Finished {
        /// The request.
        request_id: RequestId,
        /// The number of its attempt.
        attempt_index: u8,
    },
    /// Send a health check.
    CheckHealth {
        /// The worker.
        worker: WorkerId,
        /// Where to connect.
        address: SocketAddr,
        /// The name that discovery gives the worker.
        host: String,
        /// How long the check may take.
        timeout: Nanos,
    },
    /// Drop idle connections to the worker, but for those to this address.
    EvictIdle {
        /// The worker.
        worker: WorkerId,
        /// The address of its current process, if there is one.
        address: Option<SocketAddr>,
    },
    /// Send a load report to another dispatcher.
    SendPeerLoad {
        /// Its rank.
        to: u16,
        /// The report.
        load: PeerLoad,
    },
    /// Ask for a grant to send work to a warming worker.
    RequestWarmUpGrant {
        /// The worker.
        worker: WorkerId,
        /// How much work it is to cover.
        work: Nanos,
    },
    /// Set the warm-up budget of a worker, from which all dispatchers together get grants.
    SetWarmUpBudget {
        /// The worker.
        worker: WorkerId,
        /// How much work may be granted in one window.
        work: Nanos,
        /// The length of the window.
        window: Nanos,
    },
    /// The endpoint list may be polled now.
    WatchEndpoints,
}
