//! Estimate of another dispatcher's load at a worker between two of its reports.
use crate::types::Nanos;

/// Amount of load at a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub(crate) slots: f64,
    /// Work, in nanoseconds of one slot.
    pub(crate) work: f64,
}

/// Last report of a dispatcher's load at a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerLoadEstimate {
    /// Rank of the dispatcher.
    pub(crate) from: u16,
    pub(crate) load: Load,
    /// Service-time factor of that dispatcher's requests at the worker, if known.
    pub(crate) service_time_factor: Option<f64>,
    pub(crate) reported_at: Nanos,
}

impl PeerLoadEstimate {
    /// Returns the load that remains by now at a worker with `worker_slots` slots.
    pub(crate) fn remaining(&self, now: Nanos, worker_slots: f64) -> Load {
        let Load { slots, work } = self.load;
        let done = now.saturating_sub(self.reported_at) as f64 * slots.min(worker_slots);
        if work > done {
            Load {
                slots,
                work: work - done,
            }
        } else {
            Load::default()
        }
    }
}
