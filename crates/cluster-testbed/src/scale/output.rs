//! Output of the command `scale`.
use super::command::FittedSlope;
use super::plan::FaultKind;
use super::workers::StartTimes;
use super::{Measurement, RoleCost};

/// Prints a measurement as text, or as one line of JSON.
pub fn print_measurement(measurement: &Measurement, json: bool) {
    if json {
        println!("{}", serde_json::to_string(measurement).unwrap_or_default());
        return;
    }
    print_plan(measurement);
    print_roles(measurement);
    print_cluster(measurement);
    if measurement.plan.starts > 0.0 {
        print_load(measurement);
    }
    if measurement.replaced_workers > 0 {
        println!(
            "  {} workers replaced; their worst window had {:.2} of the overload limit",
            measurement.replaced_workers, measurement.worst_window
        );
    }
    println!(
        "  {} processes, {:.0} MB resident at most",
        measurement.processes, measurement.memory_mb
    );
}

fn print_plan(measurement: &Measurement) {
    let plan = &measurement.plan;
    println!(
        "{} real and {} simulated dispatchers, {} workers of {} concurrency slots, {} requests/s of {} s, {} tenants, {} list changes/s, {} s measured",
        plan.dispatchers,
        plan.simulated_dispatchers,
        plan.workers,
        plan.slots,
        plan.starts,
        plan.service_time_s,
        plan.tenants,
        plan.changes,
        plan.seconds
    );
    if plan.starts > 0.0 {
        println!(
            "  it began in the steady state: {} tasks were running, each with a random remainder of its service time",
            plan.initial_requests()
        );
    }
    let mut faults = plan.faults.iter();
    if let Some(fault) = faults.find(|fault| fault.kind == FaultKind::Release) {
        println!(
            "  the release of the whole fleet, planned for ten minutes, took {} s here",
            fault.value
        );
    }
}

fn print_roles(measurement: &Measurement) {
    println!(
        "  role        count  CPU of a core              resident                      datagrams out, in/s   bytes out, in/s  list B/s"
    );
    print_role("dispatcher", &measurement.dispatcher);
    print_role("quorum", &measurement.quorum_member);
    print_role("simulated", &measurement.simulated_dispatcher);
    print_role("workers", &measurement.workers);
    print_role("discovery", &measurement.discovery);
}

fn print_role(name: &str, role: &RoleCost) {
    if role.count == 0 {
        return;
    }
    println!(
        "  {name:<11} {:>5}  {:>8.3}% (max {:>8.3}%)  {:>7.2} MB (max {:>8.2})  {:>7.1} {:>7.1}  {:>8.0} {:>8.0}  {:>8.0}",
        role.count,
        role.cpu_percent,
        role.cpu_percent_max,
        role.resident_mb,
        role.resident_mb_max,
        role.datagrams_out,
        role.datagrams_in,
        role.bytes_out,
        role.bytes_in,
        role.discovery_bytes
    );
}

fn print_cluster(measurement: &Measurement) {
    println!(
        "  agreement after {:.1} s; after the faults {:.1} s; change applied by the last dispatcher within {:.3} s (mean {:.3}), {} changes, {} pending; \
         {} watches, {} of them answered with the full list ({:.1} MB)",
        measurement.agreement_s,
        measurement.recovery_s,
        measurement.change_max_s,
        measurement.change_mean_s,
        measurement.changes,
        measurement.changes_pending,
        measurement.watches,
        measurement.full_lists,
        measurement.full_list_bytes as f64 / 1e6
    );
    if measurement.restarts > 0 {
        println!(
            "  {} real dispatchers restarted, nine in ten ready within {:.2} s, all within {:.2} s",
            measurement.restarts, measurement.ready_p90_s, measurement.ready_max_s
        );
    }
}

fn print_load(measurement: &Measurement) {
    let load = &measurement.load;
    println!(
        "  {} requests: {} succeeded, {} rejected, {} failed, {} other, {} lost, {} to a dispatcher that was not running, the rest in flight; with the initial requests {} succeeded, \
         {} did not; {} started, {} running, {} new connections, {:.1} us of CPU per start",
        load.requests,
        load.succeeded,
        load.rejected,
        load.failed,
        load.other,
        load.lost,
        load.down,
        load.all_succeeded,
        load.all_failed,
        measurement.started,
        measurement.running,
        measurement.connects,
        measurement.cpu_us_per_start
    );
    print_start_times("urgent", &measurement.urgent);
    print_start_times("non-urgent", &measurement.non_urgent);
}

fn print_start_times(class: &str, times: &StartTimes) {
    println!(
        "  {class} requests, ms from sending to the start: p50 {:.1}, p90 {:.1}, p99 {:.1}, p99.9 {:.1}, max {:.1} ({})",
        times.p50, times.p90, times.p99, times.p999, times.max, times.count
    );
}

/// Prints a fitted slope as text, or as one line of JSON.
pub fn print_slope(slope: &FittedSlope, json: bool) {
    if json {
        println!("{}", serde_json::to_string(slope).unwrap_or_default());
    } else if let (Some(line), Some(prediction)) = (slope.line, slope.prediction) {
        println!(
            "{} = {:.4} + {:.6} (+- {:.6}) x {}; {} left out: {:.4} measured, {:.4} predicted, error {:+.0}%",
            slope.metric,
            line.intercept,
            line.slope,
            line.slope_margin,
            slope.parameter,
            prediction.size,
            prediction.measured,
            prediction.predicted,
            100.0 * prediction.relative_error
        );
    }
}
