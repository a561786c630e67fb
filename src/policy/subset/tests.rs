//! Tests of subset selection: sizes, replacement of unreachable workers, balance and peers.
use crate::policy::test_support::{
    MS, dispatcher_of, exchanging_dispatcher, granting_dispatcher, set_fleet_view, warm_endpoints,
};
use test_case::test_case;

/// Most entries in the endpoint list of a large fleet may be out of date.
#[test]
fn an_unreachable_worker_is_replaced_until_its_retry_delay_has_passed() {
    let mut d = dispatcher_of(100, 3, warm_endpoints(60));
    let first = d.classes[0].subset[2];
    (0..2).for_each(|_| d.workers[first].record_connect_failure(0));
    d.select_subsets(0);
    let other = d.classes[0].subset[2];
    assert!(first != other && d.classes[0].subset.len() == 8);
    d.select_subsets(1_000 * MS);
    assert_eq!(d.classes[0].subset[2], first);
    // The delay doubles with each consecutive failure, until the worker responds.
    d.workers[first].record_connect_failure(1_000 * MS);
    assert!(
        d.workers[first].is_unreachable(2_999 * MS) && !d.workers[first].is_unreachable(3_000 * MS)
    );
    d.workers[first].record_response(1_500 * MS, 0.0);
    assert!(!d.workers[first].is_unreachable(1_500 * MS));
    // A warming worker does not replace it, as its budget is divided between its regular dispatchers.
    d.workers[first].record_connect_failure(2_000 * MS);
    d.workers
        .iter_mut()
        .enumerate()
        .filter(|(index, _)| *index != first)
        .for_each(|(_, w)| w.started_at = 1);
    d.select_subsets(2_000 * MS);
    assert_eq!(d.classes[0].subset[2], first);
}

#[test_case(4, 40 => (40, 4, 4); "few dispatchers use all workers")]
#[test_case(9, 40 => (18, 3, 5); "about four dispatchers use each worker")]
#[test_case(40, 50 => (8, 5, 7); "eight workers for each dispatcher")]
#[test_case(200, 100 => (6, 11, 13); "about twelve dispatchers use each worker")]
#[test_case(500, 100 => (3, 14, 16); "slightly more than twelve, as sizes are rounded up")]
fn workers_are_used_by_similar_numbers_of_dispatchers(
    dispatchers: u32,
    workers: u8,
) -> (usize, usize, usize) {
    let mut users = vec![0; usize::from(workers)];
    let mut size = 0;
    for rank in 0..dispatchers {
        let d = dispatcher_of(dispatchers, rank, warm_endpoints(workers));
        size = d.classes[0].subset.len();
        d.classes[0]
            .subset
            .iter()
            .for_each(|index| users[*index] += 1);
    }
    (
        size,
        users.iter().copied().min().unwrap(),
        users.iter().copied().max().unwrap(),
    )
}

#[test_case(6 => 27; "four dispatchers for each worker")]
#[test_case(13 => 13; "four for each worker, with more dispatchers")]
#[test_case(100 => 8; "at least eight workers, for any number of dispatchers")]
fn subset_size_where_load_is_exchanged(dispatchers: u32) -> usize {
    exchanging_dispatcher(dispatchers, 40).classes[0]
        .subset
        .len()
}

/// Returns the subsets of all `dispatchers` dispatchers, by rank.
fn subsets(dispatchers: u16, workers: u8) -> Vec<Vec<usize>> {
    let active = |rank: u16| {
        let mut d = granting_dispatcher(dispatchers, rank, workers, 0);
        set_fleet_view(&mut d, Some((rank, dispatchers)));
        d.classes[0].subset.clone()
    };
    (0..dispatchers).map(active).collect()
}

#[test_case(5, 12; "few dispatchers, more workers")]
#[test_case(12, 12; "as many of each")]
#[test_case(24, 9; "few workers")]
#[test_case(50, 64; "fifty")]
#[test_case(7, 3; "three workers")]
fn the_numbers_of_dispatchers_of_any_two_workers_differ_by_at_most_one(
    dispatchers: u16,
    workers: u8,
) {
    let mut count = vec![0; usize::from(workers)];
    for subset in subsets(dispatchers, workers) {
        let mut distinct = subset.clone();
        distinct.dedup();
        assert_eq!(distinct.len(), subset.len(), "a worker twice in one subset");
        subset.iter().for_each(|index| count[*index] += 1);
    }
    let fewest = count.iter().min().unwrap();
    let most = count.iter().max().unwrap();
    assert!(most - fewest <= 1, "{count:?}");
}

/// Holds while the number of dispatchers, rounded up to a power of two, stays the same.
#[test]
fn adding_or_removing_a_dispatcher_changes_no_other_subset() {
    for (less, more) in [(9, 10), (10, 16), (17, 18)] {
        assert_eq!(
            subsets(less, 20)[..],
            subsets(more, 20)[..usize::from(less)]
        );
    }
}

#[test]
fn peers_of_a_worker_are_those_whose_subset_holds_it() {
    let subsets = subsets(13, 10);
    let mut d = granting_dispatcher(13, 4, 10, 0);
    set_fleet_view(&mut d, Some((4, 13)));
    let size = subsets[0].len();
    for position in 0..10 {
        let peers: Vec<u16> = d.ranked_peers(position, 10, size).collect();
        let users =
            (0..13_u16).filter(|to| *to != 4 && subsets[usize::from(*to)].contains(&position));
        assert_eq!(peers, users.collect::<Vec<_>>());
    }
}

#[test]
fn without_a_fleet_view_the_settings_apply_again() {
    let mut d = granting_dispatcher(12, 5, 20, 0);
    set_fleet_view(&mut d, Some((0, 3)));
    set_fleet_view(&mut d, None);
    assert_eq!((d.rank, d.dispatchers), (5, 12.0));
}
