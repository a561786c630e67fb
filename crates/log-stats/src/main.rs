//! The command: reads the logs of a fleet that ran with `ROSEWALL_LOG=debug`, and prints its sums by second.
use clap::Parser;
use rosewall_log_stats::Tally;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    name = "rosewall-log-stats",
    version,
    about = "Sums the debug logs of many dispatchers by second"
)]
struct Cli {
    /// A log of each dispatcher, as written with ROSEWALL_LOG=debug
    #[arg(required = true)]
    logs: Vec<PathBuf>,
    /// How long a worker counts as cold after its start, in seconds
    #[arg(long, default_value_t = 20.0)]
    cold: f64,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let mut tally = Tally::new(cli.cold);
    for path in &cli.logs {
        match std::fs::read(path) {
            Ok(text) => tally.read(&String::from_utf8_lossy(&text)),
            Err(error) => {
                eprintln!(
                    "rosewall-log-stats: cannot read {}: {error}",
                    path.display()
                );
                return ExitCode::from(2);
            }
        }
    }
    print!("{tally}");
    ExitCode::SUCCESS
}
