//! Loading of the configuration file and the cluster file that it names.
use rosewall_cluster::config::parse as parse_cluster;
use rosewall_cluster::error::ClusterError;
use rosewall_engine::config::{Config, ConfigError};
use rustix::process::{Resource, getrlimit};
use std::io;
use std::path::{Path, PathBuf};

/// Error that makes a configuration unusable.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileError {
    /// The file cannot be read.
    #[error("cannot read the configuration {}: {source}", path.display())]
    Unreadable {
        /// Path of the configuration file.
        path: PathBuf,
        /// Cause reported by the operating system.
        source: io::Error,
    },
    /// The file cannot be parsed, or one of its values is invalid.
    #[error("cannot use the configuration {}: {source}", path.display())]
    Invalid {
        /// Path of the configuration file.
        path: PathBuf,
        /// Parse or validation error.
        source: ConfigError,
    },
    /// The cluster file cannot be read, or is invalid.
    #[error("{}", .0.line())]
    Cluster(#[from] ClusterError),
}

/// Loads and validates the configuration file and the cluster file that it names. The limit on
/// descriptors is the configured one or that of the system, whichever is lower.
///
/// # Errors
/// Returns an error if a file cannot be read, or if a dispatcher could not start with its values.
pub fn load(path: &Path) -> Result<Config, ConfigFileError> {
    let text = std::fs::read(path).map_err(|source| ConfigFileError::Unreadable {
        path: path.to_path_buf(),
        source,
    })?;
    let invalid = |source| ConfigFileError::Invalid {
        path: path.to_path_buf(),
        source,
    };
    let mut config = Config::parse(&text).map_err(invalid)?;
    if let Some(cluster_file) = config.cluster_file.take() {
        join_cluster(&mut config, Path::new(&cluster_file))?;
    }
    config.validate().map_err(invalid)?;
    config.max_descriptors = config.max_descriptors.min(system_descriptor_limit());
    Ok(config)
}

fn join_cluster(config: &mut Config, cluster_file: &Path) -> Result<(), ClusterError> {
    let text =
        std::fs::read_to_string(cluster_file).map_err(|source| ClusterError::Unreadable {
            path: cluster_file.to_path_buf(),
            source,
        })?;
    config.join_cluster(parse_cluster(cluster_file, &text)?)
}

fn system_descriptor_limit() -> usize {
    getrlimit(Resource::Nofile)
        .current
        .and_then(|limit| usize::try_from(limit).ok())
        .unwrap_or(usize::MAX)
}
