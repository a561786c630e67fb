//! Topology of a fleet: zones in regions, and the latencies between them. Dispatchers and workers are assigned to zones
//! round robin, by number.
use std::time::Duration;

/// Number of zones, three per region.
pub const ZONES: usize = 9;
/// Number of regions.
pub const REGIONS: usize = 3;
/// Numbers of the quorum members: the first five dispatchers such that no region has more than two.
pub const QUORUM_MEMBERS: [usize; 5] = [0, 3, 6, 1, 4];

/// One-way latencies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Latencies {
    /// Within a zone.
    pub within_zone: Duration,
    /// Between zones of a region.
    pub between_zones: Duration,
    /// Between regions.
    pub between_regions: Duration,
}

/// Returns the zone of a dispatcher or worker, by its number.
pub fn zone(number: usize) -> usize {
    number % ZONES
}

/// Returns the region of a zone.
pub fn region(zone: usize) -> usize {
    zone / (ZONES / REGIONS)
}

impl Latencies {
    /// Returns the latency from one zone to another.
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

/// A network partition between two regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Partition {
    /// Number of one of the regions.
    pub one: usize,
    /// Number of the other region.
    pub other: usize,
}

impl Partition {
    /// Whether the partition separates these two zones.
    pub fn separates(&self, from: usize, to: usize) -> bool {
        let (from, to) = (region(from), region(to));
        (from == self.one && to == self.other) || (from == self.other && to == self.one)
    }
}
