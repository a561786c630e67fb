//! Tests of the rate limiter.
use super::RateLimiter;
use rosewall::types::Nanos;
use test_case::test_case;

const MILLISECOND: Nanos = 1_000_000;

#[test_case(&[0; 8] => 3; "a burst is limited to one second of operations")]
#[test_case(&[0, 0, 0, 0, 500, 500, 500, 1_000] => 5; "more as time passes")]
#[test_case(&[0, 0, 0, 9_000, 8_000, 9_000, 9_000, 9_000] => 6; "none if the clock goes back")]
fn operations_are_limited_per_second(at_ms: &[u64]) -> usize {
    let mut limiter = RateLimiter::new(3);
    at_ms
        .iter()
        .filter(|at| limiter.try_acquire((**at + 1) * MILLISECOND))
        .count()
}
