//! Clients that write slowly, flood a connection, or leave with much unread.
use crate::rng::Rng;
use crate::scenario::{MisbehavingClient, Misbehaviour, Scenario};

/// Random stream of these clients.
const STREAM: u64 = 5;

const KINDS: [Misbehaviour; 4] = [
    Misbehaviour::LeaveUnread,
    Misbehaviour::LeaveUnread,
    Misbehaviour::Flood,
    Misbehaviour::Trickle,
];

/// Returns a generated scenario with these clients in addition to its own.
pub fn with_demanding_clients(mut scenario: Scenario) -> Scenario {
    let mut rng = Rng::new(scenario.seed, STREAM);
    for _ in 0..rng.range(1, 4) {
        scenario.misbehaving_clients.push(MisbehavingClient {
            at_ms: rng.range(100, scenario.length_ms) as f64,
            kind: *rng.choose(&KINDS),
            count: *rng.choose(&[1, 2, 4]),
            dispatcher: rng.index(scenario.dispatchers),
        });
    }
    scenario
}
