//! What is run: sizes, latencies, load and faults, as the command takes them.
mod fault;

pub use fault::{Fault, FaultKind};

use super::command::ArgumentError;
use super::topology::{Latencies, QUORUM_MEMBERS};
use crate::error::TestbedError;
use clap::{Args, ValueEnum};
use serde::Serialize;
use std::time::Duration;

/// The most processes that may run on this machine at once.
pub const MAX_PROCESSES: usize = 299;
/// The most memory that they may have.
pub const MAX_RESIDENT_BYTES: u64 = 12 << 30;
/// How many simulated dispatchers share a process.
pub const DISPATCHERS_PER_PROCESS: usize = 50;
/// Processes beside dispatchers: workers, discovery and the command itself.
const OTHER_PROCESSES: usize = 3;
/// What a sweep may set.
const PARAMETERS: [&str; 8] = [
    "dispatchers",
    "hollow",
    "fleet",
    "workers",
    "starts",
    "task_s",
    "teams",
    "changes",
];

/// How dispatchers get endpoint lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointLists {
    /// An agent beside each dispatcher knows the list; calls cost nothing.
    #[default]
    Pushed,
    /// Each call costs the service.
    #[serde(rename = "asked")]
    #[value(name = "asked")]
    OnRequest,
}

/// What is run.
#[derive(Args, Clone, Debug, Serialize)]
pub struct Plan {
    /// Real processes of the program; with 7 or more, five of them are control machines (keepers)
    #[arg(long, default_value_t = 8)]
    pub dispatchers: usize,
    /// Hollow dispatchers beside them, without clients
    #[arg(long = "hollow", value_name = "HOLLOW", default_value_t = 60)]
    #[serde(rename = "hollow")]
    pub simulated_dispatchers: usize,
    /// Hollow workers, all in one process
    #[arg(long, default_value_t = 300)]
    pub workers: usize,
    /// Seats of a worker
    #[arg(long = "seats", value_name = "SEATS", default_value_t = 5)]
    #[serde(rename = "seats")]
    pub slots: usize,
    /// Task starts a second, over all real dispatchers, open loop; 0 for an idle fleet
    #[arg(long, default_value_t = 0.0)]
    pub starts: f64,
    /// How long a task runs in the mean, in seconds; what runs at the beginning is starts times this
    #[arg(long = "task-s", value_name = "TASK_S", default_value_t = 10.2)]
    #[serde(rename = "task_s")]
    pub service_time_s: f64,
    /// Teams, the nth with a part like 1/n
    #[arg(long = "teams", value_name = "TEAMS", default_value_t = 150)]
    #[serde(rename = "teams")]
    pub tenants: usize,
    /// The part of the txns that is of the urgent class
    #[arg(long = "urgent", value_name = "URGENT", default_value_t = 0.05)]
    #[serde(rename = "urgent")]
    pub urgent_share: f64,
    /// Changes of the list a second
    #[arg(long, default_value_t = 0.0)]
    pub changes: f64,
    /// How long is measured
    #[arg(long, default_value_t = 10.0)]
    pub seconds: f64,
    /// Dispatchers do not know each other
    #[arg(long = "apart")]
    #[serde(rename = "apart")]
    pub without_cluster: bool,
    /// Dispatchers tell each other what they have out (`Peers` in the settings)
    #[arg(long = "peers")]
    #[serde(rename = "peers")]
    pub peer_load: bool,
    /// How dispatchers get lists of workers
    #[arg(long = "lists", value_name = "LISTS", value_enum, default_value_t = EndpointLists::Pushed)]
    #[serde(rename = "lists")]
    pub endpoint_lists: EndpointLists,
    /// One way inside a zone, between zones of a region, and between regions, in ms
    #[arg(long, default_value_t = 0.25)]
    pub zone_ms: f64,
    /// One way between zones of a region, in ms
    #[arg(long, default_value_t = 1.0)]
    pub zones_ms: f64,
    /// One way between regions, in ms
    #[arg(long, default_value_t = 40.0)]
    pub regions_ms: f64,
    /// Faults, each with its moment and, by its kind, a figure and a duration.
    #[arg(
        long = "fault",
        value_name = "FAULT",
        help = "KIND@SECOND[:FIGURE[:SECONDS]], again for each; kinds: restart, release, replace, rack, zone, region, cut, keepers, discovery"
    )]
    pub faults: Vec<Fault>,
    /// Starts of processes lie so far apart, in ms
    #[arg(
        long = "starts-apart-ms",
        value_name = "STARTS_APART_MS",
        default_value_t = 15
    )]
    #[serde(rename = "starts_apart_ms")]
    pub start_interval_ms: u64,
    /// The seed of all that is random
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

impl Default for Plan {
    /// The plan of a command without arguments.
    fn default() -> Self {
        #[derive(clap::Parser)]
        struct PlanOnly {
            #[command(flatten)]
            plan: Plan,
        }
        <PlanOnly as clap::Parser>::parse_from(["plan"]).plan
    }
}

/// A number of a plan, and what it may be.
struct Range {
    key: &'static str,
    value: f64,
    min: f64,
    max: f64,
    allowed: &'static str,
}

impl Range {
    fn check(&self) -> Result<(), TestbedError> {
        if (self.min..=self.max).contains(&self.value) {
            return Ok(());
        }
        Err(TestbedError::OutOfRange {
            key: self.key,
            value: self.value.max(0.0) as u64,
            allowed: self.allowed,
        })
    }
}

/// A range from its key, value, least, most and the text for errors.
const fn range(key: &'static str, value: f64, min: f64, max: f64, allowed: &'static str) -> Range {
    Range {
        key,
        value,
        min,
        max,
        allowed,
    }
}

impl Plan {
    /// All dispatchers, real and simulated.
    pub fn all_dispatchers(&self) -> usize {
        self.dispatchers + self.simulated_dispatchers
    }

    /// How many processes it takes.
    pub fn processes(&self) -> usize {
        let simulated = self.simulated_dispatchers.div_ceil(DISPATCHERS_PER_PROCESS);
        self.dispatchers + simulated + OTHER_PROCESSES
    }

    /// The latencies between zones.
    pub fn latencies(&self) -> Latencies {
        let latency = |ms: f64| Duration::from_secs_f64(ms / 1e3);
        Latencies {
            within_zone: latency(self.zone_ms),
            between_zones: latency(self.zones_ms),
            between_regions: latency(self.regions_ms),
        }
    }

    /// How many tasks run as the measured time begins.
    pub fn initial_requests(&self) -> usize {
        (self.starts * self.service_time_s) as usize
    }

    /// The members of the quorum, by their numbers: five, or one where there are too few real dispatchers.
    pub fn quorum_members(&self) -> Vec<usize> {
        let real = QUORUM_MEMBERS
            .into_iter()
            .filter(|number| *number < self.dispatchers);
        let mut members: Vec<usize> = real.collect();
        if members.len() < QUORUM_MEMBERS.len() {
            members.truncate(1);
        }
        members
    }

    /// Checks that it can run here, in bounded time.
    pub fn check(&self) -> Result<(), TestbedError> {
        self.ranges().iter().try_for_each(Range::check)?;
        let processes = self.processes();
        if processes > MAX_PROCESSES {
            return Err(TestbedError::TooLarge {
                quantity: "the number of processes",
                value: processes as u64,
                limit: MAX_PROCESSES as u64,
            });
        }
        Ok(())
    }

    fn ranges(&self) -> [Range; 13] {
        let simulated = self.simulated_dispatchers as f64;
        let latency = |ms| range("a way", ms, 0.0, 2_000.0, "0 to 2000 ms");
        [
            range(
                "dispatchers",
                self.dispatchers as f64,
                1.0,
                280.0,
                "1 to 280",
            ),
            range("hollow", simulated, 0.0, 1_500.0, "0 to 1500"),
            range("workers", self.workers as f64, 1.0, 4_000.0, "1 to 4000"),
            range("seats", self.slots as f64, 1.0, 64.0, "1 to 64"),
            range("starts", self.starts, 0.0, 5_000.0, "0 to 5000 a second"),
            range("task_s", self.service_time_s, 0.001, 60.0, "0.001 to 60"),
            range("teams", self.tenants as f64, 1.0, 10_000.0, "1 to 10000"),
            range("urgent", self.urgent_share, 0.0, 1.0, "0 to 1"),
            range("changes", self.changes, 0.0, 100.0, "0 to 100 a second"),
            range("seconds", self.seconds, 0.5, 600.0, "0.5 to 600"),
            latency(self.zone_ms),
            latency(self.zones_ms),
            latency(self.regions_ms),
        ]
    }

    /// Sets one parameter by its name, for a sweep.
    pub fn set(&mut self, name: &str, value: f64) -> Result<(), ArgumentError> {
        let count = value.max(0.0) as usize;
        match name {
            "dispatchers" => self.dispatchers = count,
            "hollow" => self.simulated_dispatchers = count,
            // As many as may be real, the rest simulated.
            "fleet" => {
                self.dispatchers = count.min(self.dispatchers);
                self.simulated_dispatchers = count - self.dispatchers;
            }
            "workers" => self.workers = count,
            "starts" => self.starts = value,
            "task_s" => self.service_time_s = value,
            "teams" => self.tenants = count,
            "changes" => self.changes = value,
            other => return Err(ArgumentError::unknown_name(other, &PARAMETERS)),
        }
        Ok(())
    }
}
