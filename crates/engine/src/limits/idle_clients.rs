//! Clients that wait for bytes, and which of them is closed first.
use super::ResourceLimits;
use async_channel::{Receiver, Sender};
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::Nanos;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A client sends its first request as it connects, within some round trips of a slow network. One that has not done so
/// for this long is closed before those that have sent requests.
const FIRST_REQUEST_GRACE: Nanos = 100_000_000;

/// A client that waits for bytes, by what it has sent so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleClient {
    /// It has not sent a request yet.
    AwaitingFirstRequest,
    /// It has sent a request before.
    BetweenRequests,
    /// It is beyond the limit and only gets a rejection: closing it frees no descriptor for others.
    Overflow,
}

struct IdleEntry {
    since: Nanos,
    close: Sender<()>,
}

/// Entries by serial number, so that the oldest is the first.
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

    /// Closes the oldest client without a request whose grace time is over, else the oldest that has sent one. So silent
    /// connections keep no one out, and no client is closed whose first request may be on its way.
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

/// The registration of an idle client; it ends when this is dropped.
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
