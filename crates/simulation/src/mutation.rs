//! Faults planted in the program on purpose. A judge that finds none of them is no judge.
use crate::draw::draw;
use crate::judge::Rule;
use crate::world::play;
use rosewall::mutation::{ALL, Mutation, activate};
use serde::Serialize;
use std::sync::atomic::{AtomicU64, Ordering};

#[derive(Clone, Debug, Serialize)]
pub struct Found {
    pub fault: String,
    /// How many worlds it took, if it was found.
    pub worlds: Option<u64>,
    pub rule: Option<Rule>,
    pub what: String,
}

/// Plays seeds from the first one on until the fault is found, `most` worlds at the most.
pub fn find(fault: Mutation, first: u64, most: u64, jobs: usize) -> Found {
    let (next, best) = (AtomicU64::new(first), AtomicU64::new(u64::MAX));
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                activate(Some(fault));
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    // A lower seed may still be under way elsewhere: the lowest counts, for any number of jobs.
                    if seed >= first + most || seed >= best.load(Ordering::Relaxed) {
                        return;
                    }
                    if !play(&draw(seed), false).violations.is_empty() {
                        best.fetch_min(seed, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    let seed = best.into_inner();
    if seed == u64::MAX {
        return Found {
            fault: format!("{fault:?}"),
            worlds: None,
            rule: None,
            what: String::new(),
        };
    }
    activate(Some(fault));
    let violations = play(&draw(seed), false).violations;
    activate(None);
    let (rule, what) = violations
        .first()
        .map(|one| (one.rule, one.what.clone()))
        .unzip();
    let what = what.unwrap_or_default();
    Found {
        fault: format!("{fault:?}"),
        worlds: Some(seed - first + 1),
        rule,
        what,
    }
}

/// Each fault in turn.
pub fn all() -> &'static [Mutation] {
    ALL
}
