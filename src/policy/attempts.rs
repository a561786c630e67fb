//! Attempts: sends them, and updates the estimates of a worker from their start, delay and end.
use super::Dispatcher;
use super::lifecycle::{classify_outcome, next};
use super::outlier::{BUSY_WEIGHT, OVERRUN_WEIGHT, UNRESPONSIVE_WEIGHT};
use super::peer_load::ReportReason;
use super::worker_selection::Selection;
use crate::start_delays::{AttemptId, SentAttempt};
use crate::state::RequestState::{Pending, PendingMayHaveRun};
use crate::state::{Attempt, RequestInput, RunningMean, Worker};
use crate::time::{SECOND, decay};
use crate::timers::{attempt_of, attempt_timer};
use crate::types::{Action, AttemptEnded, Nanos, Outcome, RequestId};

/// A start is overdue after this multiple of the expected wait, plus the service time of a request
/// that may be ahead, plus [`START_TOLERANCE`].
const START_TOLERANCE_MULTIPLE: f64 = 1.5;

/// Upper bound of the expected wait in the calculation of an overdue start, in nanoseconds.
const MAX_TOLERATED_WAIT: f64 = 2.0 * SECOND;

/// Time added to the tolerated wait for a start, in nanoseconds.
const START_TOLERANCE: f64 = 0.3 * SECOND;

/// Number of service times added to the tolerated wait if workers do not report starts.
const UNREPORTED_SERVICE_TIMES: f64 = 2.0;

/// A started attempt counts as an overrun after this multiple of its expected service time plus
/// [`OVERRUN_TOLERANCE`].
const OVERRUN_MULTIPLE: f64 = 2.0;

/// Time added to the tolerated service time, in nanoseconds.
const OVERRUN_TOLERANCE: f64 = 0.5 * SECOND;

/// Minimum time between two checks of an overdue attempt.
const MIN_RECHECK_DELAY: Nanos = 300_000_000;

/// Lower bound of the service-time factor of one request. Hints are rough.
const MIN_SAMPLE_FACTOR: f64 = 0.2;

/// Upper bound of the service-time factor of one request. Hints are rough.
const MAX_SAMPLE_FACTOR: f64 = 10.0;

/// Maximum number of earlier samples that the factor of the latest request is averaged with.
const MAX_FACTOR_SAMPLES: f64 = 9.0;

/// Factor, relative to the worker's, above which a completed request is reported to peers at once.
const SLOW_MULTIPLE: f64 = 2.0;

impl Worker {
    /// Adds the service-time factor of a completed request to the estimate. The first samples at a
    /// warm worker weigh more. Samples at a warming worker weigh less, as they are slow because of the
    /// warm-up.
    fn observe_service_time_factor(&mut self, now: Nanos, factor: f64, is_warm: bool) {
        self.factor_samples = if is_warm {
            (self.factor_samples + 1.0).min(MAX_FACTOR_SAMPLES)
        } else {
            MAX_FACTOR_SAMPLES
        };
        self.own_service_time_factor +=
            (factor - self.own_service_time_factor) / (self.factor_samples + 1.0);
        self.update_service_time_factor(now);
    }
}

impl Dispatcher {
    /// Sends a request to the selected worker.
    pub(super) fn send_attempt(
        &mut self,
        now: Nanos,
        key: usize,
        selection: Selection,
        actions: &mut Vec<Action>,
    ) {
        let warm_up_work = self.requests[key].warm_up_work;
        let allowance_end = self.record_sent_work(now, selection.worker, warm_up_work);
        let send_by = self
            .request_send_deadline(&self.requests[key])
            .min(allowance_end);
        let worker = &self.workers[selection.worker];
        let active = &mut self.requests[key];
        let request_id = active.request.id;
        let attempt_index = active.attempts_sent;
        let expected_wait = worker.queue_wait(active.demand.slots_required, worker.peer_load(now));
        self.start_delays.record_sent(SentAttempt {
            id: AttemptId::new(request_id, attempt_index as u8),
            sent_at: now,
            expected_wait,
            slack: active.slack(now, worker.service_time_factor),
            service_time: active.demand.service_time,
        });
        active.push_attempt(Attempt {
            worker: selection.worker,
            sent_at: now,
            expected_wait,
            started_at: None,
            in_flight: true,
        });
        active.state = next(active.state, RequestInput::AttemptSent, active.idempotency).0;
        actions.push(Action::SendAttempt {
            request_id,
            worker: worker.id,
            send_by,
        });
        actions.push(Action::SetTimer {
            at: self.start_overdue_at(now, key, selection),
            token: attempt_timer(request_id, attempt_index),
        });
        self.report_load(now, selection.worker, ReportReason::LoadChanged, actions);
    }

    /// Returns the time at which the start of an attempt is overdue. At a worker that has not
    /// responded within the last second, another dispatcher's request of similar size may be ahead.
    fn start_overdue_at(&self, now: Nanos, key: usize, selection: Selection) -> Nanos {
        let worker = &self.workers[selection.worker];
        let service_times = if self.settings.reports_starts {
            self.unobserved_fraction * (1.0 - decay(1.0, worker.last_response_at, now, SECOND))
        } else {
            UNREPORTED_SERVICE_TIMES
        };
        let tolerance =
            service_times * self.requests[key].demand.service_time * worker.service_time_factor;
        let wait = selection.wait.min(MAX_TOLERATED_WAIT) * START_TOLERANCE_MULTIPLE;
        now + (wait + tolerance + START_TOLERANCE) as Nanos
    }

    pub(super) fn on_attempt_started(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        attempt_index: u8,
        actions: &mut Vec<Action>,
    ) {
        let Some((key, attempt)) = self.attempt_in_flight(request_id, attempt_index) else {
            return;
        };
        let active = &mut self.requests[key];
        active.attempts_mut()[usize::from(attempt_index)].started_at = Some(now);
        self.refresh_worker_loads(now);
        let worker = &mut self.workers[attempt.worker];
        worker.record_start(now);
        if self.settings.fifo_workers {
            worker.latest_started_sent_at = worker.latest_started_sent_at.max(attempt.sent_at);
        }
        worker.set_start_delay(now, attempt.unexplained_delay(now));
        self.zone_delays.observe(worker.zone, worker.start_delay);
        self.start_delays
            .record_start(AttemptId::new(request_id, attempt_index), now);
        let service_time = self.requests[key].demand.service_time;
        let overrun_after =
            OVERRUN_MULTIPLE * service_time * worker.service_time_factor + OVERRUN_TOLERANCE;
        actions.push(Action::SetTimer {
            at: now + overrun_after as Nanos,
            token: attempt_timer(request_id, usize::from(attempt_index)),
        });
    }

    /// Handles the timer of a request. A pending request is dispatched again; otherwise its attempt
    /// is overdue.
    pub(super) fn on_request_timer(&mut self, now: Nanos, token: u64, actions: &mut Vec<Action>) {
        let (request_id, attempt_index) = attempt_of(token);
        let Some(&key) = self.request_keys.get(&request_id) else {
            return;
        };
        let active = &self.requests[key];
        let is_waiting = matches!(active.state, Pending | PendingMayHaveRun);
        if is_waiting && attempt_index == active.attempts_sent {
            return self.dispatch_request(now, key, actions);
        }
        let Some((_, attempt)) = self.attempt_in_flight(request_id, attempt_index as u8) else {
            return;
        };
        self.on_attempt_overdue(now, &attempt, actions);
        let age = now - attempt.started_at.unwrap_or(attempt.sent_at);
        actions.push(Action::SetTimer {
            at: now + age.max(MIN_RECHECK_DELAY),
            token,
        });
    }

    fn on_attempt_overdue(&mut self, now: Nanos, attempt: &Attempt, actions: &mut Vec<Action>) {
        let worker = &mut self.workers[attempt.worker];
        let is_unresponsive =
            attempt.started_at.is_none() && worker.last_response_at < attempt.sent_at;
        let weight = if is_unresponsive {
            UNRESPONSIVE_WEIGHT
        } else if attempt.started_at.is_some() {
            OVERRUN_WEIGHT
        } else {
            BUSY_WEIGHT
        };
        worker.record_overdue_attempt(now, weight);
        if is_unresponsive {
            worker.unresponsive = true;
            let reason = ReportReason::UnresponsiveWorker;
            self.report_load(now, attempt.worker, reason, actions);
        }
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        now: Nanos,
        end: AttemptEnded,
        actions: &mut Vec<Action>,
    ) {
        let AttemptEnded {
            request_id,
            attempt_index,
            outcome,
            complete,
            report,
        } = end;
        let Some((key, attempt)) = self.attempt_in_flight(request_id, attempt_index) else {
            return;
        };
        if outcome == Outcome::Succeeded {
            self.observe_slots(now, key, attempt.worker);
        }
        self.requests[key].attempts_mut()[usize::from(attempt_index)].in_flight = false;
        self.start_delays
            .record_end(AttemptId::new(request_id, attempt_index));
        self.on_load_report(now, attempt.worker, report);
        let reason = self.apply_outcome(now, key, &attempt, outcome);
        self.report_load(now, attempt.worker, reason, actions);
        if outcome == Outcome::ConnectFailed {
            self.select_subsets(now);
        }
        let input = if complete {
            RequestInput::Succeeded
        } else {
            classify_outcome(outcome, self.settings.at_capacity)
        };
        if input == RequestInput::MayHaveRun {
            self.requests[key].record_uncertain_attempt(&attempt);
        }
        self.apply_input(now, request_id, input, actions);
    }

    /// Updates the estimates from the end of an attempt. Returns the reason for a report of the
    /// worker's load.
    fn apply_outcome(
        &mut self,
        now: Nanos,
        key: usize,
        attempt: &Attempt,
        outcome: Outcome,
    ) -> ReportReason {
        let mut reason = ReportReason::LoadChanged;
        if outcome == Outcome::Succeeded
            && let Some(started_at) = attempt.started_at
        {
            reason = self.observe_service_time(now, key, attempt.worker, now - started_at);
        }
        let active = &self.requests[key];
        let worker = &mut self.workers[attempt.worker];
        if outcome == Outcome::ConnectFailed {
            worker.record_connect_failure(now);
        }
        if matches!(outcome, Outcome::AtCapacity | Outcome::ConnectFailed) {
            // The worker rejects at once. Without this delay it would appear idle and attract all
            // requests.
            let time_left = active.objective_deadline.saturating_sub(now) as f64;
            worker.set_start_delay(now, worker.start_delay.max(time_left));
        }
        worker.record_outcome(now, usize::from(active.request.class), outcome);
        reason
    }

    fn observe_service_time(
        &mut self,
        now: Nanos,
        key: usize,
        worker_index: usize,
        service_time: Nanos,
    ) -> ReportReason {
        let service_time = service_time as f64;
        let active = &self.requests[key];
        let class = &mut self.classes[usize::from(active.request.class)];
        class.observe_service_time(active.request.hint, service_time);
        let factor =
            (service_time / active.demand.service_time).clamp(MIN_SAMPLE_FACTOR, MAX_SAMPLE_FACTOR);
        let is_warm = self.slow_start_factor(&self.workers[worker_index], now) >= 1.0;
        let worker = &mut self.workers[worker_index];
        let is_slow = factor > SLOW_MULTIPLE * worker.service_time_factor;
        worker.observe_service_time_factor(now, factor, is_warm);
        if is_warm {
            let worker_type = usize::from(worker.worker_type);
            self.observe_worker_type_factor(worker_type, factor);
        }
        if is_slow {
            ReportReason::SlowWorker
        } else {
            ReportReason::LoadChanged
        }
    }

    fn observe_worker_type_factor(&mut self, worker_type: usize, factor: f64) {
        let known_types = self.worker_type_factors.len().max(worker_type + 1);
        self.worker_type_factors
            .resize(known_types, RunningMean::starting_at(1.0));
        self.worker_type_factors[worker_type].observe(factor);
    }

    /// Updates the service-time factor of all workers. A worker that has completed no request of
    /// this dispatcher has the factor of its type.
    pub(super) fn update_service_time_factors(&mut self, now: Nanos) {
        for worker in &mut self.workers {
            let type_factor = self
                .worker_type_factors
                .get(usize::from(worker.worker_type));
            if let Some(type_factor) = type_factor
                && worker.factor_samples == 0.0
            {
                worker.own_service_time_factor = type_factor.mean;
            }
            worker.update_service_time_factor(now);
        }
    }

    /// Returns an attempt that is still in flight, and the key of its request.
    fn attempt_in_flight(
        &self,
        request_id: RequestId,
        attempt_index: u8,
    ) -> Option<(usize, Attempt)> {
        let key = *self.request_keys.get(&request_id)?;
        let attempt = self.requests[key]
            .attempts()
            .get(usize::from(attempt_index))?;
        attempt.in_flight.then_some((key, *attempt))
    }
}
