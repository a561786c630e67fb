//! The command: worlds by the thousand, one played again, one cut down, faults planted.
use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use rosewall_simulation::explore::{among, explore_by, scenario, shrink};
use rosewall_simulation::scenario::{self as file, Scenario};
use rosewall_simulation::world::{Report, play};
use std::io::{IsTerminal, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

#[derive(Parser)]
#[command(
    name = "rosewall-simulate",
    version,
    about = "Plays dispatchers on a virtual clock and judges them by the four rules"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
    /// Print JSON in place of lines
    #[arg(long, global = true)]
    json: bool,
}

#[derive(Args)]
struct Which {
    /// The seed
    #[arg(long)]
    seed: Option<u64>,
    /// A scenario file in place of one drawn from the seed
    #[arg(long, value_name = "FILE")]
    scenario: Option<PathBuf>,
    /// So many dispatchers at least, to whom the same load comes
    #[arg(long, value_name = "COUNT", value_parser = clap::value_parser!(u16).range(1..=256))]
    dispatchers: Option<u16>,
}

#[derive(Subcommand)]
enum Command {
    /// Play many worlds; exit code 1 where a rule was broken
    Explore {
        /// How many worlds
        #[arg(long, default_value_t = 1000)]
        seeds: u64,
        /// The first seed
        #[arg(long, default_value_t = 0)]
        first: u64,
        /// How many side by side; all cores where left out
        #[arg(long)]
        jobs: Option<usize>,
        /// Play this scenario under each seed
        #[arg(long, value_name = "FILE")]
        scenario: Option<PathBuf>,
        /// So many dispatchers at least, to whom the same load comes
        #[arg(long, value_name = "COUNT", value_parser = clap::value_parser!(u16).range(1..=256))]
        dispatchers: Option<u16>,
    },
    /// Play one world again; exit code 1 where a rule was broken
    Replay {
        #[command(flatten)]
        which: Which,
        /// Print the timeline
        #[arg(long)]
        trace: bool,
    },
    /// Drop faults and clients from a world that breaks a rule while it still does, and write the scenario
    Shrink {
        #[command(flatten)]
        which: Which,
        /// Where to write it; standard output where left out
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
    /// Print the scenario of a seed
    Draw {
        #[arg(long)]
        seed: u64,
    },
    /// Plant faults in the program, one by one, and say how many worlds it took to find each; exit code 1 where one
    /// was not found
    Mutations {
        /// The most worlds for one fault
        #[arg(long, default_value_t = 1000)]
        seeds: u64,
        #[arg(long, default_value_t = 0)]
        first: u64,
        #[arg(long)]
        jobs: Option<usize>,
    },
}

fn main() -> ExitCode {
    match run(&Cli::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(fault) => {
            eprintln!("rosewall-simulate: {fault}");
            ExitCode::from(2)
        }
    }
}

fn load(path: &PathBuf) -> Result<Scenario, String> {
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    file::read(&text).map_err(|fault| format!("{}: {fault}", path.display()))
}

fn chosen(which: &Which) -> Result<Scenario, String> {
    let given = which.scenario.as_ref().map(load).transpose()?;
    match (which.seed, &given) {
        (Some(seed), given) => Ok(among(
            seed,
            given.as_ref(),
            which.dispatchers.map(usize::from),
        )),
        (None, Some(given)) => Ok(among(
            given.seed,
            Some(given),
            which.dispatchers.map(usize::from),
        )),
        (None, None) => Err("name a --seed or a --scenario".to_string()),
    }
}

fn cores(jobs: Option<usize>) -> usize {
    jobs.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, |cores| cores.get()))
}

/// A bar on standard error, where that is a terminal.
fn bar(length: u64) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::with_draw_target(Some(length), ProgressDrawTarget::hidden());
    }
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} worlds, {per_sec}, {eta} left");
    ProgressBar::new(length).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

fn print(line: &str) {
    // Whoever reads no more, as `head`, ends nothing.
    let _ = writeln!(std::io::stdout(), "{line}");
}

fn json(value: &impl serde::Serialize) -> Result<String, String> {
    serde_json::to_string(value).map_err(|error| error.to_string())
}

fn show(report: &Report) {
    for violation in &report.violations {
        print(&format!(
            "  {:>10.3} ms  {:?}: {}",
            violation.at_ms, violation.rule, violation.what
        ));
    }
}

fn run(cli: &Cli) -> Result<bool, String> {
    match &cli.command {
        Command::Explore {
            seeds,
            first,
            jobs,
            scenario,
            dispatchers,
        } => {
            let given = scenario.as_ref().map(load).transpose()?;
            let (bar, start) = (bar(*seeds), Instant::now());
            let all = *first..first.saturating_add(*seeds);
            let make = |seed| among(seed, given.as_ref(), dispatchers.map(usize::from));
            let sum = explore_by(all, cores(*jobs), make, |report| {
                bar.inc(1);
                if !report.violations.is_empty() && !cli.json {
                    let from = scenario
                        .as_ref()
                        .map(|path| format!(" --scenario {}", path.display()));
                    let among = dispatchers.map(|count| format!(" --dispatchers {count}"));
                    let (seed, from) = (
                        report.seed,
                        from.unwrap_or_default() + &among.unwrap_or_default(),
                    );
                    bar.suspend(|| {
                        print(&format!(
                            "seed {seed}: rosewall-simulate replay --seed {seed}{from} --trace"
                        ));
                        show(report);
                    });
                }
            });
            bar.finish_and_clear();
            if cli.json {
                print(&json(&sum)?);
            } else {
                print(&format!(
                    "{} worlds, {} steps, {} txns, {} postings, {:.0} virtual s, {} with violations, {} fell by root, digest {:016x}, {:.1} s",
                    sum.worlds,
                    sum.steps,
                    sum.txns,
                    sum.postings,
                    sum.virtual_s,
                    sum.violations,
                    sum.fell_by_root,
                    sum.digest,
                    start.elapsed().as_secs_f64()
                ));
            }
            Ok(sum.violations == 0)
        }
        Command::Replay { which, trace } => {
            let report = play(&chosen(which)?, *trace);
            if cli.json {
                print(&json(&report)?);
                return Ok(report.violations.is_empty());
            }
            report
                .trace
                .iter()
                .for_each(|(at, words)| print(&format!("{at:>10.3} ms  {words}")));
            show(&report);
            let tally = &report.tally;
            print(&format!(
                "{} steps, {:.1} virtual s, {} txns: {} settled, {} declined, {} reversed, {} left, {} excused; {} postings; \
                 {} violations, digest {:016x}",
                report.steps,
                report.virtual_s,
                tally.txns,
                tally.settled,
                tally.declined,
                tally.reversed,
                tally.left,
                tally.excused,
                tally.postings,
                report.violations.len(),
                report.digest
            ));
            Ok(report.violations.is_empty())
        }
        Command::Shrink { which, out } => {
            let whole = chosen(which)?;
            let Some(first) = play(&whole, false).violations.first().cloned() else {
                return Err("this world breaks no rule".to_string());
            };
            let least = shrink(&whole, first.rule, |less| {
                eprintln!(
                    "{} faults, {} loads, {} bad, {} single txns, {} ms",
                    less.fault.len(),
                    less.load.len(),
                    less.bad.len(),
                    less.txn.len(),
                    less.length_ms
                );
            });
            let text = if cli.json {
                json(&least)?
            } else {
                file::write(&least)?
            };
            match out {
                Some(path) => std::fs::write(path, text)
                    .map_err(|error| format!("{}: {error}", path.display()))?,
                None => print(&text),
            }
            Ok(true)
        }
        Command::Draw { seed } => {
            let drawn = scenario(*seed, None);
            print(&if cli.json {
                json(&drawn)?
            } else {
                file::write(&drawn)?
            });
            Ok(true)
        }
        Command::Mutations { seeds, first, jobs } => {
            check_mutations(*seeds, *first, cores(*jobs), cli.json)
        }
    }
}

#[cfg(feature = "mutations")]
fn check_mutations(seeds: u64, first: u64, jobs: usize, as_json: bool) -> Result<bool, String> {
    let mut all = true;
    for fault in rosewall_simulation::mutation::all() {
        let found = rosewall_simulation::mutation::find(*fault, first, seeds, jobs);
        all &= found.worlds.is_some();
        print(&match (as_json, found.worlds, found.rule) {
            (true, ..) => json(&found)?,
            (false, Some(worlds), Some(rule)) => {
                format!(
                    "{:<22} found after {worlds:>4} worlds by {rule:?}: {}",
                    found.fault, found.what
                )
            }
            _ => format!("{:<22} NOT found in {seeds} worlds", found.fault),
        });
    }
    Ok(all)
}

#[cfg(not(feature = "mutations"))]
fn check_mutations(_: u64, _: u64, _: usize, _: bool) -> Result<bool, String> {
    Err("faults are planted only in a build with `--features mutations`".to_string())
}
