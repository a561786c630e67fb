//! The command line.
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

#[derive(Parser)]
#[command(
    name = "rosewall-simulate",
    version,
    about = "Plays dispatchers on a virtual clock and checks them against the four rules"
)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
    /// Print JSON in place of lines
    #[arg(long, global = true)]
    pub json: bool,
}

/// What is played under a seed.
#[derive(Args)]
pub struct Source {
    /// A scenario file in place of one drawn from the seed
    #[arg(long, value_name = "FILE")]
    pub scenario: Option<PathBuf>,
    /// So many dispatchers at least, to which the same load comes
    #[arg(long, value_name = "COUNT", value_parser = clap::value_parser!(u16).range(1..=256))]
    pub dispatchers: Option<u16>,
}

/// One simulation.
#[derive(Args)]
pub struct Selection {
    /// The seed
    #[arg(long)]
    pub seed: Option<u64>,
    #[command(flatten)]
    pub source: Source,
}

/// Many simulations.
#[derive(Args)]
pub struct SeedRange {
    /// How many seeds; for mutations, how many for each at most
    #[arg(long, default_value_t = 1000)]
    pub seeds: u64,
    /// The first seed
    #[arg(long, default_value_t = 0)]
    pub first: u64,
    /// How many side by side; all cores where left out
    #[arg(long)]
    pub jobs: Option<usize>,
}

impl SeedRange {
    /// How many threads play.
    pub fn threads(&self) -> usize {
        self.jobs.unwrap_or_else(|| {
            std::thread::available_parallelism().map_or(1, std::num::NonZero::get)
        })
    }
}

#[derive(Subcommand)]
pub enum Command {
    /// Play many simulations; exit code 1 where a rule was violated
    Explore {
        #[command(flatten)]
        range: SeedRange,
        #[command(flatten)]
        source: Source,
    },
    /// Play one simulation again; exit code 1 where a rule was violated
    Replay {
        #[command(flatten)]
        selection: Selection,
        /// Print the timeline
        #[arg(long)]
        trace: bool,
    },
    /// Drop faults and clients from a simulation that violates a rule while it still does, and write the scenario
    Shrink {
        #[command(flatten)]
        selection: Selection,
        /// Where to write it; standard output where left out
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Print the scenario of a seed
    Draw {
        /// The seed
        #[arg(long)]
        seed: u64,
    },
    /// Mutate the dispatcher, one guard at a time, and say how many simulations it took to find each; exit code 1 where
    /// one was not found
    Mutations {
        #[command(flatten)]
        range: SeedRange,
    },
}
