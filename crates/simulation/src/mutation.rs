//! Mutation testing of the checker: for each mutation of the dispatcher, a simulation is sought that finds it.
use crate::checker::Rule;
use crate::generate::generate;
use crate::simulation::{Trace, run_scenario};
use rosewall::mutation::{DISPATCHER, Mutation, activate};
use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};

/// Whether a mutation was found, and how. The keys of its JSON form are read by other programs.
#[derive(Clone, Debug, Serialize)]
pub struct MutationResult {
    /// The name of the mutation.
    #[serde(rename = "fault")]
    pub mutation: String,
    /// How many simulations it took, if it was found.
    #[serde(rename = "worlds")]
    pub simulations: Option<u64>,
    /// The rule that was violated.
    pub rule: Option<Rule>,
    /// What happened.
    #[serde(rename = "what")]
    pub text: String,
}

/// Plays seeds from `first` on until the mutation is found, at most `limit` simulations on `jobs` threads.
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
    let violations = run_scenario(&generate(seed), Trace::Off).violations;
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
                    // Another thread may still play a lower seed: the lowest counts, for any number of jobs.
                    if seed >= first + limit || seed >= lowest.load(Ordering::Relaxed) {
                        return;
                    }
                    if !run_scenario(&generate(seed), Trace::Off)
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

/// All mutations.
pub fn all() -> &'static [Mutation] {
    DISPATCHER
}
