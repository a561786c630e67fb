//! Command-line arguments of `rosewall-simulate`.
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

#[derive(Parser)]
#[command(
    name = "rosewall-simulate",
    version,
    about = "Simulates dispatchers on a virtual clock and checks them against the rules"
)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
    /// Print JSON instead of text
    #[arg(long, global = true)]
    pub json: bool,
}

/// Options that determine the scenario of a seed.
#[derive(Args)]
pub struct Source {
    /// Scenario file to use instead of one generated from the seed
    #[arg(long, value_name = "FILE")]
    pub scenario: Option<PathBuf>,
    /// Minimum number of dispatchers; the total load stays the same
    #[arg(long, value_name = "COUNT", value_parser = clap::value_parser!(u16).range(1..=256))]
    pub dispatchers: Option<u16>,
}

/// Options that select one simulation.
#[derive(Args)]
pub struct Selection {
    /// Seed; the scenario file's own by default
    #[arg(long)]
    pub seed: Option<u64>,
    #[command(flatten)]
    pub source: Source,
}

/// Options that select a range of simulations.
#[derive(Args)]
pub struct SeedRange {
    /// Number of seeds; for `mutations`, the maximum for each mutation
    #[arg(long, default_value_t = 1000)]
    pub seeds: u64,
    /// First seed
    #[arg(long, default_value_t = 0)]
    pub first: u64,
    /// Number of simulations to run in parallel; one per core by default
    #[arg(long)]
    pub jobs: Option<usize>,
}

impl SeedRange {
    /// Returns the number of threads to run simulations on.
    pub fn threads(&self) -> usize {
        self.jobs.unwrap_or_else(|| {
            std::thread::available_parallelism().map_or(1, std::num::NonZero::get)
        })
    }
}

#[derive(Subcommand)]
pub enum Command {
    /// Run many simulations; exits with 1 if a rule is violated
    Explore {
        #[command(flatten)]
        range: SeedRange,
        #[command(flatten)]
        source: Source,
    },
    /// Run one simulation again; exits with 1 if a rule is violated
    Replay {
        #[command(flatten)]
        selection: Selection,
        /// Print the timeline
        #[arg(long)]
        trace: bool,
    },
    /// Remove faults and clients that a violation does not need, and write the reduced scenario
    Shrink {
        #[command(flatten)]
        selection: Selection,
        /// Output file; standard output by default
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Print the scenario generated from a seed
    Draw {
        /// Seed
        #[arg(long)]
        seed: u64,
    },
    /// Activate each mutation of the dispatcher in turn and print how many simulations its
    /// detection took; exits with 1 if one is not detected
    Mutations {
        #[command(flatten)]
        range: SeedRange,
    },
}
