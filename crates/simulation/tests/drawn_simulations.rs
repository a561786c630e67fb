//! Simulations whose scenarios are generated from seeds violate no rule and are reproducible.
use rosewall_simulation::checker::Rule;
use rosewall_simulation::explore::{
    explore, explore_with, scenario_for_seed, scenario_with_dispatchers,
};
use rosewall_simulation::simulation::{Trace, run_scenario};
use test_case::test_case;

fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, std::num::NonZero::get)
}

#[test]
fn five_hundred_generated_simulations_violate_no_rule() {
    let mut violating = Vec::new();

    let summary = explore(0..500, cores(), None, |report| {
        if !report.violations.is_empty() {
            violating.push((report.seed, report.violations.clone()));
        }
    });

    assert_eq!((summary.simulations, violating), (500, Vec::new()));
    // Guards against simulations without requests or successes, which would violate no rule either.
    assert!(
        summary.requests > 200_000 && summary.succeeded > summary.requests / 2,
        "{summary:?}"
    );
}

#[test]
fn a_seed_gives_the_same_simulation_on_any_number_of_threads() {
    let alone = explore(0..16, 1, None, |_| ());
    let together = explore(0..16, 5, None, |_| ());
    let other_seeds = explore(1..17, 5, None, |_| ());

    assert_eq!(
        (alone.digest, alone.steps),
        (together.digest, together.steps)
    );
    assert_ne!(alone.digest, other_seeds.digest);
}

#[test]
fn a_timeline_is_the_same_with_and_without_a_trace() {
    let scenario = scenario_for_seed(7, None);

    let traced = run_scenario(&scenario, Trace::On);
    let untraced = run_scenario(&scenario, Trace::Off);

    assert_eq!(
        (traced.digest, traced.trace.is_empty()),
        (untraced.digest, false)
    );
}

/// Guards against an overestimate of the slots of a worker type, which sent a warming worker twice
/// its budget. The case names say which input caused the overestimate. Found among 30,000 seeds.
#[test_case(9_890; "starts of requests that never ended")]
#[test_case(1_005_010; "starts reported before the ends that preceded them")]
#[test_case(1_015_281; "starts reported before preceding ends, with workers of different sizes")]
fn overestimated_slots_overload_no_warming_worker(seed: u64) {
    let report = run_scenario(&scenario_for_seed(seed, None), Trace::Off);

    assert_eq!(report.violations, Vec::new());
}

/// Guards against an overload of a warming worker that is smaller than the others of its type. Of
/// eight workers with the same listed size, the warming one has the capacity of 1.6 slots and most
/// others of 2.8 to 4, while budgets follow the lower quartile of the type. Found among 20,000
/// seeds.
#[test]
fn a_warming_worker_with_less_capacity_than_its_type_is_not_overloaded() {
    let report = run_scenario(&scenario_for_seed(1_006_095, None), Trace::Off);

    assert_eq!(report.violations, Vec::new());
}

/// A warming worker may get N requests, plus 2 * sqrt(N) + 2 for random arrivals (the operators'
/// measure), also when thirty dispatchers send to it, each within its own part of the budget.
#[test_case(20)]
#[test_case(30)]
fn warming_workers_are_not_overloaded_by_many_dispatchers(dispatchers: usize) {
    let make = |seed| scenario_with_dispatchers(seed, None, Some(dispatchers));

    let summary = explore_with(0..150, cores(), make, |_| ());

    assert_eq!(
        (
            summary.simulations,
            summary.overloaded_workers,
            summary.violated_rules.get(&Rule::SlowStart)
        ),
        (150, 0, None)
    );
    assert!(summary.succeeded > summary.requests / 2, "{summary:?}");
}
