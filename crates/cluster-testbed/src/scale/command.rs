//! The command `scale`: one play or a slope of them, as a table or as lines of JSON, and bounds that end it with a failure.
use crate::error::TestbedError;
use crate::scale::fit::{Line, Predicted, line, predicted};
use crate::scale::plan::{Kind, Plan};
use crate::scale::{Measured, Role, play};
use clap::Args;
use serde::Serialize;

type Figure = fn(&Measured) -> f64;

/// What can be bounded or fitted, by name.
const FIGURES: &[(&str, Figure)] = &[
    ("view_s", |m| m.view_s),
    ("healed_s", |m| m.healed_s),
    ("change_s", |m| m.change_most_s),
    ("change_mean_s", |m| m.change_mean_s),
    ("changes_open", |m| m.changes_open as f64),
    ("ready_s", |m| m.ready_p90_s),
    ("cpu_percent", |m| m.dispatcher.cpu_percent),
    ("keeper_cpu_percent", |m| m.keeper.cpu_percent),
    ("hollow_cpu_percent", |m| m.hollow.cpu_percent),
    ("cpu_us_start", |m| m.cpu_us_start),
    ("resident_mb", |m| m.dispatcher.resident_mb),
    ("hollow_resident_mb", |m| m.hollow.resident_mb),
    ("keeper_resident_mb", |m| m.keeper.resident_mb),
    ("bytes", |m| {
        each(m, |role| role.bytes_out + role.bytes_in + role.list_bytes)
    }),
    ("datagrams", |m| {
        each(m, |role| role.datagrams_out + role.datagrams_in)
    }),
    ("list_bytes", |m| each(m, |role| role.list_bytes)),
    ("keeper_bytes", |m| {
        m.keeper.bytes_out + m.keeper.bytes_in + m.keeper.list_bytes
    }),
    ("discovery_cpu_percent", |m| m.discovery.cpu_percent),
    ("urgent_p99_ms", |m| m.urgent.p99),
    ("usual_p99_ms", |m| m.usual.p99),
    ("failed", |m| failed(m)),
    ("cold_worst", |m| m.cold_worst),
    ("memory_mb", |m| m.memory_mb),
];

/// A figure of all dispatchers that are no control machines, real or hollow.
fn each(measured: &Measured, of: impl Fn(&Role) -> f64) -> f64 {
    let (real, hollow) = (&measured.dispatcher, &measured.hollow);
    let count = real.count + hollow.count;
    (of(real) * real.count as f64 + of(hollow) * hollow.count as f64) / count.max(1) as f64
}

/// Txns of the measured time that were answered otherwise than settled, or not at all, over all that were asked then.
fn failed(measured: &Measured) -> f64 {
    let asked = &measured.asked;
    let failed = asked.declined + asked.reversed + asked.other + asked.lost;
    failed as f64 / asked.asked.max(1) as f64
}

fn figure(name: &str) -> Result<Figure, String> {
    let found = FIGURES
        .iter()
        .find(|(known, _)| *known == name)
        .map(|(_, of)| *of);
    let known = || {
        FIGURES
            .iter()
            .map(|(name, _)| *name)
            .collect::<Vec<_>>()
            .join(", ")
    };
    found.ok_or_else(|| format!("{name:?} is none of {}", known()))
}

/// `NAME=NUMBER`.
fn bound(text: &str) -> Result<(String, f64), String> {
    let (name, value) = text
        .split_once('=')
        .ok_or(format!("{text:?} is no NAME=NUMBER"))?;
    figure(name)?;
    let value = value
        .parse()
        .map_err(|_| format!("{value:?} is no number"))?;
    Ok((name.to_string(), value))
}

/// `NAME=NUMBER,NUMBER,...`.
fn sizes(text: &str) -> Result<(String, Vec<f64>), String> {
    let (name, values) = text
        .split_once('=')
        .ok_or(format!("{text:?} is no NAME=NUMBER,NUMBER"))?;
    let values: Result<Vec<f64>, _> = values.split(',').map(str::parse).collect();
    let values = values.map_err(|_| format!("{text:?} is no NAME=NUMBER,NUMBER"))?;
    Plan::default().set(name, 1.0)?;
    Ok((name.to_string(), values))
}

#[derive(Args)]
pub struct Scale {
    #[command(flatten)]
    plan: Plan,
    /// A bound, NAME=NUMBER, again for each; exit code 1 where a play passes one. Names: view_s, healed_s, change_s, ready_s,
    /// cpu_percent, resident_mb, bytes, urgent_p99_ms, failed, cold_worst and others that a wrong one lists
    #[arg(long = "most", value_name = "BOUND", value_parser = bound)]
    most: Vec<(String, f64)>,
    /// Sizes to play instead of one, NAME=NUMBER,NUMBER,...; each `--slope` is fitted through them
    #[arg(long, value_name = "SIZES", value_parser = sizes)]
    sweep: Option<(String, Vec<f64>)>,
    /// How often each size is played
    #[arg(long, default_value_t = 1)]
    repeats: u64,
    /// What is fitted against the sizes, by the names of bounds
    #[arg(long = "slope", value_name = "NAME", value_parser = |text: &str| figure(text).map(|_| text.to_string()))]
    slopes: Vec<String>,
}

#[derive(Serialize)]
struct Fitted<'a> {
    slope_of: &'a str,
    against: &'a str,
    points: Vec<(f64, f64)>,
    line: Option<Line>,
    left_out: Option<Predicted>,
}

fn role(name: &str, role: &Role) {
    if role.count == 0 {
        return;
    }
    println!(
        "  {name:<11} {:>5}  {:>8.3}% (most {:>7.3}%)  {:>7.2} MB (most {:>7.2})  {:>7.1} {:>7.1}  {:>8.0} {:>8.0}  {:>8.0}",
        role.count,
        role.cpu_percent,
        role.cpu_most,
        role.resident_mb,
        role.resident_most,
        role.datagrams_out,
        role.datagrams_in,
        role.bytes_out,
        role.bytes_in,
        role.list_bytes
    );
}

fn show(measured: &Measured) {
    let plan = &measured.plan;
    println!(
        "{} real and {} hollow dispatchers, {} workers of {} seats, {} starts/s of {} s, {} teams, {} changes/s, {} s measured",
        plan.dispatchers,
        plan.hollow,
        plan.workers,
        plan.seats,
        plan.starts,
        plan.task_s,
        plan.teams,
        plan.changes,
        plan.seconds
    );
    if plan.starts > 0.0 {
        let running = (plan.starts * plan.task_s) as usize;
        println!(
            "  it began in the steady state: {running} tasks were running, each with what was left of it"
        );
    }
    if let Some(fault) = plan.faults.iter().find(|fault| fault.kind == Kind::Release) {
        println!(
            "  the release of the whole fleet, ten minutes in the plan, took {} s here",
            fault.figure
        );
    }
    println!(
        "  role        count  cpu of a core              resident                      datagrams out, in/s   bytes out, in/s  list B/s"
    );
    role("dispatcher", &measured.dispatcher);
    role("keeper", &measured.keeper);
    role("hollow", &measured.hollow);
    role("workers", &measured.workers);
    role("discovery", &measured.discovery);
    println!(
        "  one view {:.1} s; after the faults {:.1} s; a change taken by the last in {:.3} s (mean {:.3}), {} changes, {} open; \
         {} calls for lists, {} of them for the whole ({:.1} MB)",
        measured.view_s,
        measured.healed_s,
        measured.change_most_s,
        measured.change_mean_s,
        measured.changes,
        measured.changes_open,
        measured.calls,
        measured.whole_lists,
        measured.whole_bytes as f64 / 1e6
    );
    if measured.restarts > 0 {
        println!(
            "  {} real ones restarted, nine in ten ready within {:.2} s, all within {:.2} s",
            measured.restarts, measured.ready_p90_s, measured.ready_most_s
        );
    }
    if plan.starts > 0.0 {
        let (asked, urgent, usual) = (&measured.asked, &measured.urgent, &measured.usual);
        println!(
            "  {} asked: {} settled, {} declined, {} reversed, {} other, {} lost, {} of a dispatcher that was down, the rest still out; from the beginning {} settled, \
             {} not; {} started, {} running, {} new connections, {:.1} us of CPU a start",
            asked.asked,
            asked.settled,
            asked.declined,
            asked.reversed,
            asked.other,
            asked.lost,
            asked.down,
            asked.all_settled,
            asked.all_failed,
            measured.started,
            measured.running,
            measured.connects,
            measured.cpu_us_start
        );
        for (name, starts) in [("urgent", urgent), ("usual", usual)] {
            println!(
                "  {name} work started after ms, from the intended moment: p50 {:.1}, p90 {:.1}, p99 {:.1}, p99.9 {:.1}, most {:.1} ({})",
                starts.p50, starts.p90, starts.p99, starts.p999, starts.most, starts.count
            );
        }
    }
    if measured.cold > 0 {
        println!(
            "  {} cold workers, the worst window {:.2} of what one bears",
            measured.cold, measured.cold_worst
        );
    }
    println!(
        "  {} processes, {:.0} MB resident at most",
        measured.processes, measured.memory_mb
    );
}

impl Scale {
    /// Whether all bounds were kept.
    pub fn run(&self, json: bool) -> Result<bool, TestbedError> {
        let (name, values) = self.sweep.clone().unwrap_or_default();
        let values = if values.is_empty() { vec![0.0] } else { values };
        let (mut kept, mut all) = (true, Vec::new());
        for value in values {
            let mut plan = self.plan.clone();
            if !name.is_empty() {
                plan.set(&name, value)
                    .map_err(|what| TestbedError::Sweep { what })?;
            }
            for repeat in 0..self.repeats.max(1) {
                plan.seed = self.plan.seed + repeat;
                let measured = play(&plan)?;
                match json {
                    true => println!("{}", serde_json::to_string(&measured).unwrap_or_default()),
                    false => show(&measured),
                }
                for (name, most) in &self.most {
                    let value =
                        figure(name).map_err(|what| TestbedError::Sweep { what })?(&measured);
                    if value > *most {
                        kept = false;
                        eprintln!("  PASSED: {name} is {value:.3}, at most {most} was allowed");
                    }
                }
                all.push((value, measured));
            }
        }
        for slope in &self.slopes {
            let of = figure(slope).map_err(|what| TestbedError::Sweep { what })?;
            let points: Vec<(f64, f64)> = all
                .iter()
                .map(|(size, measured)| (*size, of(measured)))
                .collect();
            let (line, left_out) = (line(&points), predicted(&points));
            let fitted = Fitted {
                slope_of: slope,
                against: &name,
                points,
                line,
                left_out,
            };
            if json {
                println!("{}", serde_json::to_string(&fitted).unwrap_or_default());
            } else if let (Some(line), Some(left_out)) = (fitted.line, fitted.left_out) {
                println!(
                    "{slope} = {:.4} + {:.6} (+- {:.6}) x {name}; {} left out: {:.4} measured, {:.4} predicted, {:+.0}% off",
                    line.at_zero,
                    line.slope,
                    line.within,
                    left_out.size,
                    left_out.measured,
                    left_out.predicted,
                    100.0 * left_out.off
                );
            }
        }
        Ok(kept)
    }
}
