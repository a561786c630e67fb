//! Issuing of grants: duplicate requests, the wait after a handover of the lease, and the budget.
use super::*;
use crate::member::tests::record;
use rosewall::types::WorkerId;

const WORKER: WorkerId = WorkerId {
    addr: [1, 2, 3, 1],
    port: 80,
};

#[test]
pub fn a_duplicate_request_is_granted_once() {
    let mut issuer = GrantIssuer::default();
    issuer.set_budget(WORKER, 1_000 * MILLISECOND, 1_000 * MILLISECOND);
    let requester = RequesterId::of(&record("a"));
    let mut issue = |now_ms, seq, work_ms| {
        let request = GrantRequest {
            requester,
            seq,
            worker: WORKER,
            work: work_ms * MILLISECOND,
        };
        let terms = issuer.issue(now_ms * MILLISECOND, 0, request);
        terms.map_or(0, |terms| terms.work / MILLISECOND)
    };

    // Nothing is granted while grants of a previous holder may be valid.
    assert_eq!((issue(1_000, 1, 300), issue(5_000, 2, 300)), (0, 300));
    assert_eq!(
        (
            issue(5_010, 2, 300),
            issue(5_020, 3, 700),
            issue(5_020, 4, 1)
        ),
        (0, 700, 0)
    );
}
