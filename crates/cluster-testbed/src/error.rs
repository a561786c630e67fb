//! What can go wrong in the testbed itself, each with what to do about it.
use crate::scale::command::ArgumentError;
use crate::scale::control::SimulationError;
use std::io;
use std::path::PathBuf;

/// Why the testbed could not run.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    /// The program under test is not built.
    #[error(
        "RW-RIG-PROGRAM: {path} is not there; build it first (cargo build -p rosewalld) or name it in ROSEWALL_PROGRAM"
    )]
    ProgramMissing {
        /// Where it was looked for.
        path: PathBuf,
    },
    /// A dispatcher did not become ready.
    #[error(
        "RW-RIG-START: dispatcher {dispatcher} was not ready within {seconds} s; its log ends with {last_line:?}; run fewer processes, or look at that line"
    )]
    NotReady {
        /// Its number.
        dispatcher: usize,
        /// How long it was waited for.
        seconds: u64,
        /// The last line of its log.
        last_line: String,
    },
    /// A dispatcher could not be started.
    #[error(
        "RW-RIG-SPAWN: dispatcher {dispatcher} could not be started; raise the limits on processes and descriptors"
    )]
    Spawn {
        /// Its number.
        dispatcher: usize,
        /// What the system said.
        source: io::Error,
    },
    /// There is no loopback socket.
    #[error(
        "RW-RIG-SOCKET: no loopback socket; raise the limit on descriptors (ulimit -n) or run fewer processes"
    )]
    Socket(#[source] io::Error),
    /// A file or folder could not be written.
    #[error("RW-RIG-FOLDER: {path} cannot be written; free the disk or point TMPDIR elsewhere")]
    Write {
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A file could not be read.
    #[error("RW-RIG-READ: {path} cannot be read; check the path")]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A file is not a scenario.
    #[error(
        "RW-RIG-SCENARIO: {path} is no scenario: {source}; `rosewall-testbed draw 1` prints one to start from"
    )]
    Scenario {
        /// The file.
        path: PathBuf,
        /// What is wrong, and where.
        source: toml::de::Error,
    },
    /// A value of a scenario is out of its range.
    #[error("RW-RIG-RANGE: {key} is {value}, allowed is {allowed}; change it in the scenario")]
    OutOfRange {
        /// The key of the value.
        key: &'static str,
        /// The value.
        value: u64,
        /// The range.
        allowed: &'static str,
    },
    /// A sweep names something that does not exist.
    #[error("RW-RIG-SWEEP: {0}; `rosewall-testbed scale --help` lists the names")]
    Sweep(#[from] ArgumentError),
    /// A process of simulated peers could not be started or reached.
    #[error(
        "RW-RIG-HOLLOW: the process of hollow ones could not be started or asked ({arguments}); raise the limits on processes"
    )]
    SimulatedProcess {
        /// Its arguments, or the request to it.
        arguments: String,
        /// What the system said.
        source: io::Error,
    },
    /// This process of simulated peers cannot go on.
    #[error("RW-RIG-CHILD: a process of hollow ones ended: {source}")]
    SimulatedProcessEnded {
        /// Why.
        source: SimulationError,
    },
    /// A process of simulated peers does not answer.
    #[error(
        "RW-RIG-SILENT: the process {pid} of hollow ones has ended or says nothing; its last words are above"
    )]
    SimulatedProcessSilent {
        /// Its process id.
        pid: u32,
    },
    /// A run would take more of this machine than is allowed.
    #[error(
        "RW-RIG-LARGE: {quantity} is {value}, and no more than {limit} are allowed on this machine; play a smaller size"
    )]
    TooLarge {
        /// What is too large.
        quantity: &'static str,
        /// Its value.
        value: u64,
        /// The limit.
        limit: u64,
    },
    /// The members of the cluster did not agree on who they are.
    #[error(
        "RW-RIG-VIEW: the members had not come to one view within {seconds} s: {observed}; play a smaller size, or look at loss"
    )]
    NoCommonView {
        /// How long they had.
        seconds: u64,
        /// What they know instead.
        observed: String,
    },
}
