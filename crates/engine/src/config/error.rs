//! Errors in a configuration.
use rosewall::SettingsError;
use rosewall_settings::operators_path;
use std::net::SocketAddr;
use std::num::ParseIntError;
use thiserror::Error;

/// Error in a configuration. The messages name the key or setting, its value and what is expected.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The text is not JSON, or a key is missing or of the wrong type. The message gives line and
    /// column.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("seed {value:?} is not a number: expected up to 16 hexadecimal digits")]
    InvalidSeed {
        /// Seed as written in the file.
        value: String,
        /// Cause of the parse failure.
        source: ParseIntError,
    },
    /// A setting is missing, cannot be read or is out of range.
    #[error("{source}{}", file_path_suffix(.path.as_deref()))]
    Setting {
        /// Path of the setting in the file; `None` if operators cannot set it.
        path: Option<String>,
        /// Name of the setting, its value and the fault.
        source: SettingsError,
    },
    /// The value of `endpoints.mode` is unknown.
    #[error(
        "setting endpoints.mode cannot be read: {value:?}, expected \"pushed\" or \"on_request\" (settings.RegistryMode in the file)"
    )]
    EndpointsMode {
        /// Value of the setting.
        value: String,
    },
    /// The number of peer addresses differs from the number of dispatchers.
    #[error(
        "talk.peers has {addresses} addresses, expected one for each of {dispatchers} dispatchers"
    )]
    PeerCount {
        /// Number of addresses in the list of peers.
        addresses: usize,
        /// Number of dispatchers according to the settings.
        dispatchers: usize,
    },
    /// The port of the dispatcher's own address in the list of peers differs from the one that it
    /// listens on.
    #[error("talk.listen {listen} must have the port of the address at rank {rank} in talk.peers")]
    PeerAddress {
        /// Address that the dispatcher listens on.
        listen: SocketAddr,
        /// Rank of the dispatcher, which is its index in the list.
        rank: usize,
    },
}

impl From<SettingsError> for ConfigError {
    fn from(source: SettingsError) -> Self {
        let name = match &source {
            SettingsError::Missing { name } | SettingsError::Unreadable { name, .. } => name,
            SettingsError::OutOfRange { name, .. } => *name,
            SettingsError::RankOutOfRange { .. } => "me",
        };
        ConfigError::Setting {
            path: operators_path(name),
            source,
        }
    }
}

fn file_path_suffix(path: Option<&str>) -> String {
    path.map_or_else(String::new, |path| {
        format!(" (settings.{path} in the file)")
    })
}
