//! Keepers that agree on settings, under random schedules and under all small ones. What is checked is what disks hold and
//! what was answered, not what a keeper thinks.
use crate::register::{
    Digest, Document, Effect, MAX_DOCUMENT_BYTES, Message, Outcome, PersistentState, Register,
    ReplicaId,
};
use rosewall::pcg::Pcg;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashSet};
use std::hash::{Hash, Hasher};
use std::rc::Rc;
use test_case::test_case;

const MS: u64 = 1_000_000;

#[derive(Clone)]
struct TestReplica {
    register: Option<Register>,
    disk: PersistentState,
    /// What is being written, the oldest first.
    writes: Vec<(u64, PersistentState)>,
    /// The highest version that it ever acted by.
    acted: u64,
}

type Act<'a> = Box<dyn FnOnce(&mut Register, u64, &mut Vec<Effect>) + 'a>;

#[derive(Clone)]
struct TestReplicas {
    now: u64,
    replicas: Vec<TestReplica>,
    net: Vec<(ReplicaId, ReplicaId, Message)>,
    /// Which document each version is, by all that was ever said of it.
    versions: BTreeMap<u64, Digest>,
    /// Changes that were answered as accepted.
    accepted: Vec<u64>,
    ended: Vec<Outcome>,
    starts: u64,
    /// Writes end as soon as they begin.
    quick: bool,
    seed: u64,
}

impl TestReplicas {
    fn new(count: usize, seed: u64, quick: bool) -> TestReplicas {
        let replica = TestReplica {
            register: None,
            disk: PersistentState::default(),
            writes: Vec::new(),
            acted: 0,
        };
        let mut replicas = TestReplicas {
            now: 0,
            replicas: vec![replica; count],
            net: Vec::new(),
            versions: BTreeMap::new(),
            accepted: Vec::new(),
            ended: Vec::new(),
            starts: 0,
            quick,
            seed,
        };
        (0..count).for_each(|at| replicas.start(at));
        replicas
    }

    fn start(&mut self, at: usize) {
        self.starts += 1;
        let (count, seed) = (self.replicas.len() as u8, self.seed ^ self.starts << 8);
        let replica = &mut self.replicas[at];
        let register = Register::new(at as u8, count, replica.disk.clone(), self.now, seed);
        let version = register.committed().version;
        assert!(
            version >= replica.acted,
            "keeper {at} goes back from {} to {version}",
            replica.acted
        );
        replica.register = Some(register);
    }

    /// It ends at once; of what was being written so much has reached the disk.
    fn crash(&mut self, at: usize, written: usize) {
        let replica = &mut self.replicas[at];
        replica.register = None;
        for (_, record) in replica.writes.drain(..).take(written) {
            replica.disk = record;
        }
    }

    /// No two documents have one version.
    fn check_unique_version(&mut self, document: &Document) {
        let digest = document.digest();
        let known = *self.versions.entry(document.version).or_insert(digest);
        assert_eq!(
            known, digest,
            "two documents of version {}",
            document.version
        );
    }

    fn act(&mut self, at: usize, act: impl FnOnce(&mut Register, u64, &mut Vec<Effect>)) {
        self.carry(at, Box::new(act));
    }

    fn carry(&mut self, at: usize, act: Act<'_>) {
        let mut effects = Vec::new();
        if let Some(register) = &mut self.replicas[at].register {
            act(register, self.now, &mut effects);
        }
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.net.push((at as u8, to, message)),
                Effect::Store { serial, record } if self.quick => {
                    self.replicas[at].disk = record;
                    self.act(at, |register, now, effects| {
                        register.handle_persisted(now, serial, true, effects)
                    });
                }
                Effect::Store { serial, record } => self.replicas[at].writes.push((serial, record)),
                Effect::Completed(outcome) => {
                    if let Outcome::Accepted { version } = outcome {
                        let has = |replica: &&TestReplica| {
                            replica
                                .disk
                                .accepted
                                .as_ref()
                                .is_some_and(|(_, document)| document.version >= version)
                        };
                        let count = self.replicas.iter().filter(has).count();
                        assert!(
                            2 * count > self.replicas.len(),
                            "version {version} was accepted on {count} disks"
                        );
                        self.accepted.push(version);
                    }
                    self.ended.push(outcome);
                }
                Effect::Committed(document) => {
                    self.check_unique_version(&document);
                    let replica = &mut self.replicas[at];
                    let version = document.version;
                    assert!(
                        version > replica.acted,
                        "keeper {at} goes back from {} to {version}",
                        replica.acted
                    );
                    assert_eq!(
                        *replica.disk.committed, *document,
                        "keeper {at} acts by what its disk has not"
                    );
                    replica.acted = version;
                }
                Effect::Fetch { version, digest } => {
                    let mut found = None;
                    for replica in &self.replicas {
                        let has = replica
                            .register
                            .as_ref()
                            .and_then(|register| register.document(version, &digest));
                        found = found.or(has.cloned());
                    }
                    // It may come by half; then it is fetched again when it is heard of again.
                    if let Some(found) = found {
                        let mut document = (*found).clone();
                        if document.text.len() % 3 == 1 && self.starts.is_multiple_of(2) {
                            document.text.pop();
                        }
                        self.act(at, |register, _, effects| {
                            register.fetched((version, digest), document, effects);
                        });
                    }
                }
            }
        }
    }

    fn propose(&mut self, at: usize, text: &str) {
        self.act(at, |register, now, effects| {
            let based_on = register.committed().version;
            register.propose(now, based_on, text, effects);
        });
    }

    fn deliver(&mut self, n: usize, keep: bool) {
        let (from, to, message) = if keep {
            self.net[n].clone()
        } else {
            self.net.remove(n)
        };
        self.act(usize::from(to), |register, now, effects| {
            register.handle_message(now, from, message, effects)
        });
    }

    fn write(&mut self, at: usize, succeeded: bool) {
        if self.replicas[at].writes.is_empty() {
            return;
        }
        let (serial, record) = self.replicas[at].writes.remove(0);
        if succeeded {
            self.replicas[at].disk = record;
        }
        self.act(at, |register, now, effects| {
            register.handle_persisted(now, serial, succeeded, effects)
        });
    }

    /// Everything works from here on, for so long.
    fn heal(&mut self, ms: u64) {
        for at in 0..self.replicas.len() {
            if self.replicas[at].register.is_none() {
                self.start(at);
            }
        }
        for _ in 0..ms {
            self.now += MS;
            for at in 0..self.replicas.len() {
                while !self.replicas[at].writes.is_empty() {
                    self.write(at, true);
                }
                self.act(at, |register, now, effects| {
                    register.handle_timeout(now, effects)
                });
            }
            while !self.net.is_empty() {
                self.deliver(0, false);
            }
        }
    }

    /// One step of whatever may happen.
    fn step(&mut self, rng: &mut Pcg, serial: u64) {
        let mut below = |most: usize| (rng.unit() * most as f64) as usize;
        let (at, count) = (below(self.replicas.len()), self.net.len());
        match below(100) {
            0..55 if count > 0 => {
                let n = below(count);
                self.deliver(n, false);
            }
            55..59 if count > 0 => {
                let n = below(count);
                self.deliver(n, true);
            }
            59..63 if count > 0 => {
                let n = below(count);
                self.net.remove(n);
            }
            63..86 => self.write(at, true),
            86..87 => self.write(at, false),
            87..88 => {
                let written = below(self.replicas[at].writes.len() + 1);
                self.crash(at, written);
            }
            88..92 if self.replicas[at].register.is_none() => self.start(at),
            92..95 => self.propose(at, &"x".repeat(1 + serial as usize % 97)),
            _ => {
                self.now += below(300) as u64 * MS;
                self.act(at, |register, now, effects| {
                    register.handle_timeout(now, effects)
                });
            }
        }
    }
}

/// Loss, repeats, any order, writes that fail or end in the middle of a crash, two who put at once: then all is well again,
/// and the keepers come to one document that is no older than any that was accepted.
fn random_schedule(seed: u64, replica_count: usize, steps: u64) -> usize {
    let (mut replicas, mut rng) = (
        TestReplicas::new(replica_count, seed, false),
        Pcg::new(seed),
    );
    for serial in 0..steps {
        replicas.step(&mut rng, seed.wrapping_add(serial));
    }
    // A change after the heal reaches all; what went before is settled by it.
    replicas.heal(15_000);
    replicas.propose(0, "the last");
    replicas.heal(15_000);
    let documents: Vec<Rc<Document>> = replicas
        .replicas
        .iter()
        .map(|replica| replica.register.as_ref().unwrap().committed().clone())
        .collect();
    let newest = documents
        .iter()
        .max_by_key(|document| document.version)
        .unwrap();
    assert!(
        replicas
            .accepted
            .iter()
            .all(|version| *version <= newest.version),
        "{:?}",
        replicas.accepted
    );
    let have = documents
        .iter()
        .filter(|document| *document == newest)
        .count();
    assert!(
        2 * have > replica_count,
        "{have} of {replica_count} have version {}",
        newest.version
    );
    replicas.accepted.len()
}

#[test]
fn no_schedule_gives_two_documents_of_one_version_or_loses_one() {
    let mut accepted = 0;
    for seed in 0..400 {
        accepted += random_schedule(seed, if seed % 4 == 0 { 5 } else { 3 }, 1_500);
    }
    // Keepers that accept nothing would break nothing either.
    assert!(accepted > 600, "{accepted} changes were accepted");
}

/// Ten thousand: `cargo test -p rosewall-cluster --release -- --ignored ten_thousand`.
#[test]
#[ignore = "by command"]
fn ten_thousand_schedules_of_keepers() {
    (0..10_000).for_each(|seed| {
        drop(random_schedule(seed, if seed % 4 == 0 { 5 } else { 3 }, 2_000).to_string())
    });
}

/// Every order of messages, each of which may never come, and one crash of one keeper at any moment: three keepers, two who put at
/// once. Returns how many states there are.
fn every_order(crashes: usize) -> usize {
    let mut first = TestReplicas::new(3, 1, true);
    first.propose(0, "a");
    first.propose(1, "b");
    let (mut seen, mut open, mut both) = (HashSet::new(), vec![(first, crashes)], 0);
    while let Some((replicas, crashes)) = open.pop() {
        let mut key = DefaultHasher::new();
        let mut net: Vec<u64> = replicas
            .net
            .iter()
            .map(|message| {
                let mut one = DefaultHasher::new();
                message.hash(&mut one);
                one.finish()
            })
            .collect();
        net.sort_unstable();
        for replica in &replicas.replicas {
            replica
                .register
                .as_ref()
                .map(Register::state)
                .hash(&mut key);
            (&replica.disk, replica.acted).hash(&mut key);
        }
        (net, crashes, &replicas.accepted).hash(&mut key);
        if !seen.insert(key.finish()) {
            continue;
        }
        both += usize::from(replicas.accepted.len() > 1);
        for n in 0..replicas.net.len() {
            let mut next = replicas.clone();
            next.deliver(n, false);
            open.push((next, crashes));
        }
        for at in 0..if crashes > 0 {
            replicas.replicas.len()
        } else {
            0
        } {
            let mut next = replicas.clone();
            next.crash(at, 0);
            next.start(at);
            open.push((next, crashes - 1));
        }
    }
    // Of two that are based on one version, one is accepted at most.
    assert_eq!(both, 0, "both were accepted in {both} states");
    seen.len()
}

#[test_case(0; "whatever order")]
#[test_case(1; "and a crash")]
fn every_small_schedule_keeps_one_document_a_version(crashes: usize) {
    let states = every_order(crashes);
    println!("{states} states");
    assert!(states > 100, "{states}");
}

/// All restart after a change was accepted by two of three: it is in force again.
#[test]
fn what_was_accepted_outlives_all_and_a_minority_for_good() {
    let mut replicas = TestReplicas::new(5, 3, false);
    replicas.propose(2, "one");
    replicas.heal(5_000);
    assert_eq!(replicas.accepted, [1]);
    (0..5).for_each(|at| replicas.crash(at, 0));
    for at in [1, 3, 4] {
        replicas.start(at);
    }
    for _ in 0..20 {
        replicas.now += 500 * MS;
        (0..5).for_each(|at| {
            replicas.act(at, |register, now, effects| {
                register.handle_timeout(now, effects)
            })
        });
        while !replicas.net.is_empty() {
            replicas.deliver(0, false);
        }
        (0..5).for_each(|at| (0..3).for_each(|_| replicas.write(at, true)));
    }
    assert!([1, 3, 4].iter().all(|at| {
        replicas.replicas[*at]
            .register
            .as_ref()
            .unwrap()
            .committed()
            .text
            == "one"
    }));
}

#[test]
fn a_change_that_is_based_on_an_older_version_is_refused_with_both() {
    let mut replicas = TestReplicas::new(3, 5, true);
    replicas.propose(0, "one");
    replicas.heal(2_000);
    replicas.act(1, |register, now, effects| {
        register.propose(now, 0, "two", effects)
    });
    replicas.heal(2_000);
    assert_eq!(
        replicas.ended,
        [
            Outcome::Accepted { version: 1 },
            Outcome::Conflict {
                based_on: 0,
                now: 1
            }
        ]
    );
}

#[test]
fn without_more_than_half_of_the_keepers_nothing_is_accepted_and_that_is_said() {
    let mut replicas = TestReplicas::new(3, 7, true);
    (1..3).for_each(|at| replicas.crash(at, 0));
    replicas.propose(0, "alone");
    for _ in 0..30 {
        replicas.now += 500 * MS;
        replicas.act(0, |register, now, effects| {
            register.handle_timeout(now, effects)
        });
        replicas.net.clear();
    }
    assert_eq!(
        (replicas.ended, replicas.accepted),
        (vec![Outcome::Unknown], vec![])
    );
}

#[test]
fn a_full_disk_answers_nothing_and_acts_by_what_it_had() {
    let mut replicas = TestReplicas::new(3, 9, false);
    replicas.propose(0, "one");
    for _ in 0..200 {
        replicas.now += 20 * MS;
        (0..3).for_each(|at| replicas.write(at, at != 2));
        while !replicas.net.is_empty() {
            replicas.deliver(0, false);
        }
        (0..3).for_each(|at| {
            replicas.act(at, |register, now, effects| {
                register.handle_timeout(now, effects)
            })
        });
    }
    assert_eq!(replicas.accepted, [1]);
    let full = replicas.replicas[2].register.as_ref().unwrap();
    assert!(full.committed().version == 0 && full.failed_writes > 0);
    replicas.heal(5_000);
    replicas.propose(1, "two");
    replicas.heal(5_000);
    assert_eq!(
        replicas.replicas[2]
            .register
            .as_ref()
            .unwrap()
            .committed()
            .text,
        "two"
    );
}

#[test_case(MAX_DOCUMENT_BYTES + 1 => false; "more than the most")]
#[test_case(MAX_DOCUMENT_BYTES => true; "the most")]
fn how_large_a_document_may_be(bytes: usize) -> bool {
    let mut replicas = TestReplicas::new(1, 11, true);
    replicas.propose(0, &"x".repeat(bytes));
    replicas.accepted == [1]
}

/// What makes no sense is counted and changes nothing.
#[test]
fn messages_without_sense_are_dropped() {
    let mut replicas = TestReplicas::new(3, 13, true);
    replicas.propose(0, "one");
    replicas.heal(1_000);
    let before = replicas.replicas[0].disk.clone();
    let ballot = crate::register::Ballot {
        round: u64::MAX,
        by: 2,
    };
    for (from, message) in [
        (9, Message::Prepare { ballot }),
        (1, Message::Prepare { ballot }),
    ] {
        replicas.act(0, |register, now, effects| {
            register.handle_message(now, from, message, effects)
        });
    }
    let document = Rc::new(Document {
        version: 7,
        text: "x".repeat(MAX_DOCUMENT_BYTES + 1),
    });
    replicas.act(0, |register, now, effects| {
        register.handle_message(now, 2, Message::Accept { ballot, document }, effects);
    });
    assert_eq!(
        (
            &replicas.replicas[0].disk,
            replicas.replicas[0].register.as_ref().unwrap().malformed
        ),
        (&before, 3)
    );
}

#[cfg(feature = "mutations")]
mod planted {
    use super::*;
    use rosewall::mutation::{Mutation, REGISTER, activate};

    fn found(fault: Mutation) -> bool {
        activate(Some(fault));
        let caught = std::panic::catch_unwind(|| {
            every_order(1);
            (0..2_000).for_each(|seed| drop(random_schedule(seed, 3, 1_500).to_string()));
        });
        activate(None);
        caught.is_err()
    }

    #[test]
    fn every_fault_in_how_keepers_agree_is_found() {
        let missed: Vec<Mutation> = REGISTER
            .iter()
            .copied()
            .filter(|fault| !found(*fault))
            .collect();
        assert!(missed.is_empty(), "not found: {missed:?}");
    }
}
