//! Admission control: which requests are rejected while the fleet is overloaded.
use super::Dispatcher;
use super::worker_selection::Selection;
use crate::types::Nanos;

#[cfg(test)]
mod tests;

/// The most that a wait strains another class, in times to spare: beyond it a class loses no more by longer waits.
const MAX_STRAIN: f64 = 1.5;

/// The strain at which all requests are rejected while starts are in time, and the factor by which late starts lower it.
const CERTAIN_ADMISSION: f64 = 3.0;
const STRAIN_SLOPE: f64 = 2.0;
const LATE_STARTS_SLOPE: f64 = 3.0;

/// The weight of the latest request in the rejected share, for each unit of rarity: the last seven to twenty count.
const REJECTED_SHARE_WEIGHT: f64 = 0.05;

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
        let late = self.start_delays.congestion(now, self.rarity).late;
        let strain = selection.strain
            + self.rejected_share
                * self.strain_on_other_classes(class_index, selection.wait, selection.strain);
        let probability = (CERTAIN_ADMISSION
            - STRAIN_SLOPE * strain * (1.0 + LATE_STARTS_SLOPE * late))
            .clamp(0.0, 1.0);
        let is_admitted =
            probability >= 1.0 || self.rng.unit() < probability.powf(max_weight / weight);
        if weight >= max_weight {
            self.rejected_share += REJECTED_SHARE_WEIGHT
                * self.rarity
                * (f64::from(!is_admitted) - self.rejected_share);
        }
        is_admitted
    }

    /// How much more a wait strains another class than the one that would add to it, by the other's relative weight.
    /// Without it only the class with the most time to spare is served while queues are long.
    fn strain_on_other_classes(&self, class_index: usize, wait: f64, strain: f64) -> f64 {
        let basis = self.settings.weight_basis;
        let weight = self.classes[class_index].weight_per_work(basis);
        self.classes
            .iter()
            .enumerate()
            .filter(|(index, other)| *index != class_index && other.request_count > 0.0)
            .map(|(_, other)| {
                let relative_weight = (other.weight_per_work(basis) / weight).min(1.0);
                relative_weight * ((wait / other.mean_time_to_spare()).min(MAX_STRAIN) - strain)
            })
            .fold(0.0, f64::max)
    }
}
