//! A scenario: what a simulation consists of and which faults happen in it, as a TOML file that people can read and
//! write. Times are in milliseconds from the start of the simulation unless a name says otherwise. The keys of the
//! file are stored data; where they differ from the field names, `serde` maps them here.
mod clients;
mod fault;
mod file;
mod validate;

pub use clients::{ALL_MISBEHAVIOURS, Load, MisbehavingClient, Misbehaviour, SingleRequest};
pub use fault::{Fault, FaultKind};
pub use file::{ScenarioError, read, write};
use serde::{Deserialize, Serialize};
pub use validate::Problem;

/// One simulation: the cluster, its load and its faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What the scenario is about.
    #[serde(default)]
    pub name: String,
    /// Seeds everything random: latencies, partial reads and writes, arrivals, who is hit by a fault.
    pub seed: u64,
    /// How long clients send requests.
    pub length_ms: u64,
    /// How many dispatchers run.
    #[serde(default = "one")]
    pub dispatchers: usize,
    /// What each dispatcher may use.
    #[serde(default)]
    pub limits: Limits,
    /// The network between all hosts.
    #[serde(default)]
    pub net: NetworkConfig,
    /// The figures of the checked rules.
    #[serde(default)]
    pub rules: Rules,
    /// How dispatchers form a cluster; without it they do not know each other.
    #[serde(default, rename = "members")]
    pub membership: Option<Membership>,
    /// The request classes.
    #[serde(rename = "scheme")]
    pub classes: Vec<RequestClass>,
    /// The workers.
    #[serde(rename = "worker")]
    pub workers: Vec<WorkerSpec>,
    /// Clients that send requests at random moments.
    #[serde(default, rename = "load")]
    pub loads: Vec<Load>,
    /// Requests at fixed moments.
    #[serde(default, rename = "txn")]
    pub requests: Vec<SingleRequest>,
    /// Clients that break the protocol.
    #[serde(default, rename = "bad")]
    pub misbehaving_clients: Vec<MisbehavingClient>,
    /// The faults.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

fn one() -> usize {
    1
}

impl Scenario {
    /// The mean work of a request over all loads, in ns of one slot; 0 where there is no load.
    pub fn mean_work(&self) -> f64 {
        let mean = |[low, high]: [f64; 2]| {
            if high > low {
                (high - low) / (high / low).ln()
            } else {
                low
            }
        };
        let (sum, rate) = self.loads.iter().fold((0.0, 0.0), |(sum, rate), load| {
            (sum + load.rate * mean(load.work_ms), rate + load.rate)
        });
        if rate > 0.0 { 1e6 * sum / rate } else { 0.0 }
    }

    /// The longest deadline of any class, in milliseconds.
    pub fn longest_deadline_ms(&self) -> u64 {
        self.classes
            .iter()
            .map(|class| class.deadline_ms)
            .max()
            .unwrap_or_default()
    }
}

/// What each dispatcher may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Descriptors.
    pub sockets: usize,
    /// Memory in MB.
    pub memory_mb: usize,
    /// Attempts of one request.
    #[serde(rename = "postings")]
    pub attempts: usize,
    /// Whether workers are checked beside requests.
    #[serde(rename = "probes")]
    pub health_checks: bool,
    /// How long a worker keeps an idle connection, by the settings.
    pub idle_ms: u64,
    /// The timeout of a connect to a worker.
    pub connect_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sockets: 384,
            memory_mb: 48,
            attempts: 3,
            health_checks: false,
            idle_ms: 5000,
            connect_ms: 250,
        }
    }
}

/// How the network behaves while no fault is active.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NetworkConfig {
    /// The lowest and the highest latency of a packet.
    pub latency_us: [u64; 2],
    /// The share of writes and reads that take only a part of what they could.
    #[serde(rename = "split")]
    pub partial_io: f64,
    /// Whether a reset discards what has been received and not read.
    #[serde(rename = "harsh")]
    pub reset_discards_unread: bool,
    /// Connections that a worker's host queues before they are accepted.
    pub backlog: usize,
}

impl Default for NetworkConfig {
    fn default() -> Self {
        NetworkConfig {
            latency_us: [50, 400],
            partial_io: 0.1,
            reset_discards_unread: false,
            backlog: 64,
        }
    }
}

/// The cluster of dispatchers, and its datagrams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Membership {
    /// The size of the quorum: 1, 3 or 5; 0 for none.
    #[serde(rename = "keepers")]
    pub quorum_members: usize,
    /// Whether dispatchers exchange their load.
    #[serde(rename = "peers")]
    pub peer_load: bool,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The share of datagrams that are duplicated.
    #[serde(rename = "twice")]
    pub duplicate: f64,
    /// How much later than packets datagrams may arrive.
    pub jitter_ms: u64,
    /// How far a dispatcher's wall clock may be ahead.
    pub skew_ms: u64,
}

/// The figures of the checked rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// How long a worker may get new requests after its dispatcher learned that it drains.
    #[serde(rename = "grace_ms")]
    pub drain_grace_ms: u64,
    /// How many times its capacity a warming worker may get within the overload window.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// The overload window.
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: u64,
    /// The share of its capacity that a worker has at its start.
    #[serde(rename = "cold_from")]
    pub slow_start_from: f64,
    /// How long a worker warms up.
    #[serde(rename = "cold_ms")]
    pub slow_start_ms: u64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            drain_grace_ms: 3000,
            overload_multiple: 4.0,
            overload_window_ms: 2000,
            slow_start_from: 0.2,
            slow_start_ms: 10_000,
        }
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// It may run any number of times.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// It may run again under its key, within its retry scope and window.
    #[serde(rename = "referenced")]
    IdempotentWithKey,
    /// It must run at most once.
    #[serde(rename = "once-only")]
    NonIdempotent,
}

/// The workers that know an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryScope {
    /// All workers.
    #[default]
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Whether its requests may run more than once.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// The workers that know an idempotency key.
    #[serde(default, rename = "group")]
    pub retry_scope: RetryScope,
    /// How long workers know an idempotency key.
    #[serde(default = "retry_window_ms", rename = "window_ms")]
    pub retry_window_ms: u64,
    /// The latency objective.
    #[serde(rename = "sla_ms")]
    pub latency_objective_ms: u64,
    /// How long clients wait.
    #[serde(rename = "expiry_ms")]
    pub deadline_ms: u64,
    /// The priority weight.
    #[serde(default = "unit", rename = "value")]
    pub priority_weight: f64,
    /// By how much the latency objective is stretched.
    #[serde(default = "unit", rename = "stretch")]
    pub objective_stretch: f64,
}

fn retry_window_ms() -> u64 {
    5000
}

fn unit() -> f64 {
    1.0
}

/// A worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpec {
    /// The zone in which it runs.
    #[serde(default)]
    pub zone: usize,
    /// The cell in which it runs.
    #[serde(default)]
    pub cell: usize,
    /// How many requests it runs at once.
    pub slots: usize,
    /// How many requests it queues.
    #[serde(default = "queue")]
    pub queue: usize,
    /// How fast a slot works.
    #[serde(default = "unit")]
    pub speed: f64,
    /// Whether a queued request is dropped once its connection has closed; otherwise all that arrived complete run.
    #[serde(default, rename = "drops_left")]
    pub cancels_queued: bool,
    /// How long it keeps idle connections, as a factor of the settings' time.
    #[serde(default = "unit", rename = "keeps")]
    pub idle_timeout_factor: f64,
}

fn queue() -> usize {
    12
}
