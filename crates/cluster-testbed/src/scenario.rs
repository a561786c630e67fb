//! A scenario: the fleet, the load, the clocks, the links between dispatchers, and the faults with their times.
mod draw;
mod fault;

pub use fault::{Fault, FaultKind};

use crate::error::TestbedError;
use crate::relay::LinkConditions;
use serde::{Deserialize, Serialize};
use std::path::Path;

const MAX_DISPATCHERS: usize = 50;
const MAX_WORKERS: usize = 64;
const MAX_SLOTS: usize = 64;
const MAX_CLIENTS: usize = 16;
const MAX_SECONDS: usize = 300;

/// What the testbed runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scenario {
    /// Its name in reports.
    pub name: String,
    /// The seed of all that is random.
    pub seed: u64,
    /// How long clients send requests.
    pub seconds: f64,
    /// The processes.
    pub fleet: Fleet,
    /// The clients.
    pub load: Load,
    /// How workers warm up.
    #[serde(rename = "cold")]
    pub slow_start: SlowStartConfig,
    /// The links between dispatchers while no fault is active.
    #[serde(rename = "datagrams")]
    pub links: LinkConditions,
    /// The faults.
    #[serde(rename = "fault")]
    pub faults: Vec<Fault>,
}

/// The processes of a scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// How many dispatchers run from the start.
    pub dispatchers: usize,
    /// How many dispatchers the settings name; 0 for as many as run.
    #[serde(rename = "says")]
    pub configured_dispatchers: usize,
    /// Whether they form a cluster.
    #[serde(rename = "members")]
    pub membership: bool,
    /// The size of the quorum.
    #[serde(rename = "keepers")]
    pub quorum_members: usize,
    /// Whether dispatchers exchange their load.
    #[serde(rename = "peers")]
    pub peer_load: bool,
    /// How many workers run from the start.
    pub workers: usize,
    /// How many requests each worker runs at once.
    #[serde(rename = "seats")]
    pub slots: usize,
    /// The range over which the wall clocks of dispatchers differ.
    pub skew_ms: u64,
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
        }
    }
}

impl Fleet {
    /// The number of dispatchers in the settings.
    pub fn expected_dispatchers(&self) -> usize {
        if self.configured_dispatchers == 0 {
            self.dispatchers
        } else {
            self.configured_dispatchers
        }
    }
}

/// The clients of a scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Clients of each dispatcher; each has one request at a time.
    pub clients: usize,
    /// The mean work of a request.
    pub work_ms: f64,
    /// The mean pause of a client between a response and its next request.
    pub pause_ms: f64,
    /// The deadline of a request, from when it is sent.
    pub expiry_ms: u64,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            clients: 4,
            work_ms: 60.0,
            pause_ms: 150.0,
            expiry_ms: 1_500,
        }
    }
}

/// How the workers of a scenario warm up, and what the settings say of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SlowStartConfig {
    /// The share of its full capacity that a worker has at first.
    #[serde(rename = "from")]
    pub initial_share: f64,
    /// How long until it has its full capacity.
    #[serde(rename = "time_ms")]
    pub duration_ms: u64,
    /// The multiple of its present capacity, received within the window, at which it is overloaded.
    #[serde(rename = "multiple")]
    pub overload_multiple: f64,
    /// The window over which received work counts.
    pub window_ms: u64,
    /// What the settings of dispatchers have in place of `overload_multiple`, to test that the checker finds overload.
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
    /// Reads a scenario file and checks it.
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

    /// Checks that it can run on one machine, in bounded time.
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
