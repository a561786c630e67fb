//! What a run of a large fleet measures.
use super::load::LoadTotals;
use super::plan::Plan;
use super::workers::StartTimes;
use serde::Serialize;

/// What one process of a role costs: means over all of them, and the most of any.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RoleCost {
    /// How many there are.
    pub count: usize,
    /// Processor time, as percent of a core.
    pub cpu_percent: f64,
    /// The most of any.
    #[serde(rename = "cpu_most")]
    pub cpu_percent_max: f64,
    /// Resident memory.
    pub resident_mb: f64,
    /// The most of any.
    #[serde(rename = "resident_most")]
    pub resident_mb_max: f64,
    /// Datagrams sent to members a second.
    pub datagrams_out: f64,
    /// Datagrams received from members a second.
    pub datagrams_in: f64,
    /// Bytes sent to members a second.
    pub bytes_out: f64,
    /// Bytes received from members a second.
    pub bytes_in: f64,
    /// Bytes exchanged with discovery a second.
    #[serde(rename = "list_bytes")]
    pub discovery_bytes: f64,
}

/// What came of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measurement {
    /// What was run.
    pub plan: Plan,
    /// Real dispatchers that are no members of the quorum.
    pub dispatcher: RoleCost,
    /// Real dispatchers that are members of the quorum.
    #[serde(rename = "keeper")]
    pub quorum_member: RoleCost,
    /// Simulated dispatchers.
    #[serde(rename = "hollow")]
    pub simulated_dispatcher: RoleCost,
    /// All simulated workers together.
    pub workers: RoleCost,
    /// Discovery.
    pub discovery: RoleCost,
    /// Seconds from the last start until all members agreed on who they are.
    #[serde(rename = "view_s")]
    pub agreement_s: f64,
    /// The same from the end of the last fault.
    #[serde(rename = "healed_s")]
    pub recovery_s: f64,
    /// Seconds from a change until the last dispatcher had applied it, the mean over all changes.
    pub change_mean_s: f64,
    /// The longest of these times.
    #[serde(rename = "change_most_s")]
    pub change_max_s: f64,
    /// Changes of the endpoint list.
    pub changes: u64,
    /// Changes that some dispatchers have not applied.
    #[serde(rename = "changes_open")]
    pub changes_pending: u64,
    /// Watches that were answered with the full list.
    #[serde(rename = "whole_lists")]
    pub full_lists: u64,
    /// The bytes of the full lists.
    #[serde(rename = "whole_bytes")]
    pub full_list_bytes: u64,
    /// Watches.
    #[serde(rename = "calls")]
    pub watches: u64,
    /// Seconds from the start of a process until it was ready, the 90th percentile.
    pub ready_p90_s: f64,
    /// The longest of these times.
    #[serde(rename = "ready_most_s")]
    pub ready_max_s: f64,
    /// Real dispatchers that restarted.
    pub restarts: usize,
    /// How requests ended.
    #[serde(rename = "asked")]
    pub load: LoadTotals,
    /// Start times of work that is not urgent.
    #[serde(rename = "usual")]
    pub non_urgent: StartTimes,
    /// Start times of urgent work.
    pub urgent: StartTimes,
    /// Tasks that started.
    pub started: u64,
    /// Tasks that ran at the end.
    pub running: u64,
    /// Connections to workers that were opened.
    pub connects: u64,
    /// Microseconds of all real dispatchers a task started, what they cost idle included.
    #[serde(rename = "cpu_us_start")]
    pub cpu_us_per_start: f64,
    /// The most work of any window of a cold worker, over what it bears in it.
    #[serde(rename = "cold_worst")]
    pub worst_warm_up_window: f64,
    /// Workers that were replaced by cold ones.
    #[serde(rename = "cold")]
    pub replaced_workers: u64,
    /// Processes at the end.
    pub processes: usize,
    /// The most resident memory of all processes together.
    pub memory_mb: f64,
}
