//! A scenario: what a simulation consists of and which faults happen in it, as a TOML file that people can read and
//! write. Times are in milliseconds from the start of the simulation unless a name says otherwise. The keys of the
//! file are stored data; where they differ from the field names, `serde` maps them here.
mod validate;

use serde::{Deserialize, Serialize};
use std::ops::Range;
pub use validate::Problem;
use validate::validate;

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

/// Clients that send requests at random moments.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The index of the requests' class.
    #[serde(rename = "scheme")]
    pub class: usize,
    /// Requests a second, over all dispatchers.
    pub rate: f64,
    /// When the load begins.
    #[serde(default)]
    pub from_ms: u64,
    /// When the load ends; with the simulation where it is left out.
    #[serde(default)]
    pub until_ms: Option<u64>,
    /// The lowest and the highest work of a request.
    pub work_ms: [f64; 2],
    /// How many times a client retries a request that is safe to retry.
    #[serde(default)]
    pub retries: usize,
    /// The share of clients that disconnect before their deadline.
    #[serde(default, rename = "leave")]
    pub disconnect_share: f64,
    /// Whether requests carry a hint of their work.
    #[serde(default)]
    pub hints: bool,
}

/// One request at one moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SingleRequest {
    /// When it is sent.
    pub at_ms: f64,
    /// The index of its class.
    #[serde(rename = "scheme")]
    pub class: usize,
    /// The dispatcher that gets it.
    #[serde(default)]
    pub dispatcher: usize,
    /// Its work.
    pub work_ms: f64,
    /// How long its client waits; the deadline of its class where it is left out.
    #[serde(default, rename = "within_ms")]
    pub timeout_ms: Option<f64>,
    /// After how long its client disconnects, if it does.
    #[serde(default, rename = "leave_ms")]
    pub disconnect_after_ms: Option<f64>,
}

/// How a client breaks the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Misbehaviour {
    /// It connects and sends nothing.
    Silent,
    /// It sends random bytes.
    Garbage,
    /// It sends a part of a head.
    HalfHead,
    /// It sends a part of a body.
    HalfBody,
    /// It sends one byte at a time, slowly.
    Trickle,
    /// Its head is too large.
    HugeHead,
    /// Its body is too large.
    HugeBody,
    /// Its chunked body never ends.
    EndlessChunks,
    /// Its request has no id.
    NoId,
    /// Its request names a class that does not exist.
    #[serde(rename = "unknown-scheme")]
    UnknownClass,
    /// Its request has two different lengths.
    TwoLengths,
    /// Its request has a length and is chunked.
    LengthAndChunks,
    /// Its lines end in bare line feeds.
    BareLineFeeds,
    /// It sends the id of an active request over another connection.
    SameId,
    /// It closes its side for writing, which means that it disconnected, and still reads.
    HalfClose,
    /// It pipelines requests and reads no response.
    Unread,
    /// It speaks HTTP/1.0.
    OldVersion,
}

/// Every way in which a client breaks the protocol.
pub const ALL_MISBEHAVIOURS: [Misbehaviour; 17] = [
    Misbehaviour::Silent,
    Misbehaviour::Garbage,
    Misbehaviour::HalfHead,
    Misbehaviour::HalfBody,
    Misbehaviour::Trickle,
    Misbehaviour::HugeHead,
    Misbehaviour::HugeBody,
    Misbehaviour::EndlessChunks,
    Misbehaviour::NoId,
    Misbehaviour::UnknownClass,
    Misbehaviour::TwoLengths,
    Misbehaviour::LengthAndChunks,
    Misbehaviour::BareLineFeeds,
    Misbehaviour::SameId,
    Misbehaviour::HalfClose,
    Misbehaviour::Unread,
    Misbehaviour::OldVersion,
];

/// Clients that break the protocol.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MisbehavingClient {
    /// When they connect.
    pub at_ms: f64,
    /// How they break the protocol.
    pub kind: Misbehaviour,
    /// How many there are.
    #[serde(default = "one")]
    pub count: usize,
    /// The dispatcher to which they connect.
    #[serde(default)]
    pub dispatcher: usize,
}

/// What a fault does. Those before [`FaultKind::EndpointsSilent`] hit a worker, the others a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A worker does nothing for a time, and loses nothing.
    Stall,
    /// A worker takes `share` times as long.
    Slow,
    /// A worker answers this share at once with an error.
    Errors,
    /// A worker fails one class.
    #[serde(rename = "fail-scheme")]
    FailClass,
    /// A worker never answers this share.
    #[serde(rename = "swallow")]
    Unresponsive,
    /// A worker rejects everything.
    #[serde(rename = "full")]
    AtCapacity,
    /// A worker answers this share with responses that are malformed, never end, or come too early.
    #[serde(rename = "odd")]
    MalformedResponses,
    /// A worker's process crashes, with resets; it restarts, cold, after the time (never where that is 0).
    #[serde(rename = "die")]
    Crash,
    /// A worker's host is lost without a notice; it is back, cold, after the time.
    #[serde(rename = "vanish")]
    HostLost,
    /// A worker drains, completes what it has and is gone after the time, to be restarted after as long.
    Drain,
    /// As `Drain`, and what is still queued is rejected.
    #[serde(rename = "drain-return")]
    DrainRejectQueued,
    /// A worker's process is replaced at once at the same address.
    #[serde(rename = "rebirth")]
    Restart,
    /// This share of a worker's connections is reset from its side.
    #[serde(rename = "cut")]
    ResetConnections,
    /// This share of a worker's connections is reset in the network, for both sides.
    #[serde(rename = "cut-both")]
    ResetBothSides,
    /// A dispatcher's watch gets no answer for a time.
    #[serde(rename = "list-silent")]
    EndpointsSilent,
    /// Changes reach a dispatcher later by the fault's duration.
    #[serde(rename = "list-late")]
    EndpointsDelayed,
    /// A dispatcher's list goes back by the fault's duration, with its version, and is right again after as long.
    #[serde(rename = "list-back")]
    EndpointsStale,
    /// A dispatcher's list omits this share of the workers for a time.
    #[serde(rename = "list-lacks")]
    EndpointsMissing,
    /// A dispatcher's list cannot be parsed for a time.
    #[serde(rename = "list-garbled")]
    EndpointsMalformed,
    /// A dispatcher is killed; it starts again after the time.
    Kill,
    /// A dispatcher is shut down in order; it starts again after the time.
    Stop,
    /// A dispatcher is configured with another address of discovery; the old one stops answering.
    Reload,
    /// As `Reload`, and the new address answers only after the time.
    #[serde(rename = "reload-dead")]
    ReloadUnreachable,
    /// No datagram reaches a dispatcher for a time.
    #[serde(rename = "deaf")]
    DropInbound,
    /// No datagram of a dispatcher arrives for a time.
    #[serde(rename = "mute")]
    DropOutbound,
    /// No datagram passes between the dispatchers up to this one and the others for a time.
    #[serde(rename = "split")]
    Partition,
    /// A dispatcher's open watches are never answered, new ones are; what those missed counts after the time.
    #[serde(rename = "list-forgets")]
    EndpointsForgetWatch,
    /// Half of a dispatcher's descriptors are taken away for a time, by a reload, but 64.
    #[serde(rename = "tighten")]
    ReduceDescriptors,
}

impl FaultKind {
    /// Whether its target is a worker, otherwise it is a dispatcher.
    pub fn targets_worker(self) -> bool {
        self < FaultKind::EndpointsSilent
    }

    /// Whether it is one of the endpoint list that a dispatcher gets.
    pub fn affects_endpoint_list(self) -> bool {
        matches!(
            self,
            FaultKind::EndpointsSilent
                | FaultKind::EndpointsDelayed
                | FaultKind::EndpointsStale
                | FaultKind::EndpointsMissing
                | FaultKind::EndpointsMalformed
                | FaultKind::EndpointsForgetWatch
        )
    }
}

/// One fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins.
    pub at_ms: f64,
    /// What it does.
    pub kind: FaultKind,
    /// The index of the worker or the dispatcher that it hits.
    pub target: usize,
    /// How long it lasts.
    #[serde(default, rename = "for_ms")]
    pub duration_ms: f64,
    /// How much it affects, as its kind has it.
    #[serde(default = "unit")]
    pub share: f64,
    /// The index of the class that a worker fails.
    #[serde(default, rename = "scheme")]
    pub class: usize,
}

/// Why a scenario could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The text is not TOML, or has a key or a value that a scenario does not have.
    #[error("line {line}: {}", source.message())]
    Syntax {
        /// The line, from 1.
        line: usize,
        /// What the parser found.
        #[source]
        source: Box<toml::de::Error>,
    },
    /// An entry of the file makes no sense.
    #[error("line {line}: {problem}")]
    InvalidEntry {
        /// The line at which the entry begins, from 1.
        line: usize,
        /// What is wrong with it.
        #[source]
        problem: Problem,
    },
    /// Something that the file does not name makes no sense.
    #[error("{0}")]
    Invalid(#[source] Problem),
    /// The scenario cannot be expressed as TOML.
    #[error("the scenario cannot be written as TOML: {0}")]
    Write(#[from] toml::ser::Error),
}

/// Reads a scenario.
///
/// # Errors
///
/// Where the text is not a scenario, with the line.
pub fn read(text: &str) -> Result<Scenario, ScenarioError> {
    let scenario: Scenario = toml::from_str(text).map_err(|error| ScenarioError::Syntax {
        line: error.span().map_or(0, |span| line_at(text, span)),
        source: Box::new(error),
    })?;
    validate(&scenario).map_err(|invalid| {
        let problem = invalid.problem;
        match line_of(text, invalid.key, invalid.index) {
            Some(line) => ScenarioError::InvalidEntry { line, problem },
            None => ScenarioError::Invalid(problem),
        }
    })?;
    Ok(scenario)
}

/// Writes a scenario as a file's text.
///
/// # Errors
///
/// Where a value cannot be expressed as TOML.
pub fn write(scenario: &Scenario) -> Result<String, ScenarioError> {
    Ok(toml::to_string(scenario)?)
}

fn line_at(text: &str, span: Range<usize>) -> usize {
    text.bytes()
        .take(span.start)
        .filter(|byte| *byte == b'\n')
        .count()
        + 1
}

/// The line at which the entry `index` of the list `key` begins, or that of a plain key.
fn line_of(text: &str, key: &str, index: usize) -> Option<usize> {
    let table: toml::Table = toml::from_str(text).ok()?;
    let _ = table.get(key)?;
    let begins_entry = |line: &str| {
        let line = line.trim();
        line == format!("[[{key}]]")
            || line
                .strip_prefix(key)
                .is_some_and(|rest| rest.trim().starts_with('='))
    };
    text.lines()
        .enumerate()
        .filter(|(_, line)| begins_entry(line))
        .nth(index)
        .map(|(line, _)| line + 1)
}
