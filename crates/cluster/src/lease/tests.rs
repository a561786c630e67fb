use super::*;

/// Of three keepers one alone makes no lease, and one that has just started promises nothing that it may have promised
/// another before.
#[test]
pub fn a_lease_has_one_holder() {
    let (a, b): (Name, Name) = ("a".into(), "b".into());
    let mut candidate = LeaseCandidate::default();
    let seq = candidate.start_round(0, true).unwrap();
    candidate.handle_vote(MS, seq, &a, 3);
    assert!(!candidate.holds(MS));
    // An answer that was long on its way makes no longer lease.
    candidate.handle_vote(LEASE_DURATION / 2, seq, &b, 3);
    assert!(candidate.holds(LEASE_DURATION / 2) && !candidate.holds(LEASE_DURATION));
    let mut voter = LeaseVoter::new(0);
    assert!(!voter.request(MS, &a, 1) && !voter.request(LEASE_DURATION, &a, 1));
    assert!(
        voter.request(2 * LEASE_DURATION, &a, 1)
            && !voter.request(2 * LEASE_DURATION + MS, &b, 1)
            && voter.request(3 * LEASE_DURATION, &a, 1)
    );
    assert!(!voter.request(4 * LEASE_DURATION, &b, 1) && voter.request(5 * LEASE_DURATION, &b, 1));
}
