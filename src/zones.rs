//! Estimates of the network delay to workers of the dispatcher's own zone and of other zones.
//!
//! A request with a slack of some tens of milliseconds cannot meet its objective at a worker whose
//! connection alone takes as long. No protocol reports these delays. They are estimated by the minimum
//! of the observed start delays, as the start delay at an idle worker is mostly network delay.
use crate::time::SECOND;

#[cfg(test)]
mod tests;

/// Upper bound of a network delay, in nanoseconds. Longer delays are caused by queues, as connection
/// attempts that take as long time out.
const MAX_DELAY: f64 = 0.25 * SECOND;

/// Factor by which each longer start delay raises the estimate, to follow a network that has become
/// slower. The estimate doubles within 15 starts.
const RISE_PER_START: f64 = 1.05;

/// Slack usage that is within the error of a worker's estimated queue and counts as 0.
const NEGLIGIBLE_SLACK_USAGE: f64 = 0.05;

/// Minimum recent start delays, in nanoseconds, at workers of the dispatcher's zone and of other zones.
#[derive(Debug, Default)]
pub(crate) struct ZoneDelays {
    own_zone: u16,
    within_zone: Option<f64>,
    cross_zone: Option<f64>,
}

impl ZoneDelays {
    pub(crate) fn new(own_zone: u16) -> Self {
        ZoneDelays {
            own_zone,
            ..ZoneDelays::default()
        }
    }

    /// Updates the estimate for `zone` from a start delay there that this dispatcher's own work does
    /// not explain.
    pub(crate) fn observe(&mut self, zone: u16, delay: f64) {
        let estimate = if zone == self.own_zone {
            &mut self.within_zone
        } else {
            &mut self.cross_zone
        };
        let limit = estimate.map_or(MAX_DELAY, |known| known * RISE_PER_START);
        *estimate = Some(delay.min(limit));
    }

    /// Returns the network delay to `zone` in excess of the delay within the own zone.
    pub(crate) fn extra_delay(&self, zone: u16) -> f64 {
        if zone == self.own_zone {
            return 0.0;
        }
        let within_zone = self.within_zone.unwrap_or(0.0);
        let cross_zone = self.cross_zone.unwrap_or(0.0);
        (cross_zone - within_zone).max(0.0)
    }

    /// Returns the fraction of a request's slack that the extra network delay to `zone` uses, less the
    /// negligible usage.
    pub(crate) fn slack_usage(&self, zone: u16, slack: f64) -> f64 {
        (self.extra_delay(zone) / slack - NEGLIGIBLE_SLACK_USAGE).max(0.0)
    }
}
