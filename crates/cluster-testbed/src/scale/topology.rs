//! Where everything is located: zones in regions, and the latencies between them. Numbers of dispatchers and workers go
//! round the zones.
use std::time::Duration;

/// The zones of a fleet, three to a region.
pub const ZONES: usize = 9;
/// The regions of a fleet.
pub const REGIONS: usize = 3;
/// The members of the quorum, by their numbers: the first five of which no region has more than two.
pub const QUORUM_MEMBERS: [usize; 5] = [0, 3, 6, 1, 4];

/// One-way latencies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Latencies {
    /// Inside a zone.
    pub within_zone: Duration,
    /// Between zones of a region.
    pub between_zones: Duration,
    /// Between regions.
    pub between_regions: Duration,
}

/// The zone of a dispatcher or of a worker, by its number.
pub fn zone(number: usize) -> usize {
    number % ZONES
}

/// The region of a zone.
pub fn region(zone: usize) -> usize {
    zone / (ZONES / REGIONS)
}

impl Latencies {
    /// From one zone to another.
    pub fn between(&self, one: usize, other: usize) -> Duration {
        if one == other {
            self.within_zone
        } else if region(one) == region(other) {
            self.between_zones
        } else {
            self.between_regions
        }
    }
}

/// Two regions between which nothing passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Partition {
    /// One of the regions.
    pub one: usize,
    /// The other.
    pub other: usize,
}

impl Partition {
    /// Whether nothing passes between these zones.
    pub fn separates(&self, from: usize, to: usize) -> bool {
        let (from, to) = (region(from), region(to));
        (from == self.one && to == self.other) || (from == self.other && to == self.one)
    }
}
