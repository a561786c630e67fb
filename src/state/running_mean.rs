//! Running mean over the latest values.

/// Number of values that the mean covers. Older values lose their weight, as the mix of requests
/// changes.
const MAX_SAMPLES: f64 = 50.0;

/// Mean over the latest values, and the number of values observed, up to a maximum.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RunningMean {
    pub(crate) mean: f64,
    pub(crate) samples: f64,
}

impl RunningMean {
    /// Creates a mean that is `initial` until the first value replaces it.
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
