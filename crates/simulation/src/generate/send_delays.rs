//! Faults that delay attempts between the decision to send them and their last byte: late connections,
//! small receive windows, and hold-ups of the dispatchers. Resets shortly before the end of a retry
//! window precede them.
use crate::rng::Rng;
use crate::scenario::{Fault, FaultKind, Scenario};

/// Random stream of these faults.
const STREAM: u64 = 3;

/// Least time between two hold-ups, in milliseconds. Deadlines allow for one at a time.
const HOLD_UP_INTERVAL_MS: f64 = 700.0;

/// Returns a generated scenario with these faults in addition to its own.
pub fn with_send_delays(mut scenario: Scenario) -> Scenario {
    let mut rng = Rng::new(scenario.seed, STREAM);
    let at_ms = rng.range(300, scenario.length_ms) as f64;
    for index in 0..rng.range(0, 4) {
        scenario.faults.push(Fault {
            kind: FaultKind::HoldUp,
            at_ms: at_ms + index as f64 * HOLD_UP_INTERVAL_MS + rng.range(0, 300) as f64,
            target: rng.index(scenario.dispatchers),
            duration_ms: *rng.choose(&[20.0, 80.0, 145.0]),
            share: 1.0,
            class: 0,
        });
    }
    for target in 0..scenario.workers.len() {
        let kinds = [
            *rng.choose(&[FaultKind::LateConnections, FaultKind::LateAccepts]),
            FaultKind::ResetBeforeWindowEnd,
        ];
        for kind in kinds {
            scenario.faults.push(Fault {
                kind,
                at_ms,
                target,
                duration_ms: *rng.choose(&[400.0, 1000.0, 2500.0]),
                share: *rng.choose(&[0.3, 0.5, 1.0]),
                class: 0,
            });
        }
    }
    scenario
}
