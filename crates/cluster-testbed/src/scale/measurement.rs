//! The measurement of a run of a large fleet.
use super::load::LoadTotals;
use super::plan::Plan;
use super::workers::StartTimes;
use serde::Serialize;

/// Cost of one peer of a role: means over all peers of the role, and maxima.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct RoleCost {
    /// Number of peers.
    pub count: usize,
    /// CPU time, as a percentage of one core.
    pub cpu_percent: f64,
    /// Maximum CPU time per peer of any process, as a percentage of one core.
    #[serde(rename = "cpu_most")]
    pub cpu_percent_max: f64,
    /// Resident memory in megabytes.
    pub resident_mb: f64,
    /// Maximum resident memory per peer of any process, in megabytes.
    #[serde(rename = "resident_most")]
    pub resident_mb_max: f64,
    /// Datagrams sent to other members per second.
    pub datagrams_out: f64,
    /// Datagrams received from other members per second.
    pub datagrams_in: f64,
    /// Bytes sent to other members per second.
    pub bytes_out: f64,
    /// Bytes received from other members per second.
    pub bytes_in: f64,
    /// Bytes exchanged with discovery per second.
    #[serde(rename = "list_bytes")]
    pub discovery_bytes: f64,
}

/// Measurement of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measurement {
    /// Plan of the run.
    pub plan: Plan,
    /// Cost of real dispatchers that are not quorum members.
    pub dispatcher: RoleCost,
    /// Cost of real dispatchers that are quorum members.
    #[serde(rename = "keeper")]
    pub quorum_member: RoleCost,
    /// Cost of simulated dispatchers.
    #[serde(rename = "hollow")]
    pub simulated_dispatcher: RoleCost,
    /// Cost of all simulated workers together.
    pub workers: RoleCost,
    /// Cost of discovery.
    pub discovery: RoleCost,
    /// Seconds from the last start until all members agreed on one membership view; 0 without a cluster.
    #[serde(rename = "view_s")]
    pub agreement_s: f64,
    /// Seconds from the last event of a fault until all members agreed; 0 without faults or without a cluster.
    #[serde(rename = "healed_s")]
    pub recovery_s: f64,
    /// Seconds from a change until the last dispatcher had applied it, mean over the changes that all have applied.
    pub change_mean_s: f64,
    /// Maximum of these times.
    #[serde(rename = "change_most_s")]
    pub change_max_s: f64,
    /// Changes of the endpoint list.
    pub changes: u64,
    /// Changes that at least one dispatcher has not applied.
    #[serde(rename = "changes_open")]
    pub changes_pending: u64,
    /// Watches that were answered with the full list.
    #[serde(rename = "whole_lists")]
    pub full_lists: u64,
    /// Bytes of the full lists.
    #[serde(rename = "whole_bytes")]
    pub full_list_bytes: u64,
    /// Watches received by discovery.
    #[serde(rename = "calls")]
    pub watches: u64,
    /// Seconds from the restart of a real dispatcher until it was ready, 90th percentile.
    pub ready_p90_s: f64,
    /// Maximum of these times.
    #[serde(rename = "ready_most_s")]
    pub ready_max_s: f64,
    /// Restarts of real dispatchers that were ready by the end of the measured time.
    pub restarts: usize,
    /// Outcomes of requests.
    #[serde(rename = "asked")]
    pub load: LoadTotals,
    /// Times to start of non-urgent requests.
    #[serde(rename = "usual")]
    pub non_urgent: StartTimes,
    /// Times to start of urgent requests.
    pub urgent: StartTimes,
    /// Requests that started in the measured time.
    pub started: u64,
    /// Requests that were running at its end.
    pub running: u64,
    /// Connections to workers that were opened.
    pub connects: u64,
    /// CPU time of all real dispatchers per started request, in microseconds, including their idle cost.
    #[serde(rename = "cpu_us_start")]
    pub cpu_us_per_start: f64,
    /// Largest ratio, over all windows of all replaced workers, of the work received to the overload limit.
    #[serde(rename = "cold_worst")]
    pub worst_window: f64,
    /// Workers that were replaced and had to warm up.
    #[serde(rename = "cold")]
    pub replaced_workers: u64,
    /// Processes at the end of the run.
    pub processes: usize,
    /// Maximum resident memory of all processes together, in megabytes.
    pub memory_mb: f64,
}
