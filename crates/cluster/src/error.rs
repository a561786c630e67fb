//! What can be wrong with the members' part, each with what an operator can do. The code stays the same from one version
//! to the next.
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Debug, thiserror::Error)]
pub enum ClusterError {
    #[error("{path} cannot be read")]
    Unreadable {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error("{path}:{line}: this is not TOML: {what}")]
    Syntax {
        path: PathBuf,
        line: usize,
        what: String,
    },
    #[error("{path}:{line}: no key is called {key:?}{}", nearest.map(|near| format!(", the nearest is {near:?}")).unwrap_or_default())]
    UnknownKey {
        path: PathBuf,
        line: usize,
        key: String,
        nearest: Option<&'static str>,
    },
    #[error("{path}:{line}: {key} is {value}, but has to be {wants}")]
    InvalidValue {
        path: PathBuf,
        line: usize,
        key: &'static str,
        value: String,
        wants: &'static str,
    },
    #[error("{path}: {key} is missing")]
    Missing { path: PathBuf, key: &'static str },
    #[error("{path}:{line}: keepers are {count}, but a majority needs 1, 3 or 5 of them")]
    QuorumSize {
        path: PathBuf,
        line: usize,
        count: usize,
    },
    #[error("the file gives both talk and cluster")]
    TalkAndCluster,
    #[error("datagrams cannot be received at {listen}")]
    Listen {
        listen: SocketAddr,
        source: std::io::Error,
    },
    #[error("another process runs as {name} at {other}: this one stands aside")]
    DuplicateName { name: String, other: SocketAddr },
    #[error("{count} datagrams of version {version} were dropped")]
    VersionMismatch { version: u8, count: u64 },
}

impl ClusterError {
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
                "check the path under `cluster` in the configuration, and who may read it"
            }
            ClusterError::Syntax { .. } => "mend that line; deploy/cluster.toml is an example",
            ClusterError::UnknownKey { .. } => {
                "correct or remove the key; docs/cluster.md lists them"
            }
            ClusterError::InvalidValue { .. } => {
                "give it such a value; docs/cluster.md has the units"
            }
            ClusterError::Missing { .. } => "add it; deploy/cluster.toml is an example",
            ClusterError::QuorumSize { .. } => {
                "name 1, 3 or 5 dispatchers, the same in all files, or none"
            }
            ClusterError::TalkAndCluster => "remove `talk`: members carry what it carried",
            ClusterError::Listen { .. } => {
                "give an IPv4 address of this machine whose port is free, or stop who has it"
            }
            ClusterError::DuplicateName { .. } => {
                "give one of the two another name; it serves on, but is no member meanwhile"
            }
            ClusterError::VersionMismatch { .. } => {
                "bring the dispatchers that send them to this program's version, or this one to theirs"
            }
        }
    }

    /// The line for the log and for the end of a start that failed.
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
