//! Where everything stands: zones in regions, and the ways between them. Numbers go round the zones.
use std::time::Duration;

/// The zones of the plan, three to a region.
pub const ZONES: usize = 9;
pub const REGIONS: usize = 3;

/// One-way delays.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ways {
    pub zone: Duration,
    pub zones: Duration,
    pub regions: Duration,
}

/// The zone of a dispatcher or of a worker, by its number.
pub fn zone(number: usize) -> usize {
    number % ZONES
}

pub fn region(zone: usize) -> usize {
    zone / (ZONES / REGIONS)
}

impl Ways {
    /// From one zone to another.
    pub fn between(&self, one: usize, other: usize) -> Duration {
        match (one == other, region(one) == region(other)) {
            (true, _) => self.zone,
            (false, true) => self.zones,
            (false, false) => self.regions,
        }
    }
}

/// Two regions between which nothing passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut(pub usize, pub usize);

impl Cut {
    pub fn parts(&self, one: usize, other: usize) -> bool {
        let pair = (region(one), region(other));
        pair == (self.0, self.1) || pair == (self.1, self.0)
    }
}

/// The control machines, by their numbers: the first five of which no region has more than two.
pub const KEEPERS: [usize; 5] = [0, 3, 6, 1, 4];
