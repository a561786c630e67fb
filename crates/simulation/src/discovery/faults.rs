//! The faults of a discovery agent.
use super::{Delay, DiscoveryAgent, Omission, StaleList};
use crate::checker::WorkerIndex;
use crate::kernel::ENVIRONMENT;
use rosewall::types::Nanos;
use std::rc::Rc;

impl DiscoveryAgent {
    /// Stops answering at one of the two addresses until the time `until`.
    pub fn silence(&self, address: usize, until: Nanos) {
        self.silent_until.borrow_mut()[address] = until;
    }

    /// Closes each connection at one of the two addresses until the time `until`.
    pub fn close(&self, address: usize, until: Nanos) {
        self.closed_until.borrow_mut()[address] = until;
        self.notify_polls();
    }

    /// Returns the time from which calls to an address are answered.
    pub fn reachable_at(&self, address: usize) -> Nanos {
        self.silent_until.borrow()[address].max(self.closed_until.borrow()[address])
    }

    /// Drops the polls that are open now: they are never answered.
    pub fn drop_open_polls(&self) {
        self.poll_drops.set(self.poll_drops.get() + 1);
        self.notify_polls();
    }

    /// Records the current list as published, even if the dispatcher has not polled it.
    pub fn record_current_as_published(&self) {
        let list = self.current.borrow().clone();
        self.record_published(&list, None, self.dispatcher_host.get());
    }

    /// Delays changes on their way to the agent by `by` until the time `until`.
    pub fn delay_changes(&self, until: Nanos, by: Nanos) {
        self.delay.set(Delay { until, by });
    }

    /// Publishes the list as it was `age` ago, for a time of `age`.
    pub fn publish_stale_list(self: &Rc<Self>, age: Nanos) {
        let now = self.context.kernel.now();
        let then = now.saturating_sub(age);
        let history = self.history.borrow();
        let Some(past) = history.iter().rev().find(|past| past.at <= then) else {
            return;
        };
        *self.stale.borrow_mut() = Some(StaleList {
            until: now + age,
            list: past.list.clone(),
        });
        self.notify_polls_now_and_at(now + age);
    }

    /// Omits these workers from the list until the time `until`.
    pub fn omit_workers(self: &Rc<Self>, workers: Vec<WorkerIndex>, until: Nanos) {
        *self.omission.borrow_mut() = Omission { until, workers };
        self.current.borrow_mut().version += 1;
        self.notify_polls_now_and_at(until);
    }

    /// Answers with lists that cannot be parsed until the time `until`.
    pub fn send_malformed_lists(&self, until: Nanos) {
        self.malformed_until.set(until);
        self.notify_polls();
    }

    fn notify_polls_now_and_at(self: &Rc<Self>, at: Nanos) {
        self.notify_polls();
        let agent = self.clone();
        self.context.kernel.spawn(async move {
            let kernel = &agent.context.kernel;
            kernel.sleep_until(ENVIRONMENT, at).await;
            // A new version, so that the dispatcher receives the correct list.
            agent.current.borrow_mut().version += 1;
            agent.notify_polls();
        });
    }
}
