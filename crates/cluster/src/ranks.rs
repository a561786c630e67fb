//! Which place each member has, from 0 up without gaps: the decisions count lanes off by it. Each member claims a rank
//! and keeps it; what follows is worked out from the members and their claims alone, so equal views give equal ranks.
//! One that goes leaves a gap that the highest fills; one that comes takes the end: no one else moves.
use crate::datagram::{NO_RANK, Name};

/// The rank of each, in the order given; `members` are (name, claim), in the order of their names.
pub fn ranks(members: &[(Name, u16)]) -> Vec<u16> {
    let count = members.len();
    let mut holder: Vec<Option<usize>> = vec![None; count];
    let mut unplaced: Vec<usize> = Vec::new();
    for (at, (_, claim)) in members.iter().enumerate() {
        // Of two that claim one rank the first name keeps it.
        match holder.get_mut(usize::from(*claim)) {
            Some(free @ None) => *free = Some(at),
            _ => unplaced.push(at),
        }
    }
    // Those with the lowest claims go first, those without one last, each by its name.
    unplaced.sort_by_key(|at| (members[*at].1, *at));
    let mut unplaced = unplaced.into_iter();
    let mut ranks = vec![NO_RANK; count];
    for (rank, held) in holder.into_iter().enumerate() {
        if let Some(at) = held.or_else(|| unplaced.next()) {
            ranks[at] = rank as u16;
        }
    }
    ranks
}

#[cfg(test)]
pub(crate) mod tests;
