//! Plays many simulations side by side and sums up what they came to.
use crate::checker::Rule;
use crate::generate::generate;
use crate::hex_digest;
use crate::scenario::Scenario;
use crate::simulation::{Report, Trace, play};
use serde::{Serialize, Serializer};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;

/// What all simulations of a run came to. The keys of its JSON form are read by other programs.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// How many simulations were played.
    #[serde(rename = "worlds")]
    pub simulations: u64,
    /// The events of all of them.
    pub steps: u64,
    /// The requests of all of them.
    #[serde(rename = "txns")]
    pub requests: u64,
    /// The attempts of all of them.
    #[serde(rename = "postings")]
    pub attempts: u64,
    /// The requests that succeeded.
    #[serde(rename = "settled")]
    pub succeeded: u64,
    /// The virtual time of all of them, in seconds.
    pub virtual_s: f64,
    /// Warming processes that were overloaded by the operators' measure.
    #[serde(rename = "fell_by_root")]
    pub overloaded_workers: u64,
    /// Simulations with a violation.
    pub violations: u64,
    /// The same whatever the order in which the simulations were played.
    #[serde(serialize_with = "hex_digest")]
    pub digest: u64,
    /// Which rules were violated.
    #[serde(rename = "broken")]
    pub violated_rules: BTreeMap<Rule, RuleViolations>,
}

/// How often a rule was violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RuleViolations {
    /// In how many simulations.
    pub simulations: u64,
    /// The lowest seed of them.
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
        // A sum, so that the order does not matter; mixed with the seed, so that two simulations cannot change places.
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

/// The scenario of a seed: generated, or `base` under that seed.
pub fn scenario_for_seed(seed: u64, base: Option<&Scenario>) -> Scenario {
    match base {
        Some(base) => Scenario {
            seed,
            ..base.clone()
        },
        None => generate(seed),
    }
}

/// The scenario of a seed with at least so many dispatchers, to which the same load comes. Its faults stay as they are.
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

/// Plays the simulations of these seeds on `jobs` threads; `on_report` sees each report as it comes, in no certain order.
pub fn explore(
    seeds: Range<u64>,
    jobs: usize,
    base: Option<&Scenario>,
    on_report: impl FnMut(&Report),
) -> Summary {
    explore_with(seeds, jobs, |seed| scenario_for_seed(seed, base), on_report)
}

/// As [`explore`], where `make` makes each seed's scenario.
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
                    if !seeds.contains(&seed) || sender.send(play(&make(seed), Trace::Off)).is_err()
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
