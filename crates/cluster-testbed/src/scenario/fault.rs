//! The faults of a scenario.
use crate::relay::LinkConditions;
use serde::{Deserialize, Serialize};

/// What a fault does.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Dispatchers get SIGKILL; they start again after the duration, if one is given.
    Kill,
    /// Dispatchers get SIGSTOP, and SIGCONT after the duration.
    Pause,
    /// Dispatchers get SIGTERM; they start again once they have ended.
    #[serde(rename = "roll")]
    Restart,
    /// Dispatchers get SIGTERM and do not start again.
    #[serde(rename = "leave")]
    Shutdown,
    /// Dispatchers start for the first time.
    Start,
    /// This many new workers join cold.
    #[serde(rename = "join")]
    AddWorkers,
    /// Workers are published as draining.
    Drain,
    /// Workers receive requests and never answer.
    Hang,
    /// Workers break connections before they run a request.
    Reset,
    /// Workers run requests and break connections before the response.
    #[serde(rename = "lose")]
    LoseResponse,
    /// No datagram passes between these dispatchers and all others.
    #[serde(rename = "split")]
    Partition,
    /// No datagram reaches these dispatchers.
    #[serde(rename = "deaf")]
    DropInbound,
    /// No datagram of these dispatchers arrives.
    #[serde(rename = "mute")]
    DropOutbound,
    /// All links have these conditions.
    #[serde(rename = "ways")]
    LinkConditions,
}

/// One fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins.
    pub at_ms: u64,
    /// What it does.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// The numbers of the dispatchers or workers that it hits.
    #[serde(default, rename = "who")]
    pub targets: Vec<usize>,
    /// How long it is active; 0 for the rest of the scenario.
    #[serde(default, rename = "lasts_ms")]
    pub duration_ms: u64,
    /// How many workers join.
    #[serde(default)]
    pub count: usize,
    /// The conditions of links.
    #[serde(default, rename = "way")]
    pub link: LinkConditions,
}

impl Fault {
    /// A fault that is active for the rest of the scenario.
    pub fn new(at_ms: u64, kind: FaultKind, targets: impl IntoIterator<Item = usize>) -> Self {
        Fault {
            at_ms,
            kind,
            targets: targets.into_iter().collect(),
            duration_ms: 0,
            count: 0,
            link: LinkConditions::default(),
        }
    }

    /// The same fault, active for a time.
    pub fn with_duration(self, duration_ms: u64) -> Self {
        Fault {
            duration_ms,
            ..self
        }
    }

    /// New workers that join cold.
    pub fn add_workers(at_ms: u64, count: usize) -> Self {
        Fault {
            count,
            ..Fault::new(at_ms, FaultKind::AddWorkers, [])
        }
    }
}
