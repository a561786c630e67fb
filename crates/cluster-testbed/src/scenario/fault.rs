//! Faults of a scenario.
use crate::relay::LinkConditions;
use serde::{Deserialize, Serialize};

/// Effect of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Kills dispatchers with SIGKILL. They restart after the duration, if it is above 0.
    Kill,
    /// Pauses dispatchers with SIGSTOP, and resumes them with SIGCONT after the duration.
    Pause,
    /// Shuts dispatchers down with SIGTERM. They restart 1.5 s later.
    #[serde(rename = "roll")]
    Restart,
    /// Shuts dispatchers down with SIGTERM. They do not restart.
    #[serde(rename = "leave")]
    Shutdown,
    /// Starts dispatchers that have not run before.
    Start,
    /// Adds `count` workers that are warming up, at least one.
    #[serde(rename = "join")]
    AddWorkers,
    /// Publishes workers as draining.
    Drain,
    /// Makes workers receive requests without ever answering.
    Hang,
    /// Makes workers close connections before they run a request.
    Reset,
    /// Makes workers run requests and close connections before the end of the response.
    #[serde(rename = "lose")]
    LoseResponse,
    /// Makes new connections to workers come up late: the system repeats a connect after 1 s and then 3 s.
    #[serde(rename = "late")]
    LateConnections,
    /// Makes workers run requests of the class with a key without an answer, and close their connections shortly before
    /// the end of the retry window.
    #[serde(rename = "lose-late")]
    LoseBeforeWindowEnd,
    /// Drops all datagrams between these dispatchers and all others.
    #[serde(rename = "split")]
    Partition,
    /// Drops all datagrams to these dispatchers.
    #[serde(rename = "deaf")]
    DropInbound,
    /// Drops all datagrams from these dispatchers.
    #[serde(rename = "mute")]
    DropOutbound,
    /// Sets the conditions of all links to `link`.
    #[serde(rename = "ways")]
    LinkConditions,
    /// Makes discovery take calls without ever answering them.
    #[serde(rename = "list-silent")]
    DiscoverySilent,
    /// Makes discovery close connections.
    #[serde(rename = "list-closes")]
    DiscoveryClosed,
    /// Moves all dispatchers to a new discovery service, which closes connections for the duration. The old one does so
    /// 1.5 s later for good.
    #[serde(rename = "list-moves")]
    DiscoveryMoved,
}

/// Fault of a scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Time of its beginning in milliseconds after the start of the clients.
    pub at_ms: u64,
    /// Kind, which determines the effect and which of the other fields apply.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// Numbers of the affected dispatchers or workers, from 0.
    #[serde(default, rename = "who")]
    pub targets: Vec<usize>,
    /// Active time in milliseconds; 0 for the rest of the scenario.
    #[serde(default, rename = "lasts_ms")]
    pub duration_ms: u64,
    /// Number of workers that [`FaultKind::AddWorkers`] adds.
    #[serde(default)]
    pub count: usize,
    /// Conditions of links for [`FaultKind::LinkConditions`].
    #[serde(default, rename = "way")]
    pub link: LinkConditions,
}

impl Fault {
    /// Returns a fault that is active for the rest of the scenario.
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

    /// Sets the active time in milliseconds.
    pub fn with_duration(self, duration_ms: u64) -> Self {
        Fault {
            duration_ms,
            ..self
        }
    }

    /// Returns a fault that adds `count` workers that are warming up.
    pub fn add_workers(at_ms: u64, count: usize) -> Self {
        Fault {
            count,
            ..Fault::new(at_ms, FaultKind::AddWorkers, [])
        }
    }
}
