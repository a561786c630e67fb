//! Starts, reloads, shuts down and kills dispatchers.
use super::dispatcher_config::ConfigurationError;
use super::environment::Environment;
use super::runtime::VirtualRuntime;
use crate::checker::Rule;
use crate::kernel::Owner;
use crate::network::HostId;
use crate::rng::Rng;
use crate::time::MS;
use crate::timeline::TimelineEvent;
use async_executor::LocalExecutor;
use rosewall::types::Nanos;
use rosewall_runtime::node::Node;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// The maximum drain time after the stop signal; requests drain for the longest deadline if that is
/// shorter.
pub(super) const MAX_SHUTDOWN_DRAIN: Nanos = 3_000 * MS;
/// The time after the drain time at which a process that still runs is ended, which violates
/// [`Rule::Shutdown`].
pub(super) const SHUTDOWN_MARGIN: Nanos = 700 * MS;

const LISTEN_PORT: u16 = 3000;
const LISTEN_BACKLOG: usize = 128;
const GOSSIP_PORT: u16 = 7946;
/// Number of dispatchers in one subnet of the virtual network.
const DISPATCHERS_PER_SUBNET: usize = 250;

/// The first random stream of wall clocks; each dispatcher has its own.
const CLOCK_STREAM: u64 = 60_000;

/// The slot of one dispatcher, and the process that runs in it.
#[derive(Default)]
pub(super) struct DispatcherSlot {
    executor: Option<Rc<LocalExecutor<'static>>>,
    pub node: Option<Node<VirtualRuntime>>,
    pub host: HostId,
    /// Number of tasks of the process.
    pub tasks: Rc<Cell<usize>>,
    /// The index of the discovery agent's address in the last configuration.
    pub discovery_address: usize,
    /// Number of configurations so far, over all processes.
    pub configurations: u32,
}

/// The reason why a dispatcher did not start.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    #[error("node did not start: {0}")]
    Node(#[source] Box<dyn std::error::Error>),
}

/// Returns the address of a dispatcher's cluster datagrams.
pub(super) fn gossip_address(dispatcher: usize) -> SocketAddr {
    let subnet = (dispatcher / DISPATCHERS_PER_SUBNET) as u8;
    let host = (dispatcher % DISPATCHERS_PER_SUBNET) as u8 + 1;
    ([10, 0, subnet, host], GOSSIP_PORT).into()
}

/// Returns the address to which a dispatcher's clients connect.
pub(super) fn listen_address(dispatcher: usize) -> SocketAddr {
    ([10, 0, 0, dispatcher as u8], LISTEN_PORT).into()
}

impl Environment {
    /// Starts a process in a dispatcher's slot.
    pub fn start_dispatcher(&self, dispatcher: usize) {
        let kernel = &self.context.kernel;
        let host = self.context.network.add_dispatcher_host();
        self.agents[dispatcher].set_dispatcher(host);
        let agent = &self.agents[dispatcher];
        let endpoints = agent.publish_initial_list(host, self.scenario.polls_endpoints);
        let started = self.start_node(dispatcher, host, &endpoints);
        kernel.record(
            TimelineEvent::DispatcherStarted,
            dispatcher as u64,
            host as u64,
            || format!("dispatcher {dispatcher} as host {host}"),
        );
        if let Err(error) = started {
            self.context.report_violation(
                Rule::Program,
                format!("dispatcher {dispatcher} did not start: {error}"),
            );
        }
        kernel.mark_runnable(host);
    }

    fn start_node(
        &self,
        dispatcher: usize,
        host: HostId,
        endpoints: &str,
    ) -> Result<(), StartError> {
        let config = self.dispatcher_config(dispatcher, endpoints, self.scenario.limits.sockets)?;
        let executor = Rc::new(LocalExecutor::new());
        let tasks = Rc::new(Cell::new(0));
        let runtime = VirtualRuntime {
            context: self.context.clone(),
            host,
            executor: Rc::downgrade(&executor),
            tasks: tasks.clone(),
            clock_offset: self.clock_offset(dispatcher),
        };
        let address = listen_address(dispatcher);
        let listener = self.context.network.listen(host, address, LISTEN_BACKLOG);
        let node = Node::start(runtime, config, listener)
            .map_err(|error| StartError::Node(error.into()))?;
        let mut dispatchers = self.dispatchers.borrow_mut();
        let DispatcherSlot {
            discovery_address,
            configurations,
            ..
        } = dispatchers[dispatcher];
        dispatchers[dispatcher] = DispatcherSlot {
            executor: Some(executor),
            node: Some(node),
            host,
            tasks,
            discovery_address,
            configurations: configurations + 1,
        };
        Ok(())
    }

    /// Returns how far the wall clock of a dispatcher is ahead of the virtual clock; the same at
    /// each start.
    fn clock_offset(&self, dispatcher: usize) -> Nanos {
        let max_skew = self
            .scenario
            .membership
            .as_ref()
            .map_or(0, |membership| membership.skew_ms * MS);
        Rng::new(self.scenario.seed, CLOCK_STREAM + dispatcher as u64).range(0, max_skew + 1)
    }

    pub fn is_running(&self, dispatcher: usize) -> bool {
        self.dispatchers.borrow()[dispatcher].node.is_some()
    }

    /// Returns the executor of the dispatcher on a host; `None` if its process has ended.
    pub fn dispatcher_executor(&self, host: Owner) -> Option<Rc<LocalExecutor<'static>>> {
        self.dispatchers
            .borrow()
            .iter()
            .find(|slot| slot.host == host)
            .and_then(|slot| slot.executor.clone())
    }

    /// Reloads the configuration of a running dispatcher.
    pub fn reload(&self, dispatcher: usize, descriptors: usize) {
        const NO_ENDPOINTS: &str = "{\"seq\":0,\"whole\":true,\"hosts\":[]}";
        let config = self.dispatcher_config(dispatcher, NO_ENDPOINTS, descriptors);
        let mut dispatchers = self.dispatchers.borrow_mut();
        let slot = &mut dispatchers[dispatcher];
        slot.configurations += 1;
        if let (Some(node), Ok(config)) = (&slot.node, config) {
            node.reload(&config);
            self.context.kernel.mark_runnable(slot.host);
        }
    }

    /// Kills a dispatcher's process.
    pub fn kill_dispatcher(&self, dispatcher: usize) {
        let host = self.dispatchers.borrow()[dispatcher].host;
        self.context.kernel.record(
            TimelineEvent::DispatcherKilled,
            dispatcher as u64,
            host as u64,
            || format!("dispatcher {dispatcher}"),
        );
        self.context.checker.borrow_mut().dispatcher_killed(host);
        self.context.network.kill_host(host);
        self.drop_dispatcher(dispatcher);
    }

    /// Shuts a dispatcher down gracefully, and waits until its process has ended.
    pub async fn stop_dispatcher(&self, dispatcher: usize) {
        let kernel = &self.context.kernel;
        let now = kernel.now();
        let (node, executor, host) = {
            let mut dispatchers = self.dispatchers.borrow_mut();
            let slot = &mut dispatchers[dispatcher];
            (slot.node.take(), slot.executor.clone(), slot.host)
        };
        let (Some(node), Some(executor)) = (node, executor) else {
            return;
        };
        let text = || format!("dispatcher {dispatcher}");
        kernel.record(
            TimelineEvent::DispatcherStopping,
            dispatcher as u64,
            host as u64,
            text,
        );
        let (end, ended) = async_channel::bounded::<()>(1);
        let stop = async move {
            node.stop().await;
            drop(end);
        };
        executor.spawn(stop).detach();
        kernel.mark_runnable(host);
        drop(executor);
        let longest_deadline = self.scenario.longest_deadline_ms() * MS;
        let kill_at = now + longest_deadline.min(MAX_SHUTDOWN_DRAIN) + SHUTDOWN_MARGIN;
        if kernel.timeout_at(kill_at, ended.recv()).await.is_none() {
            let text = format!("dispatcher {dispatcher} did not shut down in time");
            self.context.report_violation(Rule::Shutdown, text);
        }
        kernel.record(
            TimelineEvent::DispatcherStopped,
            dispatcher as u64,
            host as u64,
            text,
        );
        // Requests unanswered at this point are lost, which is a violation since the process was
        // not killed.
        self.drop_dispatcher(dispatcher);
    }

    /// Drops the node and the executor of a dispatcher; its connections close as at the end of a
    /// process.
    pub fn drop_dispatcher(&self, dispatcher: usize) {
        let (executor, node) = {
            let mut dispatchers = self.dispatchers.borrow_mut();
            let slot = &mut dispatchers[dispatcher];
            (slot.executor.take(), slot.node.take())
        };
        drop(node);
        drop(executor);
    }
}
