//! Implementation of the subcommands.
use crate::cli::{Cli, Command, SeedRange, Selection, Source};
use crate::output::{
    print, print_replay_command, print_report, print_shrinking_progress, print_summary,
    print_violations, progress_bar,
};
use rosewall_simulation::explore::{explore_with, scenario_for_seed, scenario_with_dispatchers};
use rosewall_simulation::scenario::{self, Scenario, ScenarioError};
use rosewall_simulation::shrink::shrink;
use rosewall_simulation::simulation::{Trace, run_scenario};
use serde::Serialize;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Instant;

/// Result of a completed command, which determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No rule was violated, or all mutations were detected.
    Passed,
    /// A rule was violated, or a mutation was not detected.
    Failed,
}

impl Verdict {
    fn passed_if(condition: bool) -> Self {
        if condition {
            Verdict::Passed
        } else {
            Verdict::Failed
        }
    }
}

/// Error that prevents a command from completing.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A scenario file cannot be read from disk.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// Path of the scenario file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A scenario cannot be written to disk.
    #[error("cannot write {}: {source}", path.display())]
    Write {
        /// Path of the output file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A scenario file is invalid.
    #[error("{}: {source}", path.display())]
    Scenario {
        /// Path of the scenario file.
        path: PathBuf,
        /// The error and its line.
        source: ScenarioError,
    },
    /// A scenario cannot be expressed as TOML.
    #[error(transparent)]
    Print(#[from] ScenarioError),
    /// A result cannot be expressed as JSON.
    #[error("cannot write the result as JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// Neither a seed nor a scenario file was given.
    #[error("either --seed or --scenario is required")]
    NothingSelected,
    /// The simulation to shrink violates no rule.
    #[error("nothing to shrink: the simulation violates no rule")]
    NoViolation,
    /// The build does not include mutations.
    #[cfg(not(feature = "mutations"))]
    #[error("mutations require a build with `--features mutations`")]
    NoMutations,
}

/// Executes a command.
pub fn run(cli: &Cli) -> Result<Verdict, CommandError> {
    match &cli.command {
        Command::Explore { range, source } => run_explore(range, source, cli.json),
        Command::Replay { selection, trace } => run_replay(selection, *trace, cli.json),
        Command::Shrink { selection, out } => run_shrink(selection, out.as_deref(), cli.json),
        Command::Draw { seed } => {
            print(&render_scenario(&scenario_for_seed(*seed, None), cli.json)?);
            Ok(Verdict::Passed)
        }
        Command::Mutations { range } => run_mutations(range, cli.json),
    }
}

fn run_explore(range: &SeedRange, source: &Source, json: bool) -> Result<Verdict, CommandError> {
    let base = load_base(source)?;
    let dispatchers = source.dispatchers.map(usize::from);
    let bar = progress_bar(range.seeds);
    let start = Instant::now();
    let seeds = range.first..range.first.saturating_add(range.seeds);
    let make = |seed| scenario_with_dispatchers(seed, base.as_ref(), dispatchers);
    let summary = explore_with(seeds, range.threads(), make, |report| {
        bar.inc(1);
        if !report.violations.is_empty() && !json {
            bar.suspend(|| {
                print_replay_command(report.seed, source);
                print_violations(report);
            });
        }
    });
    bar.finish_and_clear();
    if json {
        print_json(&summary)?;
    } else {
        print_summary(&summary, start.elapsed());
    }
    Ok(Verdict::passed_if(summary.violations == 0))
}

fn run_replay(selection: &Selection, trace: bool, json: bool) -> Result<Verdict, CommandError> {
    let trace = if trace { Trace::On } else { Trace::Off };
    let report = run_scenario(&selected_scenario(selection)?, trace);
    if json {
        print_json(&report)?;
    } else {
        print_report(&report);
    }
    Ok(Verdict::passed_if(report.violations.is_empty()))
}

fn run_shrink(
    selection: &Selection,
    out: Option<&Path>,
    json: bool,
) -> Result<Verdict, CommandError> {
    let scenario = selected_scenario(selection)?;
    let report = run_scenario(&scenario, Trace::Off);
    let violation = report.violations.first().ok_or(CommandError::NoViolation)?;
    let smallest = shrink(&scenario, violation.rule, print_shrinking_progress);
    let text = render_scenario(&smallest, json)?;
    match out {
        Some(path) => std::fs::write(path, text).map_err(|source| CommandError::Write {
            path: path.to_path_buf(),
            source,
        })?,
        None => print(&text),
    }
    Ok(Verdict::Passed)
}

#[cfg(feature = "mutations")]
fn run_mutations(range: &SeedRange, json: bool) -> Result<Verdict, CommandError> {
    use rosewall_simulation::mutation;
    let mut all_found = true;
    for mutation in mutation::all() {
        let result = mutation::find(*mutation, range.first, range.seeds, range.threads());
        all_found &= result.simulations.is_some();
        if json {
            print_json(&result)?;
            continue;
        }
        let name = &result.mutation;
        match (result.simulations, result.rule) {
            (Some(simulations), Some(rule)) => print(&format!(
                "{name:<22} found after {simulations:>4} simulations by {rule:?}: {}",
                result.text
            )),
            _ => print(&format!(
                "{name:<22} NOT found in {} simulations",
                range.seeds
            )),
        }
    }
    Ok(Verdict::passed_if(all_found))
}

#[cfg(not(feature = "mutations"))]
fn run_mutations(_: &SeedRange, _: bool) -> Result<Verdict, CommandError> {
    Err(CommandError::NoMutations)
}

fn load_scenario(path: &Path) -> Result<Scenario, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|source| CommandError::Read {
        path: path.to_path_buf(),
        source,
    })?;
    scenario::read(&text).map_err(|source| CommandError::Scenario {
        path: path.to_path_buf(),
        source,
    })
}

fn load_base(source: &Source) -> Result<Option<Scenario>, CommandError> {
    source.scenario.as_deref().map(load_scenario).transpose()
}

fn selected_scenario(selection: &Selection) -> Result<Scenario, CommandError> {
    let base = load_base(&selection.source)?;
    let seed = selection
        .seed
        .or(base.as_ref().map(|base| base.seed))
        .ok_or(CommandError::NothingSelected)?;
    let dispatchers = selection.source.dispatchers.map(usize::from);
    Ok(scenario_with_dispatchers(seed, base.as_ref(), dispatchers))
}

fn render_scenario(scenario: &Scenario, json: bool) -> Result<String, CommandError> {
    if json {
        Ok(serde_json::to_string(scenario)?)
    } else {
        Ok(scenario::write(scenario)?)
    }
}

fn print_json(value: &impl Serialize) -> Result<(), CommandError> {
    print(&serde_json::to_string(value)?);
    Ok(())
}
