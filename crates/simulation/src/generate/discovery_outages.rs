//! Outages of discovery around a drain: services that close or fall silent, also one that a new
//! configuration names or that a dispatcher starts beside, for pushed and polled lists.
use crate::rng::Rng;
use crate::scenario::{Fault, FaultKind, Scenario};

/// Random stream of these faults.
const STREAM: u64 = 4;

const OUTAGES: [FaultKind; 4] = [
    FaultKind::EndpointsClosed,
    FaultKind::EndpointsSilent,
    FaultKind::ReloadClosed,
    FaultKind::StartInOutage,
];

/// Longest time from the end of an outage until a list counts as published, in milliseconds.
const NOTICE_MS: f64 = 6_000.0;
/// Time for which requests are sent after a list counts as published and the grace is over.
const LOAD_AFTER_GRACE_MS: f64 = 1_500.0;

/// Returns a generated scenario with one outage and a drain in it, in place of its own faults of
/// lists and dispatchers. Its load goes on until the drain counts as published.
pub fn with_discovery_outages(mut scenario: Scenario) -> Scenario {
    let mut rng = Rng::new(scenario.seed, STREAM);
    scenario.polls_endpoints = rng.chance(0.5);
    scenario.faults.retain(|fault| fault.kind.targets_worker());
    let kind = *rng.choose(&OUTAGES);
    let target = rng.index(scenario.dispatchers);
    let at_ms = rng.range(500, 1_500) as f64;
    let duration_ms = *rng.choose(&[300.0, 1000.0, 3000.0, 6000.0]);
    scenario.faults.push(Fault {
        kind,
        at_ms,
        target,
        duration_ms,
        share: 1.0,
        class: 0,
    });
    if rng.chance(0.5) {
        scenario.faults.push(Fault {
            kind: FaultKind::ReloadClosed,
            at_ms: at_ms + rng.range(0, 2_000) as f64,
            target,
            duration_ms: *rng.choose(&[300.0, 3000.0]),
            share: 1.0,
            class: 0,
        });
    }
    // Before a start in an outage the agent learns of the drain in time; in the others the
    // dispatcher learns of it only after them.
    let drain_delay = match kind {
        FaultKind::StartInOutage => rng.range(1, 100) as f64,
        _ => rng.range(0, duration_ms as u64 + 500) as f64,
    };
    let end_ms = at_ms + 2_500.0 + duration_ms + NOTICE_MS;
    let end_ms = end_ms + scenario.rules.drain_grace_ms as f64 + LOAD_AFTER_GRACE_MS;
    scenario.faults.push(Fault {
        kind: FaultKind::Drain,
        at_ms: at_ms + drain_delay,
        target: rng.index(scenario.workers.len()),
        duration_ms: end_ms,
        share: 1.0,
        class: 0,
    });
    scenario.length_ms = scenario.length_ms.max(end_ms as u64);
    scenario
}
