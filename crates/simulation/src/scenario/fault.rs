//! The faults of a scenario.
use super::unit;
use serde::{Deserialize, Serialize};

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
