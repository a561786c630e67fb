//! The network delay to workers of the dispatcher's own zone and of other zones.
//!
//! A request that has some tens of milliseconds to spare cannot be in time at a worker whose connection alone takes as
//! long. No protocol states these delays. The least start delays that were observed stand for them, as a worker that was
//! idle shows little else.
use crate::time::SECOND;

#[cfg(test)]
mod tests;

/// Longer delays are queues: connections that take as long are given up.
const MAX_DELAY: f64 = 0.25 * SECOND;

/// The factor by which each longer start delay raises the estimate, so that a network that became slower is noticed: it
/// doubles within fifteen starts.
const RISE: f64 = 1.05;

/// The part of the time to spare that is within the error of a worker's estimated queue and counts as nothing.
const NEGLIGIBLE: f64 = 0.05;

/// The least recent start delays, in nanoseconds, within_zone the dispatcher's zone and cross_zone it.
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

    /// Learns from a start at a worker of `zone`, and how much later it was than this dispatcher's own work explains.
    pub(crate) fn observe(&mut self, zone: u16, delay: f64) {
        let estimate = if zone == self.own_zone {
            &mut self.within_zone
        } else {
            &mut self.cross_zone
        };
        let limit = estimate.map_or(MAX_DELAY, |known| known * RISE);
        *estimate = Some(delay.min(limit));
    }

    /// How much longer the network takes to `zone` than to the own zone.
    pub(crate) fn extra_delay(&self, zone: u16) -> f64 {
        if zone == self.own_zone {
            return 0.0;
        }
        let within_zone = self.within_zone.unwrap_or(0.0);
        let cross_zone = self.cross_zone.unwrap_or(0.0);
        (cross_zone - within_zone).max(0.0)
    }

    /// The part of a request's time to spare that the network takes to `zone`, beyond what is negligible.
    pub(crate) fn slack_usage(&self, zone: u16, slack: f64) -> f64 {
        (self.extra_delay(zone) / slack - NEGLIGIBLE).max(0.0)
    }
}
