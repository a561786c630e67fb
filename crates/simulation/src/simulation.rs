//! Runs one scenario to its end on the virtual clock and reports the violations of the rules.
mod dispatcher_config;
mod dispatchers;
mod environment;
mod faults;
mod runtime;

use crate::checker::{RequestCounts, Rule, Violation};
use crate::client::Clients;
use crate::context::Context;
use crate::hex_digest;
use crate::kernel::{ENVIRONMENT, Owner};
use crate::scenario::Scenario;
use crate::time::{MS, SECOND, from_ms};
pub use crate::timeline::Trace;
use async_executor::LocalExecutor;
use dispatchers::{MAX_SHUTDOWN_DRAIN, SHUTDOWN_MARGIN, listen_address};
use environment::Environment;
use rosewall::types::Nanos;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

/// The start of the simulation in Unix nanoseconds. The value is arbitrary, but must be well
/// after 0.
const START: Nanos = 1_800_000_000 * SECOND;
/// The delay from the start of the simulation to the start of the clients.
const CLIENT_START_DELAY: Nanos = 100 * MS;
/// The time after the last deadline during which a late response is still awaited.
const RESPONSE_MARGIN: Nanos = 5 * SECOND;
/// The time after the idle timeout within which idle connections must be closed.
const IDLE_CLOSE_MARGIN: Nanos = 3 * SECOND;
/// The number of task polls without a wait after which a dispatcher counts as busy-looping.
const MAX_POLLS_PER_RUN: usize = 200_000;
/// The probability that another event of the same instant is processed before the tasks run.
const COINCIDENCE_SHARE: f64 = 0.3;
/// Open connections of an idle dispatcher: the watch on the endpoint list.
const IDLE_CONNECTIONS: usize = 1;
/// Tasks of an idle dispatcher: engine, watch, listener, cluster.
const IDLE_TASKS: usize = 4;
/// Timers of an idle dispatcher: those of the engine and the cluster, and two timeouts of the
/// watch.
const IDLE_TIMERS: usize = 5;

/// The result of a simulation. Other programs read the keys of its JSON form.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Report {
    /// The seed of the scenario.
    pub seed: u64,
    /// The detected violations of the rules.
    pub violations: Vec<Violation>,
    /// Counts of requests by outcome.
    #[serde(rename = "tally")]
    pub counts: RequestCounts,
    /// The number of steps; events of one instant that are processed together count as one.
    pub steps: u64,
    /// The elapsed virtual time, in seconds.
    pub virtual_s: f64,
    /// A digest of the timeline.
    #[serde(serialize_with = "hex_digest")]
    pub digest: u64,
    /// The lines of the timeline; empty with [`Trace::Off`].
    #[serde(skip)]
    pub trace: Vec<TraceLine>,
}

/// One line of the timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceLine {
    /// The time since the start of the simulation, in milliseconds.
    pub at_ms: f64,
    /// The kind of the event, and its details.
    pub text: String,
}

/// Runs a scenario to its end and returns the report.
pub fn run_scenario(scenario: &Scenario, trace: Trace) -> Report {
    Simulation::new(scenario, trace).run()
}

/// A running simulation.
struct Simulation {
    environment: Rc<Environment>,
    clients: Rc<Clients>,
    /// Runs the tasks of the environment.
    executor: Rc<LocalExecutor<'static>>,
    steps: u64,
}

impl Simulation {
    fn new(scenario: &Scenario, trace: Trace) -> Self {
        let executor = Rc::new(LocalExecutor::new());
        let (environment, overloaded) = Environment::new(scenario, &executor, trace);
        let scenario = &environment.scenario;
        let listeners = (0..scenario.dispatchers).map(listen_address).collect();
        let clients = Clients::new(&environment.context, scenario, listeners);
        for dispatcher in 0..scenario.dispatchers {
            environment.start_dispatcher(dispatcher);
        }
        environment
            .context
            .kernel
            .spawn(environment.clone().terminate_overloaded_workers(overloaded));
        Simulation {
            environment,
            clients,
            executor,
            steps: 0,
        }
    }

    fn context(&self) -> &Rc<Context> {
        &self.environment.context
    }

    /// Runs the simulation to its end.
    fn run(mut self) -> Report {
        let scenario = self.environment.scenario.clone();
        let context = self.context().clone();
        let kernel = &context.kernel;
        self.clients.start(START + CLIENT_START_DELAY);
        for fault in scenario.faults.iter().cloned() {
            kernel.spawn(self.environment.clone().inject(fault));
        }
        let faults_end = START + faults_end_after(&scenario);
        let longest_deadline = scenario.longest_deadline_ms() * MS;
        self.run_until(faults_end);
        self.run_until(faults_end + 2 * longest_deadline + RESPONSE_MARGIN);
        context.checker.borrow_mut().finish(kernel.now());
        self.clients.close_idle_connections();
        self.run_until(kernel.now() + scenario.limits.idle_ms * MS + IDLE_CLOSE_MARGIN);
        self.check_resources_at_rest();
        for dispatcher in 0..scenario.dispatchers {
            let environment = self.environment.clone();
            kernel.spawn(async move { environment.stop_dispatcher(dispatcher).await });
        }
        self.run_until(kernel.now() + MAX_SHUTDOWN_DRAIN + SHUTDOWN_MARGIN + SECOND);
        self.check_connections_after_end();
        self.report(scenario.seed)
    }

    fn report(&self, seed: u64) -> Report {
        let Context {
            kernel, checker, ..
        } = &**self.context();
        let since_start_ms = |at: Nanos| at.saturating_sub(START) as f64 / 1e6;
        let trace = kernel.take_timeline().into_iter().map(|entry| TraceLine {
            at_ms: since_start_ms(entry.at),
            text: entry.text,
        });
        let checker = checker.borrow();
        Report {
            seed,
            violations: checker.violations().to_vec(),
            counts: checker.counts().clone(),
            steps: self.steps,
            virtual_s: since_start_ms(kernel.now()) / 1e3,
            digest: kernel.digest(),
            trace: trace.collect(),
        }
    }

    /// Checks that each dispatcher, without faults and clients, holds no more resources than an
    /// idle one needs.
    fn check_resources_at_rest(&self) {
        let Context {
            kernel, network, ..
        } = &**self.context();
        for (dispatcher, slot) in self.environment.dispatchers.borrow().iter().enumerate() {
            let Some(node) = &slot.node else { continue };
            let connections = network.open_connections(slot.host);
            let active_requests = node.context.active_requests.get();
            let descriptors = node.context.limits.descriptors_used();
            let resources = [
                ("connections", connections, IDLE_CONNECTIONS),
                ("tasks", slot.tasks.get(), IDLE_TASKS),
                ("timers", kernel.timers(slot.host), IDLE_TIMERS),
                ("active requests", active_requests, 0),
                ("counted descriptors", descriptors, 0),
            ];
            for (resource, count, needed) in resources {
                if count > needed {
                    let text = format!(
                        "dispatcher {dispatcher} holds {count} {resource} when idle, expected at most {needed}"
                    );
                    self.context().report_violation(Rule::ResourceLeak, text);
                }
            }
        }
    }

    fn check_connections_after_end(&self) {
        for slot in self.environment.dispatchers.borrow().iter() {
            let host = slot.host;
            let open = self.context().network.open_connections(host);
            if open > 0 {
                let text = format!(
                    "host {host} has {open} open connections after the end of its process, expected 0"
                );
                self.context().report_violation(Rule::ResourceLeak, text);
            }
        }
    }

    fn run_until(&mut self, until: Nanos) {
        let context = self.context().clone();
        let kernel = &context.kernel;
        self.run_until_idle();
        while kernel.next_event_at().is_some_and(|at| at <= until) {
            self.steps += 1;
            context.step();
            // Tasks run after each event of one instant, or after several of them.
            while kernel.next_event_at() == Some(kernel.now())
                && kernel.random(|rng| rng.chance(COINCIDENCE_SHARE))
            {
                context.step();
            }
            self.run_until_idle();
        }
        // A timer advances the clock to `until`, as no event may be scheduled for that time.
        kernel.spawn(kernel.sleep_until(ENVIRONMENT, until));
        self.run_until_idle();
        while kernel.next_event_at().is_some_and(|at| at <= until) {
            context.step();
            self.run_until_idle();
        }
    }

    /// Runs all runnable owners until none has a runnable task at the current time.
    fn run_until_idle(&self) {
        loop {
            let owners = self.context().kernel.take_runnable();
            if owners.is_empty() {
                return;
            }
            for owner in owners {
                if owner == ENVIRONMENT {
                    while self.executor.try_tick() {}
                } else if let Some(executor) = self.environment.dispatcher_executor(owner) {
                    self.run_dispatcher(owner, &executor);
                }
            }
        }
    }

    fn run_dispatcher(&self, host: Owner, executor: &LocalExecutor<'static>) {
        let context = self.context();
        let mut polls = 0;
        let result = catch_unwind(AssertUnwindSafe(|| {
            while polls < MAX_POLLS_PER_RUN && executor.try_tick() {
                polls += 1;
            }
        }));
        if result.is_err() {
            context.report_violation(
                Rule::Program,
                format!("host {host}: the dispatcher panicked"),
            );
        }
        if polls >= MAX_POLLS_PER_RUN {
            context.report_violation(
                Rule::Program,
                format!("host {host}: no wait within {MAX_POLLS_PER_RUN} task polls"),
            );
        }
        let peak = context.network.peak_connections(host);
        let limit = self.environment.scenario.limits.sockets;
        if peak > limit {
            context.network.reset_peak_connections(host);
            let text = format!("host {host} has {peak} open connections, limit {limit}");
            context.report_violation(Rule::Descriptors, text);
        }
    }
}

impl Drop for Simulation {
    fn drop(&mut self) {
        // Dispatchers are dropped first, since they use the environment; then the tasks that own
        // the environment.
        let count = self.environment.dispatchers.borrow().len();
        for dispatcher in 0..count {
            self.environment.drop_dispatcher(dispatcher);
        }
        self.executor = Rc::new(LocalExecutor::new());
    }
}

/// Returns the time from the start after which all faults have ended and clients have sent their
/// last request. A fault is counted with twice its duration, as undoing its effect may take as long
/// again.
fn faults_end_after(scenario: &Scenario) -> Nanos {
    scenario
        .faults
        .iter()
        .map(|fault| from_ms(fault.at_ms + 2.0 * fault.duration_ms))
        .max()
        .unwrap_or_default()
        .max(scenario.length_ms * MS)
        + CLIENT_START_DELAY
}
