//! The rank of each member, from 0 up without gaps; subset selection rests on it.
//!
//! Each member claims a rank and keeps it. The ranks follow from the members and their claims alone, so equal views give
//! equal ranks. When a member goes, the one with the highest rank fills the gap; one that joins takes the end.
use crate::member::{NO_RANK, Name};

/// A member and the rank that it has claimed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RankClaim {
    /// The member.
    pub name: Name,
    /// The claimed rank, or [`NO_RANK`].
    pub claimed_rank: u16,
}

/// The rank of each member, in the order of `claims`, which are in the order of their names.
pub fn assign_ranks(claims: &[RankClaim]) -> Vec<u16> {
    let count = claims.len();
    let mut index_by_rank: Vec<Option<usize>> = vec![None; count];
    let mut unplaced: Vec<usize> = Vec::new();
    for (index, claim) in claims.iter().enumerate() {
        // Of two that claim one rank, the first name keeps it.
        match index_by_rank.get_mut(usize::from(claim.claimed_rank)) {
            Some(free @ None) => *free = Some(index),
            _ => unplaced.push(index),
        }
    }
    // The lowest claims go first, members without a claim last, ties by name.
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
