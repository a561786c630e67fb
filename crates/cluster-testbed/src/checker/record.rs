//! What the checker goes by, and what it finds.
use serde::Serialize;
use std::time::Instant;

/// A response that a client got.
#[derive(Clone, Copy, Debug)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// When it was complete.
    pub at: Instant,
}

/// One request as its client saw it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Its id, which begins with the number of the dispatcher.
    pub id: String,
    /// The dispatcher it was sent to.
    pub dispatcher: usize,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When it was sent.
    pub sent_at: Instant,
    /// None where the connection ended without a response.
    pub response: Option<Response>,
    /// When the client gave up or saw the connection end.
    pub ended_at: Instant,
}

impl ClientRequest {
    /// Whether its response has this status.
    pub fn has_status(&self, status: u16) -> bool {
        self.response
            .is_some_and(|response| response.status == status)
    }

    /// Whether the dispatcher said that it was not run.
    pub fn was_rejected(&self) -> bool {
        self.has_status(503)
    }
}

/// When a dispatcher was not running: killed, paused, or shutting down.
#[derive(Clone, Copy, Debug)]
pub struct Outage {
    /// The dispatcher.
    pub dispatcher: usize,
    /// When it stopped.
    pub from: Instant,
    /// When it ran again.
    pub to: Option<Instant>,
}

impl Outage {
    /// Whether this dispatcher was down at any moment of a span.
    pub(super) fn overlaps(&self, dispatcher: usize, from: Instant, to: Instant) -> bool {
        self.dispatcher == dispatcher && self.from <= to && self.to.is_none_or(|end| end >= from)
    }
}

/// When a worker was published as draining.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// The worker.
    pub worker: usize,
    /// When it was published.
    pub at: Instant,
}

/// A rule that must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "u8")]
pub enum Rule {
    /// Every request to a running dispatcher gets one response in time.
    Response,
    /// No non-idempotent request runs twice, or runs and is rejected.
    Idempotency,
    /// A draining worker gets no new request.
    Drain,
    /// No warming worker is overloaded.
    SlowStart,
}

impl From<Rule> for u8 {
    /// The number of the rule in reports.
    fn from(rule: Rule) -> u8 {
        match rule {
            Rule::Response => 1,
            Rule::Idempotency => 2,
            Rule::Drain => 3,
            Rule::SlowStart => 4,
        }
    }
}

/// A rule that did not hold.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When, from the start of the clients.
    pub at_ms: u64,
    /// What happened.
    #[serde(rename = "what")]
    pub description: String,
}

/// What a worker received while it warmed up.
#[derive(Clone, Debug, Serialize)]
pub struct SlowStartUse {
    /// The worker.
    pub worker: usize,
    /// How many requests it received.
    #[serde(rename = "postings")]
    pub requests: usize,
    /// Their work in seconds.
    pub work_s: f64,
    /// Their work over half of what the rule allows in that time.
    #[serde(rename = "of_half")]
    pub share_of_half: f64,
    /// The most work of any window over what the rule allows in it: above 1 the rule is broken.
    #[serde(rename = "worst")]
    pub worst_window: f64,
}
