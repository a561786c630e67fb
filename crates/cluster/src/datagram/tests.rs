//! Encoding and decoding of datagrams, also of malformed ones.
use super::*;
use crate::member::tests::record;
use proptest::prelude::*;

fn worker(host: u8) -> WorkerId {
    WorkerId {
        addr: [1, 2, 3, host],
        port: 80,
    }
}

fn encoded(cluster: u32, parts: &[Part]) -> Vec<u8> {
    let mut encoder = DatagramEncoder::new(cluster, &record("a"));
    assert!(parts.iter().all(|part| encoder.push(part)));
    encoder.finish()
}

fn one_part_of_each_kind() -> Vec<Part> {
    let target: Name = "n1".into();
    let load = PeerLoad {
        worker: worker(1),
        half_slots: 3,
        work_units: 500,
        speed_code: 140,
    };
    vec![
        Part::Ping {
            seq: 1,
            target: target.clone(),
        },
        Part::Ack { seq: 2 },
        Part::Nack { seq: 3 },
        Part::IndirectPing {
            seq: 4,
            target,
            addr: ([10, 0, 0, 9], 1).into(),
        },
        Part::Record(record("b")),
        Part::Digest { hash: 5, count: 6 },
        Part::PageRequest { offset: 7 },
        Part::LeaseRequest { seq: 8 },
        Part::LeaseVote {
            seq: 9,
            granted: true,
        },
        Part::GrantRequest {
            seq: 10,
            worker: worker(2),
            work_ms: 11,
        },
        Part::Grant {
            seq: 12,
            worker: worker(3),
            work_ms: 13,
            validity_ms: 14,
        },
        Part::PeerLoad { load, age: 15 },
    ]
}

#[test]
fn encoding_round_trips_and_altered_bytes_are_rejected() {
    let parts = one_part_of_each_kind();
    let bytes = encoded(77, &parts);

    let decoded = Datagram {
        sender: record("a"),
        parts,
    };
    assert_eq!(decode(77, &bytes), Ok(decoded));
    assert_eq!(decode(78, &bytes), Err(DecodeError::Cluster));
    let mut other_version = bytes.clone();
    other_version[2] = 2;
    assert_eq!(decode(77, &other_version), Err(DecodeError::Version(2)));
    assert_eq!(
        decode(77, &bytes[..bytes.len() - 1]),
        Err(DecodeError::Part)
    );
}

#[test]
fn a_part_with_an_unknown_tag_is_skipped() {
    let mut bytes = encoded(1, &[]);
    bytes.extend([200, 3, 1, 2, 3, 2, 4, 0, 0, 0, 9]);

    assert_eq!(decode(1, &bytes).unwrap().parts, [Part::Ack { seq: 9 }]);
}

#[test]
fn no_datagram_exceeds_the_maximal_length() {
    let mut encoder = DatagramEncoder::new(1, &record("a"));

    let added = (0..200)
        .filter(|_| encoder.push(&Part::Record(record("some-name"))))
        .count();

    let length = encoder.finish().len();
    assert!(
        (MAX_DATAGRAM_BYTES - 60..=MAX_DATAGRAM_BYTES).contains(&length) && added > 20,
        "{length} {added}"
    );
}

proptest! {
    #[test]
    fn any_bytes_are_decoded_or_rejected(
        mut bytes in prop::collection::vec(any::<u8>(), 0..200),
        with_header in any::<bool>(),
    ) {
        if with_header {
            let mut datagram = encoded(1, &[]);
            datagram.append(&mut bytes);
            bytes = datagram;
        }
        let _ = decode(1, &bytes);
    }
}
