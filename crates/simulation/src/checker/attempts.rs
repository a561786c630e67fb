//! Checks of the attempts that reach workers and execute there.
use super::record::{Attempt, Ended, Outcome, RejectionProof, RequestIndex};
use super::{Checker, Rule, SLACK, STATED_TIMEOUT_SLACK, WorkerIndex};
use crate::network::{DirectionCounters, HostId};
use crate::scenario::{Idempotency, RetryScope};
use crate::time::MS;
use rosewall::types::{EndpointState, Nanos};
use std::rc::Rc;

/// Origin and time of an attempt.
pub struct AttemptOrigin {
    /// Host of the dispatcher.
    pub host: HostId,
    /// Time at which the first byte was written.
    pub first_byte_at: Nanos,
    /// Time at which the last byte reached the worker's host.
    pub arrived_at: Nanos,
    /// Time within which the worker is told to answer, if the attempt states it.
    pub stated_timeout: Option<Nanos>,
}

/// Worker that an attempt reached.
pub struct AttemptTarget {
    /// Index of the worker.
    pub worker: WorkerIndex,
    /// Zone of the worker.
    pub zone: usize,
    /// Cell of the worker.
    pub cell: usize,
}

type Finding = (Rule, String);

impl Checker {
    /// Checks a complete attempt that has reached a worker. Returns its index within the request,
    /// or none if no client sent the request.
    pub fn attempt_arrived(
        &mut self,
        now: Nanos,
        origin: &AttemptOrigin,
        request: Option<RequestIndex>,
        target: &AttemptTarget,
    ) -> Option<usize> {
        self.counts.attempts += 1;
        let Some(request) = request.filter(|request| *request < self.requests.len()) else {
            let text = "an attempt has a request id that no client sent".to_string();
            self.report_violation(now, Rule::InvalidRequest, text);
            return None;
        };
        let findings = [
            self.check_validity(request),
            self.check_not_ended(request, origin),
            self.check_repetition(request, origin, target),
            self.check_endpoint(request, origin, target),
            self.check_stated_timeout(request, origin),
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
        let text = format!("request {request} is invalid ({reason}) and reached a worker");
        Some((Rule::InvalidRequest, text))
    }

    /// Checks that the request had not ended and its deadline had not passed when the attempt reached
    /// the worker. A slack is tolerated, except for a rejected non-idempotent request.
    fn check_not_ended(&self, request: RequestIndex, origin: &AttemptOrigin) -> Option<Finding> {
        let record = &self.requests[request];
        let idempotency = self.classes[record.class].idempotency;
        let sent_at = origin.arrived_at;
        let slack = SLACK + self.hold_up_slack(record, sent_at);
        match record.ended {
            // After a rejection without an attempt, a second request with the same id is a new one
            // to the dispatcher.
            Some(Ended {
                outcome: Outcome::Answered(503),
                ..
            }) if record.id_reused => None,
            Some(Ended { at, outcome }) if sent_at > at + slack => {
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
            _ if sent_at > record.deadline.saturating_add(slack) => {
                let text = format!("request {request} was sent after its deadline");
                Some((Rule::SentAfterEnd, text))
            }
            _ => None,
        }
    }

    /// Checks that a request with an attempt that may have executed is retried only as its class
    /// allows. A worker recognises a retry only if its last byte arrives within the retry window.
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
                "is non-idempotent and was resent while an earlier attempt may have executed"
            }
            Idempotency::IdempotentWithKey if !in_scope => {
                "is idempotent with a key and was retried outside its retry scope"
            }
            Idempotency::IdempotentWithKey if origin.arrived_at > window_end => {
                "is idempotent with a key and was retried outside its retry window"
            }
            Idempotency::IdempotentWithKey => return None,
        };
        Some((Rule::Idempotency, format!("request {request} {problem}")))
    }

    /// Checks that the dispatcher's last published list has the worker as ready, or that the grace
    /// period since the worker was published as not ready had not ended.
    fn check_endpoint(
        &self,
        request: RequestIndex,
        origin: &AttemptOrigin,
        target: &AttemptTarget,
    ) -> Option<Finding> {
        let worker = target.worker;
        let Some(endpoint) = self.published.get(&(origin.host, worker)) else {
            let text = format!(
                "request {request} went to worker {worker}, which was never published to the dispatcher"
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
            "request {request} went to worker {worker} ({state:?}) {by:.1} ms after the grace period"
        );
        Some((Rule::Drain, text))
    }

    /// Checks that the worker is not told to answer later than the client waits.
    fn check_stated_timeout(
        &self,
        request: RequestIndex,
        origin: &AttemptOrigin,
    ) -> Option<Finding> {
        let stated_end = origin.arrived_at + origin.stated_timeout?;
        let record = &self.requests[request];
        let slack = STATED_TIMEOUT_SLACK + self.hold_up_slack(record, origin.arrived_at);
        let limit = record.deadline.saturating_add(slack);
        if stated_end <= limit {
            return None;
        }
        let by = (stated_end - limit) as f64 / 1e6;
        let text = format!("request {request} states a time-out that is {by:.1} ms too long");
        Some((Rule::StatedTimeout, text))
    }

    /// Returns the retry window of a class; none unless its requests are idempotent with a key.
    pub fn retry_window(&self, class: usize) -> Option<Nanos> {
        let rules = self.classes.get(class)?;
        (rules.idempotency == Idempotency::IdempotentWithKey).then_some(rules.retry_window)
    }

    /// Returns the class and the work (in ns of one slot) of a request, for the worker that
    /// executes it.
    pub fn class_and_work(&self, request: RequestIndex) -> (usize, Nanos) {
        let record = &self.requests[request];
        (record.class, record.work)
    }

    /// Records that the worker rejects an attempt without executing it. The rejection is complete
    /// at offset `end` of the worker's output stream.
    pub fn attempt_rejected(
        &mut self,
        request: RequestIndex,
        attempt: usize,
        end: u64,
        counters: Rc<DirectionCounters>,
    ) {
        self.requests[request].attempts[attempt].rejection = Some(RejectionProof { end, counters });
    }

    /// Records that a worker starts to execute a request.
    pub fn execution_started(&mut self, now: Nanos, request: RequestIndex) {
        let record = &mut self.requests[request];
        record.executions += 1;
        let repeated = record.executions > 1;
        let idempotency = self.classes[record.class].idempotency;
        if idempotency == Idempotency::NonIdempotent && repeated {
            self.report_violation(
                now,
                Rule::Idempotency,
                format!("request {request} is non-idempotent and was executed more than once"),
            );
        }
    }

    /// Records a result that a worker produced.
    pub fn result_produced(&mut self, request: RequestIndex, number: u64) {
        self.requests[request].results.push(number);
    }
}
