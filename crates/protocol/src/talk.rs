//! What dispatchers tell each other: datagrams of one length, each with one share. A lost, repeated or late one breaks
//! nothing, as only the newest of each teller counts and none rests a rule on it.
use rosewall::types::{Share, WorkerId};
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

pub fn datagram(from: u16, share: &Share) -> [u8; LENGTH] {
    let ([a, b], [c, d], [e, f]) = (
        from.to_be_bytes(),
        share.worker.port.to_be_bytes(),
        share.work.to_be_bytes(),
    );
    let [x, y] = MARK;
    let [i, j, k, l] = share.worker.addr;
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
        share.halves,
        e,
        f,
        share.sign,
    ]
}

/// The teller and what it tells. `peers` has the address of each dispatcher, in the order of their numbers.
pub fn read(bytes: &[u8], sender: SocketAddr, peers: &[SocketAddr]) -> Result<(u16, Share), Fault> {
    let &[x, y, version, a, b, i, j, k, l, c, d, halves, e, f, sign] = bytes else {
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
        Share {
            worker,
            halves,
            work: u16::from_be_bytes([e, f]),
            sign,
        },
    ))
}
