mod full;

use crate::{Finding, Run};

pub fn run(case: &str, run: &Run) -> Result<Finding, String> {
    match case {
        "full" => full::run(run),
        _ => Err(format!("no case {case}")),
    }
}
