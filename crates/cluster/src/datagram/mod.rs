//! The format of datagrams between dispatchers: a header with the sender's own record, then parts.
//!
//! Each part starts with its tag and length, so parts with unknown tags can be skipped. Numbers are
//! big-endian.
mod decoder;
mod encoder;

pub use decoder::decode;
pub use encoder::DatagramEncoder;

use crate::member::{MemberRecord, Name};
use rosewall::types::{PeerLoad, WorkerId};
use std::net::SocketAddr;

/// The maximum length of a datagram, in bytes. It is not fragmented in common networks, even with tunnel
/// headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The first bytes of every datagram.
const MAGIC: [u8; 2] = *b"rC";
/// The version of this format.
const VERSION: u8 = 1;
/// The bit of a record's state byte that is set if the member issues grants.
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
    /// Requests an [`Part::Ack`] from the named member.
    Ping {
        /// The number of the ping, repeated in the answer.
        seq: u32,
        /// The name of the pinged member; a process with another name does not answer.
        target: Name,
    },
    /// Answers a ping.
    Ack {
        /// The number of the ping.
        seq: u32,
    },
    /// Answers an indirect ping whose target did not answer in time.
    Nack {
        /// The number of the indirect ping.
        seq: u32,
    },
    /// Requests that the receiver ping another member on behalf of the sender.
    IndirectPing {
        /// The number of the indirect ping, repeated in the answer.
        seq: u32,
        /// The name of the member to ping.
        target: Name,
        /// The address at which the target receives datagrams.
        addr: SocketAddr,
    },
    /// The sender's record of a member.
    Record(MemberRecord),
    /// Summarizes the sender's view of the running members.
    Digest {
        /// The digest of the view; equal for equal views.
        hash: u32,
        /// The number of running members.
        count: u16,
    },
    /// Requests a page of the receiver's records.
    PageRequest {
        /// The index of the first record.
        offset: u16,
    },
    /// Requests a quorum member's vote for the lease.
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
    /// Requests a warm-up grant from the lease holder.
    GrantRequest {
        /// The number of the request, repeated in the answer.
        seq: u32,
        /// The warming worker.
        worker: WorkerId,
        /// The requested work, in ms of one slot.
        work_ms: u32,
    },
    /// Answers a grant request.
    Grant {
        /// The number of the request.
        seq: u32,
        /// The warming worker.
        worker: WorkerId,
        /// The granted work, in ms of one slot; 0 if nothing is granted.
        work_ms: u32,
        /// The time for which the grant is valid, counted from the request, in ms.
        validity_ms: u16,
    },
    /// The sender's load in flight at a worker, and the worker's speed.
    PeerLoad {
        /// The reported load.
        load: PeerLoad,
        /// The age of the report, in units of 4 ms, at most 255.
        age: u8,
    },
}

/// A decoded datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// The sender's own record.
    pub sender: MemberRecord,
    /// The parts with known tags, in the order of the datagram.
    pub parts: Vec<Part>,
}

/// Reasons to drop a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The datagram is longer than [`MAX_DATAGRAM_BYTES`] or shorter than the header.
    #[error("the datagram is longer than {MAX_DATAGRAM_BYTES} bytes or shorter than its header")]
    Length,
    /// The datagram does not begin with the magic bytes.
    #[error("the datagram does not begin with the magic bytes")]
    Magic,
    /// The datagram has another version of the format.
    #[error("the datagram has format version {0}, expected {VERSION}")]
    Version(u8),
    /// The datagram is from another cluster.
    #[error("the datagram is from another cluster")]
    Cluster,
    /// A record or a part is malformed.
    #[error("a part of the datagram is malformed")]
    Part,
}

#[cfg(test)]
mod tests;
