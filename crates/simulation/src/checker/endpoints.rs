//! Record of the endpoint lists published to each dispatcher.
use super::{Checker, WorkerIndex};
use crate::network::HostId;
use rosewall::types::{EndpointState, Nanos};

/// State of one worker in an endpoint list.
#[derive(Clone, Copy)]
pub struct PublishedState {
    /// Published state: ready, draining or removed.
    pub state: EndpointState,
    /// Start time of the process; 0 if it has been running since before the simulation.
    pub started_at: Nanos,
    /// Version of the list.
    pub version: u64,
}

#[derive(Clone, Copy)]
pub(super) struct PublishedEndpoint {
    pub state: EndpointState,
    pub not_ready_since: Nanos,
    pub started_at: Nanos,
    version: u64,
}

impl Checker {
    /// Records the state of a worker in a list that is sent to a dispatcher. A worker that a
    /// snapshot omits is recorded as removed.
    pub fn endpoint_published(
        &mut self,
        now: Nanos,
        dispatcher: HostId,
        worker: WorkerIndex,
        published: PublishedState,
    ) {
        let PublishedState {
            state,
            started_at,
            version,
        } = published;
        let known = self.published.get(&(dispatcher, worker)).copied();
        let newer = known.filter(|known| known.version > version && started_at <= known.started_at);
        // An older list does not restore a process that a newer list has already marked as not
        // ready.
        if newer.is_some_and(|newer| newer.state != EndpointState::Ready) {
            return;
        }
        let not_ready_since = match known {
            Some(known)
                if known.state != EndpointState::Ready && known.started_at == started_at =>
            {
                known.not_ready_since
            }
            _ => now,
        };
        let started_at = if state == EndpointState::Removed {
            known.map_or(started_at, |known| known.started_at)
        } else {
            started_at
        };
        let version = known.map_or(version, |known| known.version.max(version));
        self.published.insert(
            (dispatcher, worker),
            PublishedEndpoint {
                state,
                not_ready_since,
                started_at,
                version,
            },
        );
    }

    /// Returns the workers that were ever published to a dispatcher, in ascending order.
    pub fn known_workers(&self, dispatcher: HostId) -> Vec<WorkerIndex> {
        let mut workers: Vec<WorkerIndex> = self
            .published
            .keys()
            .filter(|(of, _)| *of == dispatcher)
            .map(|(_, worker)| *worker)
            .collect();
        workers.sort_unstable();
        workers
    }
}
