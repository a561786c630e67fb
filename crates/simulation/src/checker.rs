//! Rule checker. Records what clients send and receive, what reaches workers and executes there,
//! and what endpoint lists publish, and checks each event against this record. Does not rely on any
//! state of a dispatcher.
mod attempts;
mod counts;
mod endpoints;
mod record;
mod responses;
#[cfg(test)]
mod tests;
mod warm_up;

use crate::network::HostId;
use crate::scenario::{RequestClass, Rules};
use crate::time::MS;
pub use attempts::{AttemptOrigin, AttemptTarget};
pub use counts::{ClassCounts, RequestCounts};
use endpoints::PublishedEndpoint;
pub use endpoints::PublishedState;
use record::{ClassRules, HoldUp, RequestRecord};
pub use record::{Outcome, RequestIndex};
use rosewall::types::Nanos;
use rustc_hash::{FxHashMap, FxHashSet};
use warm_up::WarmingWorker;
pub use warm_up::WorkArrival;

/// Time by which an event may exceed a deadline, grace period or retry window, for the latency of
/// the network.
pub const SLACK: Nanos = 50 * MS;

/// Time by which the time-out that an attempt states may exceed the time left to the client.
pub const STATED_TIMEOUT_SLACK: Nanos = 150 * MS;

/// Time for which a dispatcher may be held up. Deadlines allow for it, retry windows and grace periods
/// do not.
pub const HOLD_UP_SLACK: Nanos = 150 * MS;

/// Maximum number of violations kept per simulation, as one fault often causes many of the same
/// kind.
const MAX_VIOLATIONS: usize = 16;

/// Index of a worker in the scenario.
pub type WorkerIndex = usize;

/// Rule that every simulation must satisfy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Every accepted request gets exactly one complete and correct response before its deadline.
    Answer,
    /// Non-idempotent requests execute at most once, retries with a key stay within their scope and
    /// window, and rejected requests are safe to repeat.
    #[serde(rename = "effect")]
    Idempotency,
    /// A worker gets no new requests from a dispatcher to which it was never published, or after
    /// the grace period of its draining or removal.
    Drain,
    /// A worker is not overloaded while it warms up.
    #[serde(rename = "cold")]
    SlowStart,
    /// No attempt is sent for a request that has ended or whose deadline has passed.
    #[serde(rename = "over")]
    SentAfterEnd,
    /// An invalid request is neither sent to a worker nor answered with success.
    #[serde(rename = "bad")]
    InvalidRequest,
    /// A worker is told to answer before the client stops waiting.
    StatedTimeout,
    /// The number of open descriptors stays within the limit.
    Descriptors,
    /// All resources are released at the end of the simulation.
    #[serde(rename = "given-back")]
    ResourceLeak,
    /// A shutdown completes in time.
    #[serde(rename = "stop")]
    Shutdown,
    /// A dispatcher starts, does not panic, and waits for an event within 200,000 task polls.
    Program,
}

/// Violation of a rule at one point in time.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Violation {
    /// Violated rule.
    pub rule: Rule,
    /// Time of the violation, in milliseconds from the start of the simulation.
    pub at_ms: f64,
    /// Description with the request, worker or host concerned.
    #[serde(rename = "what")]
    pub text: String,
}

/// Record of one simulation and the violations found so far.
pub struct Checker {
    start: Nanos,
    rules: Rules,
    classes: Vec<ClassRules>,
    requests: Vec<RequestRecord>,
    published: FxHashMap<(HostId, WorkerIndex), PublishedEndpoint>,
    killed_dispatchers: FxHashSet<HostId>,
    hold_ups: Vec<HoldUp>,
    warming_workers: Vec<WarmingWorker>,
    /// Mean work of a request over all loads, in ns of one slot.
    mean_work: f64,
    violations: Vec<Violation>,
    counts: RequestCounts,
}

impl Checker {
    /// Creates a checker for a simulation that begins at `start`. `mean_work` is in ns of one slot.
    pub fn new(start: Nanos, rules: Rules, classes: &[RequestClass], mean_work: f64) -> Self {
        Checker {
            start,
            rules,
            classes: classes.iter().map(ClassRules::new).collect(),
            requests: Vec::new(),
            published: FxHashMap::default(),
            killed_dispatchers: FxHashSet::default(),
            hold_ups: Vec::new(),
            warming_workers: Vec::new(),
            mean_work,
            violations: Vec::new(),
            counts: RequestCounts {
                classes: vec![ClassCounts::default(); classes.len()],
                ..RequestCounts::default()
            },
        }
    }

    /// Returns the violations found so far, at most 16.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns the request counts so far.
    pub fn counts(&self) -> &RequestCounts {
        &self.counts
    }

    /// Records a violation. Has no effect once the maximum number is reached.
    pub fn report_violation(&mut self, now: Nanos, rule: Rule, text: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            let at_ms = now.saturating_sub(self.start) as f64 / 1e6;
            self.violations.push(Violation { rule, at_ms, text });
        }
    }

    /// Records that a dispatcher's process was killed. Losing the requests that it had accepted is
    /// no violation.
    pub fn dispatcher_killed(&mut self, host: HostId) {
        self.killed_dispatchers.insert(host);
    }

    /// Records that a dispatcher's process was held up.
    pub fn dispatcher_held_up(&mut self, host: HostId, from: Nanos, until: Nanos) {
        self.hold_ups.push(HoldUp { host, from, until });
    }

    /// Returns the time by which a dispatcher may exceed the deadline of a request at `now` in
    /// addition to other slack, as it was held up since the request was sent.
    fn hold_up_slack(&self, record: &RequestRecord, now: Nanos) -> Nanos {
        let Some(sent) = record.sent else { return 0 };
        let was_held_up = self
            .hold_ups
            .iter()
            .any(|hold_up| hold_up.host == sent.to && hold_up.overlaps(sent.at, now));
        if was_held_up { HOLD_UP_SLACK } else { 0 }
    }

    /// Ends each sent request that has not ended, and reports a violation if a response was
    /// required.
    pub fn finish(&mut self, now: Nanos) {
        for request in 0..self.requests.len() {
            let record = &self.requests[request];
            if record.ended.is_none() && record.sent.is_some() {
                self.response_lost(now, request, "no response before the end of the simulation");
            }
        }
    }
}
