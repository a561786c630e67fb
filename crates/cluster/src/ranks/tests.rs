//! Stability of ranks as members join and leave.
use super::*;
use proptest::prelude::*;

fn claim(name: String, claimed_rank: u16) -> RankClaim {
    RankClaim {
        name: name.into(),
        claimed_rank,
    }
}

/// Lets every member claim its assigned rank; returns the ranks.
fn claim_assigned_ranks(claims: &mut [RankClaim]) -> Vec<u16> {
    let ranks = assign_ranks(claims);
    for (claim, rank) in claims.iter_mut().zip(&ranks) {
        claim.claimed_rank = *rank;
    }
    ranks
}

/// Returns the number of members whose assigned rank differs from the claimed one.
fn count_moved(claims: &[RankClaim]) -> usize {
    let ranks = assign_ranks(claims);
    let pairs = ranks.iter().zip(claims);
    pairs
        .filter(|(rank, claim)| claim.claimed_rank != NO_RANK && **rank != claim.claimed_rank)
        .count()
}

proptest! {
    #[test]
    fn a_member_that_joins_or_leaves_moves_at_most_one_other(
        count in 1_usize..60,
        index in 0_usize..60,
        claimed in prop::collection::vec(0_u16..70, 60),
    ) {
        let claimed_rank = |at: usize| if claimed[at] > 60 { NO_RANK } else { claimed[at] };
        let mut all: Vec<RankClaim> = (0..count).map(|at| claim(format!("n{at:03}"), claimed_rank(at))).collect();
        let ranks = claim_assigned_ranks(&mut all);
        let mut sorted = ranks.clone();
        sorted.sort_unstable();
        prop_assert!(sorted.into_iter().eq(0..count as u16));
        prop_assert_eq!(&assign_ranks(&all), &ranks);

        let mut fewer = all.clone();
        fewer.remove(index % count);
        prop_assert!(count_moved(&fewer) <= 1);

        let mut more = all.clone();
        more.insert(index % count, claim(format!("n{:03}x", index % count), NO_RANK));
        more.sort();
        prop_assert_eq!(count_moved(&more), 0);
    }
}
