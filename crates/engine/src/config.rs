//! What the dispatcher is given at its start: the text of the file that `PROXY_CONFIG` names.
use rosewall::pick;
use rosewall::policy::Dispatcher;
use rosewall::types::Nanos;
use rosewall_cluster::config::ClusterConfig;
use rosewall_cluster::error::ClusterError;
use rosewall_protocol::names::Names;
use rosewall_settings::{Map, ours};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

#[derive(Deserialize)]
struct File {
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: Value,
    talk: Option<Talk>,
    /// The path of the file on the other dispatchers, where this one is to know them.
    cluster: Option<String>,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: usize,
    sockets: usize,
}

/// Where dispatchers tell each other what they have out; left out, they do not.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Talk {
    pub listen: SocketAddr,
    /// The address of each dispatcher, in the order of their numbers.
    pub peers: Vec<SocketAddr>,
}

#[derive(Clone)]
pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub memory_mb: usize,
    pub sockets: usize,
    /// The list of workers as last known, in discovery's form.
    pub known: Vec<u8>,
    pub talk: Option<Talk>,
    pub cluster: Option<String>,
    /// What stands in that file, once it was read.
    pub cluster_config: Option<ClusterConfig>,
    pub map: Map,
}

/// Reads the file's text; an error says what cannot be used.
pub fn parse(text: &[u8]) -> Result<Config, String> {
    let file: File = serde_json::from_slice(text).map_err(|error| error.to_string())?;
    let Limits { memory_mb, sockets } = file.limits;
    let seed = u64::from_str_radix(&file.seed, 16)
        .map_err(|_| format!("seed {:?} is no number", file.seed))?;
    let mut pairs = Vec::new();
    flatten("", &file.settings, &mut pairs);
    let mut map = ours(
        pairs
            .iter()
            .map(|(path, value)| (path.as_str(), value.as_str())),
    );
    if file.talk.is_none()
        && file.cluster.is_none()
        && map
            .get("peer_load.allowed")
            .is_some_and(|allowed| allowed != "false")
    {
        // Guards against decisions that tell what nothing here could carry.
        log::warn!(
            "no talk between dispatchers: the settings allow it, but the file gives no addresses for it"
        );
        map.insert("peer_load.allowed".into(), "false".into());
    }
    let (listen, discovery, known) = (
        file.listen,
        file.discovery,
        file.known.to_string().into_bytes(),
    );
    let (talk, cluster, cluster_config) = (file.talk, file.cluster, None);
    Ok(Config {
        listen,
        discovery,
        seed,
        memory_mb,
        sockets,
        known,
        talk,
        cluster,
        cluster_config,
        map,
    })
}

impl Config {
    /// Takes in how it joins the others. Cold workers are then sent to by rights, also where no keeper gives any: turns count
    /// who runs, and one that is cut off would take itself for the only one.
    pub fn join(&mut self, cluster_config: ClusterConfig) -> Result<(), ClusterError> {
        if self.talk.is_some() {
            return Err(ClusterError::TalkAndCluster);
        }
        self.map.insert("warm_up_grants".into(), "true".to_string());
        self.cluster_config = Some(cluster_config);
        Ok(())
    }
}

/// Whether the dispatcher can start with this; an error names what is wrong and its value.
pub fn validate(config: &Config) -> Result<(), String> {
    Dispatcher::start(0, config.seed, &config.map)?;
    // Guards against a stop that goes on past the kill, where deadlines are shorter than those assumed in place of them.
    for at in 0..pick::<usize>(&config.map, "class.count")? {
        pick::<Nanos>(&config.map, &format!("class.{at}.deadline"))?;
    }
    // Guards against lists that never come, or calls that cost others, where a word is not known.
    let mode: String = pick(&config.map, "endpoints.mode")?;
    if !["pushed", "polled"].contains(&mode.as_str()) {
        return Err(format!("setting endpoints.mode cannot be read: {mode:?}"));
    }
    if let Some(talk) = &config.talk {
        let (me, all) = (
            pick::<usize>(&config.map, "me")?,
            pick::<usize>(&config.map, "dispatchers")?,
        );
        if talk.peers.len() != all {
            return Err(format!(
                "talk.peers has {} addresses for {all} dispatchers",
                talk.peers.len()
            ));
        }
        if talk
            .peers
            .get(me)
            .is_none_or(|own| own.port() != talk.listen.port())
        {
            return Err(format!(
                "talk.listen {} is not the address of number {me} in talk.peers",
                talk.listen
            ));
        }
    }
    Ok(())
}

/// The settings as path=value pairs: parts joined by points, a list of plain values by commas, a list of objects
/// by its count and places. Spaces and commas inside a value become underlines.
fn flatten(path: &str, value: &Value, pairs: &mut Vec<(String, String)>) {
    let below = |name: &str| {
        if path.is_empty() {
            name.to_string()
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Value::Object(fields) => fields
            .iter()
            .for_each(|(name, value)| flatten(&below(name), value, pairs)),
        Value::Array(values) if values.iter().any(Value::is_object) => {
            pairs.push((below("count"), values.len().to_string()));
            values
                .iter()
                .enumerate()
                .for_each(|(at, value)| flatten(&below(&at.to_string()), value, pairs));
        }
        Value::Array(values) => {
            let plain: Vec<String> = values.iter().map(word).collect();
            pairs.push((path.to_string(), plain.join(",")));
        }
        value => pairs.push((path.to_string(), word(value))),
    }
}

fn word(value: &Value) -> String {
    let text = value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_string);
    text.replace([' ', ','], "_")
}

/// The names by which requests and lists speak of what the settings list.
pub fn names(map: &Map) -> Names {
    let numbered = |list: &str| {
        let name = |at: usize| map.get(&format!("{list}.{at}.name")).cloned();
        (0..).map_while(name).collect()
    };
    let listed = |name: &str| {
        map.get(name)
            .map(|text| text.split(',').map(str::to_string).collect())
    };
    Names {
        classes: numbered("class"),
        tenants: numbered("tenant"),
        zones: listed("zones").unwrap_or_default(),
        worker_types: listed("worker_types").unwrap_or_default(),
    }
}

/// The protocol: no kill sooner than the longest deadline, 3 s at most, and 0.7 s more.
const LONGEST: Nanos = 3_000_000_000;
const MORE: Nanos = 700_000_000;
/// Of that, kept for deciding and writing the last answers.
pub const SPARE: Nanos = 300_000_000;

/// How long after the signal to stop all must be answered.
pub fn shutdown_timeout(map: &Map) -> Nanos {
    let deadline = |at: usize| pick::<Nanos>(map, &format!("class.{at}.deadline")).ok();
    let longest = (0..).map_while(deadline).max().unwrap_or(LONGEST);
    longest.min(LONGEST) + MORE - SPARE
}
