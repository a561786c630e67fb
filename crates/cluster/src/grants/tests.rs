use super::*;
use rosewall::types::WorkerId;

const MS: u64 = 1_000_000;

fn worker(at: u8) -> WorkerId {
    WorkerId {
        addr: [1, 2, 3, at],
        port: 80,
    }
}

#[test]
pub fn a_request_that_comes_twice_is_given_to_once() {
    let mut grant_issuer = GrantIssuer::default();
    grant_issuer.set_warm_up_budget(worker(1), 1_000 * MS, 1_000 * MS);
    let mut issue = |now, seq, work| {
        grant_issuer
            .issue(now * MS, 0, (1, 1), seq, worker(1), work * MS)
            .0
    };
    assert_eq!((issue(1_000, 1, 300), issue(5_000, 2, 300)), (0, 300 * MS));
    assert_eq!(
        (
            issue(5_010, 2, 300),
            issue(5_020, 3, 700),
            issue(5_020, 4, 1)
        ),
        (0, 700 * MS, 0)
    );
}
