//! Faults of the endpoint lists published to a dispatcher, and of the services that publish them.
use super::{ActiveFault, Environment};
use crate::kernel::ENVIRONMENT;
use crate::scenario::FaultKind;
use crate::time::MS;
use rosewall::types::Nanos;

/// Time from a reload until the old address of discovery closes its connections.
const OLD_ADDRESS_CLOSES_AFTER: Nanos = 1_500 * MS;
/// Time after which the current list counts as published to a dispatcher that could poll it.
const POLLED_LIST_NOTICE: Nanos = 6_000 * MS;
/// The same where the list is pushed: the pause before a retry, and the transit of a call.
const PUSHED_LIST_NOTICE: Nanos = 200 * MS;

impl Environment {
    pub(super) fn silence_discovery(&self, active: &ActiveFault) {
        for address in 0..2 {
            self.agents[active.fault.target].silence(address, active.until);
        }
    }

    pub(super) fn omit_endpoints(&self, active: &ActiveFault) {
        let kernel = &self.context.kernel;
        let omitted = (0..self.workers.borrow().len())
            .filter(|_| kernel.random(|rng| rng.chance(active.fault.share)))
            .collect();
        self.agents[active.fault.target].omit_workers(omitted, active.until);
    }

    pub(super) async fn drop_watch(&self, active: &ActiveFault) {
        let agent = &self.agents[active.fault.target];
        agent.drop_open_polls();
        self.context.kernel.sleep(active.duration).await;
        agent.record_current_as_published();
    }

    pub(super) async fn close_discovery(&self, active: &ActiveFault) {
        let agent = &self.agents[active.fault.target];
        for address in 0..2 {
            agent.close(address, active.until);
        }
        let configuration = self.configuration(active.fault.target);
        self.context.kernel.sleep(active.duration).await;
        self.publish_after_notice(active.fault.target, configuration)
            .await;
    }

    /// Returns the number of a dispatcher's configuration.
    fn configuration(&self, dispatcher: usize) -> u32 {
        self.dispatchers.borrow()[dispatcher].configurations
    }

    /// Records that the current list counts as published, once a dispatcher has had time to get it
    /// under this configuration. After a new one, another service or another time counts.
    async fn publish_after_notice(&self, dispatcher: usize, configuration: u32) {
        let notice = if self.scenario.polls_endpoints {
            POLLED_LIST_NOTICE
        } else {
            PUSHED_LIST_NOTICE
        };
        let address = self.dispatchers.borrow()[dispatcher].discovery_address;
        let reachable_at = self.agents[dispatcher].reachable_at(address);
        let kernel = &self.context.kernel;
        kernel
            .sleep_until(ENVIRONMENT, reachable_at.max(kernel.now()) + notice)
            .await;
        if self.configuration(dispatcher) == configuration {
            self.agents[dispatcher].record_current_as_published();
        }
    }

    pub(super) async fn move_to_closed_discovery(&self, active: &ActiveFault) {
        let dispatcher = active.fault.target;
        let kernel = &self.context.kernel;
        let agent = &self.agents[dispatcher];
        let old = self.dispatchers.borrow()[dispatcher].discovery_address;
        let new = 1 - old;
        self.dispatchers.borrow_mut()[dispatcher].discovery_address = new;
        agent.close(new, active.until);
        self.reload(dispatcher, self.scenario.limits.sockets);
        let configuration = self.configuration(dispatcher);
        kernel.sleep(OLD_ADDRESS_CLOSES_AFTER).await;
        if self.configuration(dispatcher) != configuration {
            return;
        }
        agent.close(old, Nanos::MAX);
        kernel.sleep_until(ENVIRONMENT, active.until).await;
        self.publish_after_notice(dispatcher, configuration).await;
    }

    /// Configures a dispatcher with the other address of its discovery agent.
    pub(super) fn move_discovery(&self, active: &ActiveFault) {
        let dispatcher = active.fault.target;
        let agent = &self.agents[dispatcher];
        let unreachable = active.fault.kind == FaultKind::ReloadUnreachable;
        let old = self.dispatchers.borrow()[dispatcher].discovery_address;
        let new = 1 - old;
        self.dispatchers.borrow_mut()[dispatcher].discovery_address = new;
        if unreachable {
            agent.silence(new, active.until);
        }
        self.reload(dispatcher, self.scenario.limits.sockets);
        if !unreachable {
            agent.silence(old, active.until);
        }
    }
}
