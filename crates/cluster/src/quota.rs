//! Rate limit on what one process sends.
use crate::time::SECOND;
use rosewall::types::Nanos;

/// Allows `LIMIT` units in each window of one second.
#[derive(Default)]
pub(crate) struct PerSecondQuota<const LIMIT: u64> {
    window_start: Nanos,
    used: u64,
}

impl<const LIMIT: u64> PerSecondQuota<LIMIT> {
    /// Starts a new window if the current one has ended.
    pub(crate) fn advance(&mut self, now: Nanos) {
        if now >= self.window_start + SECOND {
            self.window_start = now;
            self.used = 0;
        }
    }

    /// Takes one unit of the current window; returns false if none is left.
    pub(crate) fn try_take(&mut self) -> bool {
        if self.used >= LIMIT {
            return false;
        }
        self.used += 1;
        true
    }
}
