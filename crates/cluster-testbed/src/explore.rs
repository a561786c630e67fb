//! Runs the generated scenarios of many seeds in parallel.
use crate::Outcome;
use crate::output::print_report;
use rosewall_cluster_testbed::error::TestbedError;
use rosewall_cluster_testbed::scenario::Scenario;
use rosewall_cluster_testbed::testbed::{Report, run_scenario};
use std::io::IsTerminal;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Totals over the scenarios that have ended.
#[derive(Default)]
struct Totals {
    with_violations: u64,
    error: Option<TestbedError>,
}

/// A run of the generated scenarios of consecutive seeds.
pub struct Exploration {
    count: u64,
    end_seed: u64,
    next_seed: AtomicU64,
    ended: AtomicU64,
    totals: Mutex<Totals>,
    json: bool,
}

impl Exploration {
    /// Prepares the scenarios of `count` seeds from `first_seed` on.
    pub fn new(first_seed: u64, count: u64, json: bool) -> Self {
        Exploration {
            count,
            end_seed: first_seed + count,
            next_seed: AtomicU64::new(first_seed),
            ended: AtomicU64::new(0),
            totals: Mutex::default(),
            json,
        }
    }

    /// Runs all scenarios in `jobs` threads, at least one.
    pub fn run(self, jobs: usize) -> Result<Outcome, TestbedError> {
        // A process is killed when the thread that started it ends, so each thread runs its scenarios to their end.
        thread::scope(|scope| {
            for _ in 0..jobs.max(1) {
                scope.spawn(|| self.run_remaining());
            }
        });
        let totals = self.totals.into_inner().unwrap_or_default();
        if let Some(error) = totals.error {
            return Err(error);
        }
        eprintln!(
            "{} scenarios run, {} violated a rule",
            self.count, totals.with_violations
        );
        Ok((totals.with_violations == 0).into())
    }

    fn run_remaining(&self) {
        loop {
            let seed = self.next_seed.fetch_add(1, Ordering::SeqCst);
            if seed >= self.end_seed {
                return;
            }
            let result = run_scenario(&Scenario::generate(seed), None);
            if self.record(result).is_none() {
                return;
            }
        }
    }

    /// Counts a result and prints it; `None` if another thread has panicked.
    fn record(&self, result: Result<Report, TestbedError>) -> Option<()> {
        let ended = self.ended.fetch_add(1, Ordering::SeqCst) + 1;
        let mut totals = self.totals.lock().ok()?;
        match result {
            Ok(report) => {
                let passed = report.violations.is_empty();
                totals.with_violations += u64::from(!passed);
                if self.json || !passed {
                    print_report(&report, self.json);
                }
            }
            Err(error) => totals.error = Some(error),
        }
        if std::io::stderr().is_terminal() {
            eprint!(
                "\r{ended} of {}, {} violated a rule ",
                self.count, totals.with_violations
            );
        }
        Some(())
    }
}
