//! Setup of a scenario: workers, discovery, relay and dispatchers, until all dispatchers are ready.
use super::Testbed;
use super::dispatchers::{Dispatcher, dispatcher_address};
use crate::error::TestbedError;
use crate::relay::Relay;
use crate::scenario::{FaultKind, Scenario};
use crate::stubs::{Discovery, endpoint_json};
use crate::worker::{SlowStart, Worker};
use rosewall::pcg::Pcg;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Serial number of the next testbed of this process, which gives each of them its own folder and subnet.
static NEXT_SERIAL: AtomicU32 = AtomicU32::new(0);

fn create_folder(pid: u32, serial: u32) -> Result<PathBuf, TestbedError> {
    let folder = std::env::temp_dir().join(format!("rosewall-testbed-{pid}-{serial}"));
    std::fs::create_dir_all(&folder).map_err(|source| TestbedError::Write {
        path: folder.clone(),
        source,
    })?;
    Ok(folder)
}

fn start_workers(scenario: &Scenario) -> Result<Vec<Arc<Worker>>, TestbedError> {
    let config = &scenario.slow_start;
    let slow_start = SlowStart {
        initial_share: config.initial_share,
        duration: Duration::from_millis(config.duration_ms),
        overload_multiple: config.overload_multiple,
        window: Duration::from_millis(config.window_ms),
    };
    (0..scenario.fleet.workers)
        .map(|_| {
            let window = scenario.load.retry_window();
            Worker::start(scenario.fleet.slots, None, slow_start, window)
        })
        .collect()
}

/// Returns the number of dispatchers that run at any time: those at the start and those that faults start.
fn dispatcher_count(scenario: &Scenario) -> usize {
    let starts = scenario
        .faults
        .iter()
        .filter(|fault| fault.kind == FaultKind::Start);
    let started = starts.flat_map(|fault| &fault.targets);
    let count = started.map(|number| number + 1).max().unwrap_or(0);
    scenario.fleet.dispatchers.max(count)
}

fn generate_clock_skews(rng: &mut Pcg, range_ms: u64, count: usize) -> Vec<i64> {
    let range_ms = range_ms as f64;
    (0..count)
        .map(|_| (range_ms * (rng.unit() - 0.5)) as i64)
        .collect()
}

impl Testbed {
    /// Starts everything but the clients of a scenario and waits until all dispatchers are ready.
    pub fn start(scenario: &Scenario) -> Result<Testbed, TestbedError> {
        let mut testbed = Testbed::prepare(scenario)?;
        testbed.register_addresses()?;
        let dispatchers = scenario.fleet.dispatchers;
        (0..dispatchers).try_for_each(|number| testbed.start_dispatcher(number))?;
        (0..dispatchers).try_for_each(|number| testbed.wait_until_ready(number))?;
        testbed.begin = Instant::now();
        Ok(testbed)
    }

    /// Checks the scenario and starts workers, discovery and the relay.
    fn prepare(scenario: &Scenario) -> Result<Testbed, TestbedError> {
        scenario.check()?;
        let pid = std::process::id();
        let serial = NEXT_SERIAL.fetch_add(1, Ordering::SeqCst);
        let folder = create_folder(pid, serial)?;
        let begin = Instant::now();
        let workers = start_workers(scenario)?;
        let endpoints: Vec<_> = workers
            .iter()
            .enumerate()
            .map(|(number, worker)| {
                endpoint_json(&format!("w{number:02}"), &worker.address, "ready")
            })
            .collect();
        let discovery = Discovery::start(endpoints.clone());
        let relay = Relay::start(scenario.seed)?;
        relay.set_default(scenario.links);
        let mut rng = Pcg::new(scenario.seed);
        let count = dispatcher_count(scenario);
        let clock_skews_ms = generate_clock_skews(&mut rng, scenario.fleet.skew_ms, count);
        Ok(Testbed {
            scenario: scenario.clone(),
            begin,
            folder,
            discovery,
            discovery_outage_ends: begin,
            accountable_after_outage: begin,
            relay,
            subnet: [(64 + pid % 128) as u8, (pid / 128 + serial) as u8],
            dispatchers: (0..count).map(|_| Dispatcher::default()).collect(),
            workers,
            endpoints,
            outages: Vec::new(),
            drains: Vec::new(),
            requests: Arc::new(Mutex::default()),
            stopped: Arc::default(),
            clients: Vec::new(),
            rng,
            clock_skews_ms,
        })
    }

    fn register_addresses(&self) -> Result<(), TestbedError> {
        for number in 0..self.dispatchers.len() {
            let address = dispatcher_address(self.subnet, number)
                .parse()
                .map_err(|_| TestbedError::Socket(std::io::ErrorKind::AddrNotAvailable.into()))?;
            self.relay.register(address, number);
        }
        Ok(())
    }
}
