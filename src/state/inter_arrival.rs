//! Statistics of the times between arrivals.
use crate::time::SECOND;
use crate::types::Nanos;

/// The gaps between arrivals of one priority class, for their lag-one autocorrelation.
#[derive(Default)]
pub struct InterArrivalTimes {
    pub from: Nanos,
    pub last: Option<Nanos>,
    pub before: f64,
    pub count: f64,
    pub sum: f64,
    pub squares: f64,
    pub products: f64,
    pub estimate: f64,
}

impl InterArrivalTimes {
    pub(crate) fn arrival(&mut self, now: Nanos) {
        if let Some(last) = self.last {
            let gap = (now - last) as f64 / SECOND;
            self.count += 1.0;
            self.sum += gap;
            self.squares += gap * gap;
            self.products += gap * self.before;
            self.before = gap;
        }
        self.last = Some(now);
    }

    /// The design page's figures: over 5 s, and the last estimate stays until 100 gaps exist.
    pub(crate) fn measure(&mut self, now: Nanos) {
        if now - self.from < 5_000_000_000 || self.count < 100.0 {
            return;
        }
        *self = InterArrivalTimes {
            from: now,
            last: self.last,
            estimate: self.autocorrelation(),
            ..InterArrivalTimes::default()
        };
    }

    /// The lag-one autocorrelation of the gaps counted.
    pub(crate) fn autocorrelation(&self) -> f64 {
        let mean = self.sum / self.count;
        let variance = self.squares / self.count - mean * mean;
        let covariance = self.products / (self.count - 1.0) - mean * mean;
        if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        }
    }
}

#[cfg(test)]
mod tests;
