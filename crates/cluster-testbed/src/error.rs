//! What can go wrong in the rig itself, each with what to do about it.
use std::io;
use std::path::PathBuf;

#[derive(Debug, thiserror::Error)]
pub enum RigError {
    #[error(
        "RW-RIG-PROGRAM: {path} is not there; build it first (cargo build -p rosewalld) or name it in ROSEWALL_PROGRAM"
    )]
    Program { path: PathBuf },
    #[error(
        "RW-RIG-START: dispatcher {at} was not ready within {seconds} s; its log ends with {last:?}; run fewer processes, or look at that line"
    )]
    Start {
        at: usize,
        seconds: u64,
        last: String,
    },
    #[error(
        "RW-RIG-SPAWN: dispatcher {at} could not be started; raise the limits on processes and descriptors"
    )]
    Spawn { at: usize, source: io::Error },
    #[error(
        "RW-RIG-SOCKET: no loopback socket; raise the limit on descriptors (ulimit -n) or run fewer processes"
    )]
    Socket(#[source] io::Error),
    #[error("RW-RIG-FOLDER: {path} cannot be written; free the disk or point TMPDIR elsewhere")]
    Folder { path: PathBuf, source: io::Error },
    #[error("RW-RIG-READ: {path} cannot be read; check the path")]
    Read { path: PathBuf, source: io::Error },
    #[error(
        "RW-RIG-SCENARIO: {path} is no scenario: {source}; `rosewall-testbed draw 1` prints one to start from"
    )]
    Scenario {
        path: PathBuf,
        source: toml::de::Error,
    },
    #[error("RW-RIG-RANGE: {what} is {value}, allowed is {allowed}; change it in the scenario")]
    Range {
        what: &'static str,
        value: u64,
        allowed: &'static str,
    },
    #[error("RW-RIG-SWEEP: {what}; `rosewall-testbed scale --help` lists the names")]
    Sweep { what: String },
    #[error(
        "RW-RIG-HOLLOW: the process of hollow ones could not be started or asked ({words}); raise the limits on processes"
    )]
    Hollow { words: String, source: io::Error },
    #[error("RW-RIG-CHILD: a process of hollow ones ended: {what}")]
    Child { what: String },
    #[error(
        "RW-RIG-SILENT: the process {pid} of hollow ones has ended or says nothing; its last words are above"
    )]
    Silent { pid: u32 },
    #[error(
        "RW-RIG-LARGE: {what} is {value}, and no more than {most} are allowed on this machine; play a smaller size"
    )]
    Large {
        what: &'static str,
        value: u64,
        most: u64,
    },
    #[error(
        "RW-RIG-VIEW: the members had not come to one view within {seconds} s: {seen}; play a smaller size, or look at loss"
    )]
    View { seconds: u64, seen: String },
}
