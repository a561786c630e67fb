//! Output of the commands that run or print scenarios.
use rosewall_cluster_testbed::scenario::Scenario;
use rosewall_cluster_testbed::testbed::Report;

/// Prints a scenario in the format of scenario files.
pub fn print_scenario(scenario: &Scenario) {
    print!("{}", toml::to_string(scenario).unwrap_or_default());
}

/// Prints a report as text, or as one line of JSON.
pub fn print_report(report: &Report, json: bool) {
    if json {
        println!("{}", serde_json::to_string(report).unwrap_or_default());
    } else {
        print_summary(report);
    }
}

fn print_summary(report: &Report) {
    println!(
        "{} seed={} asked={} settled={} declined={} reversed={} missed={:.1}% uneven={:.2} bytes/s={:.0}",
        report.name,
        report.seed,
        report.requests,
        report.succeeded,
        report.rejected,
        report.failed,
        100.0 * report.unsuccessful_share,
        report.imbalance,
        report.bytes_per_second
    );
    for usage in &report.slow_start {
        println!(
            "  cold worker {}: postings={} work={:.2}s of_half={:.2} worst_window={:.2}",
            usage.worker, usage.requests, usage.work_s, usage.share_of_half, usage.worst_window
        );
    }
    for violation in &report.violations {
        println!(
            "  RULE {} broken at {} ms: {}",
            u8::from(violation.rule),
            violation.at_ms,
            violation.description
        );
    }
}
