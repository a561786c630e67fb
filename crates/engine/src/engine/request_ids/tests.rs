//! Tests of the retained client ids.
use super::{MAX_COMPLETED_IDS, RequestIds};

#[test]
fn an_id_is_reserved_once_until_it_is_released() {
    let mut ids = RequestIds::new(7);
    assert!(ids.reserve("a"));
    assert!(!ids.reserve("a"));
    ids.release("a");
    assert!(ids.reserve("a"));
}

#[test]
fn a_sent_id_is_retained_until_enough_newer_ones_are() {
    let mut ids = RequestIds::new(7);
    ids.reserve("first");
    ids.retain("first");
    for number in 1..MAX_COMPLETED_IDS {
        let id = format!("id{number}");
        ids.reserve(&id);
        ids.retain(&id);
    }
    assert!(!ids.reserve("first"));
    ids.reserve("last");
    ids.retain("last");
    assert!(ids.reserve("first"));
}

/// Guards against memory that clients fill with long ids: 8,192 ids of 15,000 letters took 123 MB.
#[test]
fn an_id_takes_the_same_memory_whatever_its_length() {
    let mut ids = RequestIds::new(7);
    let long = "x".repeat(15_000);
    ids.reserve(&long);
    ids.retain(&long);
    assert!(!ids.reserve(&long));
    assert_eq!(size_of_val(&ids.completed[0]), 8);
}
