//! DIFFEQAL: which part of the histogram each worker serves.
use super::Dispatcher;
use crate::state::{ActiveRequest, BINS, Bins, work_below};
use crate::types::Nanos;

/// The source's semi-geometric routine: `n` shifts that sum to 0, the first of them `-r`.
pub(crate) fn shifts(n: usize, r: f64) -> impl Iterator<Item = f64> {
    let (mut adjust, mut later) = (-r, 0.0);
    (0..n).map(move |i| {
        let left = n - 1 - i;
        let p = if left > 0 { later + adjust } else { later };
        later -= adjust / left.max(1) as f64;
        adjust /= 2.0;
        p
    })
}

/// Where each lane ends, as work of the class `own`: a lane that step one gives the part `targets[i]` of the
/// work in `whole` keeps (1 + shift i) times what it then has of the class (step two).
pub(crate) fn interval_bounds_into(
    whole: &Bins,
    own: &Bins,
    interval_weights: &[f64],
    shift: impl Iterator<Item = f64>,
    interval_bounds: &mut Vec<f64>,
) {
    let scale =
        whole.iter().sum::<f64>() / interval_weights.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    let (mut bin, mut used, mut sum, mut end) = (0, 0.0, 0.0, 0.0);
    interval_bounds.clear();
    for (target, p) in interval_weights.iter().zip(shift) {
        let mut left = target * scale;
        while bin < BINS && whole[bin] - used <= left {
            sum += own[bin] * (1.0 - used / whole[bin].max(f64::MIN_POSITIVE));
            left -= whole[bin] - used;
            (bin, used) = (bin + 1, 0.0);
        }
        if bin < BINS {
            used += left;
            sum += own[bin] * left / whole[bin];
        }
        end += (1.0 + p) * std::mem::take(&mut sum);
        interval_bounds.push(end);
    }
}

/// R, then the shift of the low and of the high class, from both autocorrelations.
pub(crate) fn shift_ratios(low: f64, high: f64) -> (f64, f64, f64) {
    // Present above 0.1; shifts of 40, 40 and 20%: all from the design page.
    let present = |estimate: f64| estimate > 0.1;
    let r = if present(low) || present(high) {
        0.4
    } else {
        0.0
    };
    if present(high) && high > low {
        (r, 0.0, 0.2)
    } else {
        (r, 0.4, 0.0)
    }
}

impl Dispatcher {
    /// Draws a class's lanes anew.
    pub(crate) fn recompute_intervals(&mut self, now: Nanos, at: usize) {
        let (r, low, high) = shift_ratios(
            self.inter_arrival_times[0].estimate,
            self.inter_arrival_times[1].estimate,
        );
        let lone = self
            .classes
            .iter()
            .all(|class| class.high_priority == self.classes[0].high_priority);
        let mut whole = [0.0; BINS];
        for class in self
            .classes
            .iter()
            .filter(|class| class.worker_type == self.classes[at].worker_type)
        {
            whole
                .iter_mut()
                .zip(&class.histogram)
                .for_each(|(sum, work)| *sum += work);
        }
        let idempotency = self.classes[at].idempotency;
        let mut interval_weights = std::mem::take(&mut self.interval_weights);
        interval_weights.clear();
        interval_weights.extend(
            shifts(self.classes[at].subset.len(), r)
                .zip(&self.classes[at].subset)
                .map(|(p, w)| {
                    let (worker, warmth) = (&self.workers[*w], self.warmth(&self.workers[*w], now));
                    // One that is sent to by turns has the whole of its part in its turn.
                    let turn = if warmth < 1.0 {
                        self.warm_up_turn(worker, now).1
                    } else {
                        1.0
                    };
                    let part = if self.uses_warm_up_grants && self.has_fleet_view {
                        warmth
                    } else {
                        warmth.min(1.0) * turn
                    };
                    (1.0 + p)
                        * worker.size
                        * (1.0
                            - worker.failure_score_for(
                                now,
                                self.mean_failure_score,
                                at,
                                idempotency,
                            ))
                        * part
                }),
        );
        let class = &mut self.classes[at];
        let shift = if lone {
            0.0
        } else {
            [low, high][usize::from(class.high_priority)]
        };
        interval_bounds_into(
            &whole,
            &class.histogram,
            &interval_weights,
            shifts(interval_weights.len(), shift),
            &mut class.interval_bounds,
        );
        self.interval_weights = interval_weights;
    }

    /// The place of a request among its class's lanes.
    pub(crate) fn lane(&mut self, now: Nanos, key: usize) -> usize {
        let ActiveRequest { request, work, .. } = self.requests[key];
        self.recompute_intervals(now, usize::from(request.class));
        let class = &self.classes[usize::from(request.class)];
        // The request is itself in the histogram: one larger than all before falls on one of the lanes that its
        // own work fills, not always on the last. Guards against a crowd at the end where few are seen each.
        let place = work_below(&class.histogram, work) / class.histogram.iter().sum::<f64>();
        let last = class.interval_bounds.last().copied().unwrap_or(0.0);
        let lane = class
            .interval_bounds
            .partition_point(|end| *end <= place * last);
        lane.min(class.subset.len().saturating_sub(1))
    }
}

#[cfg(test)]
mod tests;
