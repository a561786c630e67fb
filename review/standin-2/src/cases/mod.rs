mod full;
mod pipeline;
mod reload;
mod slow_agent;
mod stale_start;

use crate::client::Outcome;
use crate::{Finding, Run};

pub fn run(case: &str, run: &Run) -> Result<Finding, String> {
    match case {
        "full" => full::run(run),
        "reload" => reload::run(run),
        "pipeline" => pipeline::run(run),
        "slow-agent" => slow_agent::run(run),
        "stale-start" => stale_start::run(run),
        _ => Err(format!("no case {case}")),
    }
}

/// How the requests ended that a worker held when it ended: a line for the record.
fn lost_with_the_worker(held: &[String], outcomes: &[Outcome]) -> String {
    let ends: Vec<String> = outcomes
        .iter()
        .filter(|outcome| held.contains(&outcome.id))
        .map(|outcome| match outcome.answer {
            Some((status, _)) => {
                format!("{} ({}) was answered {status}", outcome.id, outcome.class)
            }
            None => format!("{} ({}) had no answer", outcome.id, outcome.class),
        })
        .collect();
    format!(
        "{} requests were lost with w0 when it ended: {}",
        held.len(),
        ends.join(", ")
    )
}
