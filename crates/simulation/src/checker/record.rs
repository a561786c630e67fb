//! What is recorded of one request.
use crate::network::{DirectionCounters, HostId};
use crate::scenario::{Idempotency, RequestClass, RetryScope};
use crate::time::MS;
use rosewall::types::Nanos;
use std::rc::Rc;

/// The number of a request, by the order in which clients created them.
pub type RequestIndex = usize;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// A response with this status came.
    Answered(u16),
    /// The client disconnected.
    Disconnected,
    /// Its dispatcher was killed, or never accepted it.
    Exempted,
}

/// The end of a request.
#[derive(Clone, Copy)]
pub(super) struct Ended {
    pub at: Nanos,
    pub outcome: Outcome,
}

/// The last byte of a request was written.
#[derive(Clone, Copy)]
pub(super) struct Sent {
    /// The dispatcher's host.
    pub to: HostId,
}

/// What a class allows.
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

/// A worker's promise on the wire that it did not run an attempt.
pub(super) struct RejectionProof {
    /// The offset in what the worker writes at which the promise is complete.
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
    /// Whether the dispatcher has read that it never ran.
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
    /// Why it must not be served, where it must not.
    pub invalid_reason: Option<&'static str>,
    /// Its id was sent twice: what was rejected may be accepted the second time.
    pub id_reused: bool,
    /// Its client reads no response.
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
