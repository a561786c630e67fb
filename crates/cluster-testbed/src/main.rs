//! The command `rosewall-testbed`: runs one scenario, many generated scenarios in parallel, or a large fleet, all on
//! real processes.
mod explore;
mod output;
mod simulated;

use clap::{Args, Parser, Subcommand};
use explore::Exploration;
use rosewall_cluster_testbed::error::TestbedError;
use rosewall_cluster_testbed::pressure::{Misbehaviour, Pressure};
use rosewall_cluster_testbed::scale::command::Scale;
use rosewall_cluster_testbed::scenario::Scenario;
use rosewall_cluster_testbed::testbed::run_scenario;
use simulated::SimulatedProcess;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Parser)]
#[command(
    name = "rosewall-testbed",
    version,
    about = "Runs processes of rosewalld on loopback with injected faults and checks the four rules",
    after_help = "Exit codes: 0 no rule violated and no bound exceeded, 1 a rule violated or a bound exceeded, 2 the testbed could not run.\n\
                  The program under test is the rosewalld in the folder of this program, or the one that ROSEWALL_PROGRAM names."
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
    /// Print JSON, one line per run
    #[arg(long, global = true)]
    json: bool,
    /// Write the logs of all processes, with their counters, to this folder (`run` and `replay`)
    #[arg(long, global = true, value_name = "FOLDER")]
    logs: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Run a scenario file
    Run {
        file: PathBuf,
        /// Seed that replaces the one in the file
        #[arg(long)]
        seed: Option<u64>,
    },
    /// Run generated scenarios
    Explore {
        /// Number of scenarios, one per seed
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        /// First seed
        #[arg(long, default_value_t = 0)]
        first: u64,
        /// Scenarios that run in parallel; each starts about ten processes
        #[arg(long, default_value_t = 2)]
        jobs: usize,
    },
    /// Run the generated scenario of one seed
    Replay { seed: u64 },
    /// Print the generated scenario of a seed
    Draw { seed: u64 },
    /// Run a large fleet of real and simulated dispatchers, and measure the cost of each role
    Scale(Box<Scale>),
    /// Run one dispatcher at its limits beside clients that misbehave
    Pressure(PressureArguments),
    /// Simulated workers, discovery or dispatchers in one process, started by `scale`
    #[command(subcommand, hide = true, name = "hollow")]
    Simulated(SimulatedProcess),
}

#[derive(Args)]
struct PressureArguments {
    /// What the misbehaving clients do
    misbehaviour: Misbehaviour,
    /// Misbehaving connections at a time
    #[arg(long, default_value_t = 1)]
    connections: usize,
    /// Seconds for which they misbehave
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Seed of all random choices
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// Memory limit of the dispatcher in MB
    #[arg(long, default_value_t = 192)]
    memory_mb: u64,
    /// Limit on descriptors
    #[arg(long, default_value_t = 1024)]
    sockets: usize,
    /// Core that the dispatcher shares with busy processes
    #[arg(long)]
    shared_core: Option<usize>,
    /// Number of busy processes on the shared core
    #[arg(long, default_value_t = 1)]
    busy_processes: usize,
}

impl PressureArguments {
    fn run(&self) -> Outcome {
        let pressure = Pressure {
            misbehaviour: self.misbehaviour,
            connections: self.connections,
            duration: Duration::from_secs(self.seconds),
            seed: self.seed,
            memory_mb: self.memory_mb,
            sockets: self.sockets,
            shared_core: self.shared_core,
            busy_processes: self.busy_processes,
        };
        let report = pressure.run();
        println!("{}", serde_json::json!(report));
        report.violations(self.memory_mb).is_empty().into()
    }
}

/// Result of a command that ran to its end.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// No rule was violated and no bound was exceeded.
    Passed,
    /// A rule was violated or a bound was exceeded.
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
        Command::Pressure(pressure) => Ok(pressure.run()),
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
