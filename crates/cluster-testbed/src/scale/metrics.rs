//! Metrics of a measurement by name, for bounds and fits.
use super::command::ArgumentError;
use super::{Measurement, RoleCost};

/// A function that reads a metric from a measurement.
pub type Metric = fn(&Measurement) -> f64;

const METRICS: &[(&str, Metric)] = &[
    ("view_s", |m| m.agreement_s),
    ("healed_s", |m| m.recovery_s),
    ("change_s", |m| m.change_max_s),
    ("change_mean_s", |m| m.change_mean_s),
    ("changes_open", |m| m.changes_pending as f64),
    ("ready_s", |m| m.ready_p90_s),
    ("cpu_percent", |m| m.dispatcher.cpu_percent),
    ("keeper_cpu_percent", |m| m.quorum_member.cpu_percent),
    ("hollow_cpu_percent", |m| m.simulated_dispatcher.cpu_percent),
    ("cpu_us_start", |m| m.cpu_us_per_start),
    ("resident_mb", |m| m.dispatcher.resident_mb),
    ("hollow_resident_mb", |m| m.simulated_dispatcher.resident_mb),
    ("keeper_resident_mb", |m| m.quorum_member.resident_mb),
    ("bytes", |m| per_dispatcher(m, role_bytes)),
    ("datagrams", |m| {
        per_dispatcher(m, |role| role.datagrams_out + role.datagrams_in)
    }),
    ("list_bytes", |m| {
        per_dispatcher(m, |role| role.discovery_bytes)
    }),
    ("keeper_bytes", |m| role_bytes(&m.quorum_member)),
    ("discovery_cpu_percent", |m| m.discovery.cpu_percent),
    ("urgent_p99_ms", |m| m.urgent.p99),
    ("usual_p99_ms", |m| m.non_urgent.p99),
    ("failed", |m| unsuccessful_share(m)),
    ("cold_worst", |m| m.worst_window),
    ("memory_mb", |m| m.memory_mb),
];

fn role_bytes(role: &RoleCost) -> f64 {
    role.bytes_out + role.bytes_in + role.discovery_bytes
}

/// Mean over all real and simulated dispatchers that are not quorum members.
fn per_dispatcher(measurement: &Measurement, of: impl Fn(&RoleCost) -> f64) -> f64 {
    let real = &measurement.dispatcher;
    let simulated = &measurement.simulated_dispatcher;
    let count = real.count + simulated.count;
    let total = of(real) * real.count as f64 + of(simulated) * simulated.count as f64;
    total / count.max(1) as f64
}

/// Fraction of the requests sent in the measured time that ended without success.
fn unsuccessful_share(measurement: &Measurement) -> f64 {
    let load = &measurement.load;
    let unsuccessful = load.rejected + load.failed + load.other + load.lost;
    unsuccessful as f64 / load.requests.max(1) as f64
}

/// Returns the metric with this name.
pub fn metric(name: &str) -> Result<Metric, ArgumentError> {
    let found = METRICS.iter().find(|(known, _)| *known == name);
    let known = || METRICS.iter().map(|(name, _)| *name).collect::<Vec<_>>();
    found
        .map(|(_, metric)| *metric)
        .ok_or_else(|| ArgumentError::unknown_name(name, &known()))
}
