//! The parts of a simulation that faults affect: workers, discovery agents and dispatchers.
use super::START;
use super::dispatchers::DispatcherSlot;
use crate::checker::{Checker, WorkerIndex};
use crate::context::Context;
use crate::discovery::{DiscoveryAgent, Endpoint};
use crate::kernel::Kernel;
use crate::network::{DatagramConditions, Network, NetworkConditions};
use crate::scenario::Scenario;
use crate::time::MS;
use crate::timeline::{TimelineEvent, Trace};
use crate::worker::{ProcessStart, WorkerProcess};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use rosewall::types::{EndpointState, Nanos};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;

/// The range of the time until discovery detects the start of a process.
const START_NOTICE_DELAY: RangeInclusive<Nanos> = 5 * MS..=400 * MS;
/// The range of the time until discovery detects the end of a process.
const END_NOTICE_DELAY: RangeInclusive<Nanos> = 5 * MS..=800 * MS;

/// The ports of the two addresses of a discovery agent.
const DISCOVERY_PORTS: [u16; 2] = [8500, 8501];
const WORKER_PORT: u16 = 3000;
/// Number of workers in one subnet of the virtual network.
const WORKERS_PER_SUBNET: usize = 200;

/// The workers, discovery agents and dispatchers of a simulation.
pub(super) struct Environment {
    pub context: Rc<Context>,
    pub scenario: Rc<Scenario>,
    pub dispatchers: RefCell<Vec<DispatcherSlot>>,
    /// Discovery agents, one per dispatcher.
    pub agents: Vec<Rc<DiscoveryAgent>>,
    pub workers: RefCell<Vec<Rc<WorkerProcess>>>,
    overloaded: Sender<WorkerIndex>,
    /// Number of endpoint changes so far.
    changes: Cell<u64>,
}

impl Environment {
    /// Sets up the environment; dispatchers are started separately. The receiver yields overloaded
    /// workers.
    pub fn new(
        scenario: &Scenario,
        executor: &Rc<LocalExecutor<'static>>,
        trace: Trace,
    ) -> (Rc<Self>, Receiver<WorkerIndex>) {
        let scenario = Rc::new(scenario.clone());
        let context = new_context(&scenario, executor, trace);
        // Host 0 stays unused: the host of a dispatcher is also its owner, and owner 0 is the
        // environment.
        context.network.add_host();
        let (overloaded, overloaded_workers) = async_channel::unbounded();
        let workers: Vec<_> = (0..scenario.workers.len())
            .map(|worker| {
                let start = ProcessStart {
                    worker,
                    address: worker_address(worker),
                    started_at: 0,
                    overloaded: overloaded.clone(),
                };
                WorkerProcess::start(&context, &scenario, start)
            })
            .collect();
        let endpoints: Vec<Endpoint> = workers
            .iter()
            .map(|process| endpoint(process, EndpointState::Ready))
            .collect();
        let agents = (0..scenario.dispatchers)
            .map(|dispatcher| {
                DiscoveryAgent::start(&context, agent_addresses(dispatcher), endpoints.clone())
            })
            .collect();
        let slots = (0..scenario.dispatchers).map(|_| DispatcherSlot::default());
        let environment = Rc::new(Environment {
            context,
            dispatchers: RefCell::new(slots.collect()),
            scenario,
            agents,
            workers: RefCell::new(workers),
            overloaded,
            changes: Cell::new(0),
        });
        (environment, overloaded_workers)
    }

    /// Terminates overloaded workers without a restart.
    pub async fn terminate_overloaded_workers(self: Rc<Self>, overloaded: Receiver<WorkerIndex>) {
        while let Ok(worker) = overloaded.recv().await {
            let process = self.worker(worker);
            self.terminate_worker(worker, &process, 0).await;
        }
    }

    pub fn worker(&self, worker: WorkerIndex) -> Rc<WorkerProcess> {
        self.workers.borrow()[worker].clone()
    }

    /// Sends the new state of a worker to all agents, each after a random delay within
    /// `notice_delay` plus the additional delay of the agent.
    pub fn publish_endpoint(
        &self,
        worker: WorkerIndex,
        state: EndpointState,
        notice_delay: RangeInclusive<Nanos>,
    ) {
        self.changes.set(self.changes.get() + 1);
        let change = self.changes.get();
        let endpoint = endpoint(&self.workers.borrow()[worker], state);
        let kernel = &self.context.kernel;
        for agent in &self.agents {
            let delay = agent.current_delay();
            let notice_delay =
                kernel.random(|rng| rng.range(*notice_delay.start(), *notice_delay.end() + 1));
            let wait = notice_delay + delay;
            let (agent, endpoint, kernel) = (agent.clone(), endpoint.clone(), kernel.clone());
            self.context.kernel.spawn(async move {
                kernel.sleep(wait).await;
                agent.apply(worker, endpoint, change);
            });
        }
    }

    /// Starts a new process at the worker's address; it has to warm up.
    pub fn restart_worker(&self, worker: WorkerIndex) {
        let kernel = &self.context.kernel;
        // Endpoint lists contain start times in whole milliseconds.
        let started_at = kernel.now() / MS * MS;
        let start = ProcessStart {
            worker,
            address: self.worker(worker).address(),
            started_at,
            overloaded: self.overloaded.clone(),
        };
        let process = WorkerProcess::start(&self.context, &self.scenario, start);
        kernel.record(
            TimelineEvent::WorkerRestarted,
            worker as u64,
            started_at,
            || format!("worker {worker}"),
        );
        self.workers.borrow_mut()[worker] = process;
        self.publish_endpoint(worker, EndpointState::Ready, START_NOTICE_DELAY);
    }

    /// Terminates a process, and starts a new one after `restart_after`, unless that is 0.
    pub async fn terminate_worker(
        &self,
        worker: WorkerIndex,
        process: &WorkerProcess,
        restart_after: Nanos,
    ) {
        if !process.is_alive() {
            return;
        }
        process.terminate();
        self.context
            .kernel
            .record(TimelineEvent::WorkerTerminated, worker as u64, 0, || {
                format!("worker {worker}")
            });
        self.publish_endpoint(worker, EndpointState::Removed, END_NOTICE_DELAY);
        if restart_after > 0 {
            self.context.kernel.sleep(restart_after).await;
            self.restart_worker(worker);
        }
    }
}

fn new_context(
    scenario: &Scenario,
    executor: &Rc<LocalExecutor<'static>>,
    trace: Trace,
) -> Rc<Context> {
    let [min_latency_us, max_latency_us] = scenario.net.latency_us;
    let conditions = NetworkConditions {
        min_latency: min_latency_us * 1000,
        max_latency: max_latency_us * 1000,
        partial_io: scenario.net.partial_io,
        reset_discards_unread: scenario.net.reset_discards_unread,
    };
    let kernel = Kernel::new(START, scenario.seed, executor, trace);
    let network = Network::new(&kernel, conditions);
    if let Some(membership) = &scenario.membership {
        network.set_datagram_conditions(DatagramConditions {
            loss: membership.loss,
            duplicate: membership.duplicate,
            min_latency: conditions.min_latency,
            max_latency: conditions.max_latency + membership.jitter_ms * MS,
        });
    }
    let checker = Checker::new(
        START,
        scenario.rules.clone(),
        &scenario.classes,
        scenario.mean_work(),
    );
    Rc::new(Context {
        kernel,
        network,
        checker: RefCell::new(checker),
    })
}

fn endpoint(process: &WorkerProcess, state: EndpointState) -> Endpoint {
    Endpoint {
        state,
        address: process.address(),
        started_at: process.started_at(),
        zone: process.spec().zone,
        cell: process.spec().cell,
    }
}

fn worker_address(worker: WorkerIndex) -> SocketAddr {
    let subnet = (worker / WORKERS_PER_SUBNET) as u8;
    let host = (worker % WORKERS_PER_SUBNET) as u8 + 1;
    ([10, 1, subnet, host], WORKER_PORT).into()
}

fn agent_addresses(dispatcher: usize) -> [SocketAddr; 2] {
    DISCOVERY_PORTS.map(|port| ([10, 2, 0, dispatcher as u8 + 1], port).into())
}
