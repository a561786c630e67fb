//! What dispatchers tell each other: datagrams of one length, each with one share. A lost, repeated or late one breaks
//! nothing, as only the newest of each teller counts and none rests a rule on it.
use rosewall::types::{PeerLoad, WorkerId};
use std::net::SocketAddr;

/// Mark, version, the teller's number, the share.
pub const LENGTH: usize = 15;
const MARK: [u8; 2] = *b"rw";
const VERSION: u8 = 1;

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Length,
    Mark,
    Version,
    /// No peer has this number, or another address than the sender's.
    Sender,
}

pub fn datagram(from: u16, load: &PeerLoad) -> [u8; LENGTH] {
    let ([a, b], [c, d], [e, f]) = (
        from.to_be_bytes(),
        load.worker.port.to_be_bytes(),
        load.work_units.to_be_bytes(),
    );
    let [x, y] = MARK;
    let [i, j, k, l] = load.worker.addr;
    [
        x,
        y,
        VERSION,
        a,
        b,
        i,
        j,
        k,
        l,
        c,
        d,
        load.half_slots,
        e,
        f,
        load.speed_code,
    ]
}

/// The teller and what it tells. `peers` has the address of each dispatcher, in the order of their numbers.
pub fn read(
    bytes: &[u8],
    sender: SocketAddr,
    peers: &[SocketAddr],
) -> Result<(u16, PeerLoad), Fault> {
    let &[
        x,
        y,
        version,
        a,
        b,
        i,
        j,
        k,
        l,
        c,
        d,
        half_slots,
        e,
        f,
        speed_code,
    ] = bytes
    else {
        return Err(Fault::Length);
    };
    if [x, y] != MARK {
        return Err(Fault::Mark);
    }
    if version != VERSION {
        return Err(Fault::Version);
    }
    let from = u16::from_be_bytes([a, b]);
    if peers.get(usize::from(from)) != Some(&sender) {
        return Err(Fault::Sender);
    }
    let worker = WorkerId {
        addr: [i, j, k, l],
        port: u16::from_be_bytes([c, d]),
    };
    Ok((
        from,
        PeerLoad {
            worker,
            half_slots,
            work_units: u16::from_be_bytes([e, f]),
            speed_code,
        },
    ))
}
