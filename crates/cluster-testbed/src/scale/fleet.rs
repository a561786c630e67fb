//! A large fleet: real and simulated dispatchers, simulated workers and discovery, and a relay between dispatchers.
mod agreement;
mod costs;
mod events;
mod files;
mod lifecycle;
mod limits;
mod measure;
mod setup;

use super::control::SimulatedProcess;
use super::load::ClientAddresses;
use super::plan::Plan;
use crate::process::Process;
use crate::relay::Relay;
use crate::worker::SlowStart;
use lifecycle::Transition;
use limits::ResourceWatch;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The port of datagrams; each dispatcher has a loopback address of its own.
const DATAGRAM_PORT: u16 = 7946;
/// How many dispatchers have addresses that differ only in the last byte.
const ADDRESSES_PER_SUBNET: usize = 250;
/// How often transitions are looked at where nothing else goes on.
const TRANSITION_POLL: Duration = Duration::from_millis(5);

/// How new workers warm up: a fifth of their capacity at first, all of it after 20 s; they are overloaded at four times
/// what they can do in a second.
pub const SLOW_START: SlowStart = SlowStart {
    initial_share: 0.2,
    duration: Duration::from_secs(20),
    overload_multiple: 4.0,
    window: Duration::from_secs(1),
};

/// A process with many simulated dispatchers.
struct SimulatedDispatchers {
    process: SimulatedProcess,
    numbers: Vec<usize>,
}

/// All that runs for one plan. Its processes end with it.
pub(super) struct Fleet {
    plan: Plan,
    folder: PathBuf,
    relay: Relay,
    workers: SimulatedProcess,
    discovery: SimulatedProcess,
    /// Real dispatchers, by their numbers.
    real: Vec<Option<Process>>,
    simulated: Vec<SimulatedDispatchers>,
    /// Whether each dispatcher is meant to run.
    should_run: Vec<bool>,
    client_addresses: ClientAddresses,
    /// The workers as discovery publishes them.
    endpoints: Vec<Value>,
    transitions: Vec<Transition>,
    /// Seconds from the start of a process until it was ready.
    ready_s: Vec<f64>,
    /// The second byte of the loopback addresses of its dispatchers.
    subnet: u8,
    resources: ResourceWatch,
    /// Seconds from the last start until all members agreed on who they are.
    agreement_s: f64,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.real.clear();
        self.simulated.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Where a dispatcher gets its datagrams.
    fn datagram_address(&self, number: usize) -> SocketAddr {
        let third = (number / ADDRESSES_PER_SUBNET) as u8;
        let fourth = (number % ADDRESSES_PER_SUBNET + 1) as u8;
        ([127, self.subnet, third, fourth], DATAGRAM_PORT).into()
    }

    /// Whether a dispatcher is a process of its own.
    fn is_real(&self, number: usize) -> bool {
        number < self.plan.dispatchers
    }
}
