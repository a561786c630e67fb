//! One simulation: a scenario set up, played to its end on the virtual clock, and checked.
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

/// The first moment, in Unix time: any will do that lies well after 0.
const START: Nanos = 1_800_000_000 * SECOND;
/// How long after the start clients begin.
const CLIENT_START_DELAY: Nanos = 100 * MS;
/// How long after the last deadline a late response is still awaited.
const RESPONSE_MARGIN: Nanos = 5 * SECOND;
/// How long after their timeout idle connections may take to close.
const IDLE_CLOSE_MARGIN: Nanos = 3 * SECOND;
/// A dispatcher that runs for so many polls without waiting spins.
const MAX_POLLS_PER_TURN: usize = 200_000;
/// How often an event of the same instant happens before tasks run.
const COINCIDENCE_SHARE: f64 = 0.3;
/// What an idle dispatcher has open: the watch on the endpoint list.
const IDLE_CONNECTIONS: usize = 1;
/// The tasks of an idle dispatcher: engine, watch, listener, cluster.
const IDLE_TASKS: usize = 4;
/// The timers of an idle dispatcher: those of the engine and of the cluster, and two timeouts of the watch.
const IDLE_TIMERS: usize = 5;

/// What a simulation came to. The keys of its JSON form are read by other programs.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// The violations of the rules.
    pub violations: Vec<Violation>,
    /// What became of the requests.
    #[serde(rename = "tally")]
    pub counts: RequestCounts,
    /// How many events were played.
    pub steps: u64,
    /// How much virtual time passed, in seconds.
    pub virtual_s: f64,
    /// A digest of the timeline.
    #[serde(serialize_with = "hex_digest")]
    pub digest: u64,
    /// The timeline, where it was wanted.
    #[serde(skip)]
    pub trace: Vec<TraceLine>,
}

/// One line of the timeline.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceLine {
    /// When, in milliseconds from the start of the simulation.
    pub at_ms: f64,
    /// What happened.
    pub text: String,
}

/// Plays a scenario.
pub fn run_scenario(scenario: &Scenario, trace: Trace) -> Report {
    Simulation::new(scenario, trace).run()
}

/// A simulation that is being played.
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

    /// Plays it to its end.
    fn run(mut self) -> Report {
        let scenario = self.environment.scenario.clone();
        let context = self.context().clone();
        let kernel = &context.kernel;
        self.clients.start(START + CLIENT_START_DELAY);
        for fault in scenario.faults.iter().cloned() {
            kernel.spawn(self.environment.clone().inject(fault));
        }
        let faults_over = START + faults_over_after(&scenario);
        let longest_deadline = scenario.longest_deadline_ms() * MS;
        self.play_until(faults_over);
        self.play_until(faults_over + 2 * longest_deadline + RESPONSE_MARGIN);
        context.checker.borrow_mut().finish(kernel.now());
        self.clients.close_idle_connections();
        self.play_until(kernel.now() + scenario.limits.idle_ms * MS + IDLE_CLOSE_MARGIN);
        self.check_resources_at_rest();
        for dispatcher in 0..scenario.dispatchers {
            let environment = self.environment.clone();
            kernel.spawn(async move { environment.stop_dispatcher(dispatcher).await });
        }
        self.play_until(kernel.now() + MAX_SHUTDOWN_DRAIN + SHUTDOWN_MARGIN + SECOND);
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

    /// Once faults are over and no client is there, each dispatcher has what it needs at rest, and no more.
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
                        "dispatcher {dispatcher} has {count} {resource} at rest, {needed} are needed"
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
                let text = format!("host {host} has {open} connections after its process ended");
                self.context().report_violation(Rule::ResourceLeak, text);
            }
        }
    }

    fn play_until(&mut self, until: Nanos) {
        let context = self.context().clone();
        let kernel = &context.kernel;
        self.run_until_idle();
        while kernel.next_event_at().is_some_and(|at| at <= until) {
            self.steps += 1;
            context.step();
            // Events of one instant reach the tasks one by one, or together.
            while kernel.next_event_at() == Some(kernel.now())
                && kernel.random(|rng| rng.chance(COINCIDENCE_SHARE))
            {
                context.step();
            }
            self.run_until_idle();
        }
        // A timer brings the clock to `until`, where no event does.
        kernel.spawn(kernel.sleep_until(ENVIRONMENT, until));
        self.run_until_idle();
        while kernel.next_event_at().is_some_and(|at| at <= until) {
            context.step();
            self.run_until_idle();
        }
    }

    /// Runs all owners of which something was woken, until none has more to do at this moment.
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
            while polls < MAX_POLLS_PER_TURN && executor.try_tick() {
                polls += 1;
            }
        }));
        if result.is_err() {
            context.report_violation(Rule::Program, format!("host {host} has panicked"));
        }
        if polls >= MAX_POLLS_PER_TURN {
            context.report_violation(Rule::Program, format!("host {host} spins"));
        }
        let peak = context.network.peak_connections(host);
        if peak > self.environment.scenario.limits.sockets {
            context.network.reset_peak_connections(host);
            let text = format!("host {host} has {peak} connections");
            context.report_violation(Rule::Descriptors, text);
        }
    }
}

impl Drop for Simulation {
    fn drop(&mut self) {
        // Dispatchers first, as they use the rest; then the tasks of the environment, which own it.
        let count = self.environment.dispatchers.borrow().len();
        for dispatcher in 0..count {
            self.environment.take_down(dispatcher);
        }
        self.executor = Rc::new(LocalExecutor::new());
    }
}

/// When all faults are over, and clients have sent their last request. A fault whose effect is undone afterwards takes
/// its duration twice.
fn faults_over_after(scenario: &Scenario) -> Nanos {
    scenario
        .faults
        .iter()
        .map(|fault| from_ms(fault.at_ms + 2.0 * fault.duration_ms))
        .max()
        .unwrap_or_default()
        .max(scenario.length_ms * MS)
        + CLIENT_START_DELAY
}
