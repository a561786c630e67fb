//! The command `rosewall-simulate`: plays simulations by the thousand, replays one, shrinks one, and looks for mutations.
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
