//! Endpoint lists, and how they go over the wire.
use crate::checker::WorkerIndex;
use crate::time::MS;
use rosewall::types::{EndpointState, Nanos};
use serde_json::json;
use std::net::SocketAddr;

/// What a list says of one worker.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Whether it takes requests.
    pub state: EndpointState,
    /// Where it listens.
    pub address: SocketAddr,
    /// When its process started; 0 for one that has long been up.
    pub started_at: Nanos,
    /// Its zone.
    pub zone: usize,
    /// Its cell.
    pub cell: usize,
}

/// A list of endpoints.
#[derive(Clone, Default)]
pub(super) struct EndpointList {
    pub version: u64,
    pub endpoints: Vec<Option<Endpoint>>,
    /// The version at which each endpoint changed last.
    pub changed_at: Vec<u64>,
}

/// A list as it goes over the wire: a snapshot, or the changes since a version.
pub(super) fn render(list: &EndpointList, since: Option<u64>) -> String {
    let changed = |worker: &WorkerIndex| since.is_none_or(|since| list.changed_at[*worker] > since);
    let hosts: Vec<_> = (0..list.endpoints.len())
        .filter(changed)
        .filter_map(|worker| {
            let endpoint = list.endpoints[worker].as_ref()?;
            // A snapshot does not name removed workers.
            let omitted = since.is_none() && endpoint.state == EndpointState::Removed;
            (!omitted).then(|| render_endpoint(worker, endpoint))
        })
        .collect();
    json!({"seq": list.version, "whole": since.is_none(), "hosts": hosts}).to_string()
}

fn render_endpoint(worker: WorkerIndex, endpoint: &Endpoint) -> serde_json::Value {
    let health = match endpoint.state {
        EndpointState::Ready => "ready",
        EndpointState::Draining => "draining",
        EndpointState::Removed => "gone",
    };
    json!({
        "host": format!("w{worker:03}"),
        "dial": endpoint.address.to_string(),
        "site": format!("z{}", endpoint.zone),
        "class": "k",
        "block": endpoint.cell,
        "health": health,
        "share": 1.0,
        "born_ms": endpoint.started_at / MS,
    })
}
