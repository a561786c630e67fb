//! Mutation testing of the checker: searches for a simulation that detects a given mutation of the
//! dispatcher.
use crate::checker::Rule;
use crate::explore::scenario_for_seed;
use crate::simulation::{Trace, run_scenario};
use rosewall::mutation::{DISPATCHER, Mutation, activate};
use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};

/// Result of the search for one mutation. Other programs read the keys of the JSON form.
#[derive(Clone, Debug, Serialize)]
pub struct MutationResult {
    /// Name of the mutation.
    #[serde(rename = "fault")]
    pub mutation: String,
    /// Number of simulations until the mutation was detected; none if it was not.
    #[serde(rename = "worlds")]
    pub simulations: Option<u64>,
    /// Rule violated first; none if the mutation was not detected.
    pub rule: Option<Rule>,
    /// Description of the violation; empty if the mutation was not detected.
    #[serde(rename = "what")]
    pub text: String,
}

/// Runs seeds from `first` on until the mutation is detected: at most `limit` simulations, on
/// `jobs` threads.
pub fn find(mutation: Mutation, first: u64, limit: u64, jobs: usize) -> MutationResult {
    let name = format!("{mutation:?}");
    let Some(seed) = lowest_violating_seed(mutation, first, limit, jobs) else {
        return MutationResult {
            mutation: name,
            simulations: None,
            rule: None,
            text: String::new(),
        };
    };
    activate(Some(mutation));
    let violations = run_scenario(&scenario_for_seed(seed, None), Trace::Off).violations;
    activate(None);
    let violation = violations.first();
    MutationResult {
        mutation: name,
        simulations: Some(seed - first + 1),
        rule: violation.map(|violation| violation.rule),
        text: violation
            .map(|violation| violation.text.clone())
            .unwrap_or_default(),
    }
}

fn lowest_violating_seed(mutation: Mutation, first: u64, limit: u64, jobs: usize) -> Option<u64> {
    let next = AtomicU64::new(first);
    let lowest = AtomicU64::new(u64::MAX);
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                activate(Some(mutation));
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    // Another thread may still be running a lower seed. The lowest one is reported,
                    // so that the result does not depend on the number of threads.
                    if seed >= first + limit || seed >= lowest.load(Ordering::Relaxed) {
                        return;
                    }
                    if !run_scenario(&scenario_for_seed(seed, None), Trace::Off)
                        .violations
                        .is_empty()
                    {
                        lowest.fetch_min(seed, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    Some(lowest.into_inner()).filter(|seed| *seed != u64::MAX)
}

/// Returns all mutations of the dispatcher.
pub fn all() -> &'static [Mutation] {
    DISPATCHER
}
