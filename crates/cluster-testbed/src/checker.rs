//! The checker of the four rules. Reads only the records of workers and clients, and no counter of the program under
//! test.
mod balance;
mod record;
mod slow_start;

pub use record::{
    ClientRequest, Drain, Idempotency, Outage, Response, Rule, SlowStartUse, Violation,
};

use crate::worker::{Execution, ReceivedRequest, Worker};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Tolerance on the times in the rules, for the delay of sockets.
const SLACK: Duration = Duration::from_millis(50);
/// Time after the publication of a drain in which requests may still arrive: the propagation of the endpoint list plus
/// the grace period of the settings.
const DRAIN_GRACE: Duration = Duration::from_millis(550);

/// Records of one run that the rules are checked against.
pub struct Observations<'a> {
    /// Start of the clients.
    pub begin: Instant,
    /// End of the clients.
    pub end: Instant,
    /// Deadline of each request, measured from when it was sent.
    pub timeout: Duration,
    /// Time for which workers recognise a repeated request, from the arrival of its first attempt.
    pub retry_window: Duration,
    /// All workers, indexed by number.
    pub workers: &'a [Arc<Worker>],
    /// All requests of the clients.
    pub requests: &'a [ClientRequest],
    /// Times in which dispatchers were not running.
    pub outages: &'a [Outage],
    /// Publications of workers as draining.
    pub drains: &'a [Drain],
}

/// Returns the number of the dispatcher that a request was sent to, which is part of the request id.
fn dispatcher_of(request_id: &str) -> Option<usize> {
    let number = request_id.strip_prefix('d')?.split('-').next()?;
    number.parse().ok()
}

impl Observations<'_> {
    /// Returns all violations, ordered by rule.
    pub fn violations(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        self.check_responses(&mut violations);
        self.check_idempotency(&mut violations);
        self.check_retry_window(&mut violations);
        self.check_drains(&mut violations);
        self.check_slow_start(&mut violations);
        violations
    }

    fn violation(&self, rule: Rule, at: Instant, description: String) -> Violation {
        let since_begin = at.saturating_duration_since(self.begin);
        Violation {
            rule,
            at_ms: since_begin.as_millis() as u64,
            description,
        }
    }

    /// Whether a dispatcher was not running at some moment of a time span.
    fn was_down(&self, dispatcher: usize, from: Instant, to: Instant) -> bool {
        self.outages
            .iter()
            .any(|outage| outage.overlaps(dispatcher, from, to))
    }

    /// Checks that each request to a running dispatcher gets a response before its deadline.
    fn check_responses(&self, violations: &mut Vec<Violation>) {
        for request in self.requests {
            let until = request
                .response
                .map_or(request.ended_at, |response| response.at);
            if self.was_down(request.dispatcher, request.sent_at, until) {
                continue;
            }
            let latest = request.sent_at + self.timeout + SLACK;
            let description = match request.response {
                None => format!("{} was not answered", request.id),
                Some(response) if response.at > latest => {
                    let late_ms = (response.at - latest).as_millis();
                    format!(
                        "{} was answered {late_ms} ms after its deadline",
                        request.id
                    )
                }
                Some(_) => continue,
            };
            violations.push(self.violation(Rule::Response, request.sent_at, description));
        }
    }

    /// Checks that a non-idempotent request runs at most once, and not at all if it was rejected.
    fn check_idempotency(&self, violations: &mut Vec<Violation>) {
        let executions = self.executions();
        let mut runs_by_id: HashMap<&str, Vec<Instant>> = HashMap::new();
        for execution in &executions {
            runs_by_id
                .entry(&execution.id)
                .or_default()
                .push(execution.at);
        }
        let non_idempotent = self
            .requests
            .iter()
            .filter(|request| request.idempotency == Idempotency::NonIdempotent);
        for request in non_idempotent {
            let runs = runs_by_id
                .get(request.id.as_str())
                .map_or(&[][..], Vec::as_slice);
            if runs.len() > 1 {
                let description = format!("{} ran {} times", request.id, runs.len());
                violations.push(self.violation(Rule::Idempotency, request.sent_at, description));
            }
            if let (true, Some(first_run)) = (request.was_rejected(), runs.first()) {
                let description = format!("{} was rejected but ran", request.id);
                violations.push(self.violation(Rule::Idempotency, *first_run, description));
            }
        }
    }

    /// Checks that each repeat of a request with a key is complete at its worker before the end of the retry window,
    /// after which the worker would run it again.
    fn check_retry_window(&self, violations: &mut Vec<Violation>) {
        let keyed: HashSet<&str> = self
            .requests
            .iter()
            .filter(|request| request.idempotency == Idempotency::IdempotentWithKey)
            .map(|request| request.id.as_str())
            .collect();
        let mut received = self.received();
        received.retain(|request| keyed.contains(request.id.as_str()));
        received.sort_by_key(|request| request.at);
        let mut first_arrivals: HashMap<&str, Instant> = HashMap::new();
        for request in &received {
            let first = *first_arrivals.entry(&request.id).or_insert(request.at);
            let latest = first + self.retry_window + SLACK;
            if request.at > latest {
                let late_ms = (request.at - latest).as_millis();
                let description =
                    format!("{} was repeated {late_ms} ms after its window", request.id);
                violations.push(self.violation(Rule::Idempotency, request.at, description));
            }
        }
    }

    /// Returns the requests that all workers received, grouped by worker.
    fn received(&self) -> Vec<ReceivedRequest> {
        let of_worker = |worker: &Arc<Worker>| worker.read(|record| record.received.clone());
        self.workers.iter().flat_map(of_worker).collect()
    }

    /// Returns the executions of all workers, grouped by worker.
    fn executions(&self) -> Vec<Execution> {
        let of_worker = |worker: &Arc<Worker>| worker.read(|record| record.executions.clone());
        self.workers.iter().flat_map(of_worker).collect()
    }

    /// Checks that a draining worker receives no new request.
    fn check_drains(&self, violations: &mut Vec<Violation>) {
        for drain in self.drains {
            let latest = drain.at + DRAIN_GRACE;
            let received = self.workers[drain.worker].read(|record| record.received.clone());
            for request in received.iter().filter(|request| request.at > latest) {
                // A dispatcher that was down in the meantime may have been notified of the drain later.
                let was_notified = dispatcher_of(&request.id)
                    .is_some_and(|dispatcher| !self.was_down(dispatcher, drain.at, request.at));
                if was_notified {
                    let description = format!(
                        "worker {} was draining and received {}",
                        drain.worker, request.id
                    );
                    violations.push(self.violation(Rule::Drain, request.at, description));
                }
            }
        }
    }

    /// Checks that no worker is overloaded while it warms up.
    fn check_slow_start(&self, violations: &mut Vec<Violation>) {
        for (number, worker) in self.workers.iter().enumerate() {
            let overload = self
                .slow_start(number, worker)
                .and_then(|finding| finding.overload);
            if let Some(window) = overload {
                let share = window.share_of_limit;
                let description = format!(
                    "worker {number} received {share:.2} times its overload limit in one window while warming up"
                );
                violations.push(self.violation(Rule::SlowStart, window.from, description));
            }
        }
    }
}
