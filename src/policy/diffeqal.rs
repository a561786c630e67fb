//! DIFFEQAL: assigns an interval of request sizes to each worker.
//!
//! Follows N. Mi, Q. Zhang, A. Riska and E. Smirni, "Load Balancing for Performance Differentiation
//! in Dual-Priority Clustered Servers". Step one shifts work from the first workers to the last by
//! `R`; step two shifts each class again by its own `R^c`. `docs/design.md` lists the differences
//! from the paper.
use super::Dispatcher;
use crate::state::{BINS, Bins, work_below};
use crate::types::Nanos;

#[cfg(test)]
mod tests;

/// Autocorrelation above which arrivals count as correlated.
const CORRELATED_ABOVE: f64 = 0.1;

/// `R` of the paper, for correlated arrivals.
const SEMI_GEOMETRIC_SHIFT: f64 = 0.4;

/// `R^low` of the paper.
const LOW_PRIORITY_SHIFT: f64 = 0.4;

/// `R^high` of the paper.
const HIGH_PRIORITY_SHIFT: f64 = 0.2;

/// Shift ratios `R`, `R^low` and `R^high`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ShiftRatios {
    /// Ratio of all work, in step one.
    pub(super) all: f64,
    /// Ratio of low-priority work, in step two.
    pub(super) low: f64,
    /// Ratio of high-priority work, in step two.
    pub(super) high: f64,
}

impl ShiftRatios {
    /// Returns the ratios for the autocorrelations of low-priority and high-priority arrivals.
    pub(super) fn from_autocorrelation(low: f64, high: f64) -> Self {
        let is_correlated = |estimate: f64| estimate > CORRELATED_ABOVE;
        let all = if is_correlated(low) || is_correlated(high) {
            SEMI_GEOMETRIC_SHIFT
        } else {
            0.0
        };
        if is_correlated(high) && high > low {
            ShiftRatios {
                all,
                low: 0.0,
                high: HIGH_PRIORITY_SHIFT,
            }
        } else {
            ShiftRatios {
                all,
                low: LOW_PRIORITY_SHIFT,
                high: 0.0,
            }
        }
    }
}

/// Semi-geometric routine of the paper: returns `count` shifts that sum to 0, the first of them
/// `-ratio`.
pub(super) fn semi_geometric_shifts(count: usize, ratio: f64) -> impl Iterator<Item = f64> {
    let mut adjustment = -ratio;
    let mut carried = 0.0;
    (0..count).map(move |index| {
        let following = count - 1 - index;
        let shift = if following > 0 {
            carried + adjustment
        } else {
            carried
        };
        carried -= adjustment / following.max(1) as f64;
        adjustment /= 2.0;
        shift
    })
}

/// Computes the upper bounds of the intervals, as cumulative work of one class. `weights` are the
/// relative amounts of all work that step one assigns to the workers. Step two multiplies the work
/// of the class at each worker by 1 plus the worker's class shift.
pub(super) fn compute_interval_bounds(
    all_work: &Bins,
    class_work: &Bins,
    weights: &[f64],
    class_shifts: impl Iterator<Item = f64>,
    bounds: &mut Vec<f64>,
) {
    let total_weight = weights.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    let work_per_weight = all_work.iter().sum::<f64>() / total_weight;
    let mut bin = 0;
    let mut used_of_bin = 0.0;
    let mut interval_work = 0.0;
    let mut bound = 0.0;
    bounds.clear();
    for (weight, shift) in weights.iter().zip(class_shifts) {
        let mut remaining = weight * work_per_weight;
        while bin < BINS && all_work[bin] - used_of_bin <= remaining {
            interval_work +=
                class_work[bin] * (1.0 - used_of_bin / all_work[bin].max(f64::MIN_POSITIVE));
            remaining -= all_work[bin] - used_of_bin;
            bin += 1;
            used_of_bin = 0.0;
        }
        if bin < BINS {
            used_of_bin += remaining;
            interval_work += class_work[bin] * remaining / all_work[bin];
        }
        bound += (1.0 + shift) * std::mem::take(&mut interval_work);
        bounds.push(bound);
    }
}

impl Dispatcher {
    /// Recomputes the intervals of a class.
    fn recompute_intervals(&mut self, now: Nanos, class_index: usize) {
        let [low, high] = &self.inter_arrival_times;
        let ratios = ShiftRatios::from_autocorrelation(low.autocorrelation, high.autocorrelation);
        let class_ratio = self.class_shift_ratio(class_index, ratios);
        let all_work = self.work_of_worker_type(class_index);
        let mut weights = std::mem::take(&mut self.interval_weights);
        weights.clear();
        let subset = &self.classes[class_index].subset;
        weights.extend(
            semi_geometric_shifts(subset.len(), ratios.all)
                .zip(subset)
                .map(|(shift, worker)| self.interval_weight(now, class_index, *worker, shift)),
        );
        let class = &mut self.classes[class_index];
        compute_interval_bounds(
            &all_work,
            &class.histogram,
            &weights,
            semi_geometric_shifts(weights.len(), class_ratio),
            &mut class.interval_bounds,
        );
        self.interval_weights = weights;
    }

    /// Returns the ratio of step two for a class, which is 0 if all classes have the same priority.
    fn class_shift_ratio(&self, class_index: usize, ratios: ShiftRatios) -> f64 {
        let has_one_priority = self
            .classes
            .iter()
            .all(|class| class.high_priority == self.classes[0].high_priority);
        if has_one_priority {
            0.0
        } else if self.classes[class_index].high_priority {
            ratios.high
        } else {
            ratios.low
        }
    }

    /// Returns the recent work of all classes that require the same worker type.
    fn work_of_worker_type(&self, class_index: usize) -> Bins {
        let worker_type = self.classes[class_index].settings.worker_type;
        let mut sum = [0.0; BINS];
        for class in self
            .classes
            .iter()
            .filter(|class| class.settings.worker_type == worker_type)
        {
            for (sum, work) in sum.iter_mut().zip(&class.histogram) {
                *sum += work;
            }
        }
        sum
    }

    /// Returns the relative amount of all work that step one assigns to a worker, from its shift,
    /// size, failure score and warm-up.
    fn interval_weight(
        &self,
        now: Nanos,
        class_index: usize,
        worker_index: usize,
        shift: f64,
    ) -> f64 {
        let worker = &self.workers[worker_index];
        let slow_start_factor = self.slow_start_factor(worker, now);
        let warm_up_fraction = if self.settings.uses_warm_up_grants && self.has_fleet_view {
            slow_start_factor
        } else if slow_start_factor < 1.0 {
            // The dispatcher that may currently send to a warming worker serves its whole interval
            // on behalf of the others.
            slow_start_factor
                * self
                    .base_warm_up_allowance(worker, now)
                    .represented_dispatchers
        } else {
            slow_start_factor
        };
        let idempotency = self.classes[class_index].settings.idempotency;
        let failures =
            worker.failure_score_for(now, self.mean_failure_score, class_index, idempotency);
        (1.0 + shift) * worker.size * (1.0 - failures) * warm_up_fraction
    }

    /// Returns the position in the class's subset of the worker whose interval contains the request.
    /// The histogram already includes the request, so that a request larger than all earlier ones
    /// falls into any of the intervals that its own work fills.
    pub(super) fn interval_of(&mut self, now: Nanos, key: usize) -> usize {
        let active = &self.requests[key];
        let class_index = usize::from(active.request.class);
        let work = active.demand.work;
        self.recompute_intervals(now, class_index);
        let class = &self.classes[class_index];
        let work_fraction =
            work_below(&class.histogram, work) / class.histogram.iter().sum::<f64>();
        let last = class.interval_bounds.last().copied().unwrap_or(0.0);
        let interval = class
            .interval_bounds
            .partition_point(|bound| *bound <= work_fraction * last);
        interval.min(class.subset.len().saturating_sub(1))
    }
}
