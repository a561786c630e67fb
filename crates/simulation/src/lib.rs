//! Deterministic simulation of dispatchers with network, clients, workers and discovery on a
//! virtual clock. The dispatchers run the daemon's own code, drivers included; everything else is
//! simulated. A checker with its own record of events reports violations of the rules. The same
//! scenario and seed always give the same simulation, byte for byte.

pub mod checker;
mod client;
mod context;
mod discovery;
pub mod explore;
mod fault_interval;
pub mod generate;
mod http;
mod kernel;
#[cfg(feature = "mutations")]
pub mod mutation;
mod network;
mod rng;
pub mod scenario;
pub mod shrink;
pub mod simulation;
mod time;
mod timeline;
mod worker;

use serde::Serializer;

/// Serializes a digest as hexadecimal digits.
fn hex_digest<S: Serializer>(digest: &u64, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&format!("{digest:016x}"))
}
