//! Active requests and their attempts.
use crate::settings::Idempotency;
use crate::types::{Nanos, Request};

/// Maximum number of attempts for one request, whatever the settings allow.
pub(crate) const MAX_ATTEMPTS: usize = 6;

/// Multiple of its work that a request without a hint counts as at a warming worker. It may run
/// longer than most requests.
const UNHINTED_WARM_UP_MULTIPLE: f64 = 2.0;

/// State of a request. Transitions are defined by the state table in `policy::lifecycle`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RequestState {
    /// No attempt is in flight. All earlier ones are known not to have run, or the request may run
    /// more than once without harm.
    Pending,
    /// One attempt is in flight. All earlier ones are known not to have run, or the request may run
    /// more than once without harm.
    InFlight,
    /// No attempt is in flight; an earlier one may have run.
    PendingMayHaveRun,
    /// One attempt is in flight; an earlier one may have run.
    RetryInFlight,
    /// The request has its final answer, or its client has disconnected. Attempts may still be in
    /// flight.
    Completed,
}

/// Input to the state table of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RequestInput {
    /// An attempt was sent.
    AttemptSent,
    /// An attempt succeeded.
    Succeeded,
    /// An attempt ended and did not run.
    NotRun,
    /// An attempt ended and may have run.
    MayHaveRun,
    /// No further attempt is made.
    GivenUp,
    /// The client has disconnected, or its response has begun. No other answer can be sent.
    ClientDisconnected,
}

/// Step that follows from an input.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RequestStep {
    /// No step follows.
    Nothing,
    /// The request is dispatched again.
    Redispatch,
    /// The request is answered as rejected, that is, as not run.
    Reject,
    /// The request is answered as failed, that is, as possibly run.
    Fail,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Attempt {
    /// Index of the worker.
    pub(crate) worker: usize,
    pub(crate) sent_at: Nanos,
    /// Expected wait caused by this dispatcher's earlier attempts, in nanoseconds.
    pub(crate) expected_wait: f64,
    pub(crate) started_at: Option<Nanos>,
    pub(crate) in_flight: bool,
}

impl Attempt {
    /// Returns the excess of the wait by now over the wait that this dispatcher's own work explains.
    pub(crate) fn unexplained_delay(&self, now: Nanos) -> f64 {
        ((now - self.sent_at) as f64 - self.expected_wait).max(0.0)
    }
}

/// Attempt after which it is uncertain whether the request has run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UncertainAttempt {
    /// Index of the worker.
    pub(crate) worker: usize,
    pub(crate) sent_at: Nanos,
}

/// Expected demand of a request on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestDemand {
    /// Service time multiplied by slots.
    pub(crate) work: f64,
    pub(crate) service_time: f64,
    /// Concurrency slots, or units of memory if these are more.
    pub(crate) slots_required: f64,
}

/// Request that is not completed or has attempts in flight.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) request: Request,
    pub(crate) idempotency: Idempotency,
    pub(crate) state: RequestState,
    pub(crate) demand: RequestDemand,
    /// Work deducted from the allowance of a warming worker.
    pub(crate) warm_up_work: f64,
    /// Latest time of a completion that meets the latency objective, at most the deadline.
    pub(crate) objective_deadline: Nanos,
    attempts: [Attempt; MAX_ATTEMPTS],
    pub(crate) attempts_sent: usize,
    pub(crate) first_uncertain_attempt: Option<UncertainAttempt>,
    /// Whether a warm-up grant was requested for the request.
    pub(crate) grant_requested: bool,
}

impl ActiveRequest {
    pub(crate) fn new(
        request: Request,
        idempotency: Idempotency,
        demand: RequestDemand,
        objective_deadline: Nanos,
    ) -> Self {
        let warm_up_multiple = if request.hint.is_some() {
            1.0
        } else {
            UNHINTED_WARM_UP_MULTIPLE
        };
        ActiveRequest {
            request,
            idempotency,
            state: RequestState::Pending,
            demand,
            warm_up_work: demand.work * warm_up_multiple,
            objective_deadline,
            attempts: [Attempt::default(); MAX_ATTEMPTS],
            attempts_sent: 0,
            first_uncertain_attempt: None,
            grant_requested: false,
        }
    }

    /// Returns the attempts sent so far.
    pub(crate) fn attempts(&self) -> &[Attempt] {
        &self.attempts[..self.attempts_sent]
    }

    /// Returns the attempts sent so far, for modification.
    pub(crate) fn attempts_mut(&mut self) -> &mut [Attempt] {
        &mut self.attempts[..self.attempts_sent]
    }

    /// Adds an attempt. There must be fewer than [`MAX_ATTEMPTS`].
    pub(crate) fn push_attempt(&mut self, attempt: Attempt) {
        self.attempts[self.attempts_sent] = attempt;
        self.attempts_sent += 1;
    }

    /// Records that an attempt may have run. Only the first such attempt binds later ones.
    pub(crate) fn record_uncertain_attempt(&mut self, attempt: &Attempt) {
        self.first_uncertain_attempt
            .get_or_insert(UncertainAttempt {
                worker: attempt.worker,
                sent_at: attempt.sent_at,
            });
    }

    /// Returns the slack at time `from`: the time that the request may wait and still meet its latency
    /// objective, at a worker with this service-time factor. Negative if it cannot meet it.
    pub(crate) fn slack(&self, from: Nanos, service_time_factor: f64) -> f64 {
        self.objective_deadline.saturating_sub(from) as f64
            - self.demand.service_time * service_time_factor
    }
}
