//! Compatibility of the stored state of a register replica with earlier versions.
use rosewall_cluster::register::PersistentState;

/// The state as version 0.1 stores it.
const STORED: &str = concat!(
    r#"{"promised":{"round":4,"by":2},"#,
    r#""accepted":[{"round":3,"by":1},{"version":2,"text":"new"}],"#,
    r#""in_force":{"version":1,"text":"old"}}"#
);

#[test]
fn a_stored_state_of_an_earlier_version_round_trips() {
    let state: PersistentState = serde_json::from_str(STORED).expect("readable");

    assert_eq!((state.promised.round, state.promised.replica), (4, 2));
    assert_eq!(state.committed.text, "old");
    let accepted = state.accepted.as_ref().expect("an accepted document");
    assert_eq!((accepted.ballot.replica, accepted.document.version), (1, 2));
    assert_eq!(serde_json::to_string(&state).expect("writable"), STORED);
}
