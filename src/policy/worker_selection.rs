//! Worker selection: selects the worker for a request.
//!
//! Selects the worker whose interval contains the request's size, or the nearest by id that can start
//! it soon enough. If there is none, selects the worker with the lowest cost.
use super::Dispatcher;
use super::subset::{MAX_DISPATCHERS_PER_WORKER, MIN_DISPATCHERS_PER_WORKER};
use crate::mutation::{Mutation, is_active};
use crate::settings::RetryScope;
use crate::start_delays::Congestion;
use crate::state::{ActiveRequest, FleetMeans, RequestClass, UncertainAttempt, Worker};
use crate::types::Nanos;

#[cfg(test)]
mod tests;

/// Cost of a distance of a whole subset, in mean waits of the fleet, if the maximum number of
/// dispatchers use a worker.
const SUBSET_DISTANCE_COST: f64 = 1.6;

/// Slack usage below which a wait is within the error of the estimates.
const NEGLIGIBLE_SLACK_USAGE: f64 = 0.05;

/// Failure score from which a worker is selected only by cost.
const MAX_FAILURE_SCORE: f64 = 0.25;

/// Weight of a worker's service-time factor in admission, for each unit of the fraction of late
/// starts.
const LATE_FACTOR_SLOPE: f64 = 3.0;

/// Worker selected for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Selection {
    /// Index of the worker.
    pub(super) worker: usize,
    /// Expected wait at the worker, in nanoseconds.
    pub(super) wait: f64,
    /// Wait as a fraction of the request's slack.
    pub(super) slack_usage: f64,
}

/// Estimates for a request at a worker.
struct Estimate {
    /// Failure score that applies to the request.
    failures: f64,
    /// Slack of the request, in nanoseconds, at least 1.
    slack: f64,
    /// Expected wait, in nanoseconds.
    wait: f64,
    /// Wait and extra network delay as a fraction of the slack.
    slack_usage: f64,
}

/// Inputs that are the same for all candidate workers of a request.
struct SelectionContext<'a> {
    now: Nanos,
    active: &'a ActiveRequest,
    class: &'a RequestClass,
    /// Indices of the candidate workers, ordered by id.
    workers: &'a [usize],
    /// Attempt to whose retry scope the request is bound.
    bound_to: Option<UncertainAttempt>,
    mean_work: f64,
    /// Mean start delay of the fleet that other dispatchers cause, as a fraction of the slack.
    fleet_delay: f64,
    late_fraction: f64,
    /// Cost for each position of distance between a worker and the request's interval.
    cost_per_position: f64,
}

impl SelectionContext<'_> {
    /// Returns whether the request is bound to a retry scope that excludes this worker.
    fn forbids_worker(&self, workers: &[Worker], index: usize) -> bool {
        let Some(bound_to) = self.bound_to else {
            return false;
        };
        let first = &workers[bound_to.worker];
        let worker = &workers[index];
        match self.class.settings.retry_scope {
            RetryScope::All => false,
            RetryScope::Zone => first.zone != worker.zone,
            RetryScope::Group => first.group != worker.group,
        }
    }

    /// Returns whether an earlier attempt of the request went to this worker.
    fn was_tried(&self, index: usize) -> bool {
        self.active
            .attempts()
            .iter()
            .any(|attempt| attempt.worker == index)
    }
}

/// Returns the positions of a subset in order of distance from `from`, with their distances. At equal
/// distance the higher position comes first.
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
    /// Selects the worker for a request whose size falls into `interval`. Returns `None` if no worker
    /// may accept it now.
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
        let bound_to = active.binding_attempt();
        // A retry that is bound to a scope may need a worker outside the subset.
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
        // The more dispatchers use a worker, the less certain its estimates are, and the more a
        // deviation from the request's interval costs.
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

    /// Returns whether this dispatcher's quota of a worker's slots, less the slots that peers use, has
    /// capacity for the request. A request larger than the quota may use all of it.
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

    /// Returns the estimates for a request at a worker.
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

    /// Returns whether the request can start almost at once at a worker that is not an outlier. A
    /// worker that an earlier attempt did not reach in time is selected only by cost.
    fn is_suitable(&self, context: &SelectionContext, index: usize, estimate: &Estimate) -> bool {
        estimate.failures < MAX_FAILURE_SCORE
            && estimate.slack_usage < NEGLIGIBLE_SLACK_USAGE
            && self.has_free_slot(context, index)
            && !context.was_tried(index)
    }

    /// Returns the cost of a worker that is not suitable, `distance` positions away from the request's
    /// interval.
    fn cost(
        &self,
        context: &SelectionContext,
        index: usize,
        distance: usize,
        estimate: &Estimate,
    ) -> f64 {
        let worker = &self.workers[index];
        // Own attempts are already part of the wait. They count again here, as other dispatchers
        // observe the same state and send to the same worker.
        let own_load =
            (worker.remaining_work / estimate.slack + worker.slots_in_use) / worker.slots;
        let distance_cost = context.cost_per_position * distance as f64;
        estimate.slack_usage
            + own_load
            + estimate.failures
            + f64::from(context.was_tried(index))
            + distance_cost
    }

    /// Returns the slack usage for admission at a worker that is not suitable. A slow worker is not
    /// overload: its service-time factor counts only to the extent that starts are late.
    fn admission_slack_usage(&self, context: &SelectionContext, index: usize, wait: f64) -> f64 {
        let lateness = (LATE_FACTOR_SLOPE * context.late_fraction).min(1.0);
        let factor = 1.0 + (self.workers[index].service_time_factor - 1.0) * lateness;
        wait / context.active.slack(context.now, factor).max(1.0)
    }

    /// Returns the fleet means that apply to a worker. A warming worker is less busy than the rest, as
    /// its load is limited.
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
