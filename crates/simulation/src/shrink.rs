//! Reduces a scenario that violates a rule to the parts that the violation needs.
use crate::checker::Rule;
use crate::scenario::Scenario;
use crate::simulation::{Trace, run_scenario};

/// Maximum number of times that one simplification is applied per round.
const MAX_REPEATS: usize = 6;
/// Requests per second; no load is reduced below this rate.
const MIN_RATE: f64 = 0.1;
const MIN_LENGTH_MS: u64 = 100;

type Simplification = fn(&mut Scenario);

/// Steps that reduce the load, the length, the network disturbances and the number of clients,
/// workers and dispatchers.
const SIMPLIFICATIONS: [Simplification; 8] = [
    halve_misbehaving_clients,
    halve_rates,
    drop_retries_and_disconnects,
    |scenario| scenario.length_ms = (scenario.length_ms * 3 / 4).max(MIN_LENGTH_MS),
    |scenario| scenario.net.partial_io = 0.0,
    |scenario| scenario.net.reset_discards_unread = false,
    drop_one_worker,
    drop_one_dispatcher,
];

/// Removes everything that is not needed to violate `rule`. `on_progress` is called with each
/// smaller scenario that still violates it.
pub fn shrink(scenario: &Scenario, rule: Rule, on_progress: impl FnMut(&Scenario)) -> Scenario {
    let mut shrinker = Shrinker {
        smallest: scenario.clone(),
        rule,
        on_progress,
    };
    loop {
        let before = shrinker.smallest.clone();
        shrinker.remove_entries(|scenario| &mut scenario.faults);
        shrinker.remove_entries(|scenario| &mut scenario.misbehaving_clients);
        shrinker.remove_entries(|scenario| &mut scenario.requests);
        shrinker.remove_entries(|scenario| &mut scenario.loads);
        for simplification in SIMPLIFICATIONS {
            shrinker.simplify(simplification);
        }
        if shrinker.smallest == before {
            return Scenario {
                name: format!("shrunk from seed {}, breaks {rule:?}", scenario.seed),
                ..before
            };
        }
    }
}

struct Shrinker<F> {
    smallest: Scenario,
    rule: Rule,
    on_progress: F,
}

impl<F: FnMut(&Scenario)> Shrinker<F> {
    fn violates(&self, scenario: &Scenario) -> bool {
        run_scenario(scenario, Trace::Off)
            .violations
            .iter()
            .any(|violation| violation.rule == self.rule)
    }

    /// Accepts a candidate if it still violates the rule; returns whether it was accepted.
    fn accept(&mut self, candidate: Scenario) -> bool {
        if !self.violates(&candidate) {
            return false;
        }
        self.smallest = candidate;
        (self.on_progress)(&self.smallest);
        true
    }

    fn remove_entries<T>(&mut self, list: fn(&mut Scenario) -> &mut Vec<T>) {
        let mut index = 0;
        while index < list(&mut self.smallest).len() {
            let mut candidate = self.smallest.clone();
            list(&mut candidate).remove(index);
            if !self.accept(candidate) {
                index += 1;
            }
        }
    }

    fn simplify(&mut self, simplification: Simplification) {
        for _ in 0..MAX_REPEATS {
            let mut candidate = self.smallest.clone();
            simplification(&mut candidate);
            let rate_too_low = candidate.loads.iter().any(|load| load.rate < MIN_RATE);
            if candidate == self.smallest || rate_too_low || !self.accept(candidate) {
                return;
            }
        }
    }
}

fn halve_misbehaving_clients(scenario: &mut Scenario) {
    for client in &mut scenario.misbehaving_clients {
        client.count = client.count.div_ceil(2);
    }
}

fn halve_rates(scenario: &mut Scenario) {
    for load in &mut scenario.loads {
        load.rate = (load.rate * 5.0).round() / 10.0;
    }
}

fn drop_retries_and_disconnects(scenario: &mut Scenario) {
    for load in &mut scenario.loads {
        load.retries = 0;
        load.disconnect_share = 0.0;
    }
}

/// Drops the last worker unless a fault targets it.
fn drop_one_worker(scenario: &mut Scenario) {
    let needed = scenario
        .faults
        .iter()
        .filter(|fault| fault.kind.targets_worker())
        .map(|fault| fault.target + 1)
        .max()
        .unwrap_or(0)
        .max(1);
    let fewer = scenario.workers.len() - 1;
    scenario.workers.truncate(fewer.max(needed));
}

/// Drops the last dispatcher unless a fault or a client targets it.
fn drop_one_dispatcher(scenario: &mut Scenario) {
    let faults = scenario
        .faults
        .iter()
        .filter(|fault| !fault.kind.targets_worker())
        .map(|fault| fault.target);
    let misbehaving = scenario.misbehaving_clients.iter();
    let requests = scenario.requests.iter();
    let clients = misbehaving
        .map(|client| client.dispatcher)
        .chain(requests.map(|request| request.dispatcher));
    let needed = faults.chain(clients).max().unwrap_or(0) + 1;
    scenario.dispatchers = (scenario.dispatchers - 1).max(needed);
}
