//! The time from the start of a process to its first endpoint list from discovery.
//!
//! A cached list may lack drains that the agent of a pushed list has received before. The
//! dispatcher is accountable for them from its start, whether or not the agent answers, so it sends
//! by the cached list alone only within the grace of drains. `docs/ends.md` lists the bounds.
#[cfg(test)]
mod tests;

use super::timers::Timer;
use super::{Effect, Engine};
use crate::endpoints::ListUpdate;
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{Endpoint, EndpointState, ListScope, Nanos};
use rosewall_protocol::discovery::EndpointList;

const SECOND: Nanos = 1_000_000_000;

/// Part of the grace that is not used: a process may be held up for 0.15 s between a look at its
/// clock and a write, and starts somewhat before its first look.
const GRACE_RESERVE: Nanos = SECOND / 4;

/// Time after the start at which the dispatcher reports that it is ready even if no list has
/// arrived.
const READY_AFTER: Nanos = 9 * SECOND;

/// Time after the start at which the cached list is used even if it was not confirmed: an outage of
/// discovery must not become one of the workers.
const CACHED_LIST_USED_AFTER: Nanos = 30 * SECOND;

/// How far a cached list can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CachedListUse {
    /// Changes count from when discovery delivers them: the list is used until then.
    UntilChanged,
    /// The agent may have received drains already. Work may go to a draining worker for
    /// `drain_grace` after the start.
    UntilConfirmed {
        /// Time for which new work may go to a worker that drains.
        drain_grace: Nanos,
    },
}

/// What is known of the endpoint list.
#[derive(Debug)]
pub(super) enum ListStatus {
    /// There is none.
    Missing,
    /// Requests are sent by the cached list, within the grace.
    Unconfirmed(CachedEndpoints),
    /// Requests are rejected until a list confirms the cached one.
    Withheld(CachedEndpoints),
    /// Discovery has delivered a list, or the cached one is used in its place.
    Usable,
}

/// Endpoints of a cached list that was not confirmed.
#[derive(Debug)]
pub(super) struct CachedEndpoints {
    endpoints: Vec<Endpoint>,
    is_ready: bool,
}

impl ListStatus {
    /// Returns whether the dispatcher reports that it is ready.
    pub(super) fn is_ready(&self) -> bool {
        match self {
            ListStatus::Missing => false,
            ListStatus::Unconfirmed(cached) | ListStatus::Withheld(cached) => cached.is_ready,
            ListStatus::Usable => true,
        }
    }

    /// Marks the dispatcher as ready whatever the list.
    fn set_ready(&mut self) {
        if let ListStatus::Unconfirmed(cached) | ListStatus::Withheld(cached) = self {
            cached.is_ready = true;
        }
    }
}

impl Engine {
    /// Applies the cached endpoint list. Must be called before any input is handled.
    pub fn load_cached(
        &mut self,
        now: Nanos,
        list: EndpointList,
        usage: CachedListUse,
        effects: &mut Vec<Effect>,
    ) {
        let update = self.workers.apply(now, list);
        let endpoints = update.endpoints.clone();
        self.apply_update(now, ListScope::Cached, update, effects);
        if endpoints.is_empty() {
            return;
        }
        match usage {
            CachedListUse::UntilConfirmed { drain_grace }
                if !is_active(Mutation::TrustCachedList) =>
            {
                self.list_status = ListStatus::Unconfirmed(CachedEndpoints {
                    endpoints,
                    is_ready: false,
                });
                let withhold_at = now + drain_grace.saturating_sub(GRACE_RESERVE);
                self.timers.set(withhold_at, Timer::WithholdCachedList);
                self.timers.set(now + READY_AFTER, Timer::ReportReady);
                self.timers
                    .set(now + CACHED_LIST_USED_AFTER, Timer::UseCachedList);
            }
            _ => self.list_status = ListStatus::Usable,
        }
    }

    /// Sends nothing more by the cached list: all its workers count as draining.
    pub(super) fn withhold_cached_list(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        let cached = match std::mem::replace(&mut self.list_status, ListStatus::Usable) {
            ListStatus::Unconfirmed(cached) => cached,
            status => return self.list_status = status,
        };
        log::warn!("discovery has not confirmed the cached endpoint list: requests are rejected");
        let drained = cached.endpoints.iter().map(|endpoint| Endpoint {
            state: EndpointState::Draining,
            ..*endpoint
        });
        let update = ListUpdate {
            endpoints: drained.collect(),
            ..ListUpdate::default()
        };
        self.list_status = ListStatus::Withheld(cached);
        self.apply_update(now, ListScope::Delta, update, effects);
    }

    /// Reports that the dispatcher is ready, though it may still reject all requests.
    pub(super) fn report_ready(&mut self) {
        self.list_status.set_ready();
    }

    /// Uses the cached list again, if none has arrived. Must be called before a delta is applied,
    /// which changes only some of its endpoints.
    pub(super) fn use_cached_list(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        let status = std::mem::replace(&mut self.list_status, ListStatus::Usable);
        if let ListStatus::Withheld(cached) = status {
            let update = ListUpdate {
                endpoints: cached.endpoints,
                ..ListUpdate::default()
            };
            self.apply_update(now, ListScope::Delta, update, effects);
        }
    }
}
