//! The endpoint list: schedules polls, and applies snapshots and deltas to the workers.
use super::Dispatcher;
use crate::mutation::{Mutation, is_active};
use crate::state::{SentWork, Worker};
use crate::time::SECOND;
use crate::timers::{POLL_TIMER, TICK_INTERVAL, TICK_TIMER};
use crate::types::{Action, Endpoint, EndpointState, ListScope, Nanos};

#[cfg(test)]
mod tests;

/// Mean backoff after the first failed poll, in nanoseconds. Doubles with each consecutive failure.
const POLL_BACKOFF: f64 = 0.5 * SECOND;

/// Maximum mean backoff. The longest, half as much again, leaves 1.5 s of the 6 s after which a
/// dispatcher is accountable for a change at a service that can be reached.
const MAX_POLL_BACKOFF: f64 = 3.0 * SECOND;

/// Maximum number of doublings, which exceeds the maximum backoff.
const MAX_POLL_BACKOFF_DOUBLINGS: u32 = 3;

/// Lower bound of the size of a worker.
const MIN_SIZE: f64 = 0.01;

/// Returns the time from a failed poll, before which `failures` others have failed in a row, to the
/// next. `unit` is random in 0 to 1, so that dispatchers that started together do not poll together.
pub fn poll_backoff(failures: u32, unit: f64) -> Nanos {
    let doublings = failures.min(MAX_POLL_BACKOFF_DOUBLINGS);
    let mean = (POLL_BACKOFF * f64::from(1 << doublings)).min(MAX_POLL_BACKOFF);
    (mean * (0.5 + unit)) as Nanos
}

impl Dispatcher {
    /// Requests the endpoint list if the settings require it and a poll is due.
    pub(super) fn poll_endpoints(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        if self.settings.polls_endpoints && !self.watching_endpoints && now >= self.next_poll_at {
            // No further poll until this one fails.
            self.next_poll_at = Nanos::MAX;
            actions.push(Action::WatchEndpoints);
        }
    }

    pub(super) fn on_endpoint_list(
        &mut self,
        now: Nanos,
        scope: ListScope,
        endpoints: &[Endpoint],
        actions: &mut Vec<Action>,
    ) {
        match scope {
            ListScope::Failed => return self.schedule_poll(now, actions),
            // The cached list is the first event of a dispatcher.
            ListScope::Cached => actions.push(Action::SetTimer {
                at: now + TICK_INTERVAL,
                token: TICK_TIMER,
            }),
            ListScope::Delta | ListScope::Snapshot => {
                self.watching_endpoints = true;
                self.poll_failures = 0;
            }
        }
        if scope != ListScope::Delta {
            for worker in &mut self.workers {
                worker.state = EndpointState::Removed;
            }
        }
        for endpoint in endpoints {
            self.apply_endpoint(now, scope, endpoint);
        }
        self.update_eligible_workers();
        self.select_subsets(now);
        self.update_fleet_estimates(now);
        self.update_warm_up_budgets(now, actions);
        self.poll_endpoints(now, actions);
    }

    /// Schedules the next poll after a failed one, with a timer of its own.
    fn schedule_poll(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        self.next_poll_at = now + poll_backoff(self.poll_failures, self.rng.unit());
        self.poll_failures += 1;
        self.watching_endpoints = false;
        actions.push(Action::SetTimer {
            at: self.next_poll_at,
            token: POLL_TIMER,
        });
    }

    fn apply_endpoint(&mut self, now: Nanos, scope: ListScope, endpoint: &Endpoint) {
        let next_index = self.workers.len();
        let index = *self
            .worker_indices
            .entry(endpoint.worker)
            .or_insert(next_index);
        if index == next_index {
            let worker = Worker::new(endpoint.worker, endpoint.started, self.classes.len());
            self.workers.push(worker);
        }
        let worker = &mut self.workers[index];
        if endpoint.started != worker.started_at {
            worker.restart(endpoint.started);
        }
        worker.state = endpoint.state;
        if endpoint.state == EndpointState::Draining && is_active(Mutation::IgnoreDraining) {
            worker.state = EndpointState::Ready;
        }
        worker.zone = endpoint.zone;
        worker.worker_type = endpoint.worker_type;
        worker.group = endpoint.group;
        worker.size = f64::from(endpoint.size).max(MIN_SIZE);
        if scope == ListScope::Cached {
            // An earlier process of this dispatcher may have used the allowance of this window.
            worker.recent_work.push_back(SentWork {
                at: now,
                work: f64::INFINITY,
            });
        }
    }

    /// Updates the list of ready workers that may run requests of each class, ordered by id.
    fn update_eligible_workers(&mut self) {
        let mut ready: Vec<usize> = (0..self.workers.len()).collect();
        ready.retain(|index| self.workers[*index].state == EndpointState::Ready);
        ready.sort_unstable_by_key(|index| self.workers[*index].id);
        for class in &mut self.classes {
            let accepts = |index: &usize| class.settings.accepts(self.workers[*index].worker_type);
            class.eligible_workers = ready.iter().copied().filter(accepts).collect();
        }
    }
}

impl Worker {
    /// Resets the state of a worker that has been replaced by a new process. Work sent since the
    /// start of the new process may have reached it and still counts.
    fn restart(&mut self, started_at: Nanos) {
        self.clear_failures();
        self.start_delay = 0.0;
        self.recent_work.retain(|sent| sent.at >= started_at);
        self.started_at = started_at;
    }
}
