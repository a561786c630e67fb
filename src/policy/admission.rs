//! Admission control: which requests are rejected while the fleet is overloaded.
use super::Dispatcher;
use super::worker_selection::Selection;
use crate::types::Nanos;

#[cfg(test)]
mod tests;

/// The most that a wait strains another class, in times to spare: beyond it a class loses no more by longer waits.
const MAX_SLACK_USAGE: f64 = 1.5;

/// The slack_usage at which all requests are rejected while starts are in time, and the factor by which late starts lower it.
const ADMISSION_INTERCEPT: f64 = 3.0;
const ADMISSION_SLOPE: f64 = 2.0;
const LATE_STARTS_SLOPE: f64 = 3.0;

/// The weight of the latest request in the rejected share, for each unit of low_traffic_factor: the last seven to twenty count.
const REJECTED_FRACTION_WEIGHT: f64 = 0.05;

impl Dispatcher {
    /// Whether a request is sent. Under overload, a request that would spend much of its time to spare waiting is rejected
    /// by chance: those of lower weight more often, and all sooner the more recent attempts have started too late. Waits
    /// are estimates: without late starts little is rejected.
    pub(super) fn admit(&mut self, now: Nanos, key: usize, selection: Selection) -> bool {
        let class_index = usize::from(self.requests[key].request.class);
        let weight = self.classes[class_index].weight_per_work(self.settings.weight_basis);
        let max_weight = self
            .classes
            .iter()
            .map(|class| class.weight_per_work(self.settings.weight_basis))
            .fold(0.0, f64::max);
        let late_fraction = self
            .start_delays
            .congestion(now, self.low_traffic_factor)
            .late_fraction;
        let slack_usage = selection.slack_usage
            + self.rejected_fraction
                * self.slack_usage_of_other_classes(
                    class_index,
                    selection.wait,
                    selection.slack_usage,
                );
        let probability = (ADMISSION_INTERCEPT
            - ADMISSION_SLOPE * slack_usage * (1.0 + LATE_STARTS_SLOPE * late_fraction))
            .clamp(0.0, 1.0);
        let is_admitted =
            probability >= 1.0 || self.rng.unit() < probability.powf(max_weight / weight);
        if weight >= max_weight {
            self.rejected_fraction += REJECTED_FRACTION_WEIGHT
                * self.low_traffic_factor
                * (f64::from(!is_admitted) - self.rejected_fraction);
        }
        is_admitted
    }

    /// How much more a wait strains another class than the one that would add to it, by the other's relative weight.
    /// Without it only the class with the most time to spare is served while queues are long.
    fn slack_usage_of_other_classes(&self, class_index: usize, wait: f64, slack_usage: f64) -> f64 {
        let basis = self.settings.weight_basis;
        let weight = self.classes[class_index].weight_per_work(basis);
        self.classes
            .iter()
            .enumerate()
            .filter(|(index, other)| *index != class_index && other.request_count > 0.0)
            .map(|(_, other)| {
                let relative_weight = (other.weight_per_work(basis) / weight).min(1.0);
                relative_weight * ((wait / other.mean_slack()).min(MAX_SLACK_USAGE) - slack_usage)
            })
            .fold(0.0, f64::max)
    }
}
