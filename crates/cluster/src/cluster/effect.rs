//! What the cluster asks its driver to do.
use rosewall::types::{FleetPosition, Nanos, PeerLoad, WorkerId};
use std::net::SocketAddr;

/// Something that the driver is to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram.
    Send {
        /// To whom.
        to: SocketAddr,
        /// The encoded datagram.
        bytes: Vec<u8>,
    },
    /// Notify the decisions of this dispatcher's rank and the number of dispatchers; `None` while it is not a member.
    FleetView(Option<FleetPosition>),
    /// Notify the decisions of a warm-up grant, to be used once.
    WarmUpGranted {
        /// The warming worker.
        worker: WorkerId,
        /// The granted work.
        work: Nanos,
        /// When the grant expires.
        until: Nanos,
    },
    /// Notify the decisions of another member's load at a worker.
    PeerLoad {
        /// The rank of the member.
        from: u16,
        /// Its load.
        load: PeerLoad,
    },
    /// Write a line to the log.
    Log(LogLine),
}

/// A line for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum LogLine {
    /// A change that an operator may want to follow.
    Info(String),
    /// A fault, with its code and remedy.
    Error(String),
}
