//! Totals over the logs of a fleet, and their output as tables.
#[cfg(test)]
mod tests;

use crate::line::{Answer, LogEvent, LogLine, UnixNanos};
use crate::second_counts::SecondCounts;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

const NANOS_PER_SECOND: UnixNanos = 1_000_000_000;

/// Totals and start time of one worker.
#[derive(Default)]
struct Worker {
    attempts: u64,
    /// Indices of the logs whose dispatchers sent these attempts.
    dispatchers: BTreeSet<usize>,
    /// Start of the worker's process; 0 if it started long ago.
    started_at: UnixNanos,
}

/// Totals over the debug logs of many dispatchers. Displays as one table by second and one by
/// worker.
#[derive(Default)]
pub struct Statistics {
    warm_up_nanos: UnixNanos,
    log_count: usize,
    workers: BTreeMap<String, Worker>,
    /// Counts by second of Unix time.
    seconds: BTreeMap<u64, SecondCounts>,
}

impl Statistics {
    /// Creates empty totals. A worker counts as warming up for `warm_up` after its start.
    pub fn new(warm_up: Duration) -> Self {
        Statistics {
            warm_up_nanos: u64::try_from(warm_up.as_nanos()).unwrap_or(u64::MAX),
            ..Statistics::default()
        }
    }

    /// Adds the log of one dispatcher. Ignores lines of other kinds and an incomplete last line.
    pub fn add_log(&mut self, log: &str) {
        let mut attempts_by_request: FxHashMap<&str, u32> = FxHashMap::default();
        for line in log.lines().filter_map(LogLine::parse) {
            self.add_line(line, &mut attempts_by_request);
        }
        self.log_count += 1;
    }

    fn add_line<'a>(
        &mut self,
        line: LogLine<'a>,
        attempts_by_request: &mut FxHashMap<&'a str, u32>,
    ) {
        let LogLine { at, event } = line;
        match event {
            LogEvent::EndpointListed { host, started_at } => {
                self.worker(host).started_at = started_at;
            }
            LogEvent::RequestArrived { request } => {
                // Request numbers start over after a restart of the dispatcher.
                attempts_by_request.insert(request, 0);
                self.second(at).arrived += 1;
            }
            LogEvent::RequestAnswered { request, answer } => {
                let unattempted = attempts_by_request.get(request) == Some(&0);
                let counts = self.second(at);
                counts.count_answer(answer);
                if answer == Answer::Rejected && unattempted {
                    counts.unattempted += 1;
                }
            }
            LogEvent::AttemptSent { request, host } => {
                *attempts_by_request.entry(request).or_default() += 1;
                self.add_attempt(at, host);
            }
            LogEvent::AttemptEnded { outcome } => self.second(at).count_outcome(outcome),
        }
    }

    fn add_attempt(&mut self, at: UnixNanos, host: &str) {
        let dispatcher = self.log_count;
        let warm_up = self.warm_up_nanos;
        let worker = self.worker(host);
        worker.attempts += 1;
        worker.dispatchers.insert(dispatcher);
        let is_warming_up = worker.started_at > 0 && at < worker.started_at.saturating_add(warm_up);
        let counts = self.second(at);
        if is_warming_up {
            counts.to_cold += 1;
        } else {
            counts.to_warm += 1;
        }
    }

    fn worker(&mut self, host: &str) -> &mut Worker {
        self.workers.entry(host.to_string()).or_default()
    }

    fn second(&mut self, at: UnixNanos) -> &mut SecondCounts {
        self.seconds.entry(at / NANOS_PER_SECOND).or_default()
    }

    fn write_seconds(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "second")?;
        for (name, _) in SecondCounts::default().columns() {
            write!(f, " {name:>8}")?;
        }
        writeln!(f)?;
        let first = self.seconds.keys().next().copied().unwrap_or(0);
        for (second, counts) in &self.seconds {
            write!(f, "{:>6}", second - first)?;
            for (name, count) in counts.columns() {
                write!(f, " {count:>width$}", width = name.len().max(8))?;
            }
            writeln!(f)?;
        }
        Ok(())
    }

    fn write_workers(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let total: u64 = self.workers.values().map(|worker| worker.attempts).sum();
        writeln!(
            f,
            "{} logs, {} workers, {total} attempts; worker, attempts, part, dispatchers:",
            self.log_count,
            self.workers.len()
        )?;
        let mut workers: Vec<_> = self.workers.iter().collect();
        workers.sort_by_key(|(host, worker)| (Reverse(worker.attempts), *host));
        for (host, worker) in workers {
            let percent = worker.attempts as f64 / total.max(1) as f64 * 100.0;
            let dispatchers = worker.dispatchers.len();
            writeln!(f, "{host} {} {percent:.1}% {dispatchers}", worker.attempts)?;
        }
        Ok(())
    }
}

impl fmt::Display for Statistics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_seconds(f)?;
        self.write_workers(f)
    }
}
