//! The command: scenarios played on real processes, one, or many drawn ones side by side.
use clap::{Parser, Subcommand};
use rosewall_cluster_testbed::error::RigError;
use rosewall_cluster_testbed::play::{Report, play};
use rosewall_cluster_testbed::scale;
use rosewall_cluster_testbed::scale::command::Scale;
use rosewall_cluster_testbed::scale::map::Ways;
use rosewall_cluster_testbed::scenario::Scenario;
use std::io::IsTerminal;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

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
    #[command(subcommand, hide = true)]
    Hollow(Hollow),
}

#[derive(Subcommand)]
enum Hollow {
    Workers {
        count: usize,
        seats: usize,
        zone_ms: f64,
        zones_ms: f64,
        regions_ms: f64,
    },
    Discovery {
        followers: usize,
    },
    Dispatchers {
        folder: PathBuf,
        first: usize,
        last: usize,
        apart_ms: u64,
    },
}

impl Hollow {
    fn run(&self) -> Result<(), String> {
        let ms = |ms: f64| Duration::from_secs_f64(ms.clamp(0.0, 10_000.0) / 1e3);
        match self {
            Hollow::Workers {
                count,
                seats,
                zone_ms,
                zones_ms,
                regions_ms,
            } => {
                let ways = Ways {
                    zone: ms(*zone_ms),
                    zones: ms(*zones_ms),
                    regions: ms(*regions_ms),
                };
                scale::workers::run(*count, *seats, ways, scale::stage::COLD)
            }
            Hollow::Discovery { followers } => scale::discovery::run(*followers),
            Hollow::Dispatchers {
                folder,
                first,
                last,
                apart_ms,
            } => {
                let numbers: Vec<usize> = (*first..=*last).collect();
                scale::dispatchers::run(folder, &numbers, Duration::from_millis(*apart_ms))
            }
        }
    }
}

fn show(report: &Report, json: bool) {
    if json {
        println!("{}", serde_json::to_string(report).unwrap_or_default());
        return;
    }
    let Report {
        name,
        seed,
        asked,
        settled,
        declined,
        reversed,
        missed,
        uneven,
        bytes,
        ..
    } = report;
    println!(
        "{name} seed={seed} asked={asked} settled={settled} declined={declined} reversed={reversed} \
         missed={:.1}% uneven={uneven:.2} bytes/s={bytes:.0}",
        100.0 * missed
    );
    for used in &report.cold {
        println!(
            "  cold worker {}: postings={} work={:.2}s of_half={:.2} worst_window={:.2}",
            used.worker, used.postings, used.work_s, used.of_half, used.worst
        );
    }
    for broken in &report.violations {
        println!(
            "  RULE {} broken at {} ms: {}",
            broken.rule, broken.at_ms, broken.what
        );
    }
}

fn run(cli: &Cli) -> Result<bool, RigError> {
    let one = |scenario: Scenario| {
        let report = play(&scenario, cli.logs.as_deref())?;
        show(&report, cli.json);
        Ok(report.violations.is_empty())
    };
    match &cli.command {
        Command::Run { file, seed } => {
            let mut scenario = Scenario::load(file)?;
            scenario.seed = seed.unwrap_or(scenario.seed);
            one(scenario)
        }
        Command::Replay { seed } => one(Scenario::drawn(*seed)),
        Command::Scale(scale) => scale.run(cli.json),
        Command::Hollow(hollow) => hollow
            .run()
            .map(|()| true)
            .map_err(|what| RigError::Child { what }),
        Command::Draw { seed } => {
            print!(
                "{}",
                toml::to_string(&Scenario::drawn(*seed)).unwrap_or_default()
            );
            Ok(true)
        }
        Command::Explore { seeds, first, jobs } => {
            let (next, ended) = (AtomicU64::new(*first), AtomicU64::new(0));
            let state = Mutex::new((0_u64, None));
            // Processes are tied to the threads that start them, and these last as long as their plays.
            thread::scope(|scope| {
                for _ in 0..(*jobs).max(1) {
                    scope.spawn(|| {
                        loop {
                            let seed = next.fetch_add(1, Ordering::SeqCst);
                            if seed >= first + seeds {
                                return;
                            }
                            let played = play(&Scenario::drawn(seed), None);
                            let done = ended.fetch_add(1, Ordering::SeqCst) + 1;
                            let Ok(mut state) = state.lock() else { return };
                            match played {
                                Ok(report) => {
                                    state.0 += u64::from(!report.violations.is_empty());
                                    if cli.json || !report.violations.is_empty() {
                                        show(&report, cli.json);
                                    }
                                }
                                Err(fault) => state.1 = Some(fault),
                            }
                            if std::io::stderr().is_terminal() {
                                eprint!("\r{done} of {seeds}, {} broke a rule ", state.0);
                            }
                        }
                    });
                }
            });
            let (broke, fault) = state.into_inner().unwrap_or((0, None));
            match fault {
                Some(fault) => Err(fault),
                None => {
                    eprintln!("{seeds} played, {broke} broke a rule");
                    Ok(broke == 0)
                }
            }
        }
    }
}

fn main() -> ExitCode {
    match run(&Cli::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(fault) => {
            eprintln!("rosewall-testbed: {fault}");
            ExitCode::from(2)
        }
    }
}
