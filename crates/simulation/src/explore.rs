//! Many worlds: played side by side, counted, and cut down to what matters where one breaks a rule.
use crate::draw::draw;
use crate::judge::Rule;
use crate::scenario::Scenario;
use crate::world::{Report, play};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;

/// What all worlds of a run came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Sum {
    pub worlds: u64,
    pub steps: u64,
    pub txns: u64,
    pub postings: u64,
    pub settled: u64,
    pub virtual_s: f64,
    /// Cold processes that fell by the operators' measure.
    pub fell_by_root: u64,
    /// Worlds with a violation.
    pub violations: u64,
    /// The same whatever the order in which the worlds were played.
    #[serde(serialize_with = "hex")]
    pub digest: u64,
    /// Of each rule, how many worlds broke it, and the first seed that did.
    pub broken: BTreeMap<Rule, (u64, u64)>,
}

fn hex<S: serde::Serializer>(digest: &u64, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(&format!("{digest:016x}"))
}

impl Sum {
    fn add(&mut self, report: &Report) {
        self.worlds += 1;
        self.steps += report.steps;
        self.txns += report.tally.txns;
        self.postings += report.tally.postings;
        self.settled += report.tally.settled;
        self.virtual_s += report.virtual_s;
        self.fell_by_root += report.tally.fell_by_root;
        self.violations += u64::from(!report.violations.is_empty());
        // Added up, so that the order does not matter; mixed with the seed, so that two cannot change places.
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
            let (count, first) = self.broken.entry(rule).or_insert((0, report.seed));
            (*count, *first) = (*count + 1, report.seed.min(*first));
        }
    }
}

/// The scenario of a seed: drawn, or a given one under that seed.
pub fn scenario(seed: u64, given: Option<&Scenario>) -> Scenario {
    match given {
        Some(given) => Scenario {
            seed,
            ..given.clone()
        },
        None => draw(seed),
    }
}

/// Plays the worlds of these seeds, so many side by side; each report is seen as it comes, in no certain order.
pub fn explore(
    seeds: std::ops::Range<u64>,
    jobs: usize,
    given: Option<&Scenario>,
    seen: impl FnMut(&Report),
) -> Sum {
    explore_by(seeds, jobs, |seed| scenario(seed, given), seen)
}

/// The scenario of a seed with so many dispatchers, to whom the same load comes: what cold workers get from large fleets.
pub fn among(seed: u64, given: Option<&Scenario>, dispatchers: Option<usize>) -> Scenario {
    let whole = scenario(seed, given);
    // No fault is lost: those drawn are fewer.
    Scenario {
        dispatchers: dispatchers.map_or(whole.dispatchers, |count| count.max(whole.dispatchers)),
        ..whole
    }
}

/// The same, where each seed's scenario is made by the caller.
pub fn explore_by(
    seeds: std::ops::Range<u64>,
    jobs: usize,
    make: impl Fn(u64) -> Scenario + Sync,
    mut seen: impl FnMut(&Report),
) -> Sum {
    let (next, mut sum) = (AtomicU64::new(seeds.start), Sum::default());
    let (tell, told) = mpsc::channel();
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            let (tell, next, seeds, make) = (tell.clone(), &next, &seeds, &make);
            scope.spawn(move || {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if !seeds.contains(&seed) || tell.send(play(&make(seed), false)).is_err() {
                        return;
                    }
                }
            });
        }
        drop(tell);
        for report in told {
            sum.add(&report);
            seen(&report);
        }
    });
    sum
}

/// Drops what is not needed for the violation: the same rule is still broken in what is left.
pub fn shrink(scenario: &Scenario, rule: Rule, mut seen: impl FnMut(&Scenario)) -> Scenario {
    let breaks = |scenario: &Scenario| {
        play(scenario, false)
            .violations
            .iter()
            .any(|one| one.rule == rule)
    };
    let mut least = scenario.clone();
    loop {
        let before = least.clone();
        macro_rules! without {
            ($($list:ident)*) => {$(
                let mut at = 0;
                while at < least.$list.len() {
                    let mut less = least.clone();
                    less.$list.remove(at);
                    if breaks(&less) {
                        least = less;
                        seen(&least);
                    } else {
                        at += 1;
                    }
                }
            )*};
        }
        without!(fault bad txn load);
        // Then smaller: fewer of each, shorter, calmer.
        type Change = fn(&mut Scenario);
        let changes: [Change; 8] = [
            |s| {
                s.bad
                    .iter_mut()
                    .for_each(|bad| bad.count = bad.count.div_ceil(2))
            },
            |s| {
                s.load
                    .iter_mut()
                    .for_each(|load| load.rate = (load.rate * 5.0).round() / 10.0)
            },
            |s| {
                s.load
                    .iter_mut()
                    .for_each(|load| (load.retries, load.leave) = (0, 0.0))
            },
            |s| s.length_ms = (s.length_ms * 3 / 4).max(100),
            |s| s.net.split = 0.0,
            |s| s.net.harsh = false,
            |s| {
                let used = s
                    .fault
                    .iter()
                    .filter(|fault| fault.kind.at_worker())
                    .map(|fault| fault.target + 1);
                let needed = used.max().unwrap_or(0).max(1);
                s.worker.truncate((s.worker.len() - 1).max(needed));
            },
            |s| {
                let faults = s
                    .fault
                    .iter()
                    .filter(|fault| !fault.kind.at_worker())
                    .map(|fault| fault.target);
                let clients = s
                    .bad
                    .iter()
                    .map(|bad| bad.dispatcher)
                    .chain(s.txn.iter().map(|txn| txn.dispatcher));
                let needed = faults.chain(clients).max().unwrap_or(0) + 1;
                s.dispatchers = (s.dispatchers - 1).max(needed);
            },
        ];
        for change in changes {
            for _ in 0..6 {
                let mut less = least.clone();
                change(&mut less);
                if less == least || less.load.iter().any(|load| load.rate < 0.1) || !breaks(&less) {
                    break;
                }
                least = less;
                seen(&least);
            }
        }
        if least == before {
            least.name = format!("shrunk from seed {}, breaks {rule:?}", scenario.seed);
            return least;
        }
    }
}
