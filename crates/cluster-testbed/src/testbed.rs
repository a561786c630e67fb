//! Runs one scenario: daemon processes, simulated workers and discovery, clients, and faults.
mod client;
mod discovery;
mod dispatchers;
mod faults;
mod membership;
mod report;
mod setup;
mod workers;

pub use report::Report;

use crate::checker::{ClientRequest, Drain, Outage};
use crate::error::TestbedError;
use crate::process::Process;
use crate::relay::Relay;
use crate::scenario::Scenario;
use crate::stubs::Discovery;
use crate::worker::Worker;
use client::Client;
pub(crate) use client::request_status;
use dispatchers::Dispatcher;
use rosewall::pcg::Pcg;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which due fault events are applied.
const FAULT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for processes to log their counters after `USR1`.
const COUNTERS_WAIT: Duration = Duration::from_millis(100);

/// Running scenario. Dropping it stops its clients, kills its processes and removes its folder.
pub struct Testbed {
    scenario: Scenario,
    /// Time at which all dispatchers were ready.
    begin: Instant,
    folder: PathBuf,
    discovery: Discovery,
    /// End of the latest outage of discovery.
    discovery_outage_ends: Instant,
    /// Time from which dispatchers are accountable for what was published in that outage.
    accountable_after_outage: Instant,
    relay: Relay,
    /// Second and third byte of the dispatchers' loopback addresses for datagrams.
    subnet: [u8; 2],
    dispatchers: Vec<Dispatcher>,
    workers: Vec<Arc<Worker>>,
    /// Workers in the form of the published endpoint list.
    endpoints: Vec<Value>,
    outages: Vec<Outage>,
    drains: Vec<Drain>,
    requests: Arc<Mutex<Vec<ClientRequest>>>,
    stopped: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
    rng: Pcg,
    clock_skews_ms: Vec<i64>,
}

impl Drop for Testbed {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.dispatchers.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Testbed {
    /// Starts the clients of all dispatchers, each on a thread of its own.
    pub fn start_clients(&mut self) {
        for (number, dispatcher) in self.dispatchers.iter().enumerate() {
            for n in 0..self.scenario.load.clients {
                let seed = (self.rng.unit() * 1e15) as u64;
                let client = Client {
                    name: format!("d{number}-{n}"),
                    dispatcher: number,
                    address: dispatcher.address.clone(),
                    requests: self.requests.clone(),
                    stopped: self.stopped.clone(),
                    rng: Pcg::new(seed),
                    load: self.scenario.load.clone(),
                };
                self.clients.push(thread::spawn(move || client.run()));
            }
        }
    }

    /// Begins and ends each fault at its time. Returns at the end of the scenario.
    pub fn run(&mut self) -> Result<(), TestbedError> {
        let mut timeline = faults::timeline(&self.scenario.faults)
            .into_iter()
            .peekable();
        let duration = Duration::from_secs_f64(self.scenario.seconds);
        while self.begin.elapsed() < duration {
            let elapsed_ms = self.begin.elapsed().as_millis();
            while let Some(event) = timeline.next_if(|event| u128::from(event.at_ms) <= elapsed_ms)
            {
                self.apply(event)?;
            }
            thread::sleep(FAULT_POLL_INTERVAL);
        }
        Ok(())
    }

    /// Writes the log of each running process, with its counters, to `n<number>.log` in a folder.
    pub fn write_logs(&self, folder: &Path) -> Result<(), TestbedError> {
        std::fs::create_dir_all(folder).map_err(|source| TestbedError::Write {
            path: folder.to_path_buf(),
            source,
        })?;
        for process in self.running().map(|(_, process)| process) {
            process.signal("USR1");
        }
        thread::sleep(COUNTERS_WAIT);
        for (number, process) in self.running() {
            let path = folder.join(format!("n{number}.log"));
            write_file(&path, &process.lines().join("\n"))?;
        }
        Ok(())
    }

    fn running(&self) -> impl Iterator<Item = (usize, &Process)> {
        let dispatchers = self.dispatchers.iter().enumerate();
        dispatchers.filter_map(|(number, dispatcher)| Some((number, dispatcher.process.as_ref()?)))
    }
}

fn write_file(path: &Path, text: &str) -> Result<(), TestbedError> {
    std::fs::write(path, text).map_err(|source| TestbedError::Write {
        path: path.to_path_buf(),
        source,
    })
}

/// Runs a scenario from its start to its report. Writes the logs of its processes to `log_folder`, if given.
pub fn run_scenario(
    scenario: &Scenario,
    log_folder: Option<&Path>,
) -> Result<Report, TestbedError> {
    let mut testbed = Testbed::start(scenario)?;
    testbed.start_clients();
    testbed.run()?;
    if let Some(folder) = log_folder {
        testbed.write_logs(folder)?;
    }
    Ok(testbed.finish())
}
