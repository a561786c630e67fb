//! Worker selection: which worker gets a request.
//!
//! It is the worker whose interval holds the request's size, or the nearest by id that can start it soon enough; failing
//! that, the one of least cost.
use super::Dispatcher;
use super::subset::{MAX_DISPATCHERS_PER_WORKER, MIN_DISPATCHERS_PER_WORKER};
use crate::mutation::{Mutation, is_active};
use crate::settings::Idempotency::IdempotentWithKey;
use crate::settings::RetryScope;
use crate::start_delays::Congestion;
use crate::state::{ActiveRequest, FleetMeans, RequestClass, UncertainAttempt, Worker};
use crate::types::Nanos;

#[cfg(test)]
mod tests;

/// The cost of passing over a whole subset, in mean waits of the fleet, where the most dispatchers use a worker.
const SUBSET_DISTANCE_COST: f64 = 1.6;

/// The part of the time to spare below which a wait is within the error of the estimates.
const NEGLIGIBLE_SLACK_USAGE: f64 = 0.05;

/// The failure score from which on a worker is not taken without comparing costs.
const MAX_FAILURE_SCORE: f64 = 0.25;

/// How fast the service-time factor of a worker counts for admission as starts get late.
const LATE_FACTOR_SLOPE: f64 = 3.0;

/// The worker selected for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Selection {
    /// The index of the worker.
    pub(super) worker: usize,
    /// The expected wait there, in nanoseconds.
    pub(super) wait: f64,
    /// The wait as a part of the request's time to spare.
    pub(super) slack_usage: f64,
}

/// What a request can expect of a worker.
struct Estimate {
    /// The failure score that counts for the request.
    failures: f64,
    /// How long the request may wait there, 1 ns at least.
    slack: f64,
    /// The expected wait, in nanoseconds.
    wait: f64,
    /// The wait and the network delay as a part of the time to spare.
    slack_usage: f64,
}

/// What is the same for all workers that are considered for a request.
struct SelectionContext<'a> {
    now: Nanos,
    active: &'a ActiveRequest,
    class: &'a RequestClass,
    /// The workers that are considered, by id.
    workers: &'a [usize],
    /// The attempt to whose retry scope the request is bound.
    bound_to: Option<UncertainAttempt>,
    mean_work: f64,
    /// The fleet's delay of starts in times to spare, as far as other dispatchers cause it.
    fleet_delay: f64,
    late_fraction: f64,
    /// The cost of each position between a worker and the request's interval.
    cost_per_position: f64,
}

impl SelectionContext<'_> {
    /// Whether the request is bound to a retry scope and window that do not allow this worker now.
    fn forbids_worker(&self, workers: &[Worker], index: usize) -> bool {
        let Some(bound_to) = self.bound_to else {
            return false;
        };
        let first = &workers[bound_to.worker];
        let worker = &workers[index];
        let is_in_scope = match self.class.settings.retry_scope {
            RetryScope::All => true,
            RetryScope::Zone => first.zone == worker.zone,
            RetryScope::Group => first.group == worker.group,
        };
        !is_in_scope || self.now >= bound_to.sent_at + self.class.settings.retry_window
    }
}

/// The positions of a subset by their distance from one of them: itself, then the next above and below by turns.
fn positions_by_distance(from: usize, count: usize) -> impl Iterator<Item = (usize, usize)> {
    (0..2 * count).filter_map(move |step| {
        let distance = step.div_ceil(2);
        let position = if step % 2 == 1 {
            from.checked_add(distance)
        } else {
            from.checked_sub(distance)
        };
        position
            .filter(|position| *position < count)
            .map(|position| (position, distance))
    })
}

impl Dispatcher {
    /// Selects the worker for a request whose size falls into `interval`; none where no worker may take it now.
    pub(super) fn select_worker(
        &mut self,
        now: Nanos,
        key: usize,
        interval: usize,
    ) -> Option<Selection> {
        self.refresh_worker_loads(now);
        let context = self.selection_context(now, key);
        let mut missing_grant_for = None;
        let mut least_cost = f64::INFINITY;
        let mut selected = None;
        for (position, distance) in positions_by_distance(interval, context.workers.len()) {
            let index = context.workers[position];
            if context.forbids_worker(&self.workers, index) {
                continue;
            }
            if self.exceeds_warm_up_allowance(&context, index) {
                if missing_grant_for.is_none() && self.has_free_slot(&context, index) {
                    missing_grant_for = Some(index);
                }
                continue;
            }
            let estimate = self.estimate(&context, index);
            let select = |slack_usage| {
                Some(Selection {
                    worker: index,
                    wait: estimate.wait,
                    slack_usage,
                })
            };
            if self.is_suitable(&context, index, &estimate) {
                selected = select(estimate.wait / estimate.slack);
                break;
            }
            let cost = self.cost(&context, index, distance, &estimate);
            if cost < least_cost {
                least_cost = cost;
                selected = select(self.admission_slack_usage(&context, index, estimate.wait));
            }
        }
        self.missing_grant_for = missing_grant_for;
        selected
    }

    fn selection_context(&self, now: Nanos, key: usize) -> SelectionContext<'_> {
        let active = &self.requests[key];
        let class = &self.classes[usize::from(active.request.class)];
        let bound_to = active.first_uncertain_attempt.filter(|_| {
            active.idempotency == IdempotentWithKey && !is_active(Mutation::IgnoreRetryWindow)
        });
        // A retry that is bound to a scope may have to leave the subset.
        let workers = if bound_to.is_some() {
            &class.eligible_workers
        } else {
            &class.subset
        };
        let Congestion {
            delay,
            late_fraction,
        } = self.start_delays.congestion(now, self.low_traffic_factor);
        let fleet_delay = self.unobserved_fraction * delay;
        // The more dispatchers use a worker the less is known of it, and the more a request keeps to its interval.
        let uncertainty = ((self.dispatchers_per_worker - MIN_DISPATCHERS_PER_WORKER)
            / (MAX_DISPATCHERS_PER_WORKER - MIN_DISPATCHERS_PER_WORKER))
            .clamp(0.0, 1.0);
        let cost_per_position =
            SUBSET_DISTANCE_COST * uncertainty * fleet_delay / workers.len().max(1) as f64;
        SelectionContext {
            now,
            active,
            class,
            workers,
            bound_to,
            mean_work: class.mean_work(),
            fleet_delay,
            late_fraction,
            cost_per_position: if bound_to.is_some() {
                0.0
            } else {
                cost_per_position
            },
        }
    }

    fn exceeds_warm_up_allowance(&self, context: &SelectionContext, index: usize) -> bool {
        let worker = &self.workers[index];
        self.slow_start_factor(worker, context.now) < 1.0
            && self.remaining_warm_up_allowance(worker, context.now) < context.active.warm_up_work
            && !is_active(Mutation::IgnoreSlowStart)
    }

    /// Whether this dispatcher's part of a worker's slots, less what peers use, has position for the request. A larger
    /// request may have all of the part.
    fn has_free_slot(&self, context: &SelectionContext, index: usize) -> bool {
        let worker = &self.workers[index];
        let sharing = if self.exchanges_load {
            1.0
        } else {
            self.dispatchers
        };
        let quota = (worker.slots.round() / sharing).max(1.0);
        let slots_required = context.active.demand.slots_required;
        worker.slots_in_use + worker.peer_load(context.now).slots + slots_required.min(quota)
            <= quota
    }

    /// What a request can expect of a worker.
    fn estimate(&self, context: &SelectionContext, index: usize) -> Estimate {
        let active = context.active;
        let worker = &self.workers[index];
        let class_index = usize::from(active.request.class);
        let slack = active
            .slack(context.now, worker.service_time_factor)
            .max(1.0);
        let fleet = self.fleet_means(context, index, slack);
        let wait = worker.expected_wait(context.now, active.demand.slots_required, fleet);
        Estimate {
            failures: worker.failure_score_for(
                context.now,
                self.mean_failure_score,
                class_index,
                active.idempotency,
            ),
            slack,
            wait,
            slack_usage: wait / slack + self.zone_delays.slack_usage(worker.zone, slack),
        }
    }

    /// Whether a request can start about at once, at a worker that is no outlier.
    fn is_suitable(&self, context: &SelectionContext, index: usize, estimate: &Estimate) -> bool {
        estimate.failures < MAX_FAILURE_SCORE
            && estimate.slack_usage < NEGLIGIBLE_SLACK_USAGE
            && self.has_free_slot(context, index)
    }

    /// The cost of a worker that is not suitable, `distance` positions away from the request's interval.
    fn cost(
        &self,
        context: &SelectionContext,
        index: usize,
        distance: usize,
        estimate: &Estimate,
    ) -> f64 {
        let worker = &self.workers[index];
        let has_failed_there = context
            .active
            .attempts()
            .iter()
            .any(|attempt| attempt.worker == index);
        // Own attempts count once more than in the wait, as other dispatchers see and do the same.
        let own_load =
            (worker.remaining_work / estimate.slack + worker.slots_in_use) / worker.slots;
        let distance_cost = context.cost_per_position * distance as f64;
        estimate.slack_usage
            + own_load
            + estimate.failures
            + f64::from(has_failed_there)
            + distance_cost
    }

    /// The slack_usage for admission at a worker that is not suitable. That a worker is slow is no overload: it counts only as
    /// far as starts are late.
    fn admission_slack_usage(&self, context: &SelectionContext, index: usize, wait: f64) -> f64 {
        let lateness = (LATE_FACTOR_SLOPE * context.late_fraction).min(1.0);
        let factor = 1.0 + (self.workers[index].service_time_factor - 1.0) * lateness;
        wait / context.active.slack(context.now, factor).max(1.0)
    }

    /// The means of the fleet for a worker. A warming worker is not as busy as the rest, as its load is limited.
    fn fleet_means(&self, context: &SelectionContext, index: usize, slack: f64) -> FleetMeans {
        let means = FleetMeans {
            work: context.mean_work,
            ..FleetMeans::default()
        };
        if self.slow_start_factor(&self.workers[index], context.now) < 1.0 {
            return means;
        }
        FleetMeans {
            start_delay: context.fleet_delay * slack,
            other_slots: self.mean_other_slots,
            ..means
        }
    }
}
