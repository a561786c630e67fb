use super::*;
use proptest::prelude::*;
use rosewall::types::{PeerLoad, WorkerId};

fn record(name: &str) -> MemberRecord {
    MemberRecord {
        name: name.into(),
        addr: ([10, 0, 0, 1], 7946).into(),
        start: 7,
        incarnation: 3,
        state: MemberState::Suspect,
        claimed_rank: 2,
        issues_grants: true,
        suspected_by: 9,
    }
}

fn worker(at: u8) -> WorkerId {
    WorkerId {
        addr: [1, 2, 3, at],
        port: 80,
    }
}

#[test]
fn what_is_written_is_read() {
    let (name, addr): (Name, _) = ("n1".into(), ([10, 0, 0, 9], 1).into());
    let load = PeerLoad {
        worker: worker(1),
        half_slots: 3,
        work_units: 500,
        speed_code: 140,
    };
    let parts = vec![
        Part::Ping {
            seq: 1,
            to: name.clone(),
        },
        Part::Ack { seq: 2 },
        Part::Nack { seq: 3 },
        Part::IndirectPing {
            seq: 4,
            to: name,
            addr,
        },
        Part::Record(record("b")),
        Part::Digest { hash: 5, count: 6 },
        Part::PageRequest { from: 7 },
        Part::LeaseRequest { seq: 8 },
        Part::LeaseVote {
            seq: 9,
            given: true,
        },
        Part::GrantRequest {
            seq: 10,
            worker: worker(2),
            work: 11,
        },
        Part::Grant {
            seq: 12,
            worker: worker(3),
            work: 13,
            lasts: 14,
        },
        Part::PeerLoad { load, age: 15 },
    ];
    let mut draft = DatagramEncoder::new(77, &record("a"));
    assert!(parts.iter().all(|part| draft.add(part)));
    let bytes = draft.done();
    assert_eq!(
        read(77, &bytes),
        Ok(Datagram {
            sender: record("a"),
            parts
        })
    );
    assert_eq!(read(78, &bytes), Err(DecodeError::Cluster));
    let mut other = bytes.clone();
    other[2] = 2;
    assert_eq!(read(77, &other), Err(DecodeError::Version(2)));
    assert_eq!(read(77, &bytes[..bytes.len() - 1]), Err(DecodeError::Part));
}

#[test]
fn a_part_that_is_not_known_is_passed_over() {
    let mut bytes = DatagramEncoder::new(1, &record("a")).done();
    bytes.extend([200, 3, 1, 2, 3, 2, 4, 0, 0, 0, 9]);
    assert_eq!(read(1, &bytes).unwrap().parts, [Part::Ack { seq: 9 }]);
}

#[test]
fn no_datagram_is_longer_than_the_most() {
    let mut draft = DatagramEncoder::new(1, &record("a"));
    let added = (0..200)
        .filter(|_| draft.add(&Part::Record(record("some-name"))))
        .count();
    let length = draft.done().len();
    assert!(
        (MAX_DATAGRAM_BYTES - 60..=MAX_DATAGRAM_BYTES).contains(&length) && added > 20,
        "{length} {added}"
    );
}

proptest! {
    #[test]
    fn mangled_datagrams_are_dropped_or_read(mut bytes in prop::collection::vec(any::<u8>(), 0..200), whole in any::<bool>()) {
        if whole {
            let mut draft = DatagramEncoder::new(1, &record("a")).done();
            draft.append(&mut bytes);
            bytes = draft;
        }
        let _ = read(1, &bytes);
    }
}
