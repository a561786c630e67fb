//! What endpoint lists published to dispatchers.
use super::{Checker, WorkerIndex};
use crate::network::HostId;
use rosewall::types::{EndpointState, Nanos};

/// What a list says of one worker.
#[derive(Clone, Copy)]
pub struct PublishedState {
    /// Whether it takes requests.
    pub state: EndpointState,
    /// When its process started; 0 for one that has long been up.
    pub started_at: Nanos,
    /// The version of the list.
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
    /// A list that is written to a dispatcher says this of a worker; of one that a snapshot omits, that it is removed.
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
        // An older list says nothing new of the process that a newer one described.
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

    /// The workers of which a dispatcher was told.
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
