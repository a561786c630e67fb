//! The client side: requests in, answers out.
mod answer;
mod request_head;
mod request_reader;

pub use answer::{
    Answer, CONTINUE_RESPONSE, encode_answer, encode_incomplete_request, encode_readiness,
    encode_refusal, encode_response,
};
pub use request_reader::RequestReader;

use crate::wire::reason;
use rosewall::types::Nanos;

/// A request as it came over HTTP.
#[derive(Debug, Default, PartialEq)]
pub struct ClientRequest {
    /// The request target, forwarded as it came.
    pub target: String,
    /// The client's id of the request.
    pub id: String,
    /// The key by which repeats of it are known; empty where it has none.
    pub idempotency_key: String,
    /// Index of its class.
    pub class: u8,
    /// Index of its tenant.
    pub tenant: u16,
    /// How long the client waits, from the moment it sent the request.
    pub timeout: Nanos,
    /// The expected service time, where the client states one.
    pub hint: Option<Nanos>,
    /// Concurrency slots that it needs.
    pub slots: f32,
    /// Memory that it needs.
    pub memory: f32,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the client keeps the connection open after the answer.
    pub keep_alive: bool,
}

/// What a client's bytes amount to.
#[derive(Debug, PartialEq)]
pub enum ClientEvent {
    /// The client waits for `100 Continue` before it sends its body.
    ContinueExpected,
    /// A complete request.
    Request(ClientRequest),
    /// A health check of this dispatcher.
    ReadinessCheck {
        /// Whether the client keeps the connection open after the answer.
        keep_alive: bool,
    },
    /// Not a request that can be accepted. The connection ends after the answer.
    Invalid {
        /// The status of the answer.
        status: u16,
        /// The body of the answer.
        reason: &'static str,
    },
}

impl ClientEvent {
    /// The client has sent more requests ahead of their turn than are stored.
    pub const PIPELINE_TOO_LONG: ClientEvent = ClientEvent::Invalid {
        status: 503,
        reason: reason::PIPELINE_TOO_LONG,
    };
    /// The memory for requests of clients is used up.
    pub const OUT_OF_MEMORY: ClientEvent = ClientEvent::Invalid {
        status: 503,
        reason: reason::OUT_OF_MEMORY,
    };
}
