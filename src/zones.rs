//! The network delay to workers of the dispatcher's own zone and of other zones, learned from start notes.
//!
//! Requests of a class that is wanted within some tens of milliseconds cannot be in time at a worker whose
//! connection alone takes as long. Nothing on the wire states these delays, so the least start delays seen stand
//! for them: a worker that was idle shows little else.
use crate::time::SECOND;

/// Longer delays are queues: both customers' settings give up a connection after 250 ms.
const LONGEST: f64 = 0.25 * SECOND;
/// How much the estimate rises with each start that took longer: it doubles within fifteen starts, so that a network
/// that has become slower is noticed.
const RISE: f64 = 1.05;

/// As much of the time to spare counts as nothing: within the error of what is known of a worker's queue. Guards against
/// lanes given up for a millisecond.
const NEGLIGIBLE: f64 = 0.05;

/// The least start delays of late, in nanoseconds, inside the dispatcher's zone and beyond it.
#[derive(Debug, Default)]
pub struct ZoneDelays {
    own_zone: u16,
    same: Option<f64>,
    other: Option<f64>,
}

impl ZoneDelays {
    /// Nothing is known yet of either.
    pub fn new(own_zone: u16) -> Self {
        ZoneDelays {
            own_zone,
            ..ZoneDelays::default()
        }
    }

    /// A request started so much later at a worker of `zone` than this dispatcher's own work there explains.
    pub fn observe(&mut self, zone: u16, delay: f64) {
        let least = if zone == self.own_zone {
            &mut self.same
        } else {
            &mut self.other
        };
        let risen = least.map_or(LONGEST, |known| known * RISE);
        *least = Some(delay.min(risen));
    }

    /// How much longer than to its own zone the network takes to `zone`.
    pub fn extra(&self, zone: u16) -> f64 {
        if zone == self.own_zone {
            return 0.0;
        }
        let (same, other) = (self.same.unwrap_or(0.0), self.other.unwrap_or(0.0));
        (other - same).max(0.0)
    }

    /// The part of a request's time to spare that the network takes to `zone` beyond what can be neglected.
    pub fn part(&self, zone: u16, time_to_spare: f64) -> f64 {
        (self.extra(zone) / time_to_spare - NEGLIGIBLE).max(0.0)
    }
}

#[cfg(test)]
mod tests;
