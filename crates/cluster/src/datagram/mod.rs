//! The datagrams between dispatchers: a header with the sender's own record, then parts.
//!
//! Each part carries its length, so that a part with an unknown tag is skipped. Numbers are big-endian.
mod decoder;
mod encoder;

pub use decoder::decode;
pub use encoder::DatagramEncoder;

use crate::member::{MemberRecord, Name};
use rosewall::types::{PeerLoad, WorkerId};
use std::net::SocketAddr;

/// The longest datagram, in bytes: it passes common networks unfragmented, with space left for tunnel headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The first bytes of every datagram.
const MAGIC: [u8; 2] = *b"rC";
/// The version of this format.
const VERSION: u8 = 1;
/// The bit of a record's state byte that says that the member issues grants.
const ISSUES_GRANTS_BIT: u8 = 0x80;

/// The tags of the parts on the wire.
mod tag {
    pub const PING: u8 = 1;
    pub const ACK: u8 = 2;
    pub const NACK: u8 = 3;
    pub const INDIRECT_PING: u8 = 4;
    pub const RECORD: u8 = 5;
    pub const DIGEST: u8 = 6;
    pub const PAGE_REQUEST: u8 = 7;
    pub const LEASE_REQUEST: u8 = 8;
    pub const LEASE_VOTE: u8 = 9;
    pub const GRANT_REQUEST: u8 = 10;
    pub const GRANT: u8 = 11;
    pub const PEER_LOAD: u8 = 12;
}

/// One part of a datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// Asks the named member for an [`Part::Ack`].
    Ping {
        /// Repeated in the answer.
        seq: u32,
        /// Who is pinged; a process of another name does not answer.
        target: Name,
    },
    /// Answers a ping.
    Ack {
        /// That of the ping.
        seq: u32,
    },
    /// Answers an indirect ping whose target did not answer.
    Nack {
        /// That of the indirect ping.
        seq: u32,
    },
    /// Asks the receiver to ping another member for the sender.
    IndirectPing {
        /// Repeated in the answer.
        seq: u32,
        /// Who is to be pinged.
        target: Name,
        /// Where the target receives datagrams.
        addr: SocketAddr,
    },
    /// What the sender knows of a member.
    Record(MemberRecord),
    /// Summarizes the sender's view of the running members.
    Digest {
        /// Equal hashes mean equal views.
        hash: u32,
        /// How many members run.
        count: u16,
    },
    /// Asks for a page of the receiver's records.
    PageRequest {
        /// The index of the first record.
        offset: u16,
    },
    /// Asks a quorum member for its vote for the lease.
    LeaseRequest {
        /// The number of the round.
        seq: u32,
    },
    /// Answers a lease request.
    LeaseVote {
        /// The number of the round.
        seq: u32,
        /// Whether the voter promises the lease to the receiver.
        granted: bool,
    },
    /// Asks the lease holder for a warm-up grant.
    GrantRequest {
        /// Repeated in the answer.
        seq: u32,
        /// The warming worker.
        worker: WorkerId,
        /// The requested work, in ms of one slot.
        work_ms: u32,
    },
    /// Answers a grant request.
    Grant {
        /// That of the request.
        seq: u32,
        /// The warming worker.
        worker: WorkerId,
        /// The granted work, in ms of one slot; 0 for none.
        work_ms: u32,
        /// How long the grant is valid, counted from the request.
        validity_ms: u16,
    },
    /// What the sender has in flight at a worker, and how fast that runs.
    PeerLoad {
        /// The load.
        load: PeerLoad,
        /// The age of the figures, in units of 4 ms.
        age: u8,
    },
}

/// A decoded datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// The sender's own record.
    pub sender: MemberRecord,
    /// Its parts with known tags.
    pub parts: Vec<Part>,
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// Longer than [`MAX_DATAGRAM_BYTES`], or shorter than the header.
    #[error("the datagram is too long, or shorter than its header")]
    Length,
    /// It does not begin with the magic bytes.
    #[error("the datagram does not begin with the magic bytes")]
    Magic,
    /// Of another version of the format.
    #[error("the datagram has version {0}")]
    Version(u8),
    /// Of another cluster.
    #[error("the datagram is of another cluster")]
    Cluster,
    /// A record or a part is malformed.
    #[error("a part of the datagram is malformed")]
    Part,
}

#[cfg(test)]
mod tests;
