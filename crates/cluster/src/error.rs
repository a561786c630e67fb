//! What can be wrong with the cluster, each with a stable code and with what an operator can do.
use std::net::SocketAddr;
use std::path::PathBuf;

/// A fault in the cluster's configuration or in its operation.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The cluster file cannot be read.
    #[error("{path} cannot be read")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The cluster file is not TOML.
    #[error("{path}:{line}: this is not TOML: {what}")]
    Syntax {
        /// The file.
        path: PathBuf,
        /// The line of the fault.
        line: usize,
        /// What the parser says.
        what: String,
    },
    /// The cluster file has a key that does not exist.
    #[error("{path}:{line}: no key is called {key:?}{}", nearest.map(|near| format!(", the nearest is {near:?}")).unwrap_or_default())]
    UnknownKey {
        /// The file.
        path: PathBuf,
        /// The line of the key.
        line: usize,
        /// The key.
        key: String,
        /// The key that was probably meant.
        nearest: Option<&'static str>,
    },
    /// A value of the cluster file is out of range or of the wrong type.
    #[error("{path}:{line}: {key} is {value}, but has to be {expected}")]
    InvalidValue {
        /// The file.
        path: PathBuf,
        /// The line of the value.
        line: usize,
        /// Its key.
        key: &'static str,
        /// The value.
        value: String,
        /// What is allowed.
        expected: &'static str,
    },
    /// The cluster file lacks a key.
    #[error("{path}: {key} is missing")]
    Missing {
        /// The file.
        path: PathBuf,
        /// The key.
        key: &'static str,
    },
    /// The quorum has a size that makes no majority, or a name twice.
    #[error("{path}:{line}: keepers are {count}, but a majority needs 1, 3 or 5 of them")]
    QuorumSize {
        /// The file.
        path: PathBuf,
        /// The line of the key.
        line: usize,
        /// The number of different names.
        count: usize,
    },
    /// The configuration has both ways to exchange load reports.
    #[error("the file gives both talk and cluster")]
    TalkAndCluster,
    /// The datagram socket cannot be opened.
    #[error("datagrams cannot be received at {listen}")]
    Listen {
        /// The configured address.
        listen: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// Another process has the same name.
    #[error("another process runs as {name} at {other}: this one is on standby")]
    DuplicateName {
        /// The name.
        name: String,
        /// Where the other one receives datagrams.
        other: SocketAddr,
    },
    /// Datagrams of another version of the format arrive.
    #[error("{count} datagrams of version {version} were dropped")]
    VersionMismatch {
        /// The version of the last one.
        version: u8,
        /// How many since the start.
        count: u64,
    },
}

impl ClusterError {
    /// The code, which stays the same from one release to the next.
    pub fn code(&self) -> &'static str {
        match self {
            ClusterError::Unreadable { .. } => "RW-CLUSTER-UNREAD",
            ClusterError::Syntax { .. } => "RW-CLUSTER-SYNTAX",
            ClusterError::UnknownKey { .. } => "RW-CLUSTER-KEY",
            ClusterError::InvalidValue { .. } => "RW-CLUSTER-VALUE",
            ClusterError::Missing { .. } => "RW-CLUSTER-MISSING",
            ClusterError::QuorumSize { .. } => "RW-CLUSTER-KEEPERS",
            ClusterError::TalkAndCluster => "RW-CLUSTER-TALK",
            ClusterError::Listen { .. } => "RW-CLUSTER-LISTEN",
            ClusterError::DuplicateName { .. } => "RW-CLUSTER-TWICE",
            ClusterError::VersionMismatch { .. } => "RW-CLUSTER-VERSION",
        }
    }

    /// What an operator can do.
    pub fn remedy(&self) -> &'static str {
        match self {
            ClusterError::Unreadable { .. } => {
                "check the path under `cluster` in the configuration, and its permissions"
            }
            ClusterError::Syntax { .. } => "correct that line; deploy/cluster.toml is an example",
            ClusterError::UnknownKey { .. } => {
                "correct or remove the key; docs/cluster.md lists them"
            }
            ClusterError::InvalidValue { .. } => {
                "set it to such a value; docs/cluster.md has the units"
            }
            ClusterError::Missing { .. } => "add it; deploy/cluster.toml is an example",
            ClusterError::QuorumSize { .. } => {
                "name 1, 3 or 5 dispatchers, the same in all files, or none"
            }
            ClusterError::TalkAndCluster => {
                "remove `talk`: the members exchange load reports without it"
            }
            ClusterError::Listen { .. } => {
                "set an IPv4 address of this machine whose port is free, or stop the process that has it"
            }
            ClusterError::DuplicateName { .. } => {
                "give one of the two another name; this one goes on serving, but is no member meanwhile"
            }
            ClusterError::VersionMismatch { .. } => {
                "bring the dispatchers that send them to this program's version, or this one to theirs"
            }
        }
    }

    /// The line for the log, or for standard error as a start fails: code, message, causes and remedy.
    pub fn line(&self) -> String {
        let mut text = format!("{}: {self}", self.code());
        let mut source = std::error::Error::source(self);
        while let Some(cause) = source {
            text += &format!(": {cause}");
            source = cause.source();
        }
        format!("{text}; {}", self.remedy())
    }
}
