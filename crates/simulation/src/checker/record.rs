//! Record of one request.
use crate::network::{DirectionCounters, HostId};
use crate::scenario::{Idempotency, RequestClass, RetryScope};
use crate::time::MS;
use rosewall::types::Nanos;
use std::rc::Rc;

/// Index of a request, in the order in which clients created them.
pub type RequestIndex = usize;

/// Outcome of a request for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The client received a response with this status.
    Answered(u16),
    /// The client disconnected.
    Disconnected,
    /// The request got no response. No rule requires one if the dispatcher was killed or never
    /// accepted the request, the request was invalid, or the client does not read the response;
    /// otherwise the violation has been reported.
    Exempted,
}

/// End of a request.
#[derive(Clone, Copy)]
pub(super) struct Ended {
    pub at: Nanos,
    pub outcome: Outcome,
}

/// Transmission of a request to a dispatcher, up to its last byte.
#[derive(Clone, Copy)]
pub(super) struct Sent {
    /// Host of the dispatcher.
    pub to: HostId,
    /// Time at which the last byte was written.
    pub at: Nanos,
}

/// Time in which the process of a dispatcher did not run.
pub(super) struct HoldUp {
    pub host: HostId,
    pub from: Nanos,
    pub until: Nanos,
}

impl HoldUp {
    /// Returns whether the process did not run at some moment of a time span.
    pub fn overlaps(&self, from: Nanos, until: Nanos) -> bool {
        self.from <= until && from <= self.until
    }
}

/// Retry rules of a request class.
#[derive(Clone, Copy)]
pub(super) struct ClassRules {
    pub idempotency: Idempotency,
    pub retry_scope: RetryScope,
    pub retry_window: Nanos,
}

impl ClassRules {
    pub fn new(class: &RequestClass) -> Self {
        ClassRules {
            idempotency: class.idempotency,
            retry_scope: class.retry_scope,
            retry_window: class.retry_window_ms * MS,
        }
    }
}

/// A worker's response that proves that it did not execute an attempt.
pub(super) struct RejectionProof {
    /// Offset in the worker's output stream at which the response is complete.
    pub end: u64,
    pub counters: Rc<DirectionCounters>,
}

pub(super) struct Attempt {
    pub zone: usize,
    pub cell: usize,
    pub first_byte_at: Nanos,
    pub rejection: Option<RejectionProof>,
}

impl Attempt {
    /// Returns whether the dispatcher has read the complete proof that the attempt was not
    /// executed.
    pub fn known_not_executed(&self) -> bool {
        self.rejection
            .as_ref()
            .is_some_and(|proof| proof.counters.bytes_read() >= proof.end)
    }
}

pub(super) struct RequestRecord {
    pub class: usize,
    pub work: Nanos,
    pub sent: Option<Sent>,
    pub deadline: Nanos,
    pub ended: Option<Ended>,
    pub attempts: Vec<Attempt>,
    pub executions: usize,
    pub results: Vec<u64>,
    /// Reason why the request must not be served; none if it is valid.
    pub invalid_reason: Option<&'static str>,
    /// Set if the id was sent twice. The second request may be accepted if the first was rejected.
    pub id_reused: bool,
    /// Set if the client does not read the response.
    pub response_abandoned: bool,
}

impl RequestRecord {
    pub fn new(class: usize, work: Nanos, invalid_reason: Option<&'static str>) -> Self {
        RequestRecord {
            class,
            work,
            sent: None,
            deadline: Nanos::MAX,
            ended: None,
            attempts: Vec::new(),
            executions: 0,
            results: Vec::new(),
            invalid_reason,
            id_reused: false,
            response_abandoned: false,
        }
    }

    pub fn outcome(&self) -> Option<Outcome> {
        self.ended.map(|ended| ended.outcome)
    }
}
