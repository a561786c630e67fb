//! Precedence of a received record by its incarnation.
use super::*;
use crate::member::tests::record;
use test_case::test_case;

fn alive(name: &str, host: u8) -> MemberRecord {
    MemberRecord {
        state: MemberState::Alive,
        addr: ([10, 0, 0, host], 7946).into(),
        ..record(name)
    }
}

/// Returns the state of a member of incarnation 3 after another member has sent a record of its death
/// with the given incarnation.
#[test_case(3 => MemberState::Dead; "of the same incarnation")]
#[test_case(2 => MemberState::Alive; "of an earlier incarnation")]
pub(crate) fn state_after_a_record_of_its_death(incarnation: u32) -> MemberState {
    let config = MembershipConfig {
        cluster_hash: 1,
        name: "me".into(),
        listen: ([10, 0, 0, 9], 7946).into(),
        seeds: Vec::new(),
    };
    let mut membership = Membership::new(config, 0, 5);
    let (member, other) = (alive("a", 1), alive("b", 2));
    let mut out = Outbox::default();
    membership.handle_datagram(MILLISECOND, member.addr, &member, &[], &mut out);

    let death = Part::Record(MemberRecord {
        state: MemberState::Dead,
        incarnation,
        ..member
    });
    membership.handle_datagram(2 * MILLISECOND, other.addr, &other, &[death], &mut out);

    membership.get("a").unwrap().record.state
}
