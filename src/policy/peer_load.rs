//! Load exchange between dispatchers: sends reports of the own load at a worker, and applies the
//! reports of peers.
//!
//! Each dispatcher observes only its own requests. Without reports it would count slots as free that
//! another dispatcher has just filled, and would detect slow workers only by its own requests.
use super::Dispatcher;
use super::outlier::FAILURE_HALF_LIFE;
use crate::state::{Load, PeerLoadEstimate, RequestClass, Worker};
use crate::types::{Action, Nanos, PeerLoad};

#[cfg(test)]
mod tests;

/// Error of the peers' estimate above which a load is reported again, as a fraction of the work of a
/// mean request.
const REPORT_TOLERANCE: f64 = 0.3;

/// Time after which the load at a worker in use is reported again, even if it has not changed. Less
/// than half of the time after which peers let a report expire, so that one report may be lost.
const REPORT_INTERVAL: Nanos = 4_000_000_000;

/// Weight in the failure score of a peer's report that a worker is unresponsive.
const PEER_UNRESPONSIVE_WEIGHT: f64 = 0.8;

/// Time after a response within which peers' reports that the worker is unresponsive are ignored.
const RECENT_RESPONSE: Nanos = 300_000_000;

/// Reason for a load report to peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ReportReason {
    /// The load may have changed. It is reported only if the peers' estimate is out of tolerance.
    LoadChanged,
    /// The worker is much slower than expected.
    SlowWorker,
    /// The worker does not respond.
    UnresponsiveWorker,
}

impl Worker {
    /// Returns whether a new report is due. Peers reduce the last reported load over time, so a load
    /// that decreases as expected needs no report.
    fn needs_load_report(&self, now: Nanos, mean_work: f64) -> bool {
        let assumed = self.last_sent_load.remaining(now, self.slots).work;
        let is_accurate = (self.remaining_work - assumed).abs() <= REPORT_TOLERANCE * mean_work;
        let is_recent = now < self.last_sent_load.reported_at + REPORT_INTERVAL;
        !is_accurate || (self.slots_in_use != 0.0 && !is_recent)
    }

    /// Returns the report of this dispatcher's load at the worker.
    fn load_report(&self, reason: ReportReason) -> PeerLoad {
        let observed = self.observed_service_time_factor();
        let speed_code = if reason == ReportReason::UnresponsiveWorker {
            PeerLoad::SPEED_UNRESPONSIVE
        } else if observed.samples > 0.0 {
            PeerLoad::encode_speed(observed.factor)
        } else {
            PeerLoad::SPEED_UNKNOWN
        };
        PeerLoad::new(self.id, self.slots_in_use, self.remaining_work, speed_code)
    }
}

impl Dispatcher {
    /// Updates the estimates from another dispatcher's report of its load at a worker.
    pub(super) fn on_peer_load(&mut self, now: Nanos, from: u16, load: PeerLoad) {
        let Some(&index) = self.worker_indices.get(&load.worker) else {
            return;
        };
        let worker = &mut self.workers[index];
        worker.record_peer_load(now, from, load);
        let is_unresponsive = load.speed_code == PeerLoad::SPEED_UNRESPONSIVE;
        if is_unresponsive && worker.last_response_at + RECENT_RESPONSE < now {
            worker
                .failure_score
                .raise(now, FAILURE_HALF_LIFE, PEER_UNRESPONSIVE_WEIGHT);
        }
    }

    /// Reports the load at each worker in use for which a report is due.
    pub(super) fn report_loads_in_use(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if !self.exchanges_load {
            return;
        }
        for index in 0..self.workers.len() {
            if self.workers[index].slots_in_use > 0.0 {
                self.report_load(now, index, ReportReason::LoadChanged, actions);
            }
        }
    }

    /// Reports the load at a worker to the other dispatchers that use it.
    pub(super) fn report_load(
        &mut self,
        now: Nanos,
        worker_index: usize,
        reason: ReportReason,
        actions: &mut Vec<Action>,
    ) {
        if !self.exchanges_load {
            return;
        }
        self.refresh_worker_loads(now);
        let mean_work = self.mean_work;
        let worker = &mut self.workers[worker_index];
        if reason == ReportReason::LoadChanged && !worker.needs_load_report(now, mean_work) {
            return;
        }
        worker.last_sent_load = PeerLoadEstimate {
            load: Load {
                slots: worker.slots_in_use,
                work: worker.remaining_work,
            },
            reported_at: now,
            ..worker.last_sent_load
        };
        let load = worker.load_report(reason);
        let send = |to: u16| Action::SendPeerLoad { to, load };
        let Some((position, eligible)) = self.eligible_position(worker_index) else {
            return;
        };
        let size = self.subset_size(eligible);
        if self.has_fleet_view {
            actions.extend(self.ranked_peers(position, eligible, size).map(send));
        } else {
            actions.extend(self.configured_peers(position, eligible, size).map(send));
        }
    }

    /// Returns the position of a worker among those eligible for the first class that it serves, and
    /// the number of those workers.
    fn eligible_position(&self, worker_index: usize) -> Option<(usize, usize)> {
        self.classes.iter().find_map(|class: &RequestClass| {
            let mut eligible = class.eligible_workers.iter();
            let position = eligible.position(|worker| *worker == worker_index)?;
            Some((position, class.eligible_workers.len()))
        })
    }
}
