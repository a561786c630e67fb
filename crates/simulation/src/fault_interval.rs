//! The interval and the extent of a fault.
use crate::kernel::Kernel;
use rosewall::types::Nanos;

/// A fault that is active until a given time, and its extent.
#[derive(Clone, Copy, Default)]
pub struct FaultInterval {
    /// The time at which the fault ends.
    pub until: Nanos,
    /// The fraction of affected events, 0 to 1; for [`WorkerFaults::slow`](crate::worker::WorkerFaults::slow) the factor of the
    /// service time.
    pub share: f64,
}

impl FaultInterval {
    /// Returns whether the fault affects the current event; random if it affects only a fraction of
    /// events.
    pub fn affects_now(&self, kernel: &Kernel) -> bool {
        kernel.now() < self.until
            && (self.share >= 1.0 || kernel.random(|rng| rng.chance(self.share)))
    }
}
