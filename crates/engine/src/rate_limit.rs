//! A bound on how often something may be done: a number per second, and as many at once.
use rosewall::types::Nanos;

#[cfg(test)]
mod tests;

const SECOND: Nanos = 1_000_000_000;

/// A token bucket that holds the tokens of one second.
pub struct RateLimiter {
    per_second: u64,
    tokens: u64,
    refilled_at: Nanos,
}

impl RateLimiter {
    /// A limiter that allows `per_second` operations a second, and as many at once.
    pub fn new(per_second: u64) -> Self {
        RateLimiter {
            per_second,
            tokens: per_second,
            refilled_at: 0,
        }
    }

    /// Takes a token; false if none is left at `now`.
    pub fn try_acquire(&mut self, now: Nanos) -> bool {
        self.refill(now);
        let acquired = self.tokens > 0;
        self.tokens -= u64::from(acquired);
        acquired
    }

    fn refill(&mut self, now: Nanos) {
        let elapsed = now.saturating_sub(self.refilled_at).min(SECOND);
        let new_tokens = elapsed * self.per_second / SECOND;
        if new_tokens > 0 {
            self.tokens = (self.tokens + new_tokens).min(self.per_second);
            self.refilled_at = now;
        }
    }
}
