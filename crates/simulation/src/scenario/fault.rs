//! Faults of a scenario.
use super::unit;
use serde::{Deserialize, Serialize};

/// Kind of a fault. Kinds before [`FaultKind::EndpointsSilent`] and from
/// [`FaultKind::LateConnections`] on target a worker, the others a dispatcher.
///
/// "The duration" and "the share" are [`Fault::duration_ms`] and [`Fault::share`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// A worker pauses for the duration, without losing any state.
    Stall,
    /// A worker takes `share` times as long for each request.
    Slow,
    /// A worker immediately answers the share of requests with an error.
    Errors,
    /// A worker fails the requests of one class.
    #[serde(rename = "fail-scheme")]
    FailClass,
    /// A worker never answers the share of requests.
    #[serde(rename = "swallow")]
    Unresponsive,
    /// A worker rejects all requests.
    #[serde(rename = "full")]
    AtCapacity,
    /// A worker answers the share of requests with responses that are malformed, never end, or come
    /// too early.
    #[serde(rename = "odd")]
    MalformedResponses,
    /// A worker's process crashes, which resets its connections. It restarts after the duration and
    /// warms up again; it does not restart if the duration is 0.
    #[serde(rename = "die")]
    Crash,
    /// A worker's host becomes unreachable without notice. It returns after the duration and warms
    /// up again.
    #[serde(rename = "vanish")]
    HostLost,
    /// A worker drains and completes its requests, ends after the duration, and restarts after the
    /// same time again.
    Drain,
    /// Like `Drain`, and the worker rejects its queued requests.
    #[serde(rename = "drain-return")]
    DrainRejectQueued,
    /// A worker's process is immediately replaced at the same address.
    #[serde(rename = "rebirth")]
    Restart,
    /// The share of a worker's connections is reset by the worker's side.
    #[serde(rename = "cut")]
    ResetConnections,
    /// The share of a worker's connections is reset in the network, for both sides.
    #[serde(rename = "cut-both")]
    ResetBothSides,
    /// A dispatcher's watch gets no answer for the duration.
    #[serde(rename = "list-silent")]
    EndpointsSilent,
    /// Changes during the fault reach a dispatcher late, by the duration.
    #[serde(rename = "list-late")]
    EndpointsDelayed,
    /// A dispatcher gets the list, with its version, that was current one duration earlier. After
    /// the duration it gets the current list again.
    #[serde(rename = "list-back")]
    EndpointsStale,
    /// A dispatcher's list omits the share of the workers for the duration.
    #[serde(rename = "list-lacks")]
    EndpointsMissing,
    /// A dispatcher gets lists that cannot be parsed for the duration.
    #[serde(rename = "list-garbled")]
    EndpointsMalformed,
    /// A dispatcher is killed and starts again after the duration.
    Kill,
    /// A dispatcher is shut down gracefully and starts again after the duration.
    Stop,
    /// A dispatcher is reloaded with another discovery address; the old one stops answering for the
    /// duration.
    Reload,
    /// Like `Reload`, but the new address does not answer for the duration and the old one
    /// continues.
    #[serde(rename = "reload-dead")]
    ReloadUnreachable,
    /// No datagram reaches a dispatcher for the duration.
    #[serde(rename = "deaf")]
    DropInbound,
    /// No datagram sent by a dispatcher arrives for the duration.
    #[serde(rename = "mute")]
    DropOutbound,
    /// No datagram passes between the dispatchers up to and including the target and the others for
    /// the duration.
    #[serde(rename = "split")]
    Partition,
    /// A dispatcher's open polls are never answered; new ones are. After the duration, the checker
    /// treats the current list as published.
    #[serde(rename = "list-forgets")]
    EndpointsForgetWatch,
    /// A reload halves a dispatcher's descriptor limit for the duration, to no less than 64.
    #[serde(rename = "tighten")]
    ReduceDescriptors,
    /// A dispatcher's process does not run for the duration; its connections stay open. After it,
    /// the process continues with what has arrived.
    #[serde(rename = "hold-up")]
    HoldUp,
    /// Both addresses of a dispatcher's discovery close each connection for the duration.
    #[serde(rename = "list-closes")]
    EndpointsClosed,
    /// Like `Reload`, but the new address closes each connection for the duration, and the old one
    /// does so from 1.5 s after the reload on.
    #[serde(rename = "reload-closed")]
    ReloadClosed,
    /// A dispatcher is killed; its discovery falls silent 0.4 s later for the duration, and another
    /// 0.1 s later the dispatcher starts again with the list that it last received.
    #[serde(rename = "start-in-outage")]
    StartInOutage,
    /// The share of new connections to a worker is established late, by a random time.
    #[serde(rename = "late-connect")]
    LateConnections,
    /// A worker accepts the share of new connections late, by a random time. Until then its host
    /// holds only a few bytes of each.
    #[serde(rename = "late-accept")]
    LateAccepts,
    /// A worker runs the share of requests with a key, and resets their connections shortly before
    /// the end of the retry window.
    #[serde(rename = "cut-in-window")]
    ResetBeforeWindowEnd,
}

impl FaultKind {
    /// Returns whether the fault targets a worker; otherwise it targets a dispatcher.
    pub fn targets_worker(self) -> bool {
        self < FaultKind::EndpointsSilent || self >= FaultKind::LateConnections
    }
}

/// Fault to inject at a fixed time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Begin of the fault, in milliseconds.
    pub at_ms: f64,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Index of the worker or the dispatcher that the fault targets, depending on its kind.
    pub target: usize,
    /// Duration of the fault in milliseconds; 0 by default.
    #[serde(default, rename = "for_ms")]
    pub duration_ms: f64,
    /// Fraction (0 to 1) of requests, connections or workers affected, or the factor of `Slow`; 1
    /// by default.
    #[serde(default = "unit")]
    pub share: f64,
    /// Index of the class that a worker fails, for `FailClass`; 0 by default.
    #[serde(default, rename = "scheme")]
    pub class: usize,
}
