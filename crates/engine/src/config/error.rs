//! Why a configuration cannot be used.
use rosewall::SettingsError;
use rosewall_settings::operators_path;
use std::net::SocketAddr;
use std::num::ParseIntError;
use thiserror::Error;

/// Why a configuration cannot be used. The messages name the key or setting, its value and what is expected.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The text is not JSON, or a key is missing or of the wrong form; the text names it, line and column.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The seed cannot be read.
    #[error("seed {value:?} is no number: expected up to 16 hexadecimal digits")]
    InvalidSeed {
        /// The text that stands in its place.
        value: String,
        /// What is wrong with it.
        source: ParseIntError,
    },
    /// A setting is missing, cannot be read or is out of range.
    #[error("{source}{}", file_path_suffix(.path.as_deref()))]
    Setting {
        /// The path of the setting in the file, if operators can set it.
        path: Option<String>,
        /// The setting, its value and what is wrong with it.
        source: SettingsError,
    },
    /// The way in which endpoint lists come is not known.
    #[error(
        "setting endpoints.mode cannot be read: {value:?}, expected \"pushed\" or \"on_request\" (settings.RegistryMode in the file)"
    )]
    EndpointsMode {
        /// The unknown word.
        value: String,
    },
    /// The list of peers does not cover the dispatchers.
    #[error("talk.peers has {addresses} addresses for {dispatchers} dispatchers")]
    PeerCount {
        /// How many addresses it has.
        addresses: usize,
        /// How many dispatchers the settings name.
        dispatchers: usize,
    },
    /// The dispatcher's own address in the list of peers differs from the one that it listens on.
    #[error("talk.listen {listen} is not the address of number {rank} in talk.peers")]
    PeerAddress {
        /// Where it listens.
        listen: SocketAddr,
        /// Its rank, which is its place in the list.
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
