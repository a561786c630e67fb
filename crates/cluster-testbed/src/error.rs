//! Errors of the testbed itself, each with a remedy in its text.
use crate::scale::command::ArgumentError;
use crate::scale::control::SimulationError;
use std::io;
use std::path::PathBuf;

/// Failure that prevents or aborts a run of the testbed.
#[derive(Debug, thiserror::Error)]
pub enum TestbedError {
    /// The program under test does not exist.
    #[error(
        "RW-RIG-PROGRAM: {path} does not exist; build it first (cargo build -p rosewalld) or set ROSEWALL_PROGRAM to its path"
    )]
    ProgramMissing {
        /// Expected path of the program.
        path: PathBuf,
    },
    /// A dispatcher did not become ready.
    #[error(
        "RW-RIG-START: dispatcher {dispatcher} was not ready within {seconds} s; its log ends with {last_line:?}; run fewer processes or fix the reported error"
    )]
    NotReady {
        /// Number of the dispatcher.
        dispatcher: usize,
        /// Time-out in seconds.
        seconds: u64,
        /// Last line of the dispatcher's log, empty where it logged nothing.
        last_line: String,
    },
    /// A dispatcher could not be started.
    #[error(
        "RW-RIG-SPAWN: dispatcher {dispatcher} could not be started; raise the limits on processes and descriptors"
    )]
    Spawn {
        /// Number of the dispatcher.
        dispatcher: usize,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A loopback socket could not be opened.
    #[error(
        "RW-RIG-SOCKET: a loopback socket could not be opened; raise the limit on descriptors (ulimit -n) or run fewer processes"
    )]
    Socket(#[source] io::Error),
    /// A file or folder could not be written.
    #[error(
        "RW-RIG-FOLDER: {path} cannot be written; free disk space or set TMPDIR to another folder"
    )]
    Write {
        /// File or folder.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file could not be read.
    #[error("RW-RIG-READ: {path} cannot be read; check the path")]
    Read {
        /// File to read.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file is not a valid scenario.
    #[error(
        "RW-RIG-SCENARIO: {path} is not a valid scenario: {source}; `rosewall-testbed draw 1` prints an example"
    )]
    Scenario {
        /// Scenario file.
        path: PathBuf,
        /// Parse error with its position in the file.
        source: toml::de::Error,
    },
    /// A value of a scenario or plan is out of range.
    #[error(
        "RW-RIG-RANGE: {key} must be {allowed}, got {value}; change it in the scenario or on the command line"
    )]
    OutOfRange {
        /// Key of the value in the scenario or plan.
        key: &'static str,
        /// Rejected value, as a whole number, with 0 for negative values. For `fault.who`, the `at_ms` of the fault.
        value: u64,
        /// Allowed range, as text.
        allowed: &'static str,
    },
    /// An argument names an unknown parameter or metric, or is malformed.
    #[error("RW-RIG-SWEEP: {0}; `rosewall-testbed scale --help` lists the names")]
    Sweep(#[from] ArgumentError),
    /// A process of simulated peers could not be started or reached.
    #[error(
        "RW-RIG-HOLLOW: the process of simulated peers could not be started or sent a command ({arguments}); raise the limits on processes"
    )]
    SimulatedProcess {
        /// Arguments of the process, or the command sent to it.
        arguments: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// This process of simulated peers failed.
    #[error("RW-RIG-CHILD: a process of simulated peers failed: {source}")]
    SimulatedProcessEnded {
        /// Cause of the failure.
        source: SimulationError,
    },
    /// A process of simulated peers ended, or did not answer in time.
    #[error(
        "RW-RIG-SILENT: process {pid} of simulated peers ended or did not answer; its error output is above"
    )]
    SimulatedProcessSilent {
        /// Process id.
        pid: u32,
    },
    /// A run needs more of this machine than is allowed.
    #[error(
        "RW-RIG-LARGE: {quantity} must be at most {limit} on this machine, got {value}; run a smaller fleet"
    )]
    TooLarge {
        /// Limited quantity, as text.
        quantity: &'static str,
        /// Value of the quantity.
        value: u64,
        /// Largest allowed value.
        limit: u64,
    },
    /// The members of the cluster did not agree on one membership view.
    #[error(
        "RW-RIG-VIEW: the members did not agree on one membership view within {seconds} s: {observed}; run a smaller fleet or check for datagram loss"
    )]
    NoCommonView {
        /// Time-out in seconds.
        seconds: u64,
        /// Differing views, as text.
        observed: String,
    },
}
