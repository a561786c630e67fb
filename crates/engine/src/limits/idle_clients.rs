//! The registry of idle clients and the order in which they are closed.
use super::ResourceLimits;
use async_channel::{Receiver, Sender};
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::Nanos;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Time that a new client has for its first request before it becomes the first candidate for
/// eviction. Clients send it right after connecting, within a few round trips of a slow network.
const FIRST_REQUEST_GRACE: Nanos = 100_000_000;

/// Kind of a client that waits for bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleClient {
    /// Has not sent a request yet.
    AwaitingFirstRequest,
    /// Has sent at least one request.
    BetweenRequests,
    /// Exceeds the limit on clients and only gets a rejection. Closing it frees no descriptor for
    /// others.
    Overflow,
}

struct IdleEntry {
    since: Nanos,
    close: Sender<()>,
}

/// Entries by serial number, oldest first.
type EntriesByAge = BTreeMap<u64, IdleEntry>;

#[derive(Default)]
pub(super) struct IdleClients {
    awaiting_first_request: EntriesByAge,
    between_requests: EntriesByAge,
    overflow: EntriesByAge,
    next_serial: u64,
}

impl IdleClients {
    pub(super) fn register(&mut self, now: Nanos, client: IdleClient) -> (u64, Receiver<()>) {
        let serial = self.next_serial;
        self.next_serial += 1;
        let (close, closed) = async_channel::bounded(1);
        let entry = IdleEntry { since: now, close };
        self.entries(client).insert(serial, entry);
        (serial, closed)
    }

    pub(super) fn unregister(&mut self, client: IdleClient, serial: u64) {
        self.entries(client).remove(&serial);
    }

    fn entries(&mut self, client: IdleClient) -> &mut EntriesByAge {
        match client {
            IdleClient::AwaitingFirstRequest => &mut self.awaiting_first_request,
            IdleClient::BetweenRequests => &mut self.between_requests,
            IdleClient::Overflow => &mut self.overflow,
        }
    }

    pub(super) fn has_evictable(&self) -> bool {
        !self.awaiting_first_request.is_empty() || !self.between_requests.is_empty()
    }

    /// Closes the oldest client without a request if its grace time is over, else the oldest that
    /// has sent one. So silent connections do not block new clients, and no client is closed while
    /// its first request may be in transit.
    pub(super) fn evict(&mut self, now: Nanos) -> bool {
        let evicted = if self.first_request_is_overdue(now) {
            self.awaiting_first_request.pop_first()
        } else {
            self.between_requests.pop_first()
        };
        evicted.is_some_and(|(_, entry)| entry.close.try_send(()).is_ok())
    }

    fn first_request_is_overdue(&self, now: Nanos) -> bool {
        self.awaiting_first_request
            .first_key_value()
            .is_some_and(|(_, oldest)| {
                now.saturating_sub(oldest.since) >= FIRST_REQUEST_GRACE
                    || is_active(Mutation::CloseWithoutAnswer)
            })
    }
}

/// Registration of an idle client. Dropping it unregisters the client.
pub struct IdleRegistration {
    pub(super) limits: Rc<ResourceLimits>,
    pub(super) client: IdleClient,
    pub(super) serial: u64,
}

impl Drop for IdleRegistration {
    fn drop(&mut self) {
        self.limits.unregister_idle(self.client, self.serial);
    }
}
