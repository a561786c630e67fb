use crate::policy::test_support::{MS, among, grant_dispatcher, set_view, sharing, warm};
use test_case::test_case;

/// Most of a large fleet's list is out of date. Guards against lanes that lead nowhere for as long as no one tells.
#[test]
fn a_worker_that_takes_no_connection_has_no_lane_for_a_while() {
    let mut d = among(100, 3, warm(60));
    let first = d.classes[0].subset[2];
    (0..2).for_each(|_| d.workers[first].record_connect_failure(0));
    d.select_subsets(0);
    let other = d.classes[0].subset[2];
    assert!(first != other && d.classes[0].subset.len() == 8);
    d.select_subsets(1_000 * MS);
    assert_eq!(d.classes[0].subset[2], first);
    // Twice as long each time in a row, until it gives a sign of life.
    d.workers[first].record_connect_failure(1_000 * MS);
    assert!(
        d.workers[first].is_unreachable(2_999 * MS) && !d.workers[first].is_unreachable(3_000 * MS)
    );
    d.workers[first].record_response(1_500 * MS, 0.0);
    assert!(!d.workers[first].is_unreachable(1_500 * MS));
    // None that is cold in its place, as its turns count on who keeps to it.
    d.workers[first].record_connect_failure(2_000 * MS);
    d.workers
        .iter_mut()
        .enumerate()
        .filter(|(at, _)| *at != first)
        .for_each(|(_, w)| w.started_at = 1);
    d.select_subsets(2_000 * MS);
    assert_eq!(d.classes[0].subset[2], first);
}

#[test_case(4, 40 => (40, 4, 4); "few dispatchers use all workers")]
#[test_case(9, 40 => (18, 3, 5); "some more, four share each")]
#[test_case(40, 50 => (8, 5, 7); "eight lanes each")]
#[test_case(200, 100 => (6, 11, 13); "of many, about twelve share each")]
#[test_case(500, 100 => (3, 14, 16); "or a few more")]
fn workers_are_shared_evenly(dispatchers: u32, workers: u8) -> (usize, usize, usize) {
    let (mut users, mut subset) = (vec![0; usize::from(workers)], 0);
    for me in 0..dispatchers {
        let d = among(dispatchers, me, warm(workers));
        subset = d.classes[0].subset.len();
        d.classes[0].subset.iter().for_each(|at| users[*at] += 1);
    }
    (
        subset,
        users.iter().copied().min().unwrap(),
        users.iter().copied().max().unwrap(),
    )
}

/// Guards against so few lanes that chance overloads them, where those who share them hear of each other.
#[test_case(6 => 27; "four to a worker")]
#[test_case(13 => 13; "four to a worker of more")]
#[test_case(100 => 8; "eight lanes at least, however many share them")]
fn lanes_kept_with_sharing(dispatchers: u32) -> usize {
    sharing(dispatchers, 40).classes[0].subset.len()
}

/// The workers that each of so many keeps to.
fn hands(members: u16, workers: u8) -> Vec<Vec<usize>> {
    let active = |me: u16| {
        let mut d = grant_dispatcher(members, me, workers, 0);
        set_view(&mut d, Some((me, members)));
        d.classes[0].subset.clone()
    };
    (0..members).map(active).collect()
}

#[test_case(5, 12; "few dispatchers, more workers")]
#[test_case(12, 12; "as many of each")]
#[test_case(24, 9; "few workers")]
#[test_case(50, 64; "fifty")]
#[test_case(7, 3; "three workers")]
fn keepers_of_two_workers_differ_by_one_at_most(members: u16, workers: u8) {
    let mut count = vec![0; usize::from(workers)];
    for active in hands(members, workers) {
        let mut apart = active.clone();
        apart.dedup();
        assert_eq!(apart.len(), active.len(), "a worker twice in one hand");
        active.iter().for_each(|at| count[*at] += 1);
    }
    let (least, most) = (count.iter().min().unwrap(), count.iter().max().unwrap());
    assert!(most - least <= 1, "{count:?}");
}

/// Within an octave of members no one else's hand changes; the ranks see to it that one fills the gap.
#[test]
fn one_member_more_or_less_moves_no_other_hand() {
    for (less, more) in [(9, 10), (10, 16), (17, 18)] {
        assert_eq!(hands(less, 20)[..], hands(more, 20)[..usize::from(less)]);
    }
}

#[test]
fn who_is_told_of_a_worker_is_who_keeps_to_it() {
    let hands = hands(13, 10);
    let mut d = grant_dispatcher(13, 4, 10, 0);
    set_view(&mut d, Some((4, 13)));
    let m = hands[0].len();
    for place in 0..10 {
        let told: Vec<u16> = d.ranked_peers(place, 10, m).collect();
        let keep = (0..13_u16).filter(|to| *to != 4 && hands[usize::from(*to)].contains(&place));
        assert_eq!(told, keep.collect::<Vec<_>>());
    }
}

#[test]
fn without_a_view_the_settings_count_again() {
    let mut d = grant_dispatcher(12, 5, 20, 0);
    set_view(&mut d, Some((0, 3)));
    set_view(&mut d, None);
    assert_eq!((d.rank, d.dispatchers), (5, 12.0));
}
