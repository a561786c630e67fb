//! Runs of large fleets on one machine: real dispatcher processes and simulated peers, with measurements of their cost.
pub mod command;
pub mod control;
pub mod discovery;
pub mod dispatchers;
pub mod fit;
mod fleet;
mod http;
pub mod load;
pub mod measurement;
mod metrics;
mod output;
pub mod plan;
pub mod system;
pub mod topology;
pub mod workers;

pub use fleet::SLOW_START;
pub use measurement::{Measurement, RoleCost};

use crate::error::TestbedError;
use fleet::Fleet;
use plan::Plan;

/// Checks a plan, runs it and returns the measurement.
pub fn run_plan(plan: &Plan) -> Result<Measurement, TestbedError> {
    plan.check()?;
    Fleet::start(plan)?.measure()
}
