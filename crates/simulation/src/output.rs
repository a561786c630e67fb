//! Text output of the command. Scripts parse the counts in these lines.
use crate::cli::Source;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use rosewall_simulation::explore::Summary;
use rosewall_simulation::scenario::Scenario;
use rosewall_simulation::simulation::Report;
use std::io::{IsTerminal, Write};
use std::time::Duration;

/// Returns a progress bar on standard error, hidden unless that is a terminal.
pub fn progress_bar(length: u64) -> ProgressBar {
    if !std::io::stderr().is_terminal() {
        return ProgressBar::with_draw_target(Some(length), ProgressDrawTarget::hidden());
    }
    let style =
        ProgressStyle::with_template("{bar:40} {pos}/{len} simulations, {per_sec}, {eta} left");
    ProgressBar::new(length).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

/// Prints a line on standard output.
pub fn print(line: &str) {
    // A closed pipe, as with `| head`, is not an error.
    let _ = writeln!(std::io::stdout(), "{line}");
}

/// Prints the violations of a simulation.
pub fn print_violations(report: &Report) {
    for violation in &report.violations {
        print(&format!(
            "  {:>10.3} ms  {:?}: {}",
            violation.at_ms, violation.rule, violation.text
        ));
    }
}

/// Prints the command that replays a simulation.
pub fn print_replay_command(seed: u64, source: &Source) {
    let scenario = source
        .scenario
        .as_ref()
        .map(|path| format!(" --scenario {}", path.display()))
        .unwrap_or_default();
    let dispatchers = source
        .dispatchers
        .map(|count| format!(" --dispatchers {count}"))
        .unwrap_or_default();
    print(&format!(
        "seed {seed}: rosewall-simulate replay --seed {seed}{scenario}{dispatchers} --trace"
    ));
}

/// Prints the closing line of an exploration.
pub fn print_summary(summary: &Summary, elapsed: Duration) {
    print(&format!(
        "{} worlds, {} steps, {} requests, {} attempts, {:.0} virtual s, {} with violations, {} fell by root, digest {:016x}, {:.1} s",
        summary.simulations,
        summary.steps,
        summary.requests,
        summary.attempts,
        summary.virtual_s,
        summary.violations,
        summary.overloaded_workers,
        summary.digest,
        elapsed.as_secs_f64()
    ));
}

/// Prints the timeline, the violations and the closing line of one simulation.
pub fn print_report(report: &Report) {
    for line in &report.trace {
        print(&format!("{:>10.3} ms  {}", line.at_ms, line.text));
    }
    print_violations(report);
    let counts = &report.counts;
    print(&format!(
        "{} steps, {:.1} virtual s, {} requests: {} succeeded, {} rejected, {} failed, {} disconnected, {} exempted; \
         {} attempts; {} violations, digest {:016x}",
        report.steps,
        report.virtual_s,
        counts.requests,
        counts.succeeded,
        counts.rejected,
        counts.failed,
        counts.disconnected,
        counts.exempted,
        counts.attempts,
        report.violations.len(),
        report.digest
    ));
}

/// Prints the size of a reduced scenario on standard error.
pub fn print_shrinking_progress(scenario: &Scenario) {
    eprintln!(
        "{} faults, {} loads, {} misbehaving clients, {} single requests, {} ms",
        scenario.faults.len(),
        scenario.loads.len(),
        scenario.misbehaving_clients.len(),
        scenario.requests.len(),
        scenario.length_ms
    );
}
