//! Result of a run under pressure.
use super::attack::{Departure, Record};
use super::client::Outcome;
use super::worker::Execution;
use serde::Serialize;
use std::collections::HashMap;
use std::time::Duration;

/// Time after a client's close from which no attempt may begin: the operators' 0.1 s and the slack of 50 ms on sockets.
const SEND_AFTER_CLOSE_LIMIT: Duration = Duration::from_millis(150);

/// Counts of one run.
#[derive(Debug, Default, Serialize)]
pub struct PressureReport {
    /// Highest resident memory of the dispatcher, in bytes.
    pub peak_memory_bytes: u64,
    /// Whether the dispatcher's process has ended.
    pub has_crashed: bool,
    /// Requests of regular clients.
    pub regular_requests: usize,
    /// Those with a result in time.
    pub succeeded: usize,
    /// Those rejected in time.
    pub rejected: usize,
    /// Those answered as failed in time.
    pub failed: usize,
    /// Those answered up to half a second after their deadline.
    pub late: usize,
    /// Those answered later or never.
    pub lost: usize,
    /// Requests that misbehaving clients wrote to their last byte.
    pub misbehaving_requests: usize,
    /// Attempts that reached a worker more than 0.15 s after their client had closed its connection.
    pub sent_after_close: usize,
    /// Longest time from a close to an attempt of one of its requests, in milliseconds.
    pub latest_after_close_ms: u64,
    /// Ids that ran more than once.
    pub ids_run_twice: usize,
}

impl PressureReport {
    pub(super) fn new(
        peak_memory_bytes: u64,
        has_crashed: bool,
        outcomes: &[Outcome],
        misbehaving: &Record,
        executions: Vec<Execution>,
    ) -> PressureReport {
        let count = |outcome| outcomes.iter().filter(|each| **each == outcome).count();
        let delays = delays_after_close(&misbehaving.departures, &executions);
        PressureReport {
            peak_memory_bytes,
            has_crashed,
            regular_requests: outcomes.len(),
            succeeded: count(Outcome::Succeeded),
            rejected: count(Outcome::Rejected),
            failed: count(Outcome::Failed),
            late: count(Outcome::Late),
            lost: count(Outcome::Lost),
            misbehaving_requests: misbehaving.requests,
            sent_after_close: delays
                .iter()
                .filter(|delay| **delay > SEND_AFTER_CLOSE_LIMIT)
                .count(),
            latest_after_close_ms: delays
                .iter()
                .max()
                .map_or(0, |delay| delay.as_millis() as u64),
            ids_run_twice: ids_run_twice(&executions),
        }
    }
}

impl PressureReport {
    /// Returns what must not happen whatever misbehaving clients do, with a memory limit in MB.
    pub fn violations(&self, memory_mb: u64) -> Vec<String> {
        let limit = memory_mb * 1024 * 1024;
        let checks = [
            (self.has_crashed, "the dispatcher has ended".to_string()),
            (
                self.peak_memory_bytes > limit,
                format!("peak memory of {} bytes", self.peak_memory_bytes),
            ),
            (
                self.late + self.lost > 0,
                format!("{} late and {} lost requests", self.late, self.lost),
            ),
            (
                self.sent_after_close > 0,
                format!("{} attempts after a close", self.sent_after_close),
            ),
            (
                self.ids_run_twice > 0,
                format!("{} ids ran twice", self.ids_run_twice),
            ),
        ];
        let violated = checks.into_iter().filter(|(is_violated, _)| *is_violated);
        violated.map(|(_, text)| text).collect()
    }
}

/// Returns the time from each departure to the attempts of its requests that arrived later.
fn delays_after_close(departures: &[Departure], executions: &[Execution]) -> Vec<Duration> {
    let departures: HashMap<&str, &Departure> = departures
        .iter()
        .map(|departure| (departure.id_prefix.as_str(), departure))
        .collect();
    let delay = |execution: &Execution| {
        let (id_prefix, _) = execution.id.rsplit_once('-')?;
        let departure = departures.get(id_prefix)?;
        let delay = execution.at.checked_sub(departure.at)?;
        (execution.at < departure.sent_again_at).then_some(delay)
    };
    executions.iter().filter_map(delay).collect()
}

fn ids_run_twice(executions: &[Execution]) -> usize {
    let mut runs: HashMap<&str, u32> = HashMap::new();
    for execution in executions {
        *runs.entry(&execution.id).or_default() += 1;
    }
    runs.values().filter(|count| **count > 1).count()
}
