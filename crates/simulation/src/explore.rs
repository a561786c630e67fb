//! Runs many simulations in parallel and sums their results.
use crate::checker::Rule;
use crate::generate::{generate, with_demanding_clients, with_discovery_outages, with_send_delays};
use crate::hex_digest;
use crate::scenario::Scenario;
use crate::simulation::{Report, Trace, run_scenario};
use serde::{Serialize, Serializer};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;

/// Totals over all simulations of an exploration. Other programs read the keys of the JSON form.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Number of simulations run.
    #[serde(rename = "worlds")]
    pub simulations: u64,
    /// Number of simulation steps; events of the same instant may share a step.
    pub steps: u64,
    /// Number of requests that clients created.
    #[serde(rename = "txns")]
    pub requests: u64,
    /// Number of attempts that reached a worker.
    #[serde(rename = "postings")]
    pub attempts: u64,
    /// Number of requests that succeeded.
    #[serde(rename = "settled")]
    pub succeeded: u64,
    /// Virtual time in seconds.
    pub virtual_s: f64,
    /// Worker processes overloaded while warming up, as in [`RequestCounts::overloaded_workers`].
    ///
    /// [`RequestCounts::overloaded_workers`]: crate::checker::RequestCounts::overloaded_workers
    #[serde(rename = "fell_by_root")]
    pub overloaded_workers: u64,
    /// Number of simulations with at least one violation.
    pub violations: u64,
    /// Digest of all timelines, independent of the order in which the simulations ran.
    #[serde(serialize_with = "hex_digest")]
    pub digest: u64,
    /// Violated rules.
    #[serde(rename = "broken")]
    pub violated_rules: BTreeMap<Rule, RuleViolations>,
}

/// Violations of one rule, over all simulations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RuleViolations {
    /// Number of simulations that violated the rule.
    pub simulations: u64,
    /// Lowest seed among these simulations.
    pub first_seed: u64,
}

impl Serialize for RuleViolations {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.simulations, self.first_seed).serialize(serializer)
    }
}

impl Summary {
    fn add(&mut self, report: &Report) {
        self.simulations += 1;
        self.steps += report.steps;
        self.requests += report.counts.requests;
        self.attempts += report.counts.attempts;
        self.succeeded += report.counts.succeeded;
        self.virtual_s += report.virtual_s;
        self.overloaded_workers += report.counts.overloaded_workers;
        self.violations += u64::from(!report.violations.is_empty());
        // A sum does not depend on the order. Mixing in the seed detects two simulations that
        // swapped results.
        let mixed =
            (report.digest ^ report.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)).rotate_left(17);
        self.digest = self
            .digest
            .wrapping_add(mixed.wrapping_mul(0xd1b5_4a32_d192_ed03));
        let mut rules: Vec<Rule> = report
            .violations
            .iter()
            .map(|violation| violation.rule)
            .collect();
        rules.sort_unstable();
        rules.dedup();
        for rule in rules {
            let rule_violations = self.violated_rules.entry(rule).or_insert(RuleViolations {
                simulations: 0,
                first_seed: report.seed,
            });
            rule_violations.simulations += 1;
            rule_violations.first_seed = rule_violations.first_seed.min(report.seed);
        }
    }
}

/// Number of kinds of generated scenarios, which take turns by seed.
const SCENARIO_KINDS: u64 = 4;

/// Returns the scenario of a seed: `base` under that seed, or a generated one if there is no base.
pub fn scenario_for_seed(seed: u64, base: Option<&Scenario>) -> Scenario {
    match base {
        Some(base) => Scenario {
            seed,
            ..base.clone()
        },
        None => match seed % SCENARIO_KINDS {
            0 => with_send_delays(generate(seed)),
            1 => with_discovery_outages(generate(seed)),
            2 => with_demanding_clients(generate(seed)),
            _ => generate(seed),
        },
    }
}

/// Returns the scenario of a seed with at least this many dispatchers. Total load and faults do not
/// change.
pub fn scenario_with_dispatchers(
    seed: u64,
    base: Option<&Scenario>,
    dispatchers: Option<usize>,
) -> Scenario {
    let scenario = scenario_for_seed(seed, base);
    Scenario {
        dispatchers: scenario.dispatchers.max(dispatchers.unwrap_or_default()),
        ..scenario
    }
}

/// Runs the simulations of these seeds on `jobs` threads. `on_report` is called with each report,
/// in no particular order.
pub fn explore(
    seeds: Range<u64>,
    jobs: usize,
    base: Option<&Scenario>,
    on_report: impl FnMut(&Report),
) -> Summary {
    explore_with(seeds, jobs, |seed| scenario_for_seed(seed, base), on_report)
}

/// Like [`explore`], with `make` building the scenario of each seed.
pub fn explore_with(
    seeds: Range<u64>,
    jobs: usize,
    make: impl Fn(u64) -> Scenario + Sync,
    mut on_report: impl FnMut(&Report),
) -> Summary {
    let next = AtomicU64::new(seeds.start);
    let mut summary = Summary::default();
    let (sender, receiver) = mpsc::channel();
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            let (sender, next, seeds, make) = (sender.clone(), &next, &seeds, &make);
            scope.spawn(move || {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if !seeds.contains(&seed)
                        || sender.send(run_scenario(&make(seed), Trace::Off)).is_err()
                    {
                        return;
                    }
                }
            });
        }
        drop(sender);
        for report in receiver {
            summary.add(&report);
            on_report(&report);
        }
    });
    summary
}
