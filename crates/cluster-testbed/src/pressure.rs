//! One dispatcher at its limits on memory, descriptors and processor time, with misbehaving clients beside regular
//! ones. The report counts what workers and clients recorded, and the peak memory of the process.
mod attack;
mod client;
mod misbehaving_client;
mod misbehaviour;
mod report;
mod worker;

pub use misbehaviour::Misbehaviour;
pub use report::PressureReport;

use crate::process::child_command;
use crate::scale::system::peak_resident_bytes;
use crate::stubs::{Daemon, Discovery, configuration, endpoint_json};
use attack::{Attack, MisbehavingClients};
use client::RegularClients;
use std::process::{Child, Stdio};
use std::time::{Duration, Instant};
use worker::RecordingWorker;

/// Number of workers.
const WORKERS: usize = 4;
/// Time from the last misbehaviour to the end, in which regular clients are still served.
const RECOVERY: Duration = Duration::from_secs(3);

/// Settings of one run.
#[derive(Clone, Copy, Debug)]
pub struct Pressure {
    /// What the misbehaving clients do.
    pub misbehaviour: Misbehaviour,
    /// Number of misbehaving connections at a time.
    pub connections: usize,
    /// Time for which the clients misbehave.
    pub duration: Duration,
    /// Seed of all random choices.
    pub seed: u64,
    /// Memory limit of the dispatcher in MB.
    pub memory_mb: u64,
    /// Limit on descriptors.
    pub sockets: usize,
    /// Core that the dispatcher shares with busy processes; `None` for the whole machine.
    pub shared_core: Option<usize>,
    /// Number of busy processes on the shared core. The dispatcher gets an equal share beside them.
    pub busy_processes: usize,
}

impl Pressure {
    /// Runs a dispatcher under this pressure. Panics if the processes or stubs cannot be started.
    pub fn run(&self) -> PressureReport {
        let started_at = Instant::now();
        let workers: Vec<RecordingWorker> = (0..WORKERS)
            .map(|_| RecordingWorker::start(started_at))
            .collect();
        let hosts = workers.iter().enumerate();
        let hosts = hosts
            .map(|(index, worker)| endpoint_json(&format!("w{index}"), &worker.address, "ready"));
        let discovery = Discovery::start(hosts.collect());
        let mut config = configuration(&discovery.address, self.sockets);
        config["limits"]["memory_mb"] = self.memory_mb.into();
        let daemon = Daemon::start_after_shell_command(&self.prelude(), &config);
        let _busy: Vec<BusyProcess> = self.shared_core.map_or_else(Vec::new, |core| {
            let start = |_| BusyProcess::start(core);
            (0..self.busy_processes).filter_map(start).collect()
        });
        daemon.wait_until_ready();
        let misbehaving_until = Instant::now() + self.duration;
        let regular = RegularClients::start(&daemon.address, misbehaving_until + RECOVERY);
        let attack = Attack {
            address: daemon.address.clone(),
            until: misbehaving_until,
            started_at,
            seed: self.seed,
        };
        let misbehaving =
            MisbehavingClients::start(self.misbehaviour, self.connections, &attack).join();
        let outcomes = regular.join();
        let has_crashed = !daemon.is_running();
        let executions = workers.iter().flat_map(RecordingWorker::executions);
        PressureReport::new(
            peak_resident_bytes(daemon.pid()),
            has_crashed,
            &outcomes,
            &misbehaving,
            executions.collect(),
        )
    }

    /// Returns the shell commands that limit the dispatcher before it starts.
    fn prelude(&self) -> String {
        let limit = format!("ulimit -n {}", self.sockets);
        match self.shared_core {
            None => limit,
            Some(core) => format!("{limit}; taskset -pc {core} $$ >/dev/null 2>&1 || true"),
        }
    }
}

/// A process that keeps one core busy, so that a dispatcher on it gets a share of it.
struct BusyProcess(Child);

impl BusyProcess {
    /// Starts a process on this core; `None` if the system cannot.
    fn start(core: usize) -> Option<BusyProcess> {
        let prelude = format!("taskset -pc {core} $$ >/dev/null 2>&1 || exit 1");
        let mut command = child_command(&prelude, "/bin/sh".as_ref());
        let command = command.args(["-c", "while :; do :; done"]);
        command.stdin(Stdio::null()).spawn().ok().map(BusyProcess)
    }
}

impl Drop for BusyProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
