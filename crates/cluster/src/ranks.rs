//! Assignment of ranks to members, from 0 up without gaps, as the base of subset selection.
//!
//! Each member claims a rank and keeps it. Ranks depend only on the members and their claims, so equal
//! views give equal ranks. When a member leaves, the one with the highest rank takes over its rank; a
//! member that joins gets the new highest rank.
use crate::member::{NO_RANK, Name};

/// A member and the rank that it has claimed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RankClaim {
    /// The member's name.
    pub name: Name,
    /// The claimed rank, or [`NO_RANK`].
    pub claimed_rank: u16,
}

/// Returns the rank of each member in the order of `claims`, which must be ordered by name.
pub fn assign_ranks(claims: &[RankClaim]) -> Vec<u16> {
    let count = claims.len();
    let mut index_by_rank: Vec<Option<usize>> = vec![None; count];
    let mut unplaced: Vec<usize> = Vec::new();
    for (index, claim) in claims.iter().enumerate() {
        // Of two members that claim the same rank, the first by name keeps it.
        match index_by_rank.get_mut(usize::from(claim.claimed_rank)) {
            Some(free @ None) => *free = Some(index),
            _ => unplaced.push(index),
        }
    }
    // Free ranks go to the lowest claims first, to members without a claim last; ties by name.
    unplaced.sort_by_key(|index| (claims[*index].claimed_rank, *index));
    let mut unplaced = unplaced.into_iter();
    let mut ranks = vec![NO_RANK; count];
    for (rank, claimant) in index_by_rank.into_iter().enumerate() {
        if let Some(index) = claimant.or_else(|| unplaced.next()) {
            ranks[index] = rank as u16;
        }
    }
    ranks
}

#[cfg(test)]
mod tests;
