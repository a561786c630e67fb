//! Admission control: which requests are shed under overload.
use super::Dispatcher;
use crate::types::Nanos;

/// No request is kept that would wait for so many times its time to spare: a class in this state loses no more by longer waits.
pub(crate) const MAX_STRAIN: f64 = 1.5;

impl Dispatcher {
    /// Overload: a request with too little of its room left after waiting is turned away by chance, the cheaper
    /// ones more often, and sooner the more of the last seven to twenty started too late. Guards against a
    /// jam that keeps itself up, and, waits being guesses, against declines while all goes well.
    pub(crate) fn admit(&mut self, now: Nanos, key: usize, wait: f64, strain: f64) -> bool {
        let class = usize::from(self.requests[key].request.class);
        let worth = self.classes[class].worth(self.weight_basis);
        let most = self
            .classes
            .iter()
            .map(|class| class.worth(self.weight_basis))
            .fold(0.0, f64::max);
        let late = self.start_delays.congestion(now, self.rarity).late;
        let strain =
            strain + self.rejected_share * self.strain_on_other_classes(class, wait, strain);
        let fits = (3.0 - 2.0 * strain * (1.0 + 3.0 * late)).clamp(0.0, 1.0);
        let kept = fits >= 1.0 || self.rng.unit() < fits.powf(most / worth);
        if worth >= most {
            self.rejected_share += 0.05 * self.rarity * (f64::from(!kept) - self.rejected_share);
        }
        kept
    }

    /// How much more a wait strains another class than the one that would add to it, as far as the other is worth
    /// as much. Guards against queues that only the class with the longest time to spare can bear: it alone was served.
    pub(crate) fn strain_on_other_classes(&self, class: usize, wait: f64, strain: f64) -> f64 {
        let worth = self.classes[class].worth(self.weight_basis);
        let others = self
            .classes
            .iter()
            .enumerate()
            .filter(|(at, other)| *at != class && other.seen > 0.0);
        let strains = others.map(|(_, other)| {
            let part = (other.worth(self.weight_basis) / worth).min(1.0);
            part * ((wait / other.mean_time_to_spare()).min(MAX_STRAIN) - strain)
        });
        strains.fold(0.0, f64::max)
    }
}

#[cfg(test)]
mod tests;
