//! Majorities, late votes and overlapping promises.
use super::*;

fn process(name: &str) -> ProcessId {
    ProcessId {
        name: name.into(),
        generation: 1,
    }
}

#[test]
pub fn a_lease_needs_a_majority_and_a_late_vote_does_not_extend_it() {
    let (a, b): (Name, Name) = ("a".into(), "b".into());
    let mut candidate = LeaseCandidate::default();
    let seq = candidate.start_round(0, Candidacy::Preferred).unwrap();

    candidate.handle_vote(MILLISECOND, seq, &a, 3);
    assert!(!candidate.holds(MILLISECOND));

    candidate.handle_vote(LEASE_DURATION / 2, seq, &b, 3);
    assert!(candidate.holds(LEASE_DURATION / 2) && !candidate.holds(LEASE_DURATION));
}

#[test]
pub fn a_voter_withholds_its_vote_while_an_earlier_promise_may_be_valid() {
    let (a, b) = (process("a"), process("b"));
    let mut voter = LeaseVoter::new(0);

    assert!(!voter.vote(MILLISECOND, a.clone()) && !voter.vote(LEASE_DURATION, a.clone()));
    assert!(
        voter.vote(2 * LEASE_DURATION, a.clone())
            && !voter.vote(2 * LEASE_DURATION + MILLISECOND, b.clone())
            && voter.vote(3 * LEASE_DURATION, a)
    );
    assert!(!voter.vote(4 * LEASE_DURATION, b.clone()) && voter.vote(5 * LEASE_DURATION, b));
}
