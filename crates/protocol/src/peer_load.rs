//! Datagrams between dispatchers: one load report of fixed length each. Loss, repetition and delay are harmless, since
//! only the newest report of each sender counts and no rule depends on one.
use rosewall::types::{PeerLoad, WorkerId};
use std::net::SocketAddr;

/// The length of a datagram in bytes: magic, version, sender, worker address and port, the load.
pub const DATAGRAM_LENGTH: usize = 15;
const MAGIC: [u8; 2] = *b"rw";
const VERSION: u8 = 1;

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// It has another length.
    #[error("a datagram of another length than {DATAGRAM_LENGTH} bytes")]
    Length,
    /// It does not start with this protocol's magic.
    #[error("a datagram of another protocol")]
    Magic,
    /// It is of another version of this protocol.
    #[error("a datagram of another version than {VERSION}")]
    Version,
    /// No peer has this number, or it has another address than the sender's.
    #[error("a datagram of an unknown peer")]
    Sender,
}

/// A load report and the number of the dispatcher that sent it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedLoad {
    /// The number of the sender among the dispatchers.
    pub sender: u16,
    /// What it reports.
    pub load: PeerLoad,
}

/// The datagram with the load that dispatcher `sender` reports.
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

/// Decodes a datagram from `address`. `peers` are the addresses of all dispatchers, in the order of their numbers.
///
/// # Errors
/// Where it is not a datagram of this protocol and version, sent by one of `peers`.
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
