//! The endpoint list: its events and how it is polled.
use super::Dispatcher;
use crate::mutation::{Mutation, is_active};
use crate::state::{FailureScore, Worker};
use crate::time::SECOND;
use crate::timers::{POLL_TIMER, TICK_INTERVAL, TICK_TIMER};
use crate::types::{Action, Endpoint, EndpointState, ListScope, Nanos};

impl Dispatcher {
    pub(crate) fn poll_endpoints(&mut self, now: Nanos, acts: &mut Vec<Action>) {
        if self.polls_endpoints && !self.watching && now >= self.next_poll_at {
            self.next_poll_at = Nanos::MAX; // until this call has failed
            acts.push(Action::WatchEndpoints);
        }
    }

    pub(crate) fn apply_endpoint_list(
        &mut self,
        now: Nanos,
        scope: ListScope,
        endpoints: &[Endpoint],
        acts: &mut Vec<Action>,
    ) {
        match scope {
            ListScope::Failed => {
                // Twice as long after each failure up to 4 s, spread so that dispatchers do not call as one,
                // and by a timer of its own, not on the beat, which all who started together share.
                let wait = 0.5 * SECOND * f64::from(1 << self.poll_failures.min(3));
                self.poll_failures += 1;
                self.watching = false;
                self.next_poll_at = now + (wait * (0.5 + self.rng.unit())) as Nanos;
                acts.push(Action::SetTimer {
                    at: self.next_poll_at,
                    token: POLL_TIMER,
                });
                return;
            }
            ListScope::Cached => acts.push(Action::SetTimer {
                at: now + TICK_INTERVAL,
                token: TICK_TIMER,
            }), // the first event
            ListScope::Delta | ListScope::Snapshot => {
                (self.watching, self.poll_failures) = (true, 0)
            }
        }
        if scope != ListScope::Delta {
            // Whoever a whole list leaves out is gone.
            self.workers
                .iter_mut()
                .for_each(|worker| worker.state = EndpointState::Removed);
        }
        for entry in endpoints {
            let at = *self
                .worker_indices
                .entry(entry.worker)
                .or_insert(self.workers.len());
            if at == self.workers.len() {
                self.workers
                    .push(Worker::new(entry.worker, entry.started, self.classes.len()));
            }
            let worker = &mut self.workers[at];
            if entry.started != worker.started_at {
                // A new process: what was held against the old one is void, and it starts cold.
                (
                    worker.failure_score,
                    worker.unresponsive,
                    worker.start_delay,
                ) = Default::default();
                worker.class_failure_scores.fill(FailureScore::default());
                // What went to it before its start was told of counts too.
                worker.recent_work.retain(|(at, _)| *at >= entry.started);
                (worker.connect_failures, worker.connect_retry_at) = (0, 0);
                worker.started_at = entry.started;
            }
            (worker.state, worker.zone, worker.worker_type) =
                (entry.state, entry.zone, entry.worker_type);
            if entry.state == EndpointState::Draining && is_active(Mutation::IgnoreDraining) {
                worker.state = EndpointState::Ready;
            }
            if scope == ListScope::Cached {
                // What this turn's budget held may have been sent before a restart.
                worker.recent_work.push_back((now, f64::INFINITY));
            }
            (worker.group, worker.size) = (entry.group, f64::from(entry.size).max(0.01));
        }
        let mut order: Vec<usize> = (0..self.workers.len()).collect();
        order.retain(|at| self.workers[*at].state == EndpointState::Ready);
        order.sort_unstable_by_key(|at| self.workers[*at].id);
        for class in &mut self.classes {
            let fits = |w: &usize| {
                class.worker_type < 0
                    || i64::from(self.workers[*w].worker_type) == class.worker_type
            };
            class.eligible_workers = order.iter().copied().filter(fits).collect();
        }
        self.select_subset(now);
        self.update_fleet_estimates(now);
        self.update_warm_up_budgets(now, acts);
        self.poll_endpoints(now, acts);
    }
}

#[cfg(test)]
mod tests;
