//! Errors of the cluster's configuration and operation, each with a stable code and a remedy.
use std::net::SocketAddr;
use std::path::PathBuf;

/// An error in the cluster's configuration or operation.
#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    /// The cluster file cannot be read.
    #[error("{path} cannot be read")]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The cluster file is not valid TOML.
    #[error("{path}:{line}: invalid TOML: {message}")]
    Syntax {
        /// The path of the cluster file.
        path: PathBuf,
        /// The line of the fault, from 1.
        line: usize,
        /// The message of the parser.
        message: String,
    },
    /// The cluster file has an unknown key.
    #[error("{path}:{line}: unknown key {key:?}{}", nearest.map(|near| format!(", the nearest known key is {near:?}")).unwrap_or_default())]
    UnknownKey {
        /// The path of the cluster file.
        path: PathBuf,
        /// The line of the key.
        line: usize,
        /// The unknown key.
        key: String,
        /// The closest known key, unless all differ too much.
        nearest: Option<&'static str>,
    },
    /// A value of the cluster file is out of range or of the wrong type.
    #[error("{path}:{line}: {key} must be {expected}, got {value}")]
    InvalidValue {
        /// The path of the cluster file.
        path: PathBuf,
        /// The line of the value.
        line: usize,
        /// The key of the value.
        key: &'static str,
        /// The invalid value, as TOML.
        value: String,
        /// The permitted values.
        expected: &'static str,
    },
    /// The cluster file lacks a mandatory key.
    #[error("{path}: {key} is missing")]
    Missing {
        /// The path of the cluster file.
        path: PathBuf,
        /// The missing key.
        key: &'static str,
    },
    /// The quorum is not empty and its size is not 1, 3 or 5, or it names a dispatcher twice.
    #[error(
        "{path}:{line}: keepers must name 1, 3 or 5 dispatchers, each once, got {count} different names"
    )]
    QuorumSize {
        /// The path of the cluster file.
        path: PathBuf,
        /// The line of the key.
        line: usize,
        /// The number of different names.
        count: usize,
    },
    /// The configuration enables both methods of exchanging load reports.
    #[error("the configuration sets both talk and cluster")]
    TalkAndCluster,
    /// The datagram socket cannot be opened.
    #[error("cannot open a datagram socket at {listen}")]
    Listen {
        /// The configured address.
        listen: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Another process runs under this member's name.
    #[error("another process at {other} runs under the name {name}; this one is on standby")]
    DuplicateName {
        /// The name of both members.
        name: String,
        /// The address at which the other process receives datagrams.
        other: SocketAddr,
    },
    /// Datagrams with another version of the format were received and dropped.
    #[error(
        "dropped {count} datagrams with another format version, the last with version {version}"
    )]
    VersionMismatch {
        /// The version of the last dropped datagram.
        version: u8,
        /// The number of dropped datagrams since the start of the process.
        count: u64,
    },
}

impl ClusterError {
    /// Returns the code of the error, which is stable across releases.
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

    /// Returns the remedy: the action for an operator to take.
    pub fn remedy(&self) -> &'static str {
        match self {
            ClusterError::Unreadable { .. } => {
                "check the path under `cluster` in the configuration, and its permissions"
            }
            ClusterError::Syntax { .. } => "correct the line; deploy/cluster.toml is an example",
            ClusterError::UnknownKey { .. } => {
                "correct or remove the key; docs/cluster.md lists them"
            }
            ClusterError::InvalidValue { .. } => "correct the value; docs/cluster.md has the units",
            ClusterError::Missing { .. } => "add the key; deploy/cluster.toml is an example",
            ClusterError::QuorumSize { .. } => {
                "name 1, 3 or 5 dispatchers, the same in all files, or none"
            }
            ClusterError::TalkAndCluster => {
                "remove `talk`; the members of a cluster exchange load reports without it"
            }
            ClusterError::Listen { .. } => {
                "set an IPv4 address of this machine with a free port, or stop the process that uses the port"
            }
            ClusterError::DuplicateName { .. } => {
                "give one of the two another name; until then this one serves requests but is not a member"
            }
            ClusterError::VersionMismatch { .. } => {
                "run the same version of the program on all dispatchers of the cluster"
            }
        }
    }

    /// Returns the line for the log, or for standard error if the start fails: code, message, causes and
    /// remedy.
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
