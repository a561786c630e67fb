//! Reading the configuration file and the cluster file that it names.
use rosewall_cluster::config::parse as parse_cluster;
use rosewall_cluster::error::ClusterError;
use rosewall_engine::config::{Config, ConfigError};
use rustix::process::{Resource, getrlimit};
use std::io;
use std::path::{Path, PathBuf};

/// Why a configuration file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFileError {
    /// The file cannot be read.
    #[error("cannot read the configuration {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: io::Error,
    },
    /// The file's text, or a value in it, cannot be used.
    #[error("cannot use the configuration {}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: ConfigError,
    },
    /// The cluster file cannot be used.
    #[error("{}", .0.line())]
    Cluster(#[from] ClusterError),
}

/// Reads the configuration file and the cluster file that it names, and checks both. The limit on descriptors is the
/// system's, where that is lower than the configured one.
///
/// # Errors
/// Where a file cannot be read, or a dispatcher could not start with it.
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
