//! Seeded randomness: independent streams of one seed.
use crate::time::SECOND;
use rosewall::pcg::Pcg;
use rosewall::types::Nanos;

/// A random generator: one stream of a seed.
pub struct Rng(Pcg);

impl Rng {
    /// The generator of one stream of a seed.
    pub fn new(seed: u64, stream: u64) -> Self {
        // Multiplied by odd constants (one is the golden ratio), so that neighbouring seeds and streams are unrelated.
        Rng(Pcg::new(
            seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)
                ^ (stream + 1).wrapping_mul(0xd1b5_4a32_d192_ed03),
        ))
    }

    /// A number from 0 up to, but not including, 1.
    pub fn unit(&mut self) -> f64 {
        self.0.unit()
    }

    /// True with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// A whole number from `from` up to, but not including, `to`; `from` where there is none between.
    pub fn range(&mut self, from: u64, to: u64) -> u64 {
        from + (self.unit() * to.saturating_sub(from) as f64) as u64
    }

    /// An index below `len`.
    pub fn index(&mut self, len: usize) -> usize {
        self.range(0, len as u64) as usize
    }

    /// One of the options.
    pub fn choose<'a, T>(&mut self, options: &'a [T]) -> &'a T {
        &options[self.index(options.len())]
    }

    /// The time between two arrivals of a Poisson process with `rate` arrivals a second.
    pub fn arrival_gap(&mut self, rate: f64) -> Nanos {
        (-(1.0 - self.unit()).ln() / rate.max(1e-6) * SECOND as f64) as Nanos
    }
}
