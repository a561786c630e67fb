//! Which discovery service is followed, and when it is called for the endpoint list.
//!
//! [`DiscoveryClient`] owns up to two services: the current one and, after a new configuration, the
//! next one, which replaces it with its first list. Each has its own calls, time limits and retries;
//! `docs/discovery.md` lists the states.
mod source;
#[cfg(test)]
mod tests;
mod timing;

use crate::config::EndpointsMode;
use rosewall::mutation::{Mutation, is_active};
use rosewall::pcg::Pcg;
use rosewall::policy::poll_backoff;
use rosewall::types::Nanos;
use rosewall_protocol::discovery::Watch;
use source::{Phase, Source};
use std::net::SocketAddr;
use timing::Timing;

/// Identifies a call for the endpoint list within one [`DiscoveryClient`].
pub type CallId = u64;

/// A call for the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListCall {
    /// Number of the call.
    pub id: CallId,
    /// Address of the service.
    pub address: SocketAddr,
    /// Version after which changes are requested, with the wait for them; `None` for a snapshot.
    pub watch: Option<Watch>,
}

/// Operation for the caller to execute. Effects must be executed in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Start a call.
    Start(ListCall),
    /// Close the connection of a call, which was given up.
    Cancel(CallId),
    /// Report to the policy that the current service of a polled list has failed. The policy
    /// permits the next call.
    ReportFailure,
}

/// Version of a list that a call has delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListVersion {
    /// Version of the list.
    pub version: u64,
    /// Whether the list names all workers.
    pub is_snapshot: bool,
}

/// Reason why a call ended without a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The service could not be reached, or closed the connection.
    Broken,
    /// The rest of an answer did not arrive in time.
    TimedOut,
    /// The answer is not a list.
    Malformed,
}

/// Follows the endpoint list from one call to the next, and from one service to another.
pub struct DiscoveryClient {
    mode: EndpointsMode,
    timing: &'static Timing,
    current: Source,
    /// Service of the newest configuration, until its first list.
    next: Option<Source>,
    last_call: CallId,
    backoff_rng: Pcg,
}

impl DiscoveryClient {
    /// Creates a client of the service at `address`. A polled list continues from `known_version`,
    /// that of the cached list, and its first call needs a permit.
    pub fn new(
        mode: EndpointsMode,
        address: SocketAddr,
        known_version: Option<u64>,
        seed: u64,
    ) -> Self {
        let known_version = known_version.filter(|_| mode == EndpointsMode::Polled);
        DiscoveryClient {
            mode,
            timing: Timing::of(mode),
            current: Source::new(address, known_version),
            next: None,
            last_call: 0,
            backoff_rng: Pcg::new(seed),
        }
    }

    /// Starts the first call to a service that pushes its list.
    pub fn start(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        if self.mode == EndpointsMode::Pushed {
            self.with_source(Role::Current, effects, |source, calls| {
                source.open(now, calls);
            });
        }
    }

    /// Returns when to call [`DiscoveryClient::fire_timers`] next; `None` if no timer is set.
    pub fn next_timer(&self) -> Option<Nanos> {
        let sources = std::iter::once(&self.current).chain(&self.next);
        sources.filter_map(Source::next_timer).min()
    }

    /// Handles a new configuration. The current service is followed until the new one has delivered
    /// a list, as that may not answer yet. A service that is followed already is called at once if
    /// no call to it is in progress.
    pub fn moved(&mut self, now: Nanos, address: SocketAddr, effects: &mut Vec<Effect>) {
        if address == self.current.address {
            if let Some(next) = self.next.take() {
                next.cancel_calls(effects);
            }
            return self.call_if_waiting(Role::Current, now, effects);
        }
        if self
            .next
            .as_ref()
            .is_some_and(|next| next.address == address)
        {
            return self.call_if_waiting(Role::Next, now, effects);
        }
        if let Some(replaced) = self.next.replace(Source::new(address, None)) {
            replaced.cancel_calls(effects);
        }
        if is_active(Mutation::DropWatchOnReload) {
            self.replace_current(effects);
            return self.call_if_waiting(Role::Current, now, effects);
        }
        self.call_if_waiting(Role::Next, now, effects);
    }

    /// Handles the policy's permit for the next call to the current service. Has no effect if a
    /// call is in progress.
    pub fn poll_permitted(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        if self.current.phase == Phase::AwaitingPermit {
            let starts = !self.current.was_called;
            self.with_source(Role::Current, effects, |source, calls| {
                // A known version at the start is that of a recent list: its watch is one call
                // instead of two.
                match source.version.filter(|_| starts) {
                    Some(_) => source.watch(now, calls),
                    None => source.open(now, calls),
                }
            });
        }
    }

    /// Handles the first byte of an answer, which is then read to its end.
    pub fn answer_begun(&mut self, now: Nanos, call: CallId) {
        if let Some(role) = self.role_of(call) {
            let timing = self.timing;
            self.source_mut(role).answer_begun(now, call, timing);
        }
    }

    /// Handles a list and starts the next call to its service. Returns false if the list must not
    /// be applied, as its call was given up.
    pub fn list_received(
        &mut self,
        now: Nanos,
        call: CallId,
        list: ListVersion,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let Some(role) = self.role_of(call) else {
            return false;
        };
        if role == Role::Next {
            self.replace_current(effects);
        }
        self.with_source(Role::Current, effects, |source, calls| {
            source.list_received(now, call, list, calls);
        });
        true
    }

    /// Handles the end of a call without a list.
    pub fn call_failed(
        &mut self,
        now: Nanos,
        call: CallId,
        failure: CallFailure,
        effects: &mut Vec<Effect>,
    ) {
        let Some(role) = self.role_of(call) else {
            return;
        };
        let source = self.source_mut(role);
        let was_watching = source.phase == Phase::Watching;
        source.remove_call(call);
        if failure == CallFailure::Malformed {
            source.version = None;
        }
        if !source.calls.is_empty() {
            return;
        }
        // A service that has stopped in the middle of an answer may be up: it is called at once.
        if was_watching && failure == CallFailure::TimedOut && self.mode == EndpointsMode::Polled {
            return self.with_source(role, effects, |source, calls| source.open(now, calls));
        }
        self.source_failed(now, role, effects);
    }

    /// Gives up calls that are overdue, and starts those that are due.
    pub fn fire_timers(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        for role in [Role::Current, Role::Next] {
            if role == Role::Next && self.next.is_none() {
                continue;
            }
            let gave_up = self.source_mut(role).give_up_overdue(now, effects);
            if gave_up && self.source_mut(role).calls.is_empty() {
                self.with_source(role, effects, |source, calls| source.open(now, calls));
            }
            self.with_source(role, effects, |source, calls| {
                source.call_if_due(now, calls)
            });
        }
    }

    /// Schedules the next call after the last one in progress has failed.
    fn source_failed(&mut self, now: Nanos, role: Role, effects: &mut Vec<Effect>) {
        let failures = self.source_mut(role).failures;
        let phase = match (self.mode, role) {
            (EndpointsMode::Polled, Role::Current) => {
                effects.push(Effect::ReportFailure);
                Phase::AwaitingPermit
            }
            // The policy knows one list, whose watch may be open: the next service has retries of
            // its own.
            (EndpointsMode::Polled, Role::Next) if is_active(Mutation::AbandonNewDiscovery) => {
                Phase::AwaitingPermit
            }
            (EndpointsMode::Polled, Role::Next) => Phase::Paused {
                until: now + poll_backoff(failures, self.backoff_rng.unit()),
            },
            (EndpointsMode::Pushed, _) => Phase::Paused {
                until: now + self.timing.retry_pause,
            },
        };
        let source = self.source_mut(role);
        source.failures += 1;
        source.phase = phase;
    }

    fn call_if_waiting(&mut self, role: Role, now: Nanos, effects: &mut Vec<Effect>) {
        self.with_source(role, effects, |source, calls| {
            if source.calls.is_empty() {
                source.failures = 0;
                source.open(now, calls);
            }
        });
    }

    /// Makes the next service the current one.
    fn replace_current(&mut self, effects: &mut Vec<Effect>) {
        if let Some(next) = self.next.take() {
            std::mem::replace(&mut self.current, next).cancel_calls(effects);
        }
    }

    fn role_of(&self, call: CallId) -> Option<Role> {
        if self.current.has_call(call) {
            return Some(Role::Current);
        }
        let is_next = self.next.as_ref().is_some_and(|next| next.has_call(call));
        is_next.then_some(Role::Next)
    }

    fn source_mut(&mut self, role: Role) -> &mut Source {
        match (role, &mut self.next) {
            (Role::Next, Some(next)) => next,
            _ => &mut self.current,
        }
    }

    fn with_source(
        &mut self,
        role: Role,
        effects: &mut Vec<Effect>,
        change: impl FnOnce(&mut Source, &mut Calls),
    ) {
        let mut calls = Calls {
            timing: self.timing,
            last_call: self.last_call,
            effects,
        };
        let source = match (role, &mut self.next) {
            (Role::Next, Some(next)) => next,
            _ => &mut self.current,
        };
        change(source, &mut calls);
        self.last_call = calls.last_call;
    }
}

/// Role of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Current,
    Next,
}

/// Numbers and collects the calls that a source starts.
struct Calls<'a> {
    timing: &'static Timing,
    last_call: CallId,
    effects: &'a mut Vec<Effect>,
}

impl Calls<'_> {
    fn start(&mut self, address: SocketAddr, watch: Option<Watch>) -> CallId {
        self.last_call += 1;
        let id = self.last_call;
        self.effects
            .push(Effect::Start(ListCall { id, address, watch }));
        id
    }

    fn cancel(&mut self, call: CallId) {
        self.effects.push(Effect::Cancel(call));
    }
}
