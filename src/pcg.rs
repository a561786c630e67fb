//! PCG-XSH-RR 64/32 (M. E. O'Neill, 2014), the only source of random numbers in the decisions.

const MULTIPLIER: u64 = 6364136223846793005;
const INCREMENT: u64 = 1442695040888963407;

/// Pseudo-random number generator. The same seed always produces the same sequence.
#[derive(Clone, Debug, Default)]
pub struct Pcg {
    state: u64,
}

impl Pcg {
    /// Creates a generator from a seed. Any seed is valid.
    pub fn new(seed: u64) -> Self {
        let mut pcg = Self {
            state: seed.wrapping_add(INCREMENT),
        };
        pcg.next_u32();
        pcg
    }

    fn next_u32(&mut self) -> u32 {
        let old = self.state;
        self.state = old.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        ((((old >> 18) ^ old) >> 27) as u32).rotate_right((old >> 59) as u32)
    }

    /// Returns the next number, uniform in 0 (inclusive) to 1 (exclusive).
    pub fn unit(&mut self) -> f64 {
        f64::from(self.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }
}
