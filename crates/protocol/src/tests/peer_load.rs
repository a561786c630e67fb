//! Tests of the datagrams with load reports between dispatchers.
use crate::peer_load::{ReceivedLoad, decode, encode};
use rosewall::types::{PeerLoad, WorkerId};
use std::net::SocketAddr;
use test_case::test_case;

fn loopback(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

#[test_case(|_| (), 7000 => true; "unchanged")]
#[test_case(|bytes| { bytes.pop(); }, 7000 => false; "short")]
#[test_case(|bytes| bytes.push(0), 7000 => false; "long")]
#[test_case(|bytes| bytes.clear(), 7000 => false; "empty")]
#[test_case(|bytes| bytes[0] = 0, 7000 => false; "of another program")]
#[test_case(|bytes| bytes[2] = 2, 7000 => false; "of another version")]
#[test_case(|bytes| bytes[3] = 1, 7000 => false; "of an unknown rank")]
#[test_case(|bytes| bytes[4] = 1, 7000 => false; "of a rank with another address")]
#[test_case(|_| (), 7009 => false; "of an unknown address")]
fn only_datagrams_of_peers_are_decoded(corrupt: fn(&mut Vec<u8>), port: u16) -> bool {
    let worker = WorkerId {
        addr: [10, 1, 2, 3],
        port: 4,
    };
    let load = PeerLoad {
        worker,
        half_slots: 5,
        work_units: 600,
        speed_code: 7,
    };
    let mut bytes = encode(0, &load).to_vec();
    corrupt(&mut bytes);
    decode(&bytes, loopback(port), &[loopback(7000), loopback(7001)])
        == Ok(ReceivedLoad { sender: 0, load })
}

#[test]
fn a_datagram_of_the_last_of_1024_dispatchers_is_decoded() {
    let peers: Vec<SocketAddr> = (0..1_024).map(|at| loopback(10_000 + at)).collect();
    let worker = WorkerId {
        addr: [10, 0, 0, 1],
        port: 9,
    };
    let load = PeerLoad {
        worker,
        half_slots: 3,
        work_units: 40,
        speed_code: PeerLoad::SPEED_UNKNOWN,
    };
    assert_eq!(
        decode(&encode(1_023, &load), peers[1_023], &peers),
        Ok(ReceivedLoad {
            sender: 1_023,
            load
        })
    );
}
