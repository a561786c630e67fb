//! The client side: parses requests and encodes answers.
mod answer;
mod read_times;
mod request_head;
mod request_reader;

pub use answer::{
    Answer, CONTINUE_RESPONSE, encode_answer, encode_incomplete_request, encode_readiness,
    encode_refusal, encode_response,
};
pub use read_times::ReadTimes;
pub use request_reader::RequestReader;

use crate::wire::reason;
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::Nanos;

/// Request of a client, parsed from HTTP.
#[derive(Debug, Default, PartialEq)]
pub struct ClientRequest {
    /// Request target, forwarded unchanged.
    pub target: String,
    /// Id that the client assigned to the request.
    pub id: String,
    /// Key by which repeats of the request are recognised; empty if there is none.
    pub idempotency_key: String,
    /// Index of the request class in [`Names::classes`](crate::names::Names::classes).
    pub class: u8,
    /// Index of the tenant in [`Names::tenants`](crate::names::Names::tenants); 0 if that list is
    /// empty.
    pub tenant: u16,
    /// Time that the client waits, counted from the sending of the request.
    pub timeout: Nanos,
    /// Expected service time; `None` if the client states none, or 0.
    pub hint: Option<Nanos>,
    /// Number of concurrency slots that the request needs; 1 if the client states none.
    pub slots: f32,
    /// Amount of memory that the request needs; 0 if the client states none.
    pub memory: f32,
    /// Request body, empty until it was read.
    pub body: Vec<u8>,
    /// Whether the client keeps the connection open after the answer.
    pub keep_alive: bool,
}

impl ClientRequest {
    /// Returns the number of bytes of the fields whose length the client chooses.
    pub fn held_bytes(&self) -> usize {
        if is_active(Mutation::IgnoreHeadBytes) {
            return self.body.len();
        }
        self.target.len() + self.id.len() + self.idempotency_key.len() + self.body.len()
    }

    /// Drops the fields that only further attempts need.
    pub fn release_content(&mut self) {
        self.target = String::new();
        self.idempotency_key = String::new();
        self.body = Vec::new();
    }
}

/// Event in the byte stream of a client.
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
    /// A request that cannot be accepted. The connection is closed after the answer.
    Invalid {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer, without its line end.
        reason: &'static str,
    },
}

impl ClientEvent {
    /// The client has pipelined more bytes than are buffered.
    pub const PIPELINE_TOO_LONG: ClientEvent = ClientEvent::Invalid {
        status: 503,
        reason: reason::PIPELINE_TOO_LONG,
    };
    /// The memory limit for requests of clients is reached.
    pub const OUT_OF_MEMORY: ClientEvent = ClientEvent::Invalid {
        status: 503,
        reason: reason::OUT_OF_MEMORY,
    };
}
