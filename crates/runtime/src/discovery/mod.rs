//! The discovery side: one task keeps the endpoint list up to date.
mod exchange;
mod follow;
mod watch;

pub use follow::{FollowedList, follow};

use std::time::Duration;

/// Time limits for the steps of a watch, after which the path to the list counts as broken.
///
/// A new watch must deliver a list less than 6 s after the previous one stopped responding, or less
/// than 2 s after the wait of that watch's request if that is later. After that time, this
/// dispatcher is accountable for the changes that it missed.
struct Timing {
    /// Maximum time that the service may wait for a change before it answers a watch, in
    /// milliseconds.
    wait_ms: u64,
    /// Additional time within which the answer must begin.
    answer_delay: Duration,
    /// Time limit for the start of the answer to a snapshot request, including the time to connect.
    snapshot_timeout: Duration,
    /// Time after which a snapshot request without an answer is sent again, in parallel with the
    /// earlier ones.
    snapshot_retry: Duration,
}

/// Limits for lists that an agent on this machine pushes. The agent answers at once, so short
/// requests cost nothing, and a watch that fails silently is detected within 2.2 s. A restarted
/// agent does not know earlier requests, hence the early retry; a single slow answer is still read.
/// An agent that always takes more than 1 s to answer cannot be used.
const PUSHED_LIST: Timing = Timing {
    wait_ms: 2_000,
    answer_delay: Duration::from_millis(200),
    snapshot_timeout: Duration::from_secs(1),
    snapshot_retry: Duration::from_millis(200),
};

/// Limits for lists that are polled from a shared service, where each request has a cost. A watch
/// waits for as long as its failure can still be detected in time, which leaves 1.5 s for the next
/// watch. A snapshot request may queue at a service that all dispatchers poll at the same time. The
/// engine sets the pause after a failure.
const POLLED_LIST: Timing = Timing {
    wait_ms: 20_000,
    answer_delay: Duration::from_millis(500),
    snapshot_timeout: Duration::from_secs(6),
    snapshot_retry: Duration::MAX,
};
