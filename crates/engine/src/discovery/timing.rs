//! Time limits of the calls to discovery.
use crate::config::EndpointsMode;
use rosewall::types::Nanos;

const MILLISECOND: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MILLISECOND;

/// Time limits of the calls for one kind of list.
///
/// A change must be applied less than 6 s after discovery has it and can be reached, and a silent
/// watch detected less than 2 s after its wait.
#[derive(Debug)]
pub(super) struct Timing {
    /// Maximum time that the service may wait for a change before it answers a watch, in
    /// milliseconds.
    pub wait_ms: u64,
    /// Additional time within which the answer to a watch must begin.
    pub answer_delay: Nanos,
    /// Wait of the first watch after a failure, in milliseconds; `None` to request a snapshot. Its
    /// answer shows that the service can be reached.
    pub confirm_wait_ms: Option<u64>,
    /// Time after which a call without an answer is made again, beside the earlier ones.
    pub retry_interval: Nanos,
    /// Maximum number of calls in progress. The oldest is kept, so that a slow service is heard;
    /// the newest reaches a service that does not know earlier calls.
    pub max_calls: usize,
    /// Time after which a call without an answer is given up.
    pub call_timeout: Nanos,
    /// Time limit for the rest of an answer that has begun.
    pub answer_timeout: Nanos,
    /// Pause after a failure of a pushed list. It prevents a busy loop, and is shorter than the
    /// notice before a worker drains.
    pub retry_pause: Nanos,
}

/// Limits for lists that an agent on this machine pushes, whose calls cost nothing.
const PUSHED: Timing = Timing {
    wait_ms: 2_000,
    answer_delay: 200 * MILLISECOND,
    confirm_wait_ms: None,
    retry_interval: 200 * MILLISECOND,
    max_calls: 5,
    call_timeout: 5 * SECOND,
    answer_timeout: 5 * SECOND,
    retry_pause: 50 * MILLISECOND,
};

/// Limits for lists that are polled from a shared service, where each call has a cost. The policy
/// sets the pause after a failure.
const POLLED: Timing = Timing {
    wait_ms: 20_000,
    answer_delay: 500 * MILLISECOND,
    confirm_wait_ms: Some(200),
    retry_interval: 3 * SECOND,
    max_calls: 3,
    call_timeout: 9 * SECOND,
    answer_timeout: 5 * SECOND,
    retry_pause: 0,
};

impl Timing {
    pub(super) fn of(mode: EndpointsMode) -> &'static Timing {
        match mode {
            EndpointsMode::Pushed => &PUSHED,
            EndpointsMode::Polled => &POLLED,
        }
    }
}
