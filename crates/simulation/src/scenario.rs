//! Scenarios: the components of a simulation and the faults injected into it, stored as TOML files.
//! Times are in milliseconds from the start of the simulation unless a name says otherwise. The
//! keys of the files must not change; where they differ from the field names, `serde` maps them.
mod clients;
mod fault;
mod file;
mod validate;

pub use clients::{ALL_MISBEHAVIOURS, Load, MisbehavingClient, Misbehaviour, SingleRequest};
pub use fault::{Fault, FaultKind};
pub use file::{ScenarioError, read, write};
use serde::{Deserialize, Serialize};
pub use validate::Problem;

/// Description of one simulation: the dispatchers, the workers, their load and their faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Short description of the scenario; empty by default.
    #[serde(default)]
    pub name: String,
    /// Seed of all random choices: latencies, partial reads and writes, arrivals, and the requests,
    /// connections or workers that a fault affects.
    pub seed: u64,
    /// Time during which clients send requests, in milliseconds.
    pub length_ms: u64,
    /// Number of dispatchers; 1 by default.
    #[serde(default = "one")]
    pub dispatchers: usize,
    /// Resource limits of each dispatcher.
    #[serde(default)]
    pub limits: Limits,
    /// Network between all hosts.
    #[serde(default)]
    pub net: NetworkConfig,
    /// Parameters of the checked rules.
    #[serde(default)]
    pub rules: Rules,
    /// Cluster of the dispatchers. If absent, each dispatcher works on its own.
    #[serde(default, rename = "members")]
    pub membership: Option<Membership>,
    /// Whether dispatchers poll their endpoint lists; otherwise these are pushed.
    #[serde(default, rename = "polled", skip_serializing_if = "std::ops::Not::not")]
    pub polls_endpoints: bool,
    /// Request classes; at least one.
    #[serde(rename = "scheme")]
    pub classes: Vec<RequestClass>,
    /// Workers; at least one.
    #[serde(rename = "worker")]
    pub workers: Vec<WorkerSpec>,
    /// Clients that send requests at random times.
    #[serde(default, rename = "load")]
    pub loads: Vec<Load>,
    /// Requests at fixed times.
    #[serde(default, rename = "txn")]
    pub requests: Vec<SingleRequest>,
    /// Clients that break the protocol.
    #[serde(default, rename = "bad")]
    pub misbehaving_clients: Vec<MisbehavingClient>,
    /// Faults to inject.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

fn one() -> usize {
    1
}

impl Scenario {
    /// Returns the mean work of a request over all loads, in ns of one slot; 0 if there is no load.
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

    /// Returns the longest deadline of any class, in milliseconds.
    pub fn longest_deadline_ms(&self) -> u64 {
        self.classes
            .iter()
            .map(|class| class.deadline_ms)
            .max()
            .unwrap_or_default()
    }
}

/// Resource limits of each dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of open descriptors.
    pub sockets: usize,
    /// Maximum memory in MB.
    pub memory_mb: usize,
    /// Maximum number of attempts of one request.
    #[serde(rename = "postings")]
    pub attempts: usize,
    /// Whether dispatchers send health checks to workers.
    #[serde(rename = "probes")]
    pub health_checks: bool,
    /// Idle timeout of connections to workers in the settings, in milliseconds.
    pub idle_ms: u64,
    /// Timeout of a connect to a worker, in milliseconds.
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

/// Behaviour of the network while no fault is active.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NetworkConfig {
    /// Lowest and highest latency of a packet, in microseconds.
    pub latency_us: [u64; 2],
    /// Fraction (0 to 1) of reads and writes that transfer only a part of the available bytes.
    #[serde(rename = "split")]
    pub partial_io: f64,
    /// Whether a reset discards bytes that were received and not yet read.
    #[serde(rename = "harsh")]
    pub reset_discards_unread: bool,
    /// Length of a worker host's queue of connections that are not yet accepted.
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

/// Cluster of the dispatchers and the conditions for its datagrams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Membership {
    /// Number of quorum members: 1, 3 or 5; 0 for no quorum.
    #[serde(rename = "keepers")]
    pub quorum_members: usize,
    /// Whether dispatchers exchange peer loads.
    #[serde(rename = "peers")]
    pub peer_load: bool,
    /// Fraction (0 to 1) of datagrams that are lost.
    pub loss: f64,
    /// Fraction (0 to 1) of datagrams that are duplicated.
    #[serde(rename = "twice")]
    pub duplicate: f64,
    /// Maximum delay of datagrams in addition to the latency of packets, in milliseconds.
    pub jitter_ms: u64,
    /// Maximum time by which a dispatcher's wall clock is ahead, in milliseconds.
    pub skew_ms: u64,
}

/// Parameters of the checked rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Grace period in which a worker may still get new requests from a dispatcher after it was
    /// published to that dispatcher as draining or removed, in milliseconds.
    #[serde(rename = "grace_ms")]
    pub drain_grace_ms: u64,
    /// Multiple of its current capacity that a worker may get within the overload window while it
    /// warms up.
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// Overload window in milliseconds.
    #[serde(rename = "fall_ms")]
    pub overload_window_ms: u64,
    /// Fraction (0 to 1) of its full capacity that a worker has at its start.
    #[serde(rename = "cold_from")]
    pub slow_start_from: f64,
    /// Duration of the warm-up in milliseconds.
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

/// Idempotency of the requests of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// May execute any number of times.
    #[serde(rename = "repeatable")]
    Idempotent,
    /// May execute again with the same key, within its retry scope and window.
    #[serde(rename = "referenced")]
    IdempotentWithKey,
    /// Must execute at most once.
    #[serde(rename = "once-only")]
    NonIdempotent,
}

/// Set of workers that share the idempotency keys of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetryScope {
    /// All workers.
    #[default]
    All,
    /// Workers of one zone.
    Zone,
    /// Workers of one cell.
    Cell,
}

/// Request class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Idempotency of the requests.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Workers that share the idempotency keys; all by default.
    #[serde(default, rename = "group")]
    pub retry_scope: RetryScope,
    /// Time for which workers keep an idempotency key, in milliseconds; 5000 by default.
    #[serde(default = "retry_window_ms", rename = "window_ms")]
    pub retry_window_ms: u64,
    /// Latency objective in milliseconds.
    #[serde(rename = "sla_ms")]
    pub latency_objective_ms: u64,
    /// Deadline of the requests, in milliseconds after they are sent.
    #[serde(rename = "expiry_ms")]
    pub deadline_ms: u64,
    /// Priority weight; 1 by default.
    #[serde(default = "unit", rename = "value")]
    pub priority_weight: f64,
    /// Factor on the latency objective; 1 by default.
    #[serde(default = "unit", rename = "stretch")]
    pub objective_stretch: f64,
}

fn retry_window_ms() -> u64 {
    5000
}

fn unit() -> f64 {
    1.0
}

/// Worker and its capacity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerSpec {
    /// Zone of the worker; 0 by default.
    #[serde(default)]
    pub zone: usize,
    /// Cell of the worker; 0 by default.
    #[serde(default)]
    pub cell: usize,
    /// Number of concurrency slots.
    pub slots: usize,
    /// Maximum number of queued requests; 12 by default.
    #[serde(default = "queue")]
    pub queue: usize,
    /// Speed factor of each slot; 1 by default.
    #[serde(default = "unit")]
    pub speed: f64,
    /// Whether a queued request is dropped once its connection has closed. Otherwise each request
    /// that was received completely executes.
    #[serde(default, rename = "drops_left")]
    pub cancels_queued: bool,
    /// Factor on `Limits::idle_ms` after which the worker closes idle connections; 1 by default.
    #[serde(default = "unit", rename = "keeps")]
    pub idle_timeout_factor: f64,
}

fn queue() -> usize {
    12
}
