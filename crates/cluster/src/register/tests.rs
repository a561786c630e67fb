//! Replicas under random schedules and under all small ones.
//!
//! The checks compare persisted states and reported outcomes, not the internal state of a replica.
use super::test_replicas::{Delivery, Disks, TestReplicas};
use super::*;
use std::collections::HashSet;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use test_case::test_case;

/// Runs replicas under loss, duplicates, reordering, failed writes, crashes during writes and concurrent
/// proposals, then without faults. Asserts that a majority applies one document that is no older than any
/// accepted one. Returns the number of accepted changes.
fn run_random_schedule(seed: u64, replica_count: usize, steps: u64) -> usize {
    let mut replicas = TestReplicas::new(replica_count, seed, Disks::Deferred);
    let mut rng = Pcg::new(seed);
    for serial in 0..steps {
        replicas.step(&mut rng, seed.wrapping_add(serial));
    }

    // A change after the faults determines which of the earlier ones are chosen.
    replicas.run_without_faults(15_000);
    replicas.propose(0, "the last");
    replicas.run_without_faults(15_000);

    let documents: Vec<Rc<Document>> = (0..replica_count)
        .map(|index| replicas.committed(index).clone())
        .collect();
    let newest = documents
        .iter()
        .max_by_key(|document| document.version)
        .unwrap();
    let is_not_newer = |version: &u64| *version <= newest.version;
    assert!(
        replicas.accepted.iter().all(is_not_newer),
        "{:?}",
        replicas.accepted
    );
    let count = documents
        .iter()
        .filter(|document| *document == newest)
        .count();
    assert!(
        2 * count > replica_count,
        "{count} of {replica_count} have version {}",
        newest.version
    );
    replicas.accepted.len()
}

fn replica_count_of(seed: u64) -> usize {
    if seed.is_multiple_of(4) { 5 } else { 3 }
}

#[test]
fn random_schedules_never_choose_two_documents_of_one_version_or_lose_one() {
    let accepted: usize = (0..400)
        .map(|seed| run_random_schedule(seed, replica_count_of(seed), 1_500))
        .sum();

    // Without accepted changes the checks would be vacuous.
    assert!(accepted > 600, "{accepted} changes were accepted");
}

/// Run with `cargo test -p rosewall-cluster --release -- --ignored ten_thousand`.
#[test]
#[ignore = "takes minutes: run by the command above after changes to the register"]
fn ten_thousand_random_schedules_violate_no_invariant() {
    for seed in 0..10_000 {
        run_random_schedule(seed, replica_count_of(seed), 2_000);
    }
}

/// Returns a hash of the state of all replicas and the network, regardless of the order of messages.
fn state_hash(replicas: &TestReplicas, crashes: usize) -> u64 {
    let mut hasher = DefaultHasher::new();
    let mut messages: Vec<u64> = replicas
        .network
        .iter()
        .map(|envelope| {
            let mut hasher = DefaultHasher::new();
            envelope.hash(&mut hasher);
            hasher.finish()
        })
        .collect();
    messages.sort_unstable();
    for replica in &replicas.replicas {
        let state = replica.register.as_ref().map(Register::state);
        state.hash(&mut hasher);
        (&replica.disk, replica.applied_version).hash(&mut hasher);
    }
    (messages, crashes, &replicas.accepted).hash(&mut hasher);
    hasher.finish()
}

/// Explores every order of messages with up to `crashes` crashes of any replica at any time, for three
/// replicas of which two propose concurrently. A message that is never delivered counts as lost. Returns the
/// number of distinct states.
fn explore_all_schedules(crashes: usize) -> usize {
    let mut initial = TestReplicas::new(3, 1, Disks::Immediate);
    initial.propose(0, "a");
    initial.propose(1, "b");
    let (mut seen, mut open, mut both_accepted) = (HashSet::new(), vec![(initial, crashes)], 0);
    while let Some((replicas, crashes)) = open.pop() {
        if !seen.insert(state_hash(&replicas, crashes)) {
            continue;
        }
        both_accepted += usize::from(replicas.accepted.len() > 1);
        for n in 0..replicas.network.len() {
            let mut next = replicas.clone();
            next.deliver(n, Delivery::Once);
            open.push((next, crashes));
        }
        let may_crash = if crashes > 0 {
            replicas.replicas.len()
        } else {
            0
        };
        for index in 0..may_crash {
            let mut next = replicas.clone();
            next.crash(index, 0);
            next.start(index);
            open.push((next, crashes - 1));
        }
    }
    // At most one of two changes that are based on the same version is accepted.
    assert_eq!(both_accepted, 0, "states in which both were accepted");
    seen.len()
}

#[test_case(0; "in any order")]
#[test_case(1; "in any order with a crash")]
fn all_small_schedules_accept_at_most_one_document_of_a_version(crashes: usize) {
    let states = explore_all_schedules(crashes);

    println!("{states} states");
    assert!(states > 100, "{states}");
}

#[test]
fn an_accepted_change_survives_a_restart_of_all_replicas_and_the_loss_of_a_minority() {
    let mut replicas = TestReplicas::new(5, 3, Disks::Deferred);
    replicas.propose(2, "one");
    replicas.run_without_faults(5_000);
    assert_eq!(replicas.accepted, [1]);

    (0..5).for_each(|index| replicas.crash(index, 0));
    let majority = [1, 3, 4];
    majority.iter().for_each(|index| replicas.start(*index));
    for _ in 0..20 {
        replicas.now += 500 * MILLISECOND;
        (0..5).for_each(|index| replicas.handle_timeout(index));
        replicas.deliver_all();
        (0..5).for_each(|index| (0..3).for_each(|_| replicas.write(index, true)));
    }

    for index in majority {
        assert_eq!(replicas.committed(index).text, "one");
    }
}

#[test]
fn a_change_that_is_based_on_an_older_version_is_refused_with_both_versions() {
    let mut replicas = TestReplicas::new(3, 5, Disks::Immediate);
    replicas.propose(0, "one");
    replicas.run_without_faults(2_000);

    replicas.with_register(1, |register, now, effects| {
        register.propose(now, 0, "two", effects);
    });
    replicas.run_without_faults(2_000);

    let conflict = Outcome::Conflict {
        based_on: 0,
        current: 1,
    };
    assert_eq!(
        replicas.outcomes,
        [Outcome::Accepted { version: 1 }, conflict]
    );
}

#[test]
fn without_a_majority_nothing_is_accepted_and_the_outcome_is_unknown() {
    let mut replicas = TestReplicas::new(3, 7, Disks::Immediate);
    (1..3).for_each(|index| replicas.crash(index, 0));

    replicas.propose(0, "alone");
    for _ in 0..30 {
        replicas.now += 500 * MILLISECOND;
        replicas.handle_timeout(0);
        replicas.network.clear();
    }

    assert_eq!(replicas.outcomes, [Outcome::Unknown]);
    assert_eq!(replicas.accepted, []);
}

#[test]
fn a_replica_with_a_full_disk_answers_nothing_and_applies_what_it_had() {
    let mut replicas = TestReplicas::new(3, 9, Disks::Deferred);
    replicas.propose(0, "one");
    for _ in 0..200 {
        replicas.now += 20 * MILLISECOND;
        (0..3).for_each(|index| replicas.write(index, index != 2));
        replicas.deliver_all();
        (0..3).for_each(|index| replicas.handle_timeout(index));
    }
    assert_eq!(replicas.accepted, [1]);
    let full = replicas.register(2);
    assert!(full.committed().version == 0 && full.failed_writes > 0);

    replicas.run_without_faults(5_000);
    replicas.propose(1, "two");
    replicas.run_without_faults(5_000);

    assert_eq!(replicas.committed(2).text, "two");
}

#[test_case(MAX_DOCUMENT_BYTES + 1 => false; "above the limit")]
#[test_case(MAX_DOCUMENT_BYTES => true; "at the limit")]
fn accepts_a_document_of_length(bytes: usize) -> bool {
    let mut replicas = TestReplicas::new(1, 11, Disks::Immediate);

    replicas.propose(0, &"x".repeat(bytes));

    replicas.accepted == [1]
}

#[test]
fn malformed_messages_are_counted_and_change_nothing() {
    let mut replicas = TestReplicas::new(3, 13, Disks::Immediate);
    replicas.propose(0, "one");
    replicas.run_without_faults(1_000);
    let before = replicas.replicas[0].disk.clone();

    let ballot = Ballot {
        round: u64::MAX,
        replica: 2,
    };
    let document = Rc::new(Document {
        version: 7,
        text: "x".repeat(MAX_DOCUMENT_BYTES + 1),
    });
    for (from, message) in [
        (9, Message::Prepare { ballot }),
        (1, Message::Prepare { ballot }),
        (2, Message::Accept { ballot, document }),
    ] {
        replicas.with_register(0, |register, now, effects| {
            register.handle_message(now, from, message, effects);
        });
    }

    assert_eq!(replicas.replicas[0].disk, before);
    assert_eq!(replicas.register(0).malformed, 3);
}

#[cfg(feature = "mutations")]
mod mutations {
    use super::*;
    use rosewall::mutation::{REGISTER, activate};

    fn is_detected(mutation: Mutation) -> bool {
        activate(Some(mutation));
        let result = std::panic::catch_unwind(|| {
            explore_all_schedules(1);
            for seed in 0..2_000 {
                run_random_schedule(seed, 3, 1_500);
            }
        });
        activate(None);
        result.is_err()
    }

    #[test]
    fn every_register_mutation_is_detected() {
        let missed: Vec<Mutation> = REGISTER
            .iter()
            .copied()
            .filter(|mutation| !is_detected(*mutation))
            .collect();
        assert!(missed.is_empty(), "not detected: {missed:?}");
    }
}
