//! The discovery side: one task keeps the endpoint list up to date.
mod exchange;
mod follow;
mod watch;

pub use follow::{FollowedList, follow};

use std::time::Duration;

/// How long each step may take before the path to the list counts as broken.
///
/// From the moment at which a watch falls silent to the list that a new one brings must lie less than 6 s, or less than 2 s
/// past the wait of the request where that is later: beyond it, this dispatcher is held to what it missed.
struct Timing {
    /// How long the service may wait for a change before it answers a watch, in milliseconds.
    wait_ms: u64,
    /// How much later than that its answer may begin.
    answer_delay: Duration,
    /// How soon the answer to a request for the whole list must begin, its connection included.
    snapshot_timeout: Duration,
    /// While none has begun, how soon the request is sent again, beside the earlier ones.
    snapshot_retry: Duration,
}

/// For lists that an agent on this machine pushes. It answers at once, so short requests cost nothing, and a watch that
/// died silently is found within 2.2 s. An agent that was restarted does not know earlier requests, hence the early retry;
/// an answer that is slow for once is still read. An agent that always takes over 1 s to answer cannot be used.
const PUSHED_LIST: Timing = Timing {
    wait_ms: 2_000,
    answer_delay: Duration::from_millis(200),
    snapshot_timeout: Duration::from_secs(1),
    snapshot_retry: Duration::from_millis(200),
};

/// For lists that are polled from a shared service, where each request costs. A watch waits for as long as its failure can
/// still be found in time, which leaves 1.5 s to the next one; a request for the whole list may queue at a service that all
/// dispatchers ask at once. The engine sets the pause after a failure.
const POLLED_LIST: Timing = Timing {
    wait_ms: 20_000,
    answer_delay: Duration::from_millis(500),
    snapshot_timeout: Duration::from_secs(6),
    snapshot_retry: Duration::MAX,
};
