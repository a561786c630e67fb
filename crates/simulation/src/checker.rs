//! The checker of the rules. It keeps its own record of what happened (what clients sent and received, what reached
//! workers and ran there, what endpoint lists published) and checks each event against it. It asks no dispatcher anything.
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
use record::{ClassRules, RequestRecord};
pub use record::{Outcome, RequestIndex};
use rosewall::types::Nanos;
use rustc_hash::{FxHashMap, FxHashSet};
use warm_up::WarmingWorker;
pub use warm_up::WorkArrival;

/// How much later than in the rules' figures an event may be: time that the network takes.
pub const SLACK: Nanos = 50 * MS;

/// How many violations are kept: a simulation that goes on wrongly repeats itself.
const MAX_VIOLATIONS: usize = 16;

/// The number of a worker, by its place in the scenario.
pub type WorkerIndex = usize;

/// A rule that must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Every accepted request gets one complete, true response in time.
    Answer,
    /// No non-idempotent request runs twice.
    #[serde(rename = "effect")]
    Idempotency,
    /// A worker that drains or is gone gets no new request.
    Drain,
    /// No warming worker is overloaded.
    #[serde(rename = "cold")]
    SlowStart,
    /// Nothing is sent for a request that has ended.
    #[serde(rename = "over")]
    SentAfterEnd,
    /// An invalid request is not served.
    #[serde(rename = "bad")]
    InvalidRequest,
    /// Descriptors stay within the limit.
    Descriptors,
    /// At the end all resources are released.
    #[serde(rename = "given-back")]
    ResourceLeak,
    /// A shutdown ends in time.
    #[serde(rename = "stop")]
    Shutdown,
    /// The program neither panics nor spins.
    Program,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it was violated, in milliseconds from the start of the simulation.
    pub at_ms: f64,
    /// What happened.
    #[serde(rename = "what")]
    pub text: String,
}

/// The record of one simulation, and the violations found so far.
pub struct Checker {
    start: Nanos,
    rules: Rules,
    classes: Vec<ClassRules>,
    requests: Vec<RequestRecord>,
    published: FxHashMap<(HostId, WorkerIndex), PublishedEndpoint>,
    killed_dispatchers: FxHashSet<HostId>,
    warming_workers: Vec<WarmingWorker>,
    /// The mean work of a request, over all loads.
    mean_work: f64,
    violations: Vec<Violation>,
    counts: RequestCounts,
}

impl Checker {
    /// A checker for a simulation that begins at `start`.
    pub fn new(start: Nanos, rules: Rules, classes: &[RequestClass], mean_work: f64) -> Self {
        Checker {
            start,
            rules,
            classes: classes.iter().map(ClassRules::new).collect(),
            requests: Vec::new(),
            published: FxHashMap::default(),
            killed_dispatchers: FxHashSet::default(),
            warming_workers: Vec::new(),
            mean_work,
            violations: Vec::new(),
            counts: RequestCounts {
                classes: vec![ClassCounts::default(); classes.len()],
                ..RequestCounts::default()
            },
        }
    }

    /// The violations found so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// What became of the requests so far.
    pub fn counts(&self) -> &RequestCounts {
        &self.counts
    }

    /// Records a violation.
    pub fn report_violation(&mut self, now: Nanos, rule: Rule, text: String) {
        if self.violations.len() < MAX_VIOLATIONS {
            let at_ms = now.saturating_sub(self.start) as f64 / 1e6;
            self.violations.push(Violation { rule, at_ms, text });
        }
    }

    /// A dispatcher's process was killed: what it had accepted is lost without a violation.
    pub fn dispatcher_killed(&mut self, host: HostId) {
        self.killed_dispatchers.insert(host);
    }

    /// The simulation is over: all that was sent must have ended by now.
    pub fn finish(&mut self, now: Nanos) {
        for request in 0..self.requests.len() {
            let record = &self.requests[request];
            if record.ended.is_none() && record.sent.is_some() {
                self.response_lost(now, request, "nothing came until the end of the simulation");
            }
        }
    }
}
