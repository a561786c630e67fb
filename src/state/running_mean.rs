//! A mean in which each of the latest values has the same weight.

/// The number of values that the mean covers: older ones lose their weight as the mix of requests moves.
const MAX_SAMPLES: f64 = 50.0;

/// A mean over the latest values, and how many of them it has seen, up to a maximum.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RunningMean {
    pub(crate) mean: f64,
    pub(crate) samples: f64,
}

impl RunningMean {
    /// A mean that takes the first value observed; until then it is `initial`.
    pub(crate) fn starting_at(initial: f64) -> Self {
        RunningMean {
            mean: initial,
            samples: 0.0,
        }
    }

    /// Adds one value.
    pub(crate) fn observe(&mut self, value: f64) {
        self.samples = (self.samples + 1.0).min(MAX_SAMPLES);
        self.mean += (value - self.mean) / self.samples;
    }
}
