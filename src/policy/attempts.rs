//! Attempts: sending them, and what their start, silence and end say of a worker.
use super::Dispatcher;
use super::lifecycle::{classify_outcome, next};
use crate::start_delays::{AttemptId, Sent};
use crate::state::RequestState::{Pending, PendingMayHaveRun};
use crate::state::{ActiveRequest, Attempt, FailureScore, RequestInput, Worker};
use crate::time::{SECOND, decay};
use crate::timers::token;
use crate::types::{Action, AttemptEnded, Nanos, Outcome, Request, RequestId};

impl Dispatcher {
    pub(crate) fn send_attempt(
        &mut self,
        now: Nanos,
        key: usize,
        at: usize,
        cost: f64,
        acts: &mut Vec<Action>,
    ) {
        let start_notes = self.says("start_notes") > 0.0;
        let chosen = &self.workers[at];
        let cold = self.warmth(chosen, now) < 1.0;
        let from = now.saturating_sub(self.says("overload.window") as Nanos);
        let active = &mut self.requests[key];
        let worker = &mut self.workers[at];
        worker.recent_work.retain(|(at, _)| *at >= from);
        let own = if cold {
            worker.consume_grants(now, active.warm_up_work)
        } else {
            active.warm_up_work
        };
        worker.recent_work.push_back((now, own));
        let expected_wait = worker.queue(active.slots_required, worker.peer_load(now));
        active.attempts[active.attempts_sent] = Attempt {
            worker: at,
            sent_at: now,
            expected_wait,
            started_at: None,
            in_flight: true,
        };
        let token = token(active.request.id, active.attempts_sent);
        let id = AttemptId {
            request: active.request.id,
            number: active.attempts_sent as u8,
        };
        let time_to_spare = active.time_to_spare(now, worker.service_time_factor);
        self.start_delays.sent(Sent {
            id,
            at: now,
            expected_wait,
            time_to_spare,
            service_time: active.service_time,
        });
        active.attempts_sent += 1;
        active.state = next(active.state, RequestInput::AttemptSent, active.idempotency).0;
        acts.push(Action::SendAttempt {
            request_id: active.request.id,
            worker: worker.id,
        });
        // Overdue: a start later than expected by 300 ms, or without start notes by twice the run. Others'
        // jobs there are, by the lanes, of like size: where none was heard of, one may be ahead. Guards
        // against taking for hung, among many dispatchers, what is only busy with others' work.
        let ahead =
            self.unobserved_share * (1.0 - decay(1.0, worker.last_response_at, now, SECOND));
        let run = if start_notes { ahead } else { 2.0 }
            * active.service_time
            * worker.service_time_factor;
        let overdue = now + (cost.min(2.0 * SECOND) * 1.5 + run + 0.3 * SECOND) as Nanos;
        acts.push(Action::SetTimer { at: overdue, token });
        self.report_load_to_peers(now, at, false, false, acts);
    }

    pub(crate) fn started(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        attempt_index: u8,
        acts: &mut Vec<Action>,
    ) {
        let Some((key, attempt)) = self.attempt(request_id, attempt_index) else {
            return;
        };
        self.requests[key].attempts[usize::from(attempt_index)].started_at = Some(now);
        self.refresh_worker_loads(now);
        let worker = &mut self.workers[attempt.worker];
        worker.record_response(now, 0.1);
        worker.latest_started_sent_at = worker.latest_started_sent_at.max(if self.fifo_workers {
            attempt.sent_at
        } else {
            0
        });
        if std::mem::take(&mut worker.unresponsive) {
            worker.failure_score = FailureScore::default();
        }
        (worker.start_delay, worker.start_delay_at) = (attempt.delay(now), now);
        self.zone_delays.observe(worker.zone, worker.start_delay);
        self.start_delays.started(
            AttemptId {
                request: request_id,
                number: attempt_index,
            },
            now,
        );
        let active = &self.requests[key];
        let run = 2.0 * active.service_time * worker.service_time_factor + 0.5 * SECOND;
        acts.push(Action::SetTimer {
            at: now + run as Nanos,
            token: token(request_id, usize::from(attempt_index)),
        });
    }

    /// A timer of one request: it is still held, or an attempt is overdue.
    pub(crate) fn on_request_timer(&mut self, now: Nanos, token: u64, acts: &mut Vec<Action>) {
        let (request_id, attempt_index) = (token as RequestId, (token >> 32) as usize);
        let Some(&key) = self.request_keys.get(&request_id) else {
            return;
        };
        let active = &self.requests[key];
        if matches!(active.state, Pending | PendingMayHaveRun)
            && attempt_index == active.attempts_sent
        {
            return self.dispatch_request(now, key, acts);
        }
        let Some((_, attempt)) = self.attempt(request_id, attempt_index as u8) else {
            return;
        };
        let worker = &mut self.workers[attempt.worker];
        // A worker that has shown life since is only busy; one that has not may be hung.
        let silent = attempt.started_at.is_none() && worker.last_response_at < attempt.sent_at;
        let by = if silent {
            0.8
        } else {
            f64::from(attempt.started_at.is_some()) * 0.15
        };
        worker.failure_score.add(now, Worker::FAILURE_HALF_LIFE, by);
        if silent {
            worker.unresponsive = true;
            self.report_load_to_peers(now, attempt.worker, true, true, acts);
        }
        let age = now - attempt.started_at.unwrap_or(attempt.sent_at);
        acts.push(Action::SetTimer {
            at: now + age.max(300_000_000),
            token,
        });
    }

    pub(crate) fn ended(&mut self, now: Nanos, end: AttemptEnded, acts: &mut Vec<Action>) {
        let AttemptEnded {
            request_id,
            attempt_index,
            outcome,
            complete,
            report,
        } = end;
        let Some((key, attempt)) = self.attempt(request_id, attempt_index) else {
            return;
        };
        if outcome == Outcome::Succeeded {
            self.learn_slots(now, key, attempt.worker);
        }
        self.requests[key].attempts[usize::from(attempt_index)].in_flight = false;
        self.start_delays.ended(AttemptId {
            request: request_id,
            number: attempt_index,
        });
        self.read_report(now, attempt.worker, report);
        let ActiveRequest {
            service_time: run,
            objective_deadline: due,
            request: Request { class, hint, .. },
            ..
        } = self.requests[key];
        let class = usize::from(class);
        let warm = self.warmth(&self.workers[attempt.worker], now) >= 1.0;
        let mut slow = false;
        let worker = &mut self.workers[attempt.worker];
        if outcome == Outcome::ConnectFailed {
            worker.record_connect_failure(now);
        }
        if classify_outcome(outcome) == RequestInput::NotRun {
            // Its wait is this request's whole room. Guards against a worker that is full, dead or drains
            // unannounced: answering at once, it would look idle and draw all that waits.
            (worker.start_delay, worker.start_delay_at) =
                (worker.start_delay.max(due.saturating_sub(now) as f64), now);
        }
        match outcome {
            Outcome::Succeeded => {
                if let Some(from) = attempt.started_at {
                    self.classes[class].observe_service_time(hint, (now - from) as f64);
                    // One job tells little of a worker's pace (its hint may be off): a tenth at a time, the
                    // first ones more. Guards against a slow worker to which each sends few jobs.
                    let service_time_factor = ((now - from) as f64 / run).clamp(0.2, 10.0);
                    // A cold one is slow for another reason: a tenth, and its kind is not told.
                    worker.factor_samples = if warm {
                        (worker.factor_samples + 1.0).min(9.0)
                    } else {
                        9.0
                    };
                    slow = service_time_factor > 2.0 * worker.service_time_factor;
                    worker.own_service_time_factor += (service_time_factor
                        - worker.own_service_time_factor)
                        / (worker.factor_samples + 1.0);
                    worker.update_service_time_factor(now);
                    if warm {
                        let worker_type = usize::from(worker.worker_type);
                        self.worker_type_factors.resize(
                            self.worker_type_factors.len().max(worker_type + 1),
                            (1.0, 0.0),
                        );
                        let (mean, count) = &mut self.worker_type_factors[worker_type];
                        *count = (*count + 1.0).min(50.0);
                        *mean += (service_time_factor - *mean) / *count;
                    }
                }
                worker.record_response(now, 0.2);
                worker.class_failure_scores[class].add(now, 3.0 * Worker::FAILURE_HALF_LIFE, -0.2);
            }
            Outcome::WorkerError => {
                worker
                    .failure_score
                    .add(now, Worker::FAILURE_HALF_LIFE, 0.5);
                worker.class_failure_scores[class].add(now, 3.0 * Worker::FAILURE_HALF_LIFE, 0.3);
            }
            Outcome::TimedOut => worker
                .failure_score
                .add(now, Worker::FAILURE_HALF_LIFE, 0.5),
            Outcome::ConnectFailed | Outcome::ConnectionLost => {
                worker
                    .failure_score
                    .add(now, Worker::FAILURE_HALF_LIFE, 0.6)
            }
            Outcome::AtCapacity
            | Outcome::InvalidRequest
            | Outcome::Cancelled
            | Outcome::NotSent => {}
        }
        self.report_load_to_peers(now, attempt.worker, slow, false, acts);
        if outcome == Outcome::ConnectFailed {
            self.select_subset(now);
        }
        let input = if complete {
            RequestInput::Succeeded
        } else {
            classify_outcome(outcome)
        };
        let active = &mut self.requests[key];
        if input == RequestInput::MayHaveRun {
            active
                .first_uncertain_attempt
                .get_or_insert((attempt.worker, attempt.sent_at));
        }
        self.apply_input(now, request_id, input, acts);
    }

    /// An attempt that is still out, and the place of its request.
    pub(crate) fn attempt(
        &self,
        request_id: RequestId,
        attempt_index: u8,
    ) -> Option<(usize, Attempt)> {
        let key = *self.request_keys.get(&request_id)?;
        let active = &self.requests[key];
        let attempt = active.attempts[..active.attempts_sent].get(usize::from(attempt_index))?;
        attempt.in_flight.then_some((key, *attempt))
    }
}
