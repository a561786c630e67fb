//! Active requests and their attempts.
use crate::types::{Nanos, Request};

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    Idempotent,
    IdempotentWithKey,
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestState {
    /// Nothing out, and nothing that forbids a decline.
    Pending,
    /// One attempt out; all before it are harmless.
    InFlight,
    /// Nothing out; an earlier attempt may have run.
    PendingMayHaveRun,
    /// One attempt out; an earlier one may have run.
    RetryInFlight,
    /// The final answer is given; attempts may still be out.
    Completed,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestInput {
    AttemptSent,
    Succeeded,
    NotRun,
    MayHaveRun,
    GivenUp,
    ClientGone,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestStep {
    Nothing,
    Forward,
    Reject,
    Fail,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Attempt {
    pub worker: usize,
    pub sent_at: Nanos,
    /// The wait that this dispatcher's earlier attempts were to cause.
    pub expected_wait: f64,
    pub started_at: Option<Nanos>,
    pub in_flight: bool,
}

impl Attempt {
    /// How much longer it has waited, for a start now, than this dispatcher's own work explains.
    pub(crate) fn delay(&self, now: Nanos) -> f64 {
        ((now - self.sent_at) as f64 - self.expected_wait).max(0.0)
    }
}

/// Attempts kept for one request; where more are allowed, no more than these are made.
pub const MAX_ATTEMPTS: usize = 6;

#[derive(Debug)]
pub struct ActiveRequest {
    pub request: Request,
    pub idempotency: Idempotency,
    pub state: RequestState,
    /// Hint times slots, and what counts for a cold worker: of one without a hint twice as much. Guards against a cold
    /// worker pushed over by those that run longer than most; half as many go there meanwhile.
    pub work: f64,
    pub warm_up_work: f64,
    /// The hint, and the seats the job takes.
    pub service_time: f64,
    pub slots_required: f64,
    pub objective_deadline: Nanos,
    pub attempts: [Attempt; MAX_ATTEMPTS],
    pub attempts_sent: usize,
    /// The first attempt that may have run: its worker and when it was sent.
    pub first_uncertain_attempt: Option<(usize, Nanos)>,
    /// Whether it has waited for a right.
    pub grant_requested: bool,
}

impl ActiveRequest {
    pub(crate) fn new(
        request: Request,
        idempotency: Idempotency,
        work: f64,
        service_time: f64,
        slots_required: f64,
        objective_deadline: Nanos,
    ) -> Self {
        let attempts = [Attempt::default(); MAX_ATTEMPTS];
        let warm_up_work = work * if request.hint.is_some() { 1.0 } else { 2.0 };
        ActiveRequest {
            request,
            idempotency,
            state: RequestState::Pending,
            work,
            warm_up_work,
            service_time,
            slots_required,
            objective_deadline,
            attempts,
            attempts_sent: 0,
            first_uncertain_attempt: None,
            grant_requested: false,
        }
    }

    /// The time to spare before it is due, from a moment on, at a worker of such a pace.
    pub(crate) fn time_to_spare(&self, from: Nanos, service_time_factor: f64) -> f64 {
        self.objective_deadline.saturating_sub(from) as f64
            - self.service_time * service_time_factor
    }
}
