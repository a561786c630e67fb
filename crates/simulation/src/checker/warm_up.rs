//! Checks the amount of work that reaches workers while they warm up.
use super::{Checker, Rule, WorkerIndex};
use crate::network::HostId;
use crate::time::MS;
use rosewall::types::Nanos;
use std::collections::VecDeque;

/// Maximum work of a warming worker relative to its budget. A tenth above the budget is tolerated,
/// as arrivals are random.
const BUDGET_TOLERANCE: f64 = 1.1;

/// Work that arrived within a sliding window.
#[derive(Default)]
struct WindowedWork {
    arrivals: VecDeque<(Nanos, f64)>,
    sum: f64,
}

impl WindowedWork {
    fn expire(&mut self, now: Nanos, window: Nanos) {
        while self
            .arrivals
            .front()
            .is_some_and(|(at, _)| at + window < now)
        {
            self.sum -= self.arrivals.pop_front().map_or(0.0, |(_, work)| work);
        }
    }

    fn push(&mut self, now: Nanos, work: f64) {
        self.arrivals.push_back((now, work));
        self.sum += work;
    }
}

/// Worker process that is warming up or has warmed up.
pub(super) struct WarmingWorker {
    worker: WorkerIndex,
    started_at: Nanos,
    capacity: f64,
    /// Work from dispatchers that had been notified of the start of the process.
    from_notified: WindowedWork,
    all: WindowedWork,
    /// Set once the process is counted in `overloaded_workers`.
    overload_counted: bool,
}

impl WarmingWorker {
    /// Returns whether at least two thirds of the work came from dispatchers that had been notified
    /// of the start. The other dispatchers are not at fault.
    fn mostly_from_notified(&self) -> bool {
        self.from_notified.sum * 3.0 >= self.all.sum * 2.0
    }
}

/// Arrival of work at a worker.
pub struct WorkArrival {
    /// Host of the dispatcher that sent the work.
    pub dispatcher: HostId,
    /// Worker that receives the work.
    pub worker: WorkerIndex,
    /// Start time of the worker's process; 0 if it has been running since before the simulation.
    pub started_at: Nanos,
    /// Amount of work, in ns of one slot.
    pub work: f64,
}

impl Checker {
    /// Records the start of a process that warms up. `capacity` is its work per unit of time after
    /// the warm-up.
    pub fn worker_started(&mut self, worker: WorkerIndex, started_at: Nanos, capacity: f64) {
        self.warming_workers.push(WarmingWorker {
            worker,
            started_at,
            capacity,
            from_notified: WindowedWork::default(),
            all: WindowedWork::default(),
            overload_counted: false,
        });
    }

    /// Returns the fraction of its full capacity that a process has at `now`, from 0 to 1.
    pub fn capacity_factor(&self, now: Nanos, started_at: Nanos) -> f64 {
        if started_at == 0 {
            return 1.0;
        }
        let from = self.rules.slow_start_from;
        let duration = self.rules.slow_start_ms.max(1) * MS;
        let age = now.saturating_sub(started_at) as f64 / duration as f64;
        (from + (1.0 - from) * age).min(1.0)
    }

    /// Records work that has reached a worker. Returns whether the worker is now overloaded.
    pub fn work_arrived(&mut self, now: Nanos, arrival: &WorkArrival) -> bool {
        let capacity_factor = self.capacity_factor(now, arrival.started_at);
        if capacity_factor >= 1.0 {
            return false;
        }
        let notified = self
            .published
            .get(&(arrival.dispatcher, arrival.worker))
            .is_some_and(|endpoint| endpoint.started_at == arrival.started_at);
        let window = self.rules.overload_window_ms * MS;
        let Some(warming) = self.warming_workers.iter_mut().find(|warming| {
            warming.worker == arrival.worker && warming.started_at == arrival.started_at
        }) else {
            return false;
        };
        let budget =
            self.rules.overload_multiple * warming.capacity * capacity_factor * window as f64;
        warming.from_notified.expire(now, window);
        if notified {
            warming.from_notified.push(now, arrival.work);
        }
        warming.all.expire(now, window);
        warming.all.push(now, arrival.work);

        let limit = budget * BUDGET_TOLERANCE;
        let allowed_requests = budget / self.mean_work.max(1.0);
        let limit_with_deviation =
            (allowed_requests + 2.0 * allowed_requests.sqrt() + 2.0) * self.mean_work;
        let overloaded = warming.all.sum > limit;
        let at_fault = notified && warming.mostly_from_notified();
        let percent = warming.from_notified.sum / limit * 100.0;
        if at_fault
            && warming.all.sum > limit_with_deviation
            && !std::mem::replace(&mut warming.overload_counted, true)
        {
            self.counts.overloaded_workers += 1;
        }
        if at_fault && overloaded {
            let worker = arrival.worker;
            self.report_violation(
                now,
                Rule::SlowStart,
                format!(
                    "worker {worker} is overloaded while warming up; dispatchers notified of its start sent {percent:.0}% of its limit"
                ),
            );
        }
        overloaded
    }
}
