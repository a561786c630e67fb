//! What reaches workers and runs there.
use super::record::{Attempt, Ended, Outcome, RejectionProof, RequestIndex};
use super::{Checker, Rule, SLACK, WorkerIndex};
use crate::network::{DirectionCounters, HostId};
use crate::scenario::{Idempotency, RetryScope};
use crate::time::MS;
use rosewall::types::{EndpointState, Nanos};
use std::rc::Rc;

/// Who sent an attempt, and when.
pub struct AttemptOrigin {
    /// The dispatcher's host.
    pub host: HostId,
    /// When its first byte was written.
    pub first_byte_at: Nanos,
    /// When its last byte was written.
    pub last_byte_at: Nanos,
}

/// The worker that an attempt reached.
pub struct AttemptTarget {
    /// The worker.
    pub worker: WorkerIndex,
    /// Its zone.
    pub zone: usize,
    /// Its cell.
    pub cell: usize,
}

type Finding = (Rule, String);

impl Checker {
    /// A complete attempt has reached a worker. Returns its index, or none if no client sent such a request.
    pub fn attempt_arrived(
        &mut self,
        now: Nanos,
        origin: &AttemptOrigin,
        request: Option<RequestIndex>,
        target: &AttemptTarget,
    ) -> Option<usize> {
        self.counts.attempts += 1;
        let Some(request) = request.filter(|request| *request < self.requests.len()) else {
            let text = "an attempt with an id that no client sent".to_string();
            self.report_violation(now, Rule::InvalidRequest, text);
            return None;
        };
        let findings = [
            self.check_validity(request),
            self.check_not_ended(request, origin),
            self.check_repetition(request, origin, target),
            self.check_endpoint(request, origin, target),
        ];
        for (rule, text) in findings.into_iter().flatten() {
            self.report_violation(now, rule, text);
        }
        let attempts = &mut self.requests[request].attempts;
        attempts.push(Attempt {
            zone: target.zone,
            cell: target.cell,
            first_byte_at: origin.first_byte_at,
            rejection: None,
        });
        Some(attempts.len() - 1)
    }

    fn check_validity(&self, request: RequestIndex) -> Option<Finding> {
        let reason = self.requests[request].invalid_reason?;
        let text = format!("request {request} went to a worker, and is invalid: {reason}");
        Some((Rule::InvalidRequest, text))
    }

    /// Nothing is sent for a request that has ended, or whose deadline has passed.
    fn check_not_ended(&self, request: RequestIndex, origin: &AttemptOrigin) -> Option<Finding> {
        let record = &self.requests[request];
        let idempotency = self.classes[record.class].idempotency;
        let sent_at = origin.last_byte_at;
        match record.ended {
            // A request whose id was sent twice and that was rejected unsent is new to the dispatcher.
            Some(Ended {
                outcome: Outcome::Answered(503),
                ..
            }) if record.id_reused => None,
            Some(Ended { at, outcome }) if sent_at > at + SLACK => {
                let after = (sent_at - at) as f64 / 1e6;
                let text =
                    format!("request {request} was sent {after:.1} ms after its end: {outcome:?}");
                Some((Rule::SentAfterEnd, text))
            }
            Some(Ended {
                outcome: Outcome::Answered(503 | 429),
                ..
            }) if idempotency == Idempotency::NonIdempotent => {
                let text = format!(
                    "request {request} is non-idempotent, was rejected, and reached a worker"
                );
                Some((Rule::Idempotency, text))
            }
            _ if sent_at > record.deadline.saturating_add(SLACK) => {
                let text = format!("request {request} was sent after its deadline");
                Some((Rule::SentAfterEnd, text))
            }
            _ => None,
        }
    }

    /// A request whose earlier attempt may have run is repeated only as its class allows.
    fn check_repetition(
        &self,
        request: RequestIndex,
        origin: &AttemptOrigin,
        target: &AttemptTarget,
    ) -> Option<Finding> {
        let record = &self.requests[request];
        let class = self.classes[record.class];
        let unresolved = record
            .attempts
            .iter()
            .find(|attempt| !attempt.known_not_executed())?;
        let in_scope = match class.retry_scope {
            RetryScope::All => true,
            RetryScope::Zone => unresolved.zone == target.zone,
            RetryScope::Cell => unresolved.cell == target.cell,
        };
        let window_end = unresolved.first_byte_at + class.retry_window + SLACK;
        let problem = match class.idempotency {
            Idempotency::Idempotent => return None,
            Idempotency::NonIdempotent => {
                "is non-idempotent and was sent again while an earlier attempt may have run"
            }
            Idempotency::IdempotentWithKey if !in_scope => {
                "is idempotent with a key and was repeated out of its retry scope"
            }
            Idempotency::IdempotentWithKey if origin.first_byte_at > window_end => {
                "is idempotent with a key and was repeated out of its retry window"
            }
            Idempotency::IdempotentWithKey => return None,
        };
        Some((Rule::Idempotency, format!("request {request} {problem}")))
    }

    /// A dispatcher sends to workers that it was told are ready, or were so until the grace began.
    fn check_endpoint(
        &self,
        request: RequestIndex,
        origin: &AttemptOrigin,
        target: &AttemptTarget,
    ) -> Option<Finding> {
        let worker = target.worker;
        let Some(endpoint) = self.published.get(&(origin.host, worker)) else {
            let text = format!(
                "worker {worker} is on no list of the dispatcher that sent request {request}"
            );
            return Some((Rule::Drain, text));
        };
        let state = endpoint.state;
        let limit = endpoint.not_ready_since + self.rules.drain_grace_ms * MS + SLACK;
        if state == EndpointState::Ready || origin.first_byte_at <= limit {
            return None;
        }
        let by = (origin.first_byte_at - limit) as f64 / 1e6;
        let text = format!(
            "request {request} went to worker {worker} ({state:?}) {by:.1} ms past the grace"
        );
        Some((Rule::Drain, text))
    }

    /// The class and the work of a request, for the worker that runs it.
    pub fn class_and_work(&self, request: RequestIndex) -> (usize, Nanos) {
        let record = &self.requests[request];
        (record.class, record.work)
    }

    /// The worker has not begun this attempt and never will; its promise is complete at the offset `end` of what it writes.
    pub fn attempt_rejected(
        &mut self,
        request: RequestIndex,
        attempt: usize,
        end: u64,
        counters: Rc<DirectionCounters>,
    ) {
        self.requests[request].attempts[attempt].rejection = Some(RejectionProof { end, counters });
    }

    /// A worker begins to run a request.
    pub fn execution_started(&mut self, now: Nanos, request: RequestIndex) {
        let record = &mut self.requests[request];
        record.executions += 1;
        let repeated = record.executions > 1;
        let idempotency = self.classes[record.class].idempotency;
        if idempotency == Idempotency::NonIdempotent && repeated {
            self.report_violation(
                now,
                Rule::Idempotency,
                format!("request {request} is non-idempotent and ran twice"),
            );
        }
    }

    /// A worker has produced a result.
    pub fn result_produced(&mut self, request: RequestIndex, number: u64) {
        self.requests[request].results.push(number);
    }
}
