//! A rate limiter: a number of operations per second, with bursts of the same size.
use rosewall::types::Nanos;

#[cfg(test)]
mod tests;

const SECOND: Nanos = 1_000_000_000;

/// Token bucket with a capacity of one second's tokens.
pub struct RateLimiter {
    per_second: u64,
    tokens: u64,
    refilled_at: Nanos,
}

impl RateLimiter {
    /// Creates a limiter that allows `per_second` operations per second, and bursts of the same
    /// size. Starts with a full bucket.
    pub fn new(per_second: u64) -> Self {
        RateLimiter {
            per_second,
            tokens: per_second,
            refilled_at: 0,
        }
    }

    /// Takes a token. Returns false if none is left at `now`.
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
