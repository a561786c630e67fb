//! Records that the checker reads, and the violations and statistics that it reports.
use serde::Serialize;
use std::time::Instant;

/// A response that a client received.
#[derive(Clone, Copy, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Time at which it was complete.
    pub at: Instant,
}

/// When a request may run again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Always.
    Idempotent,
    /// Within the retry window, in which workers recognise it by its key.
    IdempotentWithKey,
    /// Never.
    NonIdempotent,
}

/// One request as its client recorded it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Request id, `dN-...`, with the number of the dispatcher.
    pub id: String,
    /// Number of the dispatcher it was sent to.
    pub dispatcher: usize,
    /// When it may run again.
    pub idempotency: Idempotency,
    /// Time at which it was sent.
    pub sent_at: Instant,
    /// Response, or `None` if the connection ended without one.
    pub response: Option<Response>,
    /// Time at which the client timed out or the connection ended.
    pub ended_at: Instant,
}

impl ClientRequest {
    /// Whether the response has this status.
    pub fn has_status(&self, status: u16) -> bool {
        self.response
            .is_some_and(|response| response.status == status)
    }

    /// Whether the dispatcher rejected the request, which promises that it did not run.
    pub fn was_rejected(&self) -> bool {
        self.has_status(503)
    }
}

/// Time in which a dispatcher was not running: killed, paused or shutting down.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// Number of the dispatcher.
    pub dispatcher: usize,
    /// Time at which it stopped.
    pub from: Instant,
    /// Time at which it ran again, or `None` if it has not.
    pub to: Option<Instant>,
}

impl Outage {
    /// Whether `dispatcher` was down in this outage at any moment of a time span.
    pub(super) fn overlaps(&self, dispatcher: usize, from: Instant, to: Instant) -> bool {
        self.dispatcher == dispatcher && self.from <= to && self.to.is_none_or(|end| end >= from)
    }
}

/// Publication of a worker as draining.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// Number of the worker.
    pub worker: usize,
    /// Time of the publication.
    pub at: Instant,
}

/// A rule that every run must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "u8")]
pub enum Rule {
    /// Every request to a running dispatcher gets one response before its deadline.
    Response,
    /// No non-idempotent request runs twice, or runs although it was rejected.
    Idempotency,
    /// A draining worker receives no new request.
    Drain,
    /// No worker is overloaded while it warms up.
    SlowStart,
}

impl From<Rule> for u8 {
    /// Returns the number of the rule in reports.
    fn from(rule: Rule) -> u8 {
        match rule {
            Rule::Response => 1,
            Rule::Idempotency => 2,
            Rule::Drain => 3,
            Rule::SlowStart => 4,
        }
    }
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Violated rule.
    pub rule: Rule,
    /// Milliseconds from the start of the clients.
    pub at_ms: u64,
    /// Description of the violation.
    #[serde(rename = "what")]
    pub description: String,
}

/// Work that a worker received while it warmed up.
#[derive(Clone, Debug, Serialize)]
pub struct SlowStartUse {
    /// Number of the worker.
    pub worker: usize,
    /// Requests that it received.
    #[serde(rename = "postings")]
    pub requests: usize,
    /// Work of these requests, in seconds.
    pub work_s: f64,
    /// Work of these requests, divided by half of what the rule allows in that time.
    #[serde(rename = "of_half")]
    pub share_of_half: f64,
    /// Largest ratio over all windows of the work received to the work that the rule allows; above 1 is a violation.
    #[serde(rename = "worst")]
    pub worst_window: f64,
}
