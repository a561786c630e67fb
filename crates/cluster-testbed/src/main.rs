//! The command `rosewall-testbed`: runs scenarios on real processes, one, or many drawn ones side by side.
mod explore;
mod output;
mod simulated;

use clap::{Parser, Subcommand};
use explore::Exploration;
use rosewall_cluster_testbed::error::TestbedError;
use rosewall_cluster_testbed::scale::command::Scale;
use rosewall_cluster_testbed::scenario::Scenario;
use rosewall_cluster_testbed::testbed::run_scenario;
use simulated::SimulatedProcess;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "rosewall-testbed",
    version,
    about = "Plays processes of rosewalld on loopback, with faults between them, and judges them by the four rules",
    after_help = "Exit codes: 0 no rule broken and no bound passed, 1 one was, 2 the rig could not play.\n\
                  The program is the rosewalld beside this one, or what ROSEWALL_PROGRAM names."
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
    /// Print JSON, a line for each play
    #[arg(long, global = true)]
    json: bool,
    /// Write the logs of all processes, with their counters, into this folder (`run` and `replay`)
    #[arg(long, global = true, value_name = "FOLDER")]
    logs: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario file
    Run {
        file: PathBuf,
        /// Another seed than the file's
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Play drawn scenarios
    Explore {
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        #[arg(long, default_value_t = 0)]
        first: u64,
        /// How many side by side; each has some ten processes
        #[arg(long, default_value_t = 2)]
        jobs: usize,
    },
    /// Play the drawn scenario of one seed again
    Replay { seed: u64 },
    /// Print the drawn scenario of a seed
    Draw { seed: u64 },
    /// Play a large fleet, real processes beside hollow ones, and measure what each role costs
    Scale(Box<Scale>),
    /// A process of hollow ones, which `scale` starts
    #[command(subcommand, hide = true, name = "hollow")]
    Simulated(SimulatedProcess),
}

/// How a command ended that could be carried out.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// No rule was broken and no bound was passed.
    Passed,
    /// One was.
    Failed,
}

impl From<bool> for Outcome {
    fn from(passed: bool) -> Self {
        if passed {
            Outcome::Passed
        } else {
            Outcome::Failed
        }
    }
}

fn run_and_print(scenario: &Scenario, cli: &Cli) -> Result<Outcome, TestbedError> {
    let report = run_scenario(scenario, cli.logs.as_deref())?;
    output::print_report(&report, cli.json);
    Ok(report.violations.is_empty().into())
}

fn run(cli: &Cli) -> Result<Outcome, TestbedError> {
    match &cli.command {
        Command::Run { file, seed } => {
            let mut scenario = Scenario::load(file)?;
            scenario.seed = seed.unwrap_or(scenario.seed);
            run_and_print(&scenario, cli)
        }
        Command::Replay { seed } => run_and_print(&Scenario::generate(*seed), cli),
        Command::Scale(scale) => scale.run(cli.json).map(Outcome::from),
        Command::Simulated(process) => {
            process.run()?;
            Ok(Outcome::Passed)
        }
        Command::Draw { seed } => {
            output::print_scenario(&Scenario::generate(*seed));
            Ok(Outcome::Passed)
        }
        Command::Explore { seeds, first, jobs } => {
            Exploration::new(*first, *seeds, cli.json).run(*jobs)
        }
    }
}

fn main() -> ExitCode {
    match run(&Cli::parse()) {
        Ok(Outcome::Passed) => ExitCode::SUCCESS,
        Ok(Outcome::Failed) => ExitCode::from(1),
        Err(error) => {
            eprintln!("rosewall-testbed: {error}");
            ExitCode::from(2)
        }
    }
}
