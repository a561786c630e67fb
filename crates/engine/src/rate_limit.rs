//! A bound on how often something is done: so many at once, and so many a second.
use rosewall::types::Nanos;

pub struct RateLimiter {
    a_second: u64,
    left: u64,
    at: Nanos,
}

impl RateLimiter {
    pub fn new(a_second: u64) -> Self {
        RateLimiter {
            a_second,
            left: a_second,
            at: 0,
        }
    }

    /// Whether it may be done once more now.
    pub fn try_acquire(&mut self, now: Nanos) -> bool {
        let more = now.saturating_sub(self.at).min(1_000_000_000) * self.a_second / 1_000_000_000;
        if more > 0 {
            (self.left, self.at) = ((self.left + more).min(self.a_second), now);
        }
        let allowed = self.left > 0;
        self.left -= u64::from(allowed);
        allowed
    }
}
