//! Seeded random numbers in independent streams.
use crate::time::SECOND;
use rosewall::pcg::Pcg;
use rosewall::types::Nanos;

/// Random number generator for one stream of a seed.
pub struct Rng(Pcg);

impl Rng {
    /// Creates the generator of one stream of a seed.
    pub fn new(seed: u64, stream: u64) -> Self {
        // Multiplying by odd constants (one derives from the golden ratio) decorrelates adjacent
        // seeds and streams.
        Rng(Pcg::new(
            seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)
                ^ (stream + 1).wrapping_mul(0xd1b5_4a32_d192_ed03),
        ))
    }

    /// Returns a number in [0, 1).
    pub fn unit(&mut self) -> f64 {
        self.0.unit()
    }

    /// Returns true with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Returns an integer in [`from`, `to`), or `from` if the range is empty.
    pub fn range(&mut self, from: u64, to: u64) -> u64 {
        from + (self.unit() * to.saturating_sub(from) as f64) as u64
    }

    /// Returns an index below `len`.
    pub fn index(&mut self, len: usize) -> usize {
        self.range(0, len as u64) as usize
    }

    /// Returns one of the options with equal probability.
    pub fn choose<'a, T>(&mut self, options: &'a [T]) -> &'a T {
        &options[self.index(options.len())]
    }

    /// Returns the time between two arrivals of a Poisson process with `rate` arrivals per second.
    pub fn arrival_gap(&mut self, rate: f64) -> Nanos {
        (-(1.0 - self.unit()).ln() / rate.max(1e-6) * SECOND as f64) as Nanos
    }
}
