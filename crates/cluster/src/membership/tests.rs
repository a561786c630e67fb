use super::*;
use test_case::test_case;

const MS: u64 = 1_000_000;

fn record(name: &str) -> MemberRecord {
    MemberRecord {
        name: name.into(),
        addr: ([10, 0, 0, 1], 7946).into(),
        start: 7,
        incarnation: 3,
        state: MemberState::Suspect,
        claimed_rank: 2,
        issues_grants: true,
        suspected_by: 9,
    }
}

/// Guards against a member that has refuted its death and is dropped by news of before, however late that comes.
#[test_case(3 => MemberState::Dead; "of the same incarnation")]
#[test_case(2 => MemberState::Alive; "of the one before")]
pub(crate) fn what_is_believed_of_an_old_incarnation(incarnation: u32) -> MemberState {
    let own = ([10, 0, 0, 9], 7946).into();
    let mut members = Membership::new(1, "me".into(), own, Vec::new(), 0, 5);
    let (alive, mut out) = (
        MemberRecord {
            state: MemberState::Alive,
            ..record("a")
        },
        Vec::new(),
    );
    members.handle_datagram(MS, alive.addr, &alive, &[], &mut out);
    let teller = MemberRecord {
        state: MemberState::Alive,
        addr: ([10, 0, 0, 2], 7946).into(),
        ..record("b")
    };
    let news = Part::Record(MemberRecord {
        state: MemberState::Dead,
        incarnation,
        ..alive
    });
    members.handle_datagram(2 * MS, teller.addr, &teller, &[news], &mut out);
    members.get("a").unwrap().record.state
}
