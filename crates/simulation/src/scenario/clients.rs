//! Clients of a scenario.
use super::one;
use serde::{Deserialize, Serialize};

/// Clients that send requests at random times.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Index of the class of the requests.
    #[serde(rename = "scheme")]
    pub class: usize,
    /// Requests per second, over all dispatchers.
    pub rate: f64,
    /// Begin of the load, in milliseconds; 0 by default.
    #[serde(default)]
    pub from_ms: u64,
    /// End of the load, in milliseconds; `length_ms` of the scenario by default.
    #[serde(default)]
    pub until_ms: Option<u64>,
    /// Lowest and highest work of a request, in milliseconds of one slot.
    pub work_ms: [f64; 2],
    /// Maximum number of retries by the client of a request that is safe to retry; 0 by default.
    #[serde(default)]
    pub retries: usize,
    /// Fraction (0 to 1) of clients that disconnect before their deadline; 0 by default.
    #[serde(default, rename = "leave")]
    pub disconnect_share: f64,
    /// Whether requests carry a work hint.
    #[serde(default)]
    pub hints: bool,
}

/// Single request at a fixed time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SingleRequest {
    /// Time at which the request is sent, in milliseconds.
    pub at_ms: f64,
    /// Index of the class of the request.
    #[serde(rename = "scheme")]
    pub class: usize,
    /// Index of the dispatcher that receives the request; 0 by default.
    #[serde(default)]
    pub dispatcher: usize,
    /// Work of the request, in milliseconds of one slot.
    pub work_ms: f64,
    /// Deadline of the request, in milliseconds after it is sent; the deadline of the class by
    /// default.
    #[serde(default, rename = "within_ms")]
    pub timeout_ms: Option<f64>,
    /// Time after which the client disconnects, in milliseconds; absent if it does not.
    #[serde(default, rename = "leave_ms")]
    pub disconnect_after_ms: Option<f64>,
}

/// Violation of the protocol by a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Misbehaviour {
    /// Connects and sends nothing.
    Silent,
    /// Sends random bytes.
    Garbage,
    /// Sends a part of a request head.
    HalfHead,
    /// Sends a part of a body.
    HalfBody,
    /// Sends one byte at a time, slowly.
    Trickle,
    /// Sends a head that is too large.
    HugeHead,
    /// Sends a body that is too large.
    HugeBody,
    /// Sends a chunked body that never ends.
    EndlessChunks,
    /// Sends a request without an id.
    NoId,
    /// Sends a request of a class that does not exist.
    #[serde(rename = "unknown-scheme")]
    UnknownClass,
    /// Sends a request with two different content lengths.
    TwoLengths,
    /// Sends a chunked request with a content length.
    LengthAndChunks,
    /// Ends lines in bare line feeds.
    BareLineFeeds,
    /// Sends the id of an active request over another connection.
    SameId,
    /// Closes its side for writing, which dispatchers treat as a disconnect, and continues to read.
    HalfClose,
    /// Pipelines requests and reads no response.
    Unread,
    /// Sends an HTTP/1.0 request.
    OldVersion,
    /// Pipelines requests, sends some MB behind them, and closes its connection.
    LeaveUnread,
    /// Sends small requests on one connection as fast as they are taken, and reads the responses.
    Flood,
}

/// All kinds of misbehaviour, in the order of [`Misbehaviour`].
pub const ALL_MISBEHAVIOURS: [Misbehaviour; 17] = [
    Misbehaviour::Silent,
    Misbehaviour::Garbage,
    Misbehaviour::HalfHead,
    Misbehaviour::HalfBody,
    Misbehaviour::Trickle,
    Misbehaviour::HugeHead,
    Misbehaviour::HugeBody,
    Misbehaviour::EndlessChunks,
    Misbehaviour::NoId,
    Misbehaviour::UnknownClass,
    Misbehaviour::TwoLengths,
    Misbehaviour::LengthAndChunks,
    Misbehaviour::BareLineFeeds,
    Misbehaviour::SameId,
    Misbehaviour::HalfClose,
    Misbehaviour::Unread,
    Misbehaviour::OldVersion,
];

/// Clients that violate the protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MisbehavingClient {
    /// Time at which the clients connect, in milliseconds.
    pub at_ms: f64,
    /// Kind of misbehaviour.
    pub kind: Misbehaviour,
    /// Number of clients; 1 by default.
    #[serde(default = "one")]
    pub count: usize,
    /// Index of the dispatcher to which the clients connect; 0 by default.
    #[serde(default)]
    pub dispatcher: usize,
}
