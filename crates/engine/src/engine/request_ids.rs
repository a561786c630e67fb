//! The client ids that are in use or were sent, by which a repeat of a request is recognised.
#[cfg(test)]
mod tests;

use rustc_hash::FxHashSet;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Maximum number of retained ids of completed requests. They take about 2 MB, whatever their
/// length, and cover minutes of one dispatcher's traffic, which is longer than any client waits.
const MAX_COMPLETED_IDS: usize = 64 * 1024;

/// Digest of a client id.
type IdDigest = u64;

/// Ids of active requests and of retained completed ones. Kept as digests, as a client may send ids
/// of many kilobytes.
pub(super) struct RequestIds {
    /// Makes the digests unpredictable for clients.
    seed: u64,
    digests: FxHashSet<IdDigest>,
    /// Digests of completed requests, oldest first.
    completed: VecDeque<IdDigest>,
}

impl RequestIds {
    pub(super) fn new(seed: u64) -> Self {
        RequestIds {
            seed,
            digests: FxHashSet::default(),
            completed: VecDeque::new(),
        }
    }

    /// Reserves an id. Returns false if it belongs to a request that is active or was sent before.
    pub(super) fn reserve(&mut self, id: &str) -> bool {
        let digest = self.digest(id);
        self.digests.insert(digest)
    }

    /// Releases the id of a request that was never sent.
    pub(super) fn release(&mut self, id: &str) {
        let digest = self.digest(id);
        self.digests.remove(&digest);
    }

    /// Retains the id of a completed request that was sent, in place of the oldest one.
    pub(super) fn retain(&mut self, id: &str) {
        self.completed.push_back(self.digest(id));
        if self.completed.len() > MAX_COMPLETED_IDS
            && let Some(oldest) = self.completed.pop_front()
        {
            self.digests.remove(&oldest);
        }
    }

    fn digest(&self, id: &str) -> IdDigest {
        let mut hasher = DefaultHasher::new();
        self.seed.hash(&mut hasher);
        id.hash(&mut hasher);
        hasher.finish()
    }
}
