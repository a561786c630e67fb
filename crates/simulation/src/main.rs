//! The command `rosewall-simulate`: explores many simulations, replays or shrinks one, and tests
//! the checker with mutations.
mod cli;
mod commands;
mod output;

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    match commands::run(&cli::Cli::parse()) {
        Ok(commands::Verdict::Passed) => ExitCode::SUCCESS,
        Ok(commands::Verdict::Failed) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("rosewall-simulate: {error}");
            ExitCode::from(2)
        }
    }
}
