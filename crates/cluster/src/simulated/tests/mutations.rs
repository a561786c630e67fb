//! Checks that the tests detect each mutation of the cluster.
use super::grants::{WORK_PER_WINDOW, run_scenario};
use super::membership::{
    a_member_suspects_no_one_after_a_pause,
    running_members_are_missing_from_views_only_briefly_despite_loss_and_pauses,
    surviving_members_agree_within_three_seconds_after_kills,
};
use crate::member::MemberState;
use crate::{grants, lease, membership, peer_load};
use rosewall::mutation::{CLUSTER, Mutation, activate};

/// Runs the tests that must detect the mutation.
fn run_tests_for(mutation: Mutation) {
    match mutation {
        Mutation::IgnorePause => a_member_suspects_no_one_after_a_pause(),
        Mutation::ForgetLeasePromise
        | Mutation::LeaseWithoutMajority
        | Mutation::LeaseFromReply => {
            lease::tests::a_lease_needs_a_majority_and_a_late_vote_does_not_extend_it();
            lease::tests::a_voter_withholds_its_vote_while_an_earlier_promise_may_be_valid();
        }
        Mutation::GrantDuplicateRequest => grants::tests::a_duplicate_request_is_granted_once(),
        Mutation::AcceptOldIncarnation => {
            running_members_are_missing_from_views_only_briefly_despite_loss_and_pauses();
            let state = membership::tests::state_after_a_record_of_its_death(2);
            assert_eq!(state, MemberState::Alive);
        }
        Mutation::WrongRank => surviving_members_agree_within_three_seconds_after_kills(5, 1),
        Mutation::UnboundedSilenceReports => {
            peer_load::tests::unresponsive_reports_by_one_member_count_for_few_workers();
        }
        _ => {
            for seed in 0..200 {
                let used = run_scenario(seed, 20);
                assert!(used.max_in_a_window <= WORK_PER_WINDOW);
            }
        }
    }
}

fn is_detected(mutation: Mutation) -> bool {
    activate(Some(mutation));
    let result = std::panic::catch_unwind(|| run_tests_for(mutation));
    activate(None);
    result.is_err()
}

#[test]
fn every_cluster_mutation_is_detected() {
    let missed: Vec<Mutation> = CLUSTER
        .iter()
        .copied()
        .filter(|mutation| !is_detected(*mutation))
        .collect();
    assert!(missed.is_empty(), "not detected: {missed:?}");
}
