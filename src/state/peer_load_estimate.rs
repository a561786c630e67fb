//! What another dispatcher reported of its load at a worker.
use crate::types::Nanos;

/// What another dispatcher told that it has out at a worker, and when it did.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerLoadEstimate {
    pub from: u16,
    pub slots: f64,
    pub work: f64,
    /// The pace at which it runs that dispatcher's jobs, if known.
    pub service_time_factor: Option<f64>,
    pub at: Nanos,
}

impl PeerLoadEstimate {
    /// The seats and work that are still there by now, at a worker with so many seats.
    pub(crate) fn remaining(&self, now: Nanos, slots: f64) -> (f64, f64) {
        let done = now.saturating_sub(self.at) as f64 * self.slots.min(slots);
        if self.work > done {
            (self.slots, self.work - done)
        } else {
            (0.0, 0.0)
        }
    }
}
