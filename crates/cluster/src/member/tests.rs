//! Member fixtures for tests.
use super::*;

/// Returns a record with a distinct value in each field.
pub(crate) fn record(name: &str) -> MemberRecord {
    MemberRecord {
        name: name.into(),
        addr: ([10, 0, 0, 1], 7946).into(),
        generation: 7,
        incarnation: 3,
        state: MemberState::Suspect,
        claimed_rank: 2,
        issues_grants: true,
        suspected_by: 9,
    }
}
