//! Endpoint lists and their wire format.
use crate::checker::WorkerIndex;
use crate::time::MS;
use rosewall::types::{EndpointState, Nanos};
use serde_json::json;
use std::net::SocketAddr;

/// The entry of one worker in an endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Published state: ready, draining or removed.
    pub state: EndpointState,
    /// The listen address of the worker.
    pub address: SocketAddr,
    /// The start time of the worker's process; 0 for one that started long before the simulation.
    pub started_at: Nanos,
    /// The zone of the worker, by number.
    pub zone: usize,
    /// The cell of the worker, by number.
    pub cell: usize,
}

/// An endpoint list; `None` in place of an endpoint that a fault omits.
#[derive(Clone, Default)]
pub(super) struct EndpointList {
    pub version: u64,
    pub endpoints: Vec<Option<Endpoint>>,
    /// The list version of the last change of each endpoint.
    pub changed_at: Vec<u64>,
}

/// Renders a list in its wire format: a snapshot, or the delta since a version.
pub(super) fn render(list: &EndpointList, since: Option<u64>) -> String {
    let changed = |worker: &WorkerIndex| since.is_none_or(|since| list.changed_at[*worker] > since);
    let hosts: Vec<_> = (0..list.endpoints.len())
        .filter(changed)
        .filter_map(|worker| {
            let endpoint = list.endpoints[worker].as_ref()?;
            // A snapshot omits removed workers.
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
