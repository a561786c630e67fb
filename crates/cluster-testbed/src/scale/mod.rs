//! Plays a fleet of the size to come on one machine: real processes of the program, hollow ones beside them, and what both cost.
pub mod child;
pub mod command;
pub mod discovery;
pub mod dispatchers;
pub mod fit;
pub mod load;
pub mod map;
pub mod plan;
pub mod stage;
pub mod system;
pub mod workers;

use crate::error::TestbedError;
use plan::Plan;
use serde::Serialize;
use stage::Stage;
use workers::Starts;

/// What one process of a role costs: means over all of them, and the most of any.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Role {
    pub count: usize,
    pub cpu_percent: f64,
    pub cpu_most: f64,
    pub resident_mb: f64,
    pub resident_most: f64,
    /// Between members, a second.
    pub datagrams_out: f64,
    pub datagrams_in: f64,
    pub bytes_out: f64,
    pub bytes_in: f64,
    /// With discovery, both ways, a second.
    pub list_bytes: f64,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Measured {
    pub plan: Plan,
    /// Real ones that give no rights, those that may, hollow ones.
    pub dispatcher: Role,
    pub keeper: Role,
    pub hollow: Role,
    /// All hollow workers together, and discovery, as this fleet loads them.
    pub workers: Role,
    pub discovery: Role,
    /// From the last start to one view of all, and the same after the last fault had ended.
    pub view_s: f64,
    pub healed_s: f64,
    /// From a change to the last dispatcher that had taken it: over all changes the mean and the most.
    pub change_mean_s: f64,
    pub change_most_s: f64,
    pub changes: u64,
    pub changes_open: u64,
    /// Calls that fetched the whole list, and their bytes.
    pub whole_lists: u64,
    pub whole_bytes: u64,
    pub calls: u64,
    /// From the start of a process to its first `ready`: nine in ten, and the most.
    pub ready_p90_s: f64,
    pub ready_most_s: f64,
    pub restarts: usize,
    pub asked: load::Asked,
    pub usual: Starts,
    pub urgent: Starts,
    pub started: u64,
    pub running: u64,
    pub connects: u64,
    /// Microseconds of all real dispatchers a task started, what they cost idle included.
    pub cpu_us_start: f64,
    pub cold_worst: f64,
    pub cold: u64,
    pub processes: usize,
    pub memory_mb: f64,
}

/// One play.
pub fn play(plan: &Plan) -> Result<Measured, TestbedError> {
    plan.check()?;
    let mut stage = Stage::set(plan)?;
    stage.play()
}
