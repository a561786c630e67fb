//! Admission control: rejects requests while the fleet is overloaded.
//!
//! Slack is the time that a request may wait and still meet its latency objective. Slack usage is
//! the expected wait as a fraction of the slack.
use super::Dispatcher;
use super::worker_selection::Selection;
use crate::types::Nanos;

#[cfg(test)]
mod tests;

/// Upper bound of the slack usage that a wait causes for another class. A longer wait costs that
/// class nothing more.
const MAX_SLACK_USAGE: f64 = 1.5;

/// Admission probability at a slack usage of 0, before it is limited to 1.
const ADMISSION_INTERCEPT: f64 = 3.0;

/// Decrease of the admission probability for each unit of slack usage. Without late starts, all
/// requests are admitted up to a slack usage of 1 and none from 1.5.
const ADMISSION_SLOPE: f64 = 2.0;

/// Relative increase of the slope for each unit of the fraction of late starts.
const LATE_STARTS_SLOPE: f64 = 3.0;

/// Weight of the latest request in the rejected fraction, for each unit of the low-traffic factor.
/// The last 7 to 20 requests count.
const REJECTED_FRACTION_WEIGHT: f64 = 0.05;

impl Dispatcher {
    /// Returns whether a request is admitted. Under overload, a request that would spend much of
    /// its slack waiting is rejected at random. Requests of lower weight are rejected more often,
    /// and all requests more often the more recent attempts have started late. Waits are estimates,
    /// so few requests are rejected without late starts.
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

    /// Returns the largest amount by which a wait uses more slack of another class than of the class
    /// that adds to the queue, multiplied by the other class's relative weight. Without this term,
    /// only the class with the most slack is served while queues are long.
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
