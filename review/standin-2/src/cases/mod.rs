mod full;
mod long_ids;
mod pipeline;
mod reload;
mod slow_agent;

use crate::{Finding, Run};

pub fn run(case: &str, run: &Run) -> Result<Finding, String> {
    match case {
        "full" => full::run(run),
        "reload" => reload::run(run),
        "pipeline" => pipeline::run(run),
        "slow-agent" => slow_agent::run(run),
        "long-ids" => long_ids::run(run),
        _ => Err(format!("no case {case}")),
    }
}
