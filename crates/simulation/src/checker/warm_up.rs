//! How much work reaches workers that warm up.
use super::{Checker, Rule, WorkerIndex};
use crate::network::HostId;
use crate::time::MS;
use rosewall::types::Nanos;
use std::collections::VecDeque;

/// A warming worker may get a tenth more than its budget, as arrivals are random.
const BUDGET_TOLERANCE: f64 = 1.1;

/// The work that arrived within a window.
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

/// A worker's process that warms up, or did so once.
pub(super) struct WarmingWorker {
    worker: WorkerIndex,
    started_at: Nanos,
    capacity: f64,
    /// From dispatchers that knew of the start.
    from_notified: WindowedWork,
    all: WindowedWork,
    /// Whether it was counted as overloaded by the root of N.
    overload_counted: bool,
}

impl WarmingWorker {
    /// Whether most of the work came from dispatchers that knew of the start; the others are not at fault.
    fn mostly_from_notified(&self) -> bool {
        self.from_notified.sum * 3.0 >= self.all.sum * 2.0
    }
}

/// Work that reaches a worker.
pub struct WorkArrival {
    /// The dispatcher that sent it.
    pub dispatcher: HostId,
    /// The worker.
    pub worker: WorkerIndex,
    /// When the worker's process started.
    pub started_at: Nanos,
    /// The work, in ns of one slot.
    pub work: f64,
}

impl Checker {
    /// A process starts cold; its capacity is in work a unit of time once it is warm.
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

    /// The share of its capacity that a process has.
    pub fn capacity_factor(&self, now: Nanos, started_at: Nanos) -> f64 {
        if started_at == 0 {
            return 1.0;
        }
        let from = self.rules.slow_start_from;
        let duration = self.rules.slow_start_ms.max(1) * MS;
        let age = now.saturating_sub(started_at) as f64 / duration as f64;
        (from + (1.0 - from) * age).min(1.0)
    }

    /// Work has reached a worker; true where the worker is overloaded by it.
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
        let expected_requests = budget / self.mean_work.max(1.0);
        let limit_with_deviation =
            (expected_requests + 2.0 * expected_requests.sqrt() + 2.0) * self.mean_work;
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
                format!("worker {worker} warms up and was sent {percent:.0}% of what it can take"),
            );
        }
        overloaded
    }
}
