//! Effects that the driver of the cluster state machine carries out.
use rosewall::types::{FleetPosition, Nanos, PeerLoad, WorkerId};
use std::net::SocketAddr;

/// An action for the driver to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The encoded datagram.
        bytes: Vec<u8>,
    },
    /// Notify the dispatch decisions of this dispatcher's rank and the number of dispatchers; `None`
    /// while this process is on standby or has never known another member.
    FleetView(Option<FleetPosition>),
    /// Notify the dispatch decisions of a warm-up grant, which may be used once.
    WarmUpGranted {
        /// The warming worker.
        worker: WorkerId,
        /// The granted work, in ns of one concurrency slot.
        work: Nanos,
        /// The time at which the grant expires.
        until: Nanos,
    },
    /// Notify the dispatch decisions of another member's load at a worker.
    PeerLoad {
        /// The rank of the reporting member.
        from: u16,
        /// The member's load at the worker.
        load: PeerLoad,
    },
    /// Write a line to the log.
    Log(LogLine),
}

/// A line for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogLine {
    /// A change of the membership or of the fleet view.
    Info(String),
    /// An error, with its code and remedy.
    Error(String),
}
