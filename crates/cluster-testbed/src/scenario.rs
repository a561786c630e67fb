//! Scenarios of the testbed: fleet, load, clock skew, links between dispatchers, and timed faults.
mod fault;
mod generate;

pub use fault::{Fault, FaultKind};

use crate::error::TestbedError;
use crate::relay::LinkConditions;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::time::Duration;

const MAX_DISPATCHERS: usize = 50;
const MAX_WORKERS: usize = 64;
const MAX_SLOTS: usize = 64;
const MAX_CLIENTS: usize = 16;
const MAX_SECONDS: usize = 300;

/// Scenario that the testbed runs. A missing key has the default value.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// Name in reports.
    pub name: String,
    /// Seed of the random numbers of the run.
    pub seed: u64,
    /// Duration in seconds for which clients send requests: above 0, up to 300.
    pub seconds: f64,
    /// Dispatchers and workers.
    pub fleet: Fleet,
    /// Load from the clients.
    pub load: Load,
    /// Slow start of workers that join.
    #[serde(rename = "cold")]
    pub slow_start: SlowStartConfig,
    /// Conditions of the links between dispatchers while no fault changes them.
    #[serde(rename = "datagrams")]
    pub links: LinkConditions,
    /// Faults, in any order.
    #[serde(rename = "fault")]
    pub faults: Vec<Fault>,
}

/// Dispatchers and workers of a scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Number of dispatchers at the start, 1 to 50.
    pub dispatchers: usize,
    /// Number of dispatchers in the settings; 0 for the number at the start.
    #[serde(rename = "says")]
    pub configured_dispatchers: usize,
    /// Whether the dispatchers form a cluster.
    #[serde(rename = "members")]
    pub membership: bool,
    /// Number of quorum members, which are the first dispatchers.
    #[serde(rename = "keepers")]
    pub quorum_members: usize,
    /// Whether dispatchers exchange load reports.
    #[serde(rename = "peers")]
    pub peer_load: bool,
    /// Number of workers at the start, 1 to 64.
    pub workers: usize,
    /// Concurrency slots of each worker, 1 to 64.
    #[serde(rename = "seats")]
    pub slots: usize,
    /// Range in milliseconds over which the wall clocks of dispatchers differ.
    pub skew_ms: u64,
    /// Whether dispatchers poll their endpoint lists; otherwise these are pushed.
    #[serde(rename = "polled", skip_serializing_if = "std::ops::Not::not")]
    pub polls_endpoints: bool,
    /// Time in milliseconds that a connect may take, or `None` for 250.
    pub connect_ms: Option<u64>,
    /// Time in milliseconds after which workers close idle connections, or `None` for 30,000.
    pub idle_ms: Option<u64>,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            dispatchers: 5,
            configured_dispatchers: 0,
            membership: true,
            quorum_members: 3,
            peer_load: false,
            workers: 6,
            slots: 2,
            skew_ms: 0,
            polls_endpoints: false,
            connect_ms: None,
            idle_ms: None,
        }
    }
}

impl Fleet {
    /// Returns the number of dispatchers in the settings.
    pub fn expected_dispatchers(&self) -> usize {
        if self.configured_dispatchers == 0 {
            self.dispatchers
        } else {
            self.configured_dispatchers
        }
    }
}

/// Load from the clients of a scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Number of clients of each dispatcher, 1 to 16. Each has one request at a time.
    pub clients: usize,
    /// Mean work of a request, in milliseconds of one concurrency slot of a warm worker.
    pub work_ms: f64,
    /// Mean pause in milliseconds between a response and the next request of a client.
    pub pause_ms: f64,
    /// Time in milliseconds from the sending of a request to its deadline.
    pub expiry_ms: u64,
    /// Time in milliseconds for which workers recognise a repeated request by its key, or `None` for 5 s.
    pub retry_window_ms: Option<u64>,
}

/// Time in milliseconds for which workers recognise a repeated request by its key, if the scenario states none.
const DEFAULT_RETRY_WINDOW_MS: u64 = 5_000;

impl Load {
    /// Returns the time for which workers recognise a repeated request by its key.
    pub fn retry_window(&self) -> Duration {
        Duration::from_millis(self.retry_window_ms.unwrap_or(DEFAULT_RETRY_WINDOW_MS))
    }
}

impl Default for Load {
    fn default() -> Self {
        Load {
            clients: 4,
            work_ms: 60.0,
            pause_ms: 150.0,
            expiry_ms: 1_500,
            retry_window_ms: None,
        }
    }
}

/// Slow start of the workers of a scenario, and the settings for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SlowStartConfig {
    /// Initial capacity of a worker, as a fraction of its full capacity.
    #[serde(rename = "from")]
    pub initial_share: f64,
    /// Time in milliseconds until a worker has its full capacity.
    #[serde(rename = "time_ms")]
    pub duration_ms: u64,
    /// Multiple of its present capacity above which a worker is overloaded if it receives more within the window.
    #[serde(rename = "multiple")]
    pub overload_multiple: f64,
    /// Length in milliseconds of the window over which received work is summed.
    pub window_ms: u64,
    /// Multiple in the settings of dispatchers, or `None` for `overload_multiple`. A larger value tests that the checker
    /// detects overload.
    #[serde(rename = "told_multiple")]
    pub configured_multiple: Option<f64>,
}

impl Default for SlowStartConfig {
    fn default() -> Self {
        SlowStartConfig {
            initial_share: 0.2,
            duration_ms: 6_000,
            overload_multiple: 4.0,
            window_ms: 1_000,
            configured_multiple: None,
        }
    }
}

fn check_range(
    key: &'static str,
    value: usize,
    max: usize,
    allowed: &'static str,
) -> Result<(), TestbedError> {
    if (1..=max).contains(&value) {
        return Ok(());
    }
    Err(TestbedError::OutOfRange {
        key,
        value: value as u64,
        allowed,
    })
}

impl Scenario {
    /// Reads a scenario file and checks its values.
    pub fn load(path: &Path) -> Result<Scenario, TestbedError> {
        let text = std::fs::read_to_string(path).map_err(|source| TestbedError::Read {
            path: path.to_path_buf(),
            source,
        })?;
        let scenario: Scenario =
            toml::from_str(&text).map_err(|source| TestbedError::Scenario {
                path: path.to_path_buf(),
                source,
            })?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Checks that the scenario is small enough for one machine and runs for at most 300 s.
    pub fn check(&self) -> Result<(), TestbedError> {
        let fleet = &self.fleet;
        let seconds = self.seconds.ceil() as usize;
        check_range(
            "fleet.dispatchers",
            fleet.dispatchers,
            MAX_DISPATCHERS,
            "1 to 50",
        )?;
        check_range("fleet.workers", fleet.workers, MAX_WORKERS, "1 to 64")?;
        check_range("fleet.seats", fleet.slots, MAX_SLOTS, "1 to 64")?;
        check_range("load.clients", self.load.clients, MAX_CLIENTS, "1 to 16")?;
        check_range("seconds", seconds, MAX_SECONDS, "above 0, up to 300")?;
        self.check_fault_targets()
    }

    fn check_fault_targets(&self) -> Result<(), TestbedError> {
        let expected = self
            .fleet
            .expected_dispatchers()
            .max(self.fleet.dispatchers);
        let limit = expected.max(MAX_DISPATCHERS).max(MAX_WORKERS);
        let beyond = |fault: &&Fault| fault.targets.iter().any(|target| *target >= limit);
        match self.faults.iter().find(beyond) {
            Some(fault) => Err(TestbedError::OutOfRange {
                key: "fault.who",
                value: fault.at_ms,
                allowed: "below 50",
            }),
            None => Ok(()),
        }
    }
}
