//! The configuration of one dispatcher, parsed from the JSON file that `PROXY_CONFIG` names.
mod error;
mod runtime_settings;
mod settings_pairs;
#[cfg(test)]
mod tests;

pub use error::ConfigError;
pub use runtime_settings::{EndpointsMode, FINAL_ANSWERS_RESERVE, RuntimeSettings};

use rosewall::policy::Dispatcher;
use rosewall::read_setting;
use rosewall::types::Nanos;
use rosewall_cluster::config::ClusterConfig;
use rosewall_cluster::error::ClusterError;
use rosewall_protocol::names::Names;
use rosewall_settings::{SettingsMap, parse_settings};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

const PEER_LOAD_ALLOWED: &str = "peer_load.allowed";
const WARM_UP_GRANTS: &str = "warm_up_grants";

/// Content of the configuration file. The serialized keys are the operators' names.
#[derive(Deserialize)]
struct ConfigFile {
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: LimitsSection,
    #[serde(default, rename = "known")]
    cached_endpoints: Value,
    #[serde(rename = "talk")]
    peer_load: Option<PeerLoadConfig>,
    #[serde(rename = "cluster")]
    cluster_file: Option<String>,
    settings: Value,
}

#[derive(Deserialize)]
struct LimitsSection {
    memory_mb: usize,
    #[serde(rename = "sockets")]
    max_descriptors: usize,
}

/// Addresses for the direct exchange of load reports (`talk` in the file). Without it, and without
/// a cluster, no load reports are exchanged.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct PeerLoadConfig {
    /// Address at which this dispatcher receives datagrams.
    pub listen: SocketAddr,
    /// Addresses of all dispatchers in the order of their ranks, including this one.
    pub peers: Vec<SocketAddr>,
}

/// Configuration of one dispatcher.
#[derive(Clone)]
pub struct Config {
    /// Address at which clients connect.
    pub listen: SocketAddr,
    /// Address at which discovery serves the endpoint list.
    pub discovery: SocketAddr,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Memory that the process may use, in MiB.
    pub memory_mb: usize,
    /// Maximum number of descriptors that the process may use.
    pub max_descriptors: usize,
    /// Cached endpoint list as JSON in discovery's format; `null` if the file has none.
    pub cached_endpoints: Vec<u8>,
    /// Addresses for the direct exchange of load reports, if configured.
    pub peer_load: Option<PeerLoadConfig>,
    /// Path of the cluster file, if configured; taken by the caller that reads the file.
    pub cluster_file: Option<String>,
    /// Content of the cluster file; set by [`Config::join_cluster`].
    pub cluster: Option<ClusterConfig>,
    /// Settings used by the engine and the runtime.
    pub runtime: RuntimeSettings,
    /// All settings under their internal names, for the policy.
    pub settings: SettingsMap,
}

impl Config {
    /// Parses the text of the file. Settings are checked later, by [`Config::validate`].
    ///
    /// # Errors
    ///
    /// If the text is not the expected JSON or the seed is not a hexadecimal number.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        let file: ConfigFile = serde_json::from_slice(text)?;
        let seed =
            u64::from_str_radix(&file.seed, 16).map_err(|source| ConfigError::InvalidSeed {
                value: file.seed.clone(),
                source,
            })?;
        let mut settings = read_settings(&file.settings);
        if file.peer_load.is_none() && file.cluster_file.is_none() {
            disable_peer_load(&mut settings);
        }
        Ok(Config {
            listen: file.listen,
            discovery: file.discovery,
            seed,
            memory_mb: file.limits.memory_mb,
            max_descriptors: file.limits.max_descriptors,
            cached_endpoints: file.cached_endpoints.to_string().into_bytes(),
            peer_load: file.peer_load,
            cluster_file: file.cluster_file,
            cluster: None,
            runtime: RuntimeSettings::read(&settings),
            settings,
        })
    }

    /// Adds the configuration of the cluster that this dispatcher is a member of. Work for warming
    /// workers then always requires warm-up grants, even if no quorum member issues any. The
    /// alternative, a fraction of the budget by the number of running dispatchers, would be too
    /// large at a member that is cut off and sees itself as the only one.
    ///
    /// # Errors
    ///
    /// If the file also configures direct exchange of load reports.
    pub fn join_cluster(&mut self, cluster: ClusterConfig) -> Result<(), ClusterError> {
        if self.peer_load.is_some() {
            return Err(ClusterError::TalkAndCluster);
        }
        self.settings
            .insert(WARM_UP_GRANTS.into(), "true".to_string());
        self.cluster = Some(cluster);
        Ok(())
    }

    /// Enables or disables load reports to other dispatchers, overriding the file.
    pub fn set_peer_load_allowed(&mut self, allowed: bool) {
        self.settings
            .insert(PEER_LOAD_ALLOWED.into(), allowed.to_string());
    }

    /// Returns the names of classes, tenants, zones and worker types that requests and endpoint
    /// lists refer to.
    pub fn names(&self) -> Names {
        names(&self.settings)
    }

    /// Checks that a dispatcher can start with this configuration.
    ///
    /// # Errors
    ///
    /// If a setting is missing, cannot be read or contradicts another. The error names the first
    /// one found.
    pub fn validate(&self) -> Result<(), ConfigError> {
        Dispatcher::start(0, self.seed, &self.settings)?;
        self.validate_deadlines()?;
        EndpointsMode::parse(&read_setting::<String>(&self.settings, "endpoints.mode")?)?;
        match &self.peer_load {
            Some(peer_load) => self.validate_peers(peer_load),
            None => Ok(()),
        }
    }

    /// Checks that each class has a deadline, since the shutdown timeout is derived from the
    /// deadlines.
    fn validate_deadlines(&self) -> Result<(), ConfigError> {
        let classes: usize = read_setting(&self.settings, "class.count")?;
        for class in 0..classes {
            read_setting::<Nanos>(&self.settings, &format!("class.{class}.deadline"))?;
        }
        Ok(())
    }

    fn validate_peers(&self, peer_load: &PeerLoadConfig) -> Result<(), ConfigError> {
        let rank: usize = read_setting(&self.settings, "me")?;
        let dispatchers: usize = read_setting(&self.settings, "dispatchers")?;
        let addresses = peer_load.peers.len();
        if addresses != dispatchers {
            return Err(ConfigError::PeerCount {
                addresses,
                dispatchers,
            });
        }
        let own = peer_load.peers.get(rank);
        if own.is_none_or(|own| own.port() != peer_load.listen.port()) {
            return Err(ConfigError::PeerAddress {
                listen: peer_load.listen,
                rank,
            });
        }
        Ok(())
    }
}

fn read_settings(settings: &Value) -> SettingsMap {
    let pairs = settings_pairs::flatten(settings);
    parse_settings(
        pairs
            .iter()
            .map(|(path, value)| (path.as_str(), value.as_str())),
    )
}

/// Disables load reports if they have no addresses: the policy must not rely on reports that are
/// never sent.
fn disable_peer_load(settings: &mut SettingsMap) {
    let allowed = settings
        .get(PEER_LOAD_ALLOWED)
        .is_some_and(|allowed| allowed != "false");
    if allowed {
        log::warn!(
            "load reports between dispatchers are off: the settings allow them, but the file has neither talk nor cluster"
        );
        settings.insert(PEER_LOAD_ALLOWED.into(), "false".into());
    }
}

fn names(settings: &SettingsMap) -> Names {
    let numbered = |list: &str| {
        let name = |index: usize| settings.get(&format!("{list}.{index}.name")).cloned();
        (0..).map_while(name).collect()
    };
    let listed = |name: &str| {
        settings
            .get(name)
            .map(|text| text.split(',').map(str::to_string).collect())
    };
    Names {
        classes: numbered("class"),
        tenants: numbered("tenant"),
        zones: listed("zones").unwrap_or_default(),
        worker_types: listed("worker_types").unwrap_or_default(),
    }
}
