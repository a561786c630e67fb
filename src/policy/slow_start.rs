//! Slow start: limits the work that is sent to a warming worker.
//!
//! A worker that has just started fails if all dispatchers together send it too much within the
//! overload window. Without warm-up grants, the dispatchers use it in rotation, by a schedule that
//! depends only on the settings and the clock. With warm-up grants, its budget has two parts. One is
//! granted on request by a single issuer at a time (`rosewall-cluster`). The other is reserved for
//! two dispatchers by their configured ranks, so that the worker gets work even if no message
//! arrives.
use super::Dispatcher;
use super::subset::MAX_DISPATCHERS_PER_WORKER;
use crate::state::{SentWork, WarmUpGrant, Worker};
use crate::timers::attempt_timer;
use crate::types::{Action, EndpointState, Nanos, WorkerId};

#[cfg(test)]
mod tests;

/// Fraction of a warming worker's capacity in any window that grants may use.
const GRANTED_FRACTION: f64 = 0.5;

/// Fraction reserved in total for dispatchers that have had a fleet view. Together with the granted
/// fraction it stays below two thirds, which leaves a third for dispatchers that do not yet know of
/// the worker's start.
const RESERVED_FRACTION: f64 = 0.15;

/// Fraction reserved in total for dispatchers that have never had a fleet view.
const RESERVED_FRACTION_WITHOUT_VIEW: f64 = 0.45;

/// Number of dispatchers that divide the reserved fraction of one worker. Each quota must be large
/// enough for a request.
const RESERVING_DISPATCHERS: f64 = 2.0;

/// Maximum wait of a request for a grant: ten round trips inside a data centre.
const GRANT_WAIT: Nanos = 5_000_000;

/// Time after its warm-up for which a worker's budget is still set to 0.
const BUDGET_CLEARED_FOR: Nanos = 5_000_000_000;

/// Fraction of a warming worker's capacity that scheduled dispatchers may use. The rest is for
/// dispatchers that do not yet know of its start and for requests that run longer than expected.
const SCHEDULED_FRACTION: f64 = 0.5;

/// Number of dispatchers that may send at the same time to a worker that has just started.
const INITIAL_CONCURRENT_SENDERS: f64 = 2.0;

/// Length of a rotation step in overload windows. The first window of each step is a pause, as the
/// senders of the previous step may have filled it.
const WINDOWS_PER_ROTATION_STEP: u64 = 4;

/// Part of the overload window within which an attempt at a warming worker must be sent. Attempts
/// that wait longer would reach the worker together with those of the next window.
const SEND_TIME_DIVISOR: Nanos = 10;

/// Work that this dispatcher may send to a warming worker without a grant.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WarmUpAllowance {
    /// Work in any overload window, in nanoseconds of one slot.
    pub(super) work: f64,
    /// Number of dispatchers on whose behalf this one sends; 0 if it may not send now.
    pub(super) represented_dispatchers: f64,
}

/// Result of deducting work from the grants at a worker.
struct GrantUse {
    /// Work that the grants do not cover.
    uncovered_work: f64,
    /// Earliest expiry of the grants that were used; `None` if none was.
    expires_at: Option<Nanos>,
}

/// Returns an offset that varies the schedules between workers.
fn schedule_offset(worker: WorkerId) -> u64 {
    let [a, b, c, d] = worker.addr.map(u64::from);
    a + b + c + d + u64::from(worker.port)
}

impl Worker {
    /// Returns the unused work of the grants that have not expired.
    fn unused_grants(&self, now: Nanos) -> f64 {
        self.warm_up_grants
            .iter()
            .filter(|grant| now < grant.expires_at)
            .map(|grant| grant.unused_work)
            .sum()
    }

    /// Deducts work from the grants, in order of expiry.
    fn consume_grants(&mut self, now: Nanos, mut work: f64) -> GrantUse {
        self.warm_up_grants
            .retain(|grant| now < grant.expires_at && grant.unused_work > 0.0);
        let first_expiry = self.warm_up_grants.first().map(|grant| grant.expires_at);
        let expires_at = first_expiry.filter(|_| work > 0.0);
        for grant in &mut self.warm_up_grants {
            let used = grant.unused_work.min(work);
            grant.unused_work -= used;
            work -= used;
        }
        GrantUse {
            uncovered_work: work,
            expires_at,
        }
    }
}

impl Dispatcher {
    /// Returns the fraction of its full capacity that a worker has, for the slowest warm-up that the
    /// settings allow. 1 once the worker is warm.
    pub(super) fn slow_start_factor(&self, worker: &Worker, now: Nanos) -> f64 {
        if worker.started_at == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(worker.started_at) as f64;
        let initial = self.settings.slow_start_initial;
        let duration = self.settings.slow_start_duration.max(1.0);
        (initial + (1.0 - initial) * age / duration).min(1.0)
    }

    /// Estimates the capacity of a fully warm worker for each unit of its size: the lower quartile
    /// over the warm workers, or over all ready workers if none is warm. A minimum would decrease as
    /// the fleet grows.
    pub(super) fn update_capacity_per_size(&mut self, now: Nanos) {
        let ready = || {
            self.workers
                .iter()
                .filter(|worker| worker.state == EndpointState::Ready)
        };
        let has_warm = ready().any(|worker| self.slow_start_factor(worker, now) >= 1.0);
        // Only the factor of own requests counts. With the factor of their type, unused workers would
        // be left idle while they warm up.
        let factor = |worker: &Worker| {
            if worker.factor_samples > 0.0 {
                worker.service_time_factor.max(1.0)
            } else {
                1.0
            }
        };
        let mut capacities: Vec<f64> = ready()
            .filter(|worker| !has_warm || self.slow_start_factor(worker, now) >= 1.0)
            .map(|worker| worker.slots / factor(worker) / worker.size)
            .collect();
        capacities.sort_unstable_by(f64::total_cmp);
        self.capacity_per_size = capacities
            .get(capacities.len().saturating_sub(1) / 4)
            .copied()
            .unwrap_or(0.0);
    }

    /// Returns this dispatcher's allowance at a warming worker, before the work already sent is
    /// deducted.
    pub(super) fn base_warm_up_allowance(&self, worker: &Worker, now: Nanos) -> WarmUpAllowance {
        if self.settings.uses_warm_up_grants {
            self.reserved_allowance(worker, now)
        } else {
            self.scheduled_allowance(worker, now)
        }
    }

    /// Returns the allowance by the rotation schedule. Dispatchers of neighbouring ranks use different
    /// workers and share a position of the rotation, so its `rotation_size` positions cover all
    /// dispatchers that use this worker. More dispatchers send at the same time as the worker warms up;
    /// the allowance of each stays the same.
    fn scheduled_allowance(&self, worker: &Worker, now: Nanos) -> WarmUpAllowance {
        let slow_start_factor = self.slow_start_factor(worker, now);
        let window = self.settings.overload_window.max(1.0);
        let total_allowance = SCHEDULED_FRACTION
            * self.settings.overload_multiple
            * self.capacity_per_size
            * worker.size
            * slow_start_factor
            * window;
        let rotation_size = if self.exchanges_load {
            self.dispatchers_per_worker.ceil()
        } else {
            MAX_DISPATCHERS_PER_WORKER
        }
        .min(self.dispatchers);
        let initial = self.settings.slow_start_initial.max(0.01);
        let concurrent_senders = (INITIAL_CONCURRENT_SENDERS * slow_start_factor / initial)
            .floor()
            .clamp(1.0, rotation_size);
        let own_position = (self.settings.rank * rotation_size / self.dispatchers) as u64;
        let offset = schedule_offset(worker.id);
        let window_number = now / window as u64 + offset;
        let is_pause = window_number.is_multiple_of(WINDOWS_PER_ROTATION_STEP);
        let rotation_position = (window_number / WINDOWS_PER_ROTATION_STEP + offset + own_position)
            % (rotation_size as u64);
        let may_send = !is_pause && rotation_position < concurrent_senders as u64;
        WarmUpAllowance {
            work: total_allowance / concurrent_senders,
            represented_dispatchers: if may_send {
                rotation_size / concurrent_senders
            } else {
                0.0
            },
        }
    }

    /// Returns the work that this dispatcher may still send to a warming worker now.
    pub(super) fn remaining_warm_up_allowance(&self, worker: &Worker, now: Nanos) -> f64 {
        let allowance = self.base_warm_up_allowance(worker, now);
        let own = if allowance.represented_dispatchers > 0.0 {
            let window_start = self.overload_window_start(now);
            let sent = worker
                .recent_work
                .iter()
                .filter(|sent| sent.at >= window_start)
                .map(|sent| sent.work)
                .sum::<f64>();
            allowance.work - sent
        } else {
            0.0
        };
        if self.settings.uses_warm_up_grants {
            own.max(0.0) + worker.unused_grants(now)
        } else {
            own
        }
    }

    /// Deducts the work of an attempt from the grants and the allowance at its worker. Returns the
    /// time until which they cover it; [`Nanos::MAX`] at a warm worker.
    pub(super) fn record_sent_work(&mut self, now: Nanos, worker_index: usize, work: f64) -> Nanos {
        let window_start = self.overload_window_start(now);
        let is_warming = self.slow_start_factor(&self.workers[worker_index], now) < 1.0;
        let allowance_end = self.allowance_end(&self.workers[worker_index], now);
        let worker = &mut self.workers[worker_index];
        worker.recent_work.retain(|sent| sent.at >= window_start);
        if !is_warming {
            worker.recent_work.push_back(SentWork { at: now, work });
            return Nanos::MAX;
        }
        let GrantUse {
            uncovered_work,
            expires_at,
        } = worker.consume_grants(now, work);
        worker.recent_work.push_back(SentWork {
            at: now,
            work: uncovered_work,
        });
        expires_at.map_or(allowance_end, |expires_at| allowance_end.min(expires_at))
    }

    /// Returns the time until which the allowance at a warming worker covers an attempt: a part of the
    /// overload window, and by the rotation schedule the end of the rotation step.
    fn allowance_end(&self, worker: &Worker, now: Nanos) -> Nanos {
        let window = (self.settings.overload_window as Nanos).max(1);
        let send_time_end = now + window / SEND_TIME_DIVISOR;
        if self.settings.uses_warm_up_grants {
            return send_time_end;
        }
        let window_number = now / window + schedule_offset(worker.id);
        let windows_left = WINDOWS_PER_ROTATION_STEP - window_number % WINDOWS_PER_ROTATION_STEP;
        let step_end = (now / window + windows_left) * window;
        send_time_end.min(step_end)
    }

    fn overload_window_start(&self, now: Nanos) -> Nanos {
        now.saturating_sub(self.settings.overload_window as Nanos)
    }

    pub(super) fn add_warm_up_grant(&mut self, worker: WorkerId, work: Nanos, until: Nanos) {
        if let Some(&index) = self.worker_indices.get(&worker) {
            let grants = &mut self.workers[index].warm_up_grants;
            let index = grants.partition_point(|grant| grant.expires_at <= until);
            grants.insert(
                index,
                WarmUpGrant {
                    expires_at: until,
                    unused_work: work as f64,
                },
            );
        }
    }

    /// Returns the work that a warming worker can accept from all dispatchers in any overload window
    /// that has begun by now.
    fn warm_up_capacity(&self, worker: &Worker, now: Nanos) -> f64 {
        let window = self.settings.overload_window.max(1.0);
        let slow_start_factor = self.slow_start_factor(worker, now.saturating_sub(window as Nanos));
        self.settings.overload_multiple
            * self.capacity_per_size
            * worker.size
            * slow_start_factor
            * window
    }

    /// Returns the reserved allowance at a warming worker. It belongs to the two dispatchers whose
    /// configured ranks follow the worker's offset. It must not be used in the first window of a
    /// process, as an earlier process of the dispatcher may have used it.
    fn reserved_allowance(&self, worker: &Worker, now: Nanos) -> WarmUpAllowance {
        let fraction = if self.has_fleet_view {
            RESERVED_FRACTION
        } else {
            RESERVED_FRACTION_WITHOUT_VIEW
        };
        let dispatchers = self.settings.dispatchers;
        let holders = RESERVING_DISPATCHERS.min(dispatchers);
        let is_holder = self
            .distance_after(schedule_offset(worker.id))
            .is_some_and(|distance| distance < holders as u64);
        let is_first_window = now < self.started_at + self.settings.overload_window as Nanos;
        WarmUpAllowance {
            work: fraction * self.warm_up_capacity(worker, now) / holders,
            represented_dispatchers: if is_holder && !is_first_window {
                dispatchers / holders
            } else {
                0.0
            },
        }
    }

    /// Returns the distance from an offset up to the configured rank, modulo the number of configured
    /// dispatchers. `None` if the rank is not below that number.
    fn distance_after(&self, offset: u64) -> Option<u64> {
        let rank = self.settings.rank as u64;
        let dispatchers = self.settings.dispatchers as u64;
        (rank < dispatchers).then(|| (rank + dispatchers - offset % dispatchers) % dispatchers)
    }

    /// Requests a grant for the warming worker that the request would have been sent to. Returns
    /// whether the request waits for it. A request waits once and briefly; if no grant arrives, it is
    /// dispatched as if there were no grants.
    pub(super) fn waits_for_grant(
        &mut self,
        now: Nanos,
        key: usize,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(worker_index) = self.missing_grant_for else {
            return false;
        };
        let active = &mut self.requests[key];
        let may_request = self.settings.uses_warm_up_grants
            && self.has_fleet_view
            && !active.grant_requested
            && active.attempts_sent == 0;
        if !may_request {
            return false;
        }
        active.grant_requested = true;
        actions.push(Action::RequestWarmUpGrant {
            worker: self.workers[worker_index].id,
            work: active.warm_up_work as Nanos,
        });
        actions.push(Action::SetTimer {
            at: now + GRANT_WAIT,
            token: attempt_timer(active.request.id, 0),
        });
        true
    }

    /// Sets the budget that may be granted for each warming worker, and 0 for each that has just
    /// become warm.
    pub(super) fn update_warm_up_budgets(&self, now: Nanos, actions: &mut Vec<Action>) {
        if !self.settings.uses_warm_up_grants {
            return;
        }
        let window = self.settings.overload_window as Nanos;
        let duration = self.settings.slow_start_duration as Nanos;
        for worker in &self.workers {
            let is_warming =
                worker.state == EndpointState::Ready && self.slow_start_factor(worker, now) < 1.0;
            let started_recently =
                worker.started_at > 0 && worker.started_at + duration + BUDGET_CLEARED_FOR > now;
            let work = if is_warming {
                GRANTED_FRACTION * self.warm_up_capacity(worker, now)
            } else if started_recently {
                0.0
            } else {
                continue;
            };
            actions.push(Action::SetWarmUpBudget {
                worker: worker.id,
                work: work as Nanos,
                window,
            });
        }
    }
}
