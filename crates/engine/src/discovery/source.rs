//! One discovery service: its calls in progress and the time of the next one.
use super::timing::Timing;
use super::{CallId, Calls, Effect, ListVersion};
use rosewall::types::Nanos;
use rosewall_protocol::discovery::Watch;
use std::net::SocketAddr;

const MILLISECOND: Nanos = 1_000_000;

/// State of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The next call needs a permit of the policy.
    AwaitingPermit,
    /// The next call is made at this time.
    Paused { until: Nanos },
    /// Calls are in progress that are answered at once by a service that can be reached.
    Opening { next_call_at: Nanos },
    /// A watch is in progress.
    Watching,
}

/// A call in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenCall {
    id: CallId,
    /// Time at which the call counts as overdue, and the service is called again beside it.
    overdue_at: Nanos,
    give_up_at: Nanos,
    has_begun: bool,
}

/// One discovery service.
#[derive(Debug)]
pub(super) struct Source {
    pub(super) address: SocketAddr,
    /// Latest known version; `None` if the next call is for a snapshot.
    pub(super) version: Option<u64>,
    pub(super) phase: Phase,
    /// Calls in progress, oldest first.
    pub(super) calls: Vec<OpenCall>,
    /// Number of failures since the last list.
    pub(super) failures: u32,
    /// Whether a call has been made.
    pub(super) was_called: bool,
}

impl Source {
    pub(super) fn new(address: SocketAddr, version: Option<u64>) -> Self {
        Source {
            address,
            version,
            phase: Phase::AwaitingPermit,
            calls: Vec::new(),
            failures: 0,
            was_called: false,
        }
    }

    pub(super) fn has_call(&self, call: CallId) -> bool {
        self.calls.iter().any(|open| open.id == call)
    }

    pub(super) fn remove_call(&mut self, call: CallId) {
        self.calls.retain(|open| open.id != call);
    }

    pub(super) fn cancel_calls(&self, effects: &mut Vec<Effect>) {
        effects.extend(self.calls.iter().map(|open| Effect::Cancel(open.id)));
    }

    /// Returns the time of the next timer.
    pub(super) fn next_timer(&self) -> Option<Nanos> {
        let give_up_at = self.calls.iter().map(|open| open.give_up_at).min();
        self.due_at().into_iter().chain(give_up_at).min()
    }

    /// Returns when the next call is made, if nothing happens before. None is made while an answer
    /// arrives, which brings the same list.
    fn due_at(&self) -> Option<Nanos> {
        if self.calls.iter().any(|open| open.has_begun) {
            return None;
        }
        match self.phase {
            Phase::AwaitingPermit => None,
            Phase::Paused { until } => Some(until),
            Phase::Opening { next_call_at } => Some(next_call_at),
            Phase::Watching => self.calls.first().map(|open| open.overdue_at),
        }
    }

    /// Makes a call that a service that can be reached answers at once.
    pub(super) fn open(&mut self, now: Nanos, calls: &mut Calls) {
        let timing = calls.timing;
        self.was_called = true;
        self.phase = Phase::Opening {
            next_call_at: now + timing.retry_interval,
        };
        if self.calls.len() >= timing.max_calls {
            calls.cancel(self.calls.remove(1).id);
        }
        // Only a snapshot is answered at once by an agent that has restarted and does not know the
        // version.
        let watch = self
            .version
            .zip(timing.confirm_wait_ms)
            .map(|(version, wait_ms)| Watch { version, wait_ms });
        self.start_call(now, watch, calls);
    }

    /// Waits for the changes after the known version, or requests a snapshot if there is none.
    pub(super) fn watch(&mut self, now: Nanos, calls: &mut Calls) {
        let Some(version) = self.version else {
            return self.open(now, calls);
        };
        self.was_called = true;
        self.phase = Phase::Watching;
        let watch = Watch {
            version,
            wait_ms: calls.timing.wait_ms,
        };
        self.start_call(now, Some(watch), calls);
    }

    fn start_call(&mut self, now: Nanos, watch: Option<Watch>, calls: &mut Calls) {
        let wait = watch.map_or(0, |watch| watch.wait_ms * MILLISECOND);
        self.calls.push(OpenCall {
            id: calls.start(self.address, watch),
            overdue_at: now + wait + calls.timing.answer_delay,
            give_up_at: now + wait + calls.timing.call_timeout,
            has_begun: false,
        });
    }

    pub(super) fn answer_begun(&mut self, now: Nanos, call: CallId, timing: &Timing) {
        if let Some(open) = self.calls.iter_mut().find(|open| open.id == call) {
            open.has_begun = true;
            open.give_up_at = now + timing.answer_timeout;
        }
    }

    /// Continues from a list. Calls beside the one that delivered it are given up.
    pub(super) fn list_received(
        &mut self,
        now: Nanos,
        call: CallId,
        list: ListVersion,
        calls: &mut Calls,
    ) {
        self.remove_call(call);
        self.cancel_calls(calls.effects);
        self.calls.clear();
        self.failures = 0;
        // A delta with an older version means that the service has lost its state: the next call is
        // for a snapshot.
        let version_decreased =
            !list.is_snapshot && self.version.is_some_and(|known| list.version < known);
        self.version = (!version_decreased).then_some(list.version);
        self.watch(now, calls);
    }

    /// Gives up calls whose time is over. Returns whether there were any.
    pub(super) fn give_up_overdue(&mut self, now: Nanos, effects: &mut Vec<Effect>) -> bool {
        let count = self.calls.len();
        self.calls.retain(|open| {
            let is_overdue = open.give_up_at <= now;
            if is_overdue {
                effects.push(Effect::Cancel(open.id));
            }
            !is_overdue
        });
        self.calls.len() < count
    }

    /// Makes the next call if it is due. An overdue watch stays in progress beside it.
    pub(super) fn call_if_due(&mut self, now: Nanos, calls: &mut Calls) {
        if self.due_at().is_none_or(|due_at| now < due_at) {
            return;
        }
        if self.phase == Phase::Watching {
            log::warn!(
                "discovery: {} does not answer its watch, calling it again",
                self.address
            );
        }
        self.open(now, calls);
    }
}
