//! Starts the processes of a plan and waits until all dispatchers agree on one membership view.
use super::limits::ResourceWatch;
use super::{Fleet, SimulatedDispatchers, TRANSITION_POLL};
use crate::error::TestbedError;
use crate::relay::Relay;
use crate::scale::control::SimulatedProcess;
use crate::scale::plan::{DISPATCHERS_PER_PROCESS, Plan};
use crate::scale::topology::zone;
use serde::Deserialize;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Serial number of the next fleet of this process, which gives each of them its own folder and subnet.
static NEXT_SERIAL: AtomicU32 = AtomicU32::new(0);

/// First answer of a process of simulated workers or discovery.
#[derive(Deserialize)]
struct Ports {
    ports: Vec<u16>,
}

fn create_folder(pid: u32, serial: u32) -> Result<PathBuf, TestbedError> {
    let folder = std::env::temp_dir().join(format!("rosewall-scale-{pid}-{serial}"));
    std::fs::create_dir_all(&folder).map_err(|source| TestbedError::Write {
        path: folder.clone(),
        source,
    })?;
    Ok(folder)
}

fn arguments(words: &[&dyn ToString]) -> Vec<String> {
    words.iter().map(|word| word.to_string()).collect()
}

fn endpoint(number: usize, port: u16) -> Value {
    json!({
        "host": format!("w{number:04}"), "dial": format!("127.0.0.1:{port}"), "site": format!("z{}", zone(number)),
        "class": "m1", "block": 0, "health": "ready", "share": 1.0, "born_ms": 0
    })
}

/// Starts the workers and returns their process and endpoints.
fn start_workers(plan: &Plan) -> Result<(SimulatedProcess, Vec<Value>), TestbedError> {
    let process = SimulatedProcess::start(&arguments(&[
        &"workers",
        &plan.workers,
        &plan.slots,
        &plan.zone_ms,
        &plan.zones_ms,
        &plan.regions_ms,
    ]))?;
    let Ports { ports } = process.receive()?;
    let endpoints = ports
        .into_iter()
        .enumerate()
        .map(|(number, port)| endpoint(number, port));
    Ok((process, endpoints.collect()))
}

/// Starts discovery with an initial list and returns its process and the port for each dispatcher.
fn start_discovery(
    plan: &Plan,
    endpoints: &[Value],
) -> Result<(SimulatedProcess, Vec<u16>), TestbedError> {
    let words = arguments(&[&"discovery", &plan.all_dispatchers()]);
    let mut process = SimulatedProcess::start(&words)?;
    let Ports { ports } = process.receive()?;
    process.send(&format!("change {}", Value::from(endpoints.to_vec())))?;
    Ok((process, ports))
}

impl Fleet {
    /// Starts all processes of a plan and waits until they are ready and agree.
    pub(in crate::scale) fn start(plan: &Plan) -> Result<Fleet, TestbedError> {
        let pid = std::process::id();
        let serial = NEXT_SERIAL.fetch_add(1, Ordering::SeqCst);
        let folder = create_folder(pid, serial)?;
        let (workers, endpoints) = start_workers(plan)?;
        let (discovery, discovery_ports) = start_discovery(plan, &endpoints)?;
        let relay = Relay::start(plan.seed)?;
        relay.set_zone_latencies(plan.latencies());
        let mut fleet = Fleet {
            plan: plan.clone(),
            folder,
            relay,
            workers,
            discovery,
            real: (0..plan.dispatchers).map(|_| None).collect(),
            simulated: Vec::new(),
            should_run: vec![true; plan.all_dispatchers()],
            client_addresses: Arc::new(Mutex::new(vec![None; plan.dispatchers])),
            endpoints,
            transitions: Vec::new(),
            ready_s: Vec::new(),
            subnet: (32 + (pid + serial) % 32) as u8,
            resources: ResourceWatch::new(),
            agreement_s: 0.0,
        };
        for (number, port) in discovery_ports.into_iter().enumerate() {
            fleet.relay.register(fleet.datagram_address(number), number);
            fleet.write_files(number, port)?;
        }
        fleet.start_dispatchers()?;
        Ok(fleet)
    }

    fn start_dispatchers(&mut self) -> Result<(), TestbedError> {
        self.start_simulated()?;
        let interval = Duration::from_millis(self.plan.start_interval_ms);
        for number in 0..self.plan.dispatchers {
            self.start_real(number)?;
            thread::sleep(interval);
        }
        for simulated in &self.simulated {
            simulated.process.receive::<Value>()?;
        }
        let begin = Instant::now();
        self.finish_transitions()?;
        if !self.plan.without_cluster {
            self.agreement_s = self.wait_for_agreement(begin)?;
        }
        Ok(())
    }

    fn start_simulated(&mut self) -> Result<(), TestbedError> {
        let numbers: Vec<usize> = (self.plan.dispatchers..self.plan.all_dispatchers()).collect();
        for numbers in numbers.chunks(DISPATCHERS_PER_PROCESS) {
            let process = SimulatedProcess::start(&arguments(&[
                &"dispatchers",
                &self.folder.display(),
                &numbers[0],
                &numbers[numbers.len() - 1],
                &self.plan.start_interval_ms,
            ]))?;
            self.simulated.push(SimulatedDispatchers {
                process,
                numbers: numbers.to_vec(),
            });
        }
        Ok(())
    }

    /// Waits until no dispatcher is starting or shutting down.
    pub(super) fn finish_transitions(&mut self) -> Result<(), TestbedError> {
        while !self.transitions.is_empty() {
            self.advance_transitions()?;
            thread::sleep(TRANSITION_POLL);
        }
        Ok(())
    }
}
