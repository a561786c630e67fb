//! Generates the configuration of a dispatcher in the format of the daemon's configuration file.
use super::dispatchers::{gossip_address, listen_address};
use super::environment::Environment;
use crate::rng::Rng;
use crate::scenario::{Idempotency, Membership, RequestClass, RetryScope, Scenario};
use crate::time::{MS, SECOND};
use rosewall_cluster::config::ClusterConfig;
use rosewall_cluster::error::ClusterError;
use rosewall_engine::config::{Config, ConfigError};
use serde_json::{Value, json};

/// The first random stream of the dispatchers' seeds; the stream depends on the start time.
const SEED_STREAM: u64 = 50_000;
/// The number of streams over which start times are distributed; a prime.
const SEED_STREAMS: u64 = 1_000_003;
/// The number of dispatchers that all others contact first to join the cluster.
const CLUSTER_SEEDS: usize = 3;
/// The value of a late result relative to one within the latency objective.
const LATE_WEIGHT: f64 = 0.2;

/// The reason why a configuration could not be generated.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConfigurationError {
    #[error("endpoint list is not valid JSON: {0}")]
    Endpoints(#[from] serde_json::Error),
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("{}", .0.line())]
    Cluster(ClusterError),
}

impl Environment {
    /// Generates the configuration of a dispatcher that starts with these endpoints and this
    /// descriptor limit.
    pub fn dispatcher_config(
        &self,
        dispatcher: usize,
        endpoints: &str,
        descriptors: usize,
    ) -> Result<Config, ConfigurationError> {
        let scenario = &self.scenario;
        let discovery_address = self.dispatchers.borrow()[dispatcher].discovery_address;
        let stream = SEED_STREAM + self.context.kernel.now() % SEED_STREAMS;
        let seed = Rng::new(scenario.seed, stream).range(0, u32::MAX.into());
        let endpoints: Value = serde_json::from_str(endpoints)?;
        let text = json!({
            "name": name(dispatcher),
            "listen": listen_address(dispatcher).to_string(),
            "discovery": self.agents[dispatcher].address(discovery_address).to_string(),
            "seed": format!("{:x}", seed + dispatcher as u64),
            "limits": {
                "cores": 1.0,
                "memory_mb": scenario.limits.memory_mb,
                "sockets": descriptors,
            },
            "known": endpoints,
            "settings": settings(scenario, dispatcher),
        });
        let mut config = Config::parse(text.to_string().as_bytes())?;
        if let Some(membership) = &scenario.membership {
            config.set_peer_load_allowed(membership.peer_load);
            config
                .join_cluster(cluster_config(scenario, membership, dispatcher))
                .map_err(ConfigurationError::Cluster)?;
        }
        Ok(config)
    }
}

fn name(dispatcher: usize) -> String {
    format!("n{dispatcher}")
}

fn cluster_config(
    scenario: &Scenario,
    membership: &Membership,
    dispatcher: usize,
) -> ClusterConfig {
    let first = |count: usize| 0..count.min(scenario.dispatchers);
    ClusterConfig {
        cluster: "world".to_string(),
        name: name(dispatcher),
        listen: gossip_address(dispatcher),
        seeds: first(CLUSTER_SEEDS).map(gossip_address).collect(),
        quorum: first(membership.quorum_members).map(name).collect(),
        relay: None,
        max_clock_skew: membership.skew_ms * MS,
    }
}

fn settings(scenario: &Scenario, dispatcher: usize) -> Value {
    let Scenario {
        limits,
        rules,
        classes,
        workers,
        ..
    } = scenario;
    let zones = workers.iter().map(|worker| worker.zone).max();
    let zones: Vec<String> = (0..=zones.unwrap_or_default())
        .map(|zone| format!("z{zone}"))
        .collect();
    let stretch: Vec<f64> = classes
        .iter()
        .map(|class| class.objective_stretch)
        .collect();
    let schemes: Vec<Value> = classes
        .iter()
        .enumerate()
        .map(|(index, class)| class_settings(index, class))
        .collect();
    json!({
        "Bounds": {
            "MaxPostings": limits.attempts,
            "Probes": limits.health_checks,
            "RetryAfter": true,
            "MaxRetryAfterNs": 2 * SECOND,
            "ConnIdleNs": limits.idle_ms * MS,
            "ConnectTimeoutNs": limits.connect_ms * MS,
        },
        "Contract": {
            "StopSendingWithinNs": rules.drain_grace_ms * MS,
            "ColdFrom": rules.slow_start_from,
            "ColdNs": rules.slow_start_ms * MS,
            "FallMultiple": rules.overload_multiple,
            "FallNs": rules.overload_window_ms * MS,
        },
        "FamilyInfo": {
            "TellsStart": true,
            "ClassStretch": stretch,
            "ClassKind": vec![-1; classes.len()],
        },
        "Kinds": ["k"],
        "Zones": zones,
        "Me": dispatcher,
        "Siblings": scenario.dispatchers,
        "RegistryMode": if scenario.polls_endpoints { "on_request" } else { "pushed" },
        "Parties": [{"Name": "t"}],
        "Report": {"Fields": [], "How": "none"},
        "Schemes": schemes,
    })
}

fn class_settings(index: usize, class: &RequestClass) -> Value {
    let idempotency = match class.idempotency {
        Idempotency::Idempotent => "repeatable",
        Idempotency::IdempotentWithKey => "by_key",
        Idempotency::NonIdempotent => "once",
    };
    let retry_scope = match class.retry_scope {
        RetryScope::All => "all",
        RetryScope::Zone => "zone",
        RetryScope::Cell => "cell",
    };
    json!({
        "Name": format!("s{index}"),
        "Idempotency": idempotency,
        "Group": retry_scope,
        "WindowNs": class.retry_window_ms * MS,
        "SlaTimeNs": class.latency_objective_ms * MS,
        "ExpiryNs": class.deadline_ms * MS,
        "Value": class.priority_weight,
        "TardyValue": LATE_WEIGHT * class.priority_weight,
    })
}
