use super::*;
use proptest::prelude::*;

proptest! {
    /// Equal views give equal ranks, each once; one that goes moves one other at most, one that comes none.
    #[test]
    fn one_more_or_less_moves_one_other_at_most(count in 1_usize..60, gone in 0_usize..60, claims in prop::collection::vec(0_u16..70, 60)) {
        let name = |at: usize| Name::from(format!("n{at:03}"));
        // Whatever they claim at first, once each has claimed its rank they are settled.
        let mut all: Vec<(Name, u16)> = (0..count).map(|at| (name(at), if claims[at] > 60 { NO_RANK } else { claims[at] })).collect();
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
        more.insert(gone % count, (Name::from(format!("n{:03}x", gone % count)), NO_RANK));
        more.sort();
        let moved = ranks(&more).iter().zip(&more).filter(|(rank, (_, claim))| *claim != NO_RANK && **rank != *claim).count();
        prop_assert_eq!(moved, 0);
    }
}
