//! The clients of a scenario.
use super::one;
use serde::{Deserialize, Serialize};

/// Clients that send requests at random moments.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The index of the requests' class.
    #[serde(rename = "scheme")]
    pub class: usize,
    /// Requests a second, over all dispatchers.
    pub rate: f64,
    /// When the load begins.
    #[serde(default)]
    pub from_ms: u64,
    /// When the load ends; with the simulation where it is left out.
    #[serde(default)]
    pub until_ms: Option<u64>,
    /// The lowest and the highest work of a request.
    pub work_ms: [f64; 2],
    /// How many times a client retries a request that is safe to retry.
    #[serde(default)]
    pub retries: usize,
    /// The share of clients that disconnect before their deadline.
    #[serde(default, rename = "leave")]
    pub disconnect_share: f64,
    /// Whether requests carry a hint of their work.
    #[serde(default)]
    pub hints: bool,
}

/// One request at one moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SingleRequest {
    /// When it is sent.
    pub at_ms: f64,
    /// The index of its class.
    #[serde(rename = "scheme")]
    pub class: usize,
    /// The dispatcher that gets it.
    #[serde(default)]
    pub dispatcher: usize,
    /// Its work.
    pub work_ms: f64,
    /// How long its client waits; the deadline of its class where it is left out.
    #[serde(default, rename = "within_ms")]
    pub timeout_ms: Option<f64>,
    /// After how long its client disconnects, if it does.
    #[serde(default, rename = "leave_ms")]
    pub disconnect_after_ms: Option<f64>,
}

/// How a client breaks the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Misbehaviour {
    /// It connects and sends nothing.
    Silent,
    /// It sends random bytes.
    Garbage,
    /// It sends a part of a head.
    HalfHead,
    /// It sends a part of a body.
    HalfBody,
    /// It sends one byte at a time, slowly.
    Trickle,
    /// Its head is too large.
    HugeHead,
    /// Its body is too large.
    HugeBody,
    /// Its chunked body never ends.
    EndlessChunks,
    /// Its request has no id.
    NoId,
    /// Its request names a class that does not exist.
    #[serde(rename = "unknown-scheme")]
    UnknownClass,
    /// Its request has two different lengths.
    TwoLengths,
    /// Its request has a length and is chunked.
    LengthAndChunks,
    /// Its lines end in bare line feeds.
    BareLineFeeds,
    /// It sends the id of an active request over another connection.
    SameId,
    /// It closes its side for writing, which means that it disconnected, and still reads.
    HalfClose,
    /// It pipelines requests and reads no response.
    Unread,
    /// It speaks HTTP/1.0.
    OldVersion,
}

/// Every way in which a client breaks the protocol.
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

/// Clients that break the protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MisbehavingClient {
    /// When they connect.
    pub at_ms: f64,
    /// How they break the protocol.
    pub kind: Misbehaviour,
    /// How many there are.
    #[serde(default = "one")]
    pub count: usize,
    /// The dispatcher to which they connect.
    #[serde(default)]
    pub dispatcher: usize,
}
