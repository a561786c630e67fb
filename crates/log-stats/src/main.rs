//! Command line: reads the logs of a fleet that ran with `ROSEWALL_LOG=debug` and prints statistics
//! over them.
use clap::Parser;
use rosewall_log_stats::Statistics;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Parser)]
#[command(
    name = "rosewall-log-stats",
    version,
    about = "Prints statistics over the debug logs of many dispatchers, by second and by worker"
)]
struct Cli {
    /// Log files, one per dispatcher, written with ROSEWALL_LOG=debug
    #[arg(required = true)]
    logs: Vec<PathBuf>,
    /// Seconds after its start for which a worker counts as warming up
    #[arg(long = "cold", value_name = "SECONDS", default_value = "20", value_parser = parse_seconds)]
    warm_up: Duration,
}

fn parse_seconds(text: &str) -> Result<Duration, String> {
    let seconds: f64 = text
        .parse()
        .map_err(|error| format!("{error}, expected a number of seconds"))?;
    Ok(Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX))
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let mut statistics = Statistics::new(cli.warm_up);
    for path in &cli.logs {
        match std::fs::read(path) {
            Ok(text) => statistics.add_log(&String::from_utf8_lossy(&text)),
            Err(error) => {
                eprintln!(
                    "rosewall-log-stats: cannot read {}: {error}",
                    path.display()
                );
                return ExitCode::from(2);
            }
        }
    }
    print!("{statistics}");
    ExitCode::SUCCESS
}
