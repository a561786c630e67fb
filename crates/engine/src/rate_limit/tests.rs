//! Tests of the rate limiter.
use super::RateLimiter;
use test_case::test_case;

#[test_case(&[0; 8] => 3; "no more than a second's at once")]
#[test_case(&[0, 0, 0, 0, 500, 500, 500, 1_000] => 5; "more as time goes on")]
#[test_case(&[0, 0, 0, 9_000, 8_000, 9_000, 9_000, 9_000] => 6; "a clock that goes back gives none")]
fn what_a_pace_allows(at_ms: &[u64]) -> usize {
    let mut rate_limit = RateLimiter::new(3);
    at_ms
        .iter()
        .filter(|at| rate_limit.try_acquire((**at + 1) * 1_000_000))
        .count()
}
