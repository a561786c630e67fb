//! The parts by themselves.
use crate::config::{nearest, parse};
use crate::datagram::{self, Datagram, Draft, Fault, NONE, Name, Part, Record, Standing};
use crate::error::ClusterError;
use crate::grants::GrantIssuer;
use crate::lease::{Candidate, Keeper, SPAN};
use crate::membership::Members;
use crate::peer_load::{LoadReceiver, LoadSender};
use crate::ranks::ranks;
use proptest::prelude::*;
use rosewall::types::{PeerLoad, WorkerId};
use std::path::Path;
use test_case::test_case;

const MS: u64 = 1_000_000;

fn record(name: &str) -> Record {
    Record {
        name: name.into(),
        addr: ([10, 0, 0, 1], 7946).into(),
        start: 7,
        incarnation: 3,
        standing: Standing::Suspect,
        claim: 2,
        gives: true,
        by: 9,
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
        Part::PingFor {
            seq: 4,
            to: name,
            addr,
        },
        Part::Record(record("b")),
        Part::Digest { hash: 5, count: 6 },
        Part::Page { from: 7 },
        Part::Lease { seq: 8 },
        Part::Promise {
            seq: 9,
            given: true,
        },
        Part::Want {
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
    let mut draft = Draft::new(77, &record("a"));
    assert!(parts.iter().all(|part| draft.add(part)));
    let bytes = draft.done();
    assert_eq!(
        datagram::read(77, &bytes),
        Ok(Datagram {
            sender: record("a"),
            parts
        })
    );
    assert_eq!(datagram::read(78, &bytes), Err(Fault::Cluster));
    let mut other = bytes.clone();
    other[2] = 2;
    assert_eq!(datagram::read(77, &other), Err(Fault::Version(2)));
    assert_eq!(
        datagram::read(77, &bytes[..bytes.len() - 1]),
        Err(Fault::Part)
    );
}

#[test]
fn a_part_that_is_not_known_is_passed_over() {
    let mut bytes = Draft::new(1, &record("a")).done();
    bytes.extend([200, 3, 1, 2, 3, 2, 4, 0, 0, 0, 9]);
    assert_eq!(
        datagram::read(1, &bytes).unwrap().parts,
        [Part::Ack { seq: 9 }]
    );
}

#[test]
fn no_datagram_is_longer_than_the_most() {
    let mut draft = Draft::new(1, &record("a"));
    let added = (0..200)
        .filter(|_| draft.add(&Part::Record(record("some-name"))))
        .count();
    let length = draft.done().len();
    assert!(
        (datagram::MOST - 60..=datagram::MOST).contains(&length) && added > 20,
        "{length} {added}"
    );
}

proptest! {
    #[test]
    fn mangled_datagrams_are_dropped_or_read(mut bytes in prop::collection::vec(any::<u8>(), 0..200), whole in any::<bool>()) {
        if whole {
            let mut draft = Draft::new(1, &record("a")).done();
            draft.append(&mut bytes);
            bytes = draft;
        }
        let _ = datagram::read(1, &bytes);
    }

    /// Equal views give equal ranks, each once; one that goes moves one other at most, one that comes none.
    #[test]
    fn one_more_or_less_moves_one_other_at_most(count in 1_usize..60, gone in 0_usize..60, claims in prop::collection::vec(0_u16..70, 60)) {
        let name = |at: usize| Name::from(format!("n{at:03}"));
        // Whatever they claim at first, once each has claimed its rank they are settled.
        let mut all: Vec<(Name, u16)> = (0..count).map(|at| (name(at), if claims[at] > 60 { NONE } else { claims[at] })).collect();
        let settled = ranks(&all);
        let mut sorted = settled.clone();
        sorted.sort_unstable();
        prop_assert!(sorted.into_iter().eq(0..count as u16));
        all.iter_mut().zip(&settled).for_each(|((_, claim), rank)| *claim = *rank);
        prop_assert_eq!(&ranks(&all), &settled);
        let mut less = all.clone();
        less.remove(gone % count);
        let moved = ranks(&less).iter().zip(&less).filter(|(rank, (_, claim))| **rank != *claim).count();
        prop_assert!(moved <= 1);
        let mut more = all.clone();
        more.insert(gone % count, (Name::from(format!("n{:03}x", gone % count)), NONE));
        more.sort();
        let moved = ranks(&more).iter().zip(&more).filter(|(rank, (_, claim))| *claim != NONE && **rank != *claim).count();
        prop_assert_eq!(moved, 0);
    }
}

/// Of three keepers one alone makes no lease, and one that has just started promises nothing that it may have promised
/// another before.
#[test]
pub fn a_lease_has_one_holder() {
    let (a, b): (Name, Name) = ("a".into(), "b".into());
    let mut candidate = Candidate::default();
    let seq = candidate.begin(0, true).unwrap();
    candidate.promise(MS, seq, &a, 3);
    assert!(!candidate.holds(MS));
    // An answer that was long on its way makes no longer lease.
    candidate.promise(SPAN / 2, seq, &b, 3);
    assert!(candidate.holds(SPAN / 2) && !candidate.holds(SPAN));
    let mut keeper = Keeper::new(0);
    assert!(!keeper.ask(MS, &a, 1) && !keeper.ask(SPAN, &a, 1));
    assert!(
        keeper.ask(2 * SPAN, &a, 1)
            && !keeper.ask(2 * SPAN + MS, &b, 1)
            && keeper.ask(3 * SPAN, &a, 1)
    );
    assert!(!keeper.ask(4 * SPAN, &b, 1) && keeper.ask(5 * SPAN, &b, 1));
}

#[test]
pub fn a_request_that_comes_twice_is_given_to_once() {
    let mut grant_issuer = GrantIssuer::default();
    grant_issuer.set_warm_up_budget(worker(1), 1_000 * MS, 1_000 * MS);
    let mut give = |now, seq, work| {
        grant_issuer
            .give(now * MS, 0, (1, 1), seq, worker(1), work * MS)
            .0
    };
    assert_eq!((give(1_000, 1, 300), give(5_000, 2, 300)), (0, 300 * MS));
    assert_eq!(
        (give(5_010, 2, 300), give(5_020, 3, 700), give(5_020, 4, 1)),
        (0, 700 * MS, 0)
    );
}

/// A quarter of those that it speaks of, or two, may be silent by one member's word.
#[test]
pub fn one_members_word_empties_no_fleet() {
    let (mut load_receiver, name) = (LoadReceiver::default(), Name::from("n1"));
    let load = |at: u8| PeerLoad {
        worker: worker(at),
        half_slots: 2,
        work_units: 10,
        speed_code: PeerLoad::SPEED_SILENT,
    };
    let believed = (0..40)
        .filter(|at| {
            load_receiver.line(1, &name, load(*at), 0).speed_code == PeerLoad::SPEED_SILENT
        })
        .count();
    assert!((2..=10).contains(&believed), "{believed} of 40");
    assert!(load_receiver.bounded > 0);
}

#[test]
fn what_ended_on_the_way_is_taken_off() {
    let load = PeerLoad {
        worker: worker(1),
        half_slots: 4,
        work_units: 100,
        speed_code: 140,
    };
    let line = LoadReceiver::default().line(1, &"n1".into(), load, 100);
    // 400 ms at two seats are 800 ms, in units of 16 ms.
    assert_eq!(line.work_units, 50);
}

#[test]
fn lines_to_one_member_go_together_and_the_newest_of_a_worker_counts() {
    let mut load_sender = LoadSender::default();
    let (name, load) = (Name::from("n1"), |at, work| PeerLoad {
        worker: worker(at),
        half_slots: 2,
        work_units: work,
        speed_code: 140,
    });
    load_sender.send_load(0, &name, load(1, 5));
    load_sender.send_load(MS, &name, load(2, 6));
    load_sender.send_load(2 * MS, &name, load(1, 7));
    assert_eq!(load_sender.due(20 * MS), []);
    let line = |at, work, age| Part::PeerLoad {
        load: load(at, work),
        age,
    };
    assert_eq!(
        load_sender.due(26 * MS),
        [(name, vec![line(1, 7, 6), line(2, 6, 6)])]
    );
    assert_eq!(load_sender.due(100 * MS), []);
}

const GOOD: &str = "version = 1\ncluster = \"shop\"\nname = \"n1\"\nlisten = \"10.0.0.1:7946\"\nseeds = [\"10.0.0.2:7946\"]\n";

#[test]
fn a_file_is_read() {
    let cluster_config = parse(
        Path::new("c.toml"),
        &format!("{GOOD}keepers = [\"a\", \"b\", \"c\"]\n"),
    )
    .unwrap();
    assert_eq!(
        (
            cluster_config.name.as_str(),
            cluster_config.quorum.len(),
            cluster_config.max_clock_skew
        ),
        ("n1", 3, 10_000_000_000)
    );
    assert_eq!(cluster_config.seeds, ["10.0.0.2:7946".parse().unwrap()]);
}

#[test]
fn the_example_under_deploy_is_one() {
    let text = include_str!("../../../deploy/cluster.toml");
    assert_eq!(
        parse(Path::new("cluster.toml"), text).unwrap().quorum,
        ["n1", "n2", "n3"]
    );
}

#[test_case("seedz = []", "c.toml:6: no key is called \"seedz\", the nearest is \"seeds\""; "unknown key")]
#[test_case("keepers = [\"a\", \"b\"]", "c.toml:6: keepers are 2"; "two keepers")]
#[test_case("keepers = [\"a\", \"a\", \"b\"]", "c.toml:6: keepers are 2"; "one keeper twice")]
#[test_case("through = \"host:1\"", "c.toml:6: through is \"host:1\", but has to be an IPv4 address"; "an address with a name")]
#[test_case("clocks_ms = -1", "c.toml:6: clocks_ms is -1"; "below none")]
#[test_case("x = [", "c.toml:6: this is not TOML"; "no toml")]
fn a_fault_names_file_line_and_key(more: &str, says: &str) {
    let fault = parse(Path::new("c.toml"), &format!("{GOOD}{more}\n")).unwrap_err();
    assert!(fault.line().contains(says), "{}", fault.line());
    assert!(fault.line().starts_with(fault.code()) && fault.line().ends_with(fault.remedy()));
}

#[test]
fn what_is_missing_is_named() {
    let fault = parse(Path::new("c.toml"), &GOOD.replace("name = \"n1\"\n", "")).unwrap_err();
    assert!(
        matches!(fault, ClusterError::Missing { key: "name", .. }),
        "{fault:?}"
    );
}

#[test_case("keeper", Some("keepers"))]
#[test_case("clock_ms", Some("clocks_ms"))]
#[test_case("zzz", None)]
fn the_key_that_was_meant_is_found(word: &str, meant: Option<&str>) {
    assert_eq!(nearest(word, &["seeds", "keepers", "clocks_ms"]), meant);
}

/// Guards against a member that has refuted its death and is dropped by news of before, however late that comes.
#[test_case(3 => Standing::Dead; "of the same incarnation")]
#[test_case(2 => Standing::Alive; "of the one before")]
pub(crate) fn what_is_believed_of_an_old_incarnation(incarnation: u32) -> Standing {
    let own = ([10, 0, 0, 9], 7946).into();
    let mut members = Members::new(1, "me".into(), own, Vec::new(), 0, 5);
    let (alive, mut out) = (
        Record {
            standing: Standing::Alive,
            ..record("a")
        },
        Vec::new(),
    );
    members.heard(MS, alive.addr, &alive, &[], &mut out);
    let teller = Record {
        standing: Standing::Alive,
        addr: ([10, 0, 0, 2], 7946).into(),
        ..record("b")
    };
    let news = Part::Record(Record {
        standing: Standing::Dead,
        incarnation,
        ..alive
    });
    members.heard(2 * MS, teller.addr, &teller, &[news], &mut out);
    members.get("a").unwrap().record.standing
}
