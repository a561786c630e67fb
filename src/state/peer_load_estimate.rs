//! The load of another dispatcher at a worker, between two of its reports.
use crate::types::Nanos;

/// An amount of load at a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub(crate) slots: f64,
    /// Work, in nanoseconds of one slot.
    pub(crate) work: f64,
}

/// What a dispatcher last reported of its load at a worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerLoadEstimate {
    /// The rank of the dispatcher.
    pub(crate) from: u16,
    pub(crate) load: Load,
    /// The service-time factor of that dispatcher's requests, if known.
    pub(crate) service_time_factor: Option<f64>,
    pub(crate) reported_at: Nanos,
}

impl PeerLoadEstimate {
    /// The load that is left by now at a worker with `worker_slots` slots.
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
