//! Estimate of the autocorrelation of inter-arrival times.
use crate::time::SECOND;
use crate::types::Nanos;

#[cfg(test)]
mod tests;

/// Minimum time covered by an estimate.
const MIN_MEASUREMENT: Nanos = 5_000_000_000;

/// Minimum number of inter-arrival times in an estimate.
const MIN_INTERVALS: f64 = 100.0;

/// Sums over the inter-arrival times of one priority class, for their lag-one autocorrelation.
#[derive(Default)]
pub(crate) struct InterArrivalTimes {
    measured_from: Nanos,
    last_arrival: Option<Nanos>,
    previous: f64,
    count: f64,
    sum: f64,
    sum_of_squares: f64,
    sum_of_lag_one_products: f64,
    /// Latest estimate of the lag-one autocorrelation; 0 before the first.
    pub(crate) autocorrelation: f64,
}

impl InterArrivalTimes {
    pub(crate) fn record_arrival(&mut self, now: Nanos) {
        if let Some(last) = self.last_arrival {
            let interval = (now - last) as f64 / SECOND;
            self.count += 1.0;
            self.sum += interval;
            self.sum_of_squares += interval * interval;
            self.sum_of_lag_one_products += interval * self.previous;
            self.previous = interval;
        }
        self.last_arrival = Some(now);
    }

    /// Updates the estimate once there are enough arrivals. Until then the previous one stays.
    pub(crate) fn update_estimate(&mut self, now: Nanos) {
        if now - self.measured_from < MIN_MEASUREMENT || self.count < MIN_INTERVALS {
            return;
        }
        *self = InterArrivalTimes {
            measured_from: now,
            last_arrival: self.last_arrival,
            autocorrelation: self.lag_one_autocorrelation(),
            ..InterArrivalTimes::default()
        };
    }

    fn lag_one_autocorrelation(&self) -> f64 {
        let mean = self.sum / self.count;
        let variance = self.sum_of_squares / self.count - mean * mean;
        let covariance = self.sum_of_lag_one_products / (self.count - 1.0) - mean * mean;
        if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        }
    }
}
