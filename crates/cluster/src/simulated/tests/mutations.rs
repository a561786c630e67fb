//! Each mutation of the cluster is found by a test.
use super::grants::{WORK_PER_WINDOW, run_scenario};
use super::membership::{
    a_member_that_wakes_from_a_pause_suspects_no_one,
    a_running_member_is_held_dead_no_longer_than_a_refutation_takes_despite_loss_and_pauses,
    after_kills_the_others_agree_within_three_seconds,
};
use crate::member::MemberState;
use crate::{grants, lease, membership, peer_load};
use rosewall::mutation::{CLUSTER, Mutation, activate};

/// Runs the tests that are meant to find the mutation.
fn run_tests_for(mutation: Mutation) {
    match mutation {
        Mutation::IgnorePause => a_member_that_wakes_from_a_pause_suspects_no_one(),
        Mutation::ForgetLeasePromise
        | Mutation::LeaseWithoutMajority
        | Mutation::LeaseFromReply => {
            lease::tests::one_vote_of_three_makes_no_lease_and_a_late_vote_no_longer_one();
            lease::tests::a_voter_promises_nothing_while_an_earlier_promise_may_hold();
        }
        Mutation::GrantDuplicateRequest => grants::tests::a_duplicate_request_is_granted_once(),
        Mutation::AcceptOldIncarnation => {
            a_running_member_is_held_dead_no_longer_than_a_refutation_takes_despite_loss_and_pauses(
            );
            let state = membership::tests::state_after_a_record_of_its_death(2);
            assert_eq!(state, MemberState::Alive);
        }
        Mutation::WrongRank => after_kills_the_others_agree_within_three_seconds(5, 1),
        Mutation::UnboundedSilenceReports => {
            peer_load::tests::one_members_reports_silence_few_workers_only();
        }
        _ => {
            for seed in 0..200 {
                let used = run_scenario(seed, 20);
                assert!(used.max_in_a_window <= WORK_PER_WINDOW);
            }
        }
    }
}

fn is_found(mutation: Mutation) -> bool {
    activate(Some(mutation));
    let result = std::panic::catch_unwind(|| run_tests_for(mutation));
    activate(None);
    result.is_err()
}

#[test]
fn every_fault_in_the_cluster_is_found() {
    let missed: Vec<Mutation> = CLUSTER
        .iter()
        .copied()
        .filter(|mutation| !is_found(*mutation))
        .collect();
    assert!(missed.is_empty(), "not found: {missed:?}");
}
