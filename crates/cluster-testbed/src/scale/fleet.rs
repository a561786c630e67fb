//! State of a large fleet: real and simulated dispatchers, simulated workers and discovery, and a relay between
//! dispatchers.
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

/// Port for datagrams, the same for all dispatchers, as each has a separate loopback address.
const DATAGRAM_PORT: u16 = 7946;
/// Dispatchers whose addresses differ only in the last byte.
const ADDRESSES_PER_SUBNET: usize = 250;
/// Interval between checks of transitions while waiting for them.
const TRANSITION_POLL: Duration = Duration::from_millis(5);

/// Slow start of new workers: their capacity grows from a fifth to all of it within 20 s. A worker is overloaded if the
/// work received in one second exceeds four times its capacity.
pub const SLOW_START: SlowStart = SlowStart {
    initial_share: 0.2,
    duration: Duration::from_secs(20),
    overload_multiple: 4.0,
    window: Duration::from_secs(1),
};

/// A process with many simulated dispatchers, and their numbers.
struct SimulatedDispatchers {
    process: SimulatedProcess,
    numbers: Vec<usize>,
}

/// A running fleet. Its processes are killed on drop.
pub(super) struct Fleet {
    plan: Plan,
    folder: PathBuf,
    relay: Relay,
    workers: SimulatedProcess,
    discovery: SimulatedProcess,
    /// Real dispatchers by number; `None` for those that are not running.
    real: Vec<Option<Process>>,
    simulated: Vec<SimulatedDispatchers>,
    /// Whether each dispatcher is expected to run, by number.
    should_run: Vec<bool>,
    client_addresses: ClientAddresses,
    /// Endpoints of the workers as published by discovery.
    endpoints: Vec<Value>,
    /// Dispatchers that are starting or shutting down.
    transitions: Vec<Transition>,
    /// Seconds from each start of a real dispatcher until it was ready.
    ready_s: Vec<f64>,
    /// Second byte of the loopback addresses of the dispatchers.
    subnet: u8,
    resources: ResourceWatch,
    /// Seconds from the last start until all members agreed on one membership view.
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
    /// Returns the address at which a dispatcher receives datagrams.
    fn datagram_address(&self, number: usize) -> SocketAddr {
        let third = (number / ADDRESSES_PER_SUBNET) as u8;
        let fourth = (number % ADDRESSES_PER_SUBNET + 1) as u8;
        ([127, self.subnet, third, fourth], DATAGRAM_PORT).into()
    }

    /// Whether a dispatcher is a real process, not a simulated one.
    fn is_real(&self, number: usize) -> bool {
        number < self.plan.dispatchers
    }
}
