//! Helpers shared by the tests.
use rosewall_simulation::checker::RequestCounts;
use rosewall_simulation::explore::scenario_for_seed;
use rosewall_simulation::scenario::read;
use rosewall_simulation::simulation::{Trace, run_scenario};
use std::ops::Range;

/// Runs a planned scenario under each seed, asserts that no rule is violated, and returns the
/// request counts.
pub fn run_without_violations(text: &str, seeds: Range<u64>) -> Vec<RequestCounts> {
    let planned = read(text).unwrap();
    seeds
        .map(|seed| {
            let report = run_scenario(&scenario_for_seed(seed, Some(&planned)), Trace::Off);
            assert_eq!(report.violations, Vec::new(), "seed {seed}");
            report.counts
        })
        .collect()
}
