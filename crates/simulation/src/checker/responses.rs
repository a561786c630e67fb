//! Checks of the requests that clients send and the responses that they receive.
use super::record::{Ended, Outcome, RequestIndex, RequestRecord, Sent};
use super::{Checker, Rule, SLACK};
use crate::network::HostId;
use crate::scenario::{Idempotency, RetryScope};
use rosewall::types::Nanos;

impl Checker {
    /// Records a request that a client is about to send. `invalid_reason` is set if the request
    /// must not be served.
    pub fn request_created(
        &mut self,
        class: usize,
        work: Nanos,
        invalid_reason: Option<&'static str>,
    ) -> RequestIndex {
        self.requests
            .push(RequestRecord::new(class, work, invalid_reason));
        self.counts.requests += 1;
        if let Some(class) = self.counts.classes.get_mut(class) {
            class.requests += 1;
        }
        self.requests.len() - 1
    }

    /// Records that the last byte of a request was written to this dispatcher.
    pub fn request_sent(&mut self, now: Nanos, request: RequestIndex, to: HostId, deadline: Nanos) {
        let record = &mut self.requests[request];
        record.sent = Some(Sent { to, at: now });
        record.deadline = deadline;
    }

    /// Records that the client of a request disconnected.
    pub fn client_disconnected(&mut self, now: Nanos, request: RequestIndex) {
        self.end_if_active(now, request, Outcome::Disconnected);
    }

    /// Ends a request that got no response, and reports no violation.
    pub fn exempt(&mut self, now: Nanos, request: RequestIndex) {
        self.end_if_active(now, request, Outcome::Exempted);
    }

    /// Records that the client will not read the response.
    pub fn response_abandoned(&mut self, request: RequestIndex) {
        self.requests[request].response_abandoned = true;
    }

    /// Records that the id of a request is sent a second time.
    pub fn request_id_reused(&mut self, request: RequestIndex) {
        self.requests[request].id_reused = true;
    }

    /// Checks the success of a second request with the same id, which is a violation unless the
    /// first was rejected: otherwise the first was still active or had been sent to a worker.
    pub fn reused_request_id_succeeded(&mut self, now: Nanos, request: RequestIndex) {
        if self.requests[request].outcome() != Some(Outcome::Answered(503)) {
            self.report_violation(
                now,
                Rule::InvalidRequest,
                format!("the id of request {request} was accepted twice"),
            );
        }
    }

    /// Checks a complete response and ends the request.
    pub fn answered(&mut self, now: Nanos, request: RequestIndex, status: u16, body: &[u8]) {
        if let Some(outcome) = self.requests[request].outcome() {
            let text = format!(
                "request {request} was answered with {status} after it had ended: {outcome:?}"
            );
            return self.report_violation(now, Rule::Answer, text);
        }
        self.check_status(now, request, status, body);
        let record = &self.requests[request];
        if record.invalid_reason.is_some() && status == 200 {
            self.report_violation(
                now,
                Rule::InvalidRequest,
                format!("request {request} is invalid and was served"),
            );
        }
        self.check_deadline(now, request, status);
        self.end(now, request, Outcome::Answered(status));
    }

    fn check_status(&mut self, now: Nanos, request: RequestIndex, status: u16, body: &[u8]) {
        match status {
            200 => self.check_result(now, request, body),
            503 | 429 => self.check_rejection(now, request),
            502 => {}
            _ if self.requests[request].invalid_reason.is_none() => self.report_violation(
                now,
                Rule::Answer,
                format!("request {request} is valid and was answered with {status}"),
            ),
            _ => {}
        }
    }

    /// Checks that a worker produced this result for this request.
    fn check_result(&mut self, now: Nanos, request: RequestIndex, body: &[u8]) {
        let result = std::str::from_utf8(body).ok().and_then(|text| {
            let (of, number) = text.strip_prefix("made ")?.split_once(' ')?;
            (of.parse::<usize>().ok()? == request).then_some(number.parse::<u64>().ok()?)
        });
        let results = &self.requests[request].results;
        if result.is_none_or(|number| !results.contains(&number)) {
            self.report_violation(
                now,
                Rule::Answer,
                format!("request {request} succeeded with a result that no worker produced for it"),
            );
        }
    }

    /// Checks that no attempt of a rejected request may have executed, or that repeating the
    /// request is harmless.
    fn check_rejection(&mut self, now: Nanos, request: RequestIndex) {
        let record = &self.requests[request];
        let class = self.classes[record.class];
        let unresolved = record
            .attempts
            .iter()
            .filter(|attempt| !attempt.known_not_executed())
            .count();
        let harmful = match class.idempotency {
            Idempotency::Idempotent => false,
            Idempotency::IdempotentWithKey => {
                unresolved > 0 && class.retry_scope != RetryScope::All
            }
            Idempotency::NonIdempotent => unresolved > 0,
        };
        if harmful {
            let text = format!(
                "request {request} ({:?}) was rejected while {unresolved} attempts may have executed",
                class.idempotency
            );
            self.report_violation(now, Rule::Idempotency, text);
        }
    }

    fn check_deadline(&mut self, now: Nanos, request: RequestIndex, status: u16) {
        let record = &self.requests[request];
        let class = record.class;
        let slack = SLACK + self.hold_up_slack(record, now);
        let limit = record.deadline.saturating_add(slack);
        if now > limit {
            let by = (now - limit) as f64 / 1e6;
            self.report_violation(
                now,
                Rule::Answer,
                format!("request {request} was answered {by:.1} ms too late"),
            );
        } else if status == 200 {
            self.counts.in_time += 1;
            self.counts.classes[class].in_time += 1;
        }
    }

    /// Ends a request that got no complete response, and reports a violation if a response was
    /// required.
    pub fn response_lost(&mut self, now: Nanos, request: RequestIndex, reason: &str) {
        let record = &self.requests[request];
        if record.ended.is_some() {
            return;
        }
        let Some(sent) = record.sent else {
            return self.exempt(now, request);
        };
        let exempted = self.killed_dispatchers.contains(&sent.to)
            || record.invalid_reason.is_some()
            || record.response_abandoned;
        if exempted {
            return self.exempt(now, request);
        }
        self.report_violation(
            now,
            Rule::Answer,
            format!("request {request} was accepted and not answered: {reason}"),
        );
        self.end(now, request, Outcome::Exempted);
    }

    fn end_if_active(&mut self, now: Nanos, request: RequestIndex, outcome: Outcome) {
        if self.requests[request].ended.is_none() {
            self.end(now, request, outcome);
        }
    }

    fn end(&mut self, now: Nanos, request: RequestIndex, outcome: Outcome) {
        self.requests[request].ended = Some(Ended { at: now, outcome });
        match outcome {
            Outcome::Answered(200) => self.counts.succeeded += 1,
            Outcome::Answered(503) => self.counts.rejected += 1,
            Outcome::Answered(_) => self.counts.failed += 1,
            Outcome::Disconnected => self.counts.disconnected += 1,
            Outcome::Exempted => self.counts.exempted += 1,
        }
    }
}
