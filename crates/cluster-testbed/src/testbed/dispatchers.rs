//! Lifecycle of dispatcher processes: configuration files, start, readiness, pause and shutdown.
use super::{Testbed, request_status, write_file};
use crate::checker::Outage;
use crate::error::TestbedError;
use crate::process::Process;
use crate::stubs::configuration;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Limit on each of the two waits of a start, for the log line and for the health endpoint. A process that exceeds it
/// counts as failed.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for a process to exit after SIGTERM. It is killed afterwards, as the platform does.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const HEALTH_REQUEST: &str = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for a resumed process to send answers that were ready at the pause. Its outage ends afterwards.
const RESUME_WAIT: Duration = Duration::from_millis(5);
/// Port for datagrams. Each process has a loopback address of its own.
const DATAGRAM_PORT: u16 = 7946;
const MAX_SOCKETS: usize = 1024;

/// Dispatcher of the scenario, running or not.
#[derive(Default)]
pub(super) struct Dispatcher {
    /// Process, or `None` while the dispatcher does not run.
    pub(super) process: Option<Process>,
    /// Address for clients, or `None` while the dispatcher is not in service.
    pub(super) address: Arc<Mutex<Option<String>>>,
}

impl Dispatcher {
    fn publish_address(&self, address: Option<String>) {
        if let Ok(mut published) = self.address.lock() {
            *published = address;
        }
    }
}

/// Returns the address on which a dispatcher receives datagrams.
pub(super) fn dispatcher_address(subnet: [u8; 2], number: usize) -> String {
    let [second, third] = subnet;
    format!("127.{second}.{third}.{}:{DATAGRAM_PORT}", number + 1)
}

fn last_log_line(process: &Process) -> String {
    process.lines().last().cloned().unwrap_or_default()
}

fn not_ready(dispatcher: usize, last_line: String) -> TestbedError {
    TestbedError::NotReady {
        dispatcher,
        seconds: READY_TIMEOUT.as_secs(),
        last_line,
    }
}

/// Waits until a process is ready and returns its address for clients.
fn wait_for_service(number: usize, process: &Process) -> Result<String, TestbedError> {
    let line = process
        .wait_for_line("listening on ", READY_TIMEOUT)
        .ok_or_else(|| not_ready(number, last_log_line(process)))?;
    let address = line.rsplit(' ').next().unwrap_or_default().to_string();
    let deadline = Instant::now() + READY_TIMEOUT;
    while request_status(&address, HEALTH_REQUEST, HEALTH_TIMEOUT) != Some(200) {
        if Instant::now() > deadline {
            return Err(not_ready(number, last_log_line(process)));
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(address)
}

impl Testbed {
    /// Starts a dispatcher under its default name, without waiting until it is ready.
    pub fn start_dispatcher(&mut self, number: usize) -> Result<(), TestbedError> {
        self.start_dispatcher_as(number, &format!("n{number}"))
    }

    /// Starts a dispatcher under the given member name, without waiting until it is ready.
    pub fn start_dispatcher_as(&mut self, number: usize, name: &str) -> Result<(), TestbedError> {
        let mut document = configuration(&self.discovery.address, MAX_SOCKETS);
        self.apply_settings(number, &mut document["settings"]);
        if self.scenario.fleet.membership {
            document["settings"]["Bounds"]["Peers"] = self.scenario.fleet.peer_load.into();
            let path = self.write(&format!("n{number}.toml"), &self.cluster_file(number, name))?;
            document["cluster"] = path.to_string_lossy().into();
        }
        let path = self.write(&format!("n{number}.json"), &document.to_string())?;
        let log_level = std::env::var("ROSEWALL_LOG").unwrap_or_else(|_| "info".to_string());
        let environment = [
            ("ROSEWALL_SKEW_MS", self.clock_skews_ms[number].to_string()),
            ("ROSEWALL_LOG", log_level),
        ];
        let process = Process::start(number, &path, &environment)?;
        self.dispatchers[number].process = Some(process);
        Ok(())
    }

    fn apply_settings(&self, number: usize, settings: &mut Value) {
        let slow_start = &self.scenario.slow_start;
        let multiple = slow_start
            .configured_multiple
            .unwrap_or(slow_start.overload_multiple);
        let expiry_ns = self.scenario.load.expiry_ms * 1_000_000;
        settings["RegistryMode"] = if self.scenario.fleet.polls_endpoints {
            "on_request".into()
        } else {
            "pushed".into()
        };
        settings["Me"] = number.into();
        settings["Siblings"] = self.scenario.fleet.expected_dispatchers().into();
        settings["Contract"] = json!({
            "ColdFrom": slow_start.initial_share, "ColdNs": slow_start.duration_ms * 1_000_000,
            "FallMultiple": multiple, "FallNs": slow_start.window_ms * 1_000_000,
        });
        let fleet = &self.scenario.fleet;
        if let Some(connect_ms) = fleet.connect_ms {
            settings["Bounds"]["ConnectTimeoutNs"] = (connect_ms * 1_000_000).into();
        }
        if let Some(idle_ms) = fleet.idle_ms {
            settings["Bounds"]["ConnIdleNs"] = (idle_ms * 1_000_000).into();
        }
        for class in settings["Schemes"].as_array_mut().into_iter().flatten() {
            class["ExpiryNs"] = expiry_ns.into();
            class["SlaTimeNs"] = (expiry_ns / 2).into();
            class["WindowNs"] = (self.scenario.load.retry_window().as_nanos() as u64).into();
        }
    }

    /// Returns the cluster file of a dispatcher, in the form that operators write.
    fn cluster_file(&self, number: usize, name: &str) -> String {
        let fleet = &self.scenario.fleet;
        let seeds: Vec<String> = (0..fleet.dispatchers.min(3))
            .map(|seed| dispatcher_address(self.subnet, seed))
            .collect();
        let quorum: Vec<String> = (0..fleet.quorum_members)
            .map(|member| format!("n{member}"))
            .collect();
        format!(
            "version = 1\ncluster = \"rig\"\nname = {name:?}\nlisten = {:?}\nseeds = {seeds:?}\nkeepers = {quorum:?}\n\
             through = {:?}\n",
            dispatcher_address(self.subnet, number),
            self.relay.address.to_string()
        )
    }

    fn write(&self, name: &str, text: &str) -> Result<PathBuf, TestbedError> {
        let path = self.folder.join(name);
        write_file(&path, text)?;
        Ok(path)
    }

    /// Waits until a started dispatcher is ready, then publishes its address to the clients and ends its outage.
    pub fn wait_until_ready(&mut self, number: usize) -> Result<(), TestbedError> {
        let dispatcher = &self.dispatchers[number];
        let Some(process) = &dispatcher.process else {
            return Err(not_ready(number, String::new()));
        };
        let address = wait_for_service(number, process)?;
        dispatcher.publish_address(Some(address));
        self.end_outage(number);
        Ok(())
    }

    fn begin_outage(&mut self, dispatcher: usize) {
        self.outages.push(Outage {
            dispatcher,
            from: Instant::now(),
            to: None,
        });
    }

    fn end_outage(&mut self, dispatcher: usize) {
        let now = Instant::now();
        for outage in &mut self.outages {
            if outage.dispatcher == dispatcher && outage.to.is_none() {
                outage.to = Some(now);
            }
        }
    }

    /// Begins an outage of a dispatcher and withdraws its address from the clients.
    fn take_out_of_service(&mut self, number: usize) {
        self.begin_outage(number);
        self.dispatchers[number].publish_address(None);
    }

    /// Kills a dispatcher with SIGKILL.
    pub fn kill(&mut self, number: usize) {
        self.take_out_of_service(number);
        if let Some(mut process) = self.dispatchers[number].process.take() {
            process.kill();
        }
    }

    /// Pauses a dispatcher with SIGSTOP.
    pub fn pause(&mut self, number: usize) {
        self.begin_outage(number);
        if let Some(process) = &self.dispatchers[number].process {
            process.signal("STOP");
        }
    }

    /// Resumes a paused dispatcher with SIGCONT.
    pub fn resume(&mut self, number: usize) {
        if let Some(process) = &self.dispatchers[number].process {
            process.signal("CONT");
        }
        thread::sleep(RESUME_WAIT);
        self.end_outage(number);
    }

    /// Shuts a dispatcher down with SIGTERM. Its outage begins before the signal, so that the checker does not expect
    /// answers to later requests.
    pub fn shut_down(&mut self, number: usize) {
        self.take_out_of_service(number);
        if let Some(mut process) = self.dispatchers[number].process.take() {
            process.signal("TERM");
            // Waits on another thread, since other faults continue meanwhile. Dropping the process kills it.
            thread::spawn(move || {
                let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
                while !process.has_exited() && Instant::now() < deadline {
                    thread::sleep(POLL_INTERVAL);
                }
            });
        }
    }

    /// Returns the process of a dispatcher, or `None` while it does not run.
    pub fn process(&self, number: usize) -> Option<&Process> {
        self.dispatchers[number].process.as_ref()
    }
}
