//! Datagrams between dispatchers, with one load report of fixed length each. Loss, repetition and
//! delay are harmless, since only the newest report of each sender counts and no rule depends on a
//! single report.
use rosewall::types::{PeerLoad, WorkerId};
use std::net::SocketAddr;

/// Length of a datagram in bytes: magic, version, sender, worker address and port, load.
pub const DATAGRAM_LENGTH: usize = 15;
const MAGIC: [u8; 2] = *b"rw";
const VERSION: u8 = 1;

/// Reason why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// The length is wrong.
    #[error("wrong datagram length: expected {DATAGRAM_LENGTH} bytes")]
    Length,
    /// The magic bytes at the start are not those of this protocol.
    #[error("unknown protocol: the magic bytes of the datagram are wrong")]
    Magic,
    /// The datagram has another version of this protocol.
    #[error("unsupported datagram version: expected {VERSION}")]
    Version,
    /// No peer has the sender's rank, or the peer with that rank has another address.
    #[error("unknown sender: the rank and address of the datagram match no peer")]
    Sender,
}

/// A load report and its sender.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedLoad {
    /// Rank of the dispatcher that sent the report.
    pub sender: u16,
    /// Load that the sender reports.
    pub load: PeerLoad,
}

/// Encodes the load report of the dispatcher with rank `sender`.
pub fn encode(sender: u16, load: &PeerLoad) -> [u8; DATAGRAM_LENGTH] {
    let mut bytes = [0; DATAGRAM_LENGTH];
    bytes[0..2].copy_from_slice(&MAGIC);
    bytes[2] = VERSION;
    bytes[3..5].copy_from_slice(&sender.to_be_bytes());
    bytes[5..9].copy_from_slice(&load.worker.addr);
    bytes[9..11].copy_from_slice(&load.worker.port.to_be_bytes());
    bytes[11] = load.half_slots;
    bytes[12..14].copy_from_slice(&load.work_units.to_be_bytes());
    bytes[14] = load.speed_code;
    bytes
}

/// Decodes a datagram from `address`. `peers` are the addresses of all dispatchers, in the order of
/// their ranks.
///
/// # Errors
/// Returns an error if the datagram has another protocol or version, or was not sent by one of
/// `peers`.
pub fn decode(
    bytes: &[u8],
    address: SocketAddr,
    peers: &[SocketAddr],
) -> Result<ReceivedLoad, DatagramError> {
    let bytes: &[u8; DATAGRAM_LENGTH] = bytes.try_into().map_err(|_| DatagramError::Length)?;
    if bytes[0..2] != MAGIC {
        return Err(DatagramError::Magic);
    }
    if bytes[2] != VERSION {
        return Err(DatagramError::Version);
    }
    let sender = u16::from_be_bytes([bytes[3], bytes[4]]);
    if peers.get(usize::from(sender)) != Some(&address) {
        return Err(DatagramError::Sender);
    }
    let worker = WorkerId {
        addr: [bytes[5], bytes[6], bytes[7], bytes[8]],
        port: u16::from_be_bytes([bytes[9], bytes[10]]),
    };
    let load = PeerLoad {
        worker,
        half_slots: bytes[11],
        work_units: u16::from_be_bytes([bytes[12], bytes[13]]),
        speed_code: bytes[14],
    };
    Ok(ReceivedLoad { sender, load })
}
