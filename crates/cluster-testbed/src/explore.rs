//! Runs the drawn scenarios of many seeds side by side.
use crate::Outcome;
use crate::output::print_report;
use rosewall_cluster_testbed::error::TestbedError;
use rosewall_cluster_testbed::scenario::Scenario;
use rosewall_cluster_testbed::testbed::{Report, run_scenario};
use std::io::IsTerminal;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// What came of the scenarios that have ended.
#[derive(Default)]
struct Totals {
    with_violations: u64,
    error: Option<TestbedError>,
}

/// The scenarios of consecutive seeds.
pub struct Exploration {
    count: u64,
    end_seed: u64,
    next_seed: AtomicU64,
    ended: AtomicU64,
    totals: Mutex<Totals>,
    json: bool,
}

impl Exploration {
    /// The scenarios of `count` seeds from the first on.
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

    /// Runs all of them in this many threads.
    pub fn run(self, jobs: usize) -> Result<Outcome, TestbedError> {
        // Processes end with the thread that started them, which lasts as long as its scenarios.
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
            "{} played, {} broke a rule",
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
            let result = run_scenario(&Scenario::drawn(seed), None);
            if self.record(result).is_none() {
                return;
            }
        }
    }

    /// Counts a result and shows it; `None` where another thread has panicked.
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
                "\r{ended} of {}, {} broke a rule ",
                self.count, totals.with_violations
            );
        }
        Some(())
    }
}
