//! The discovery side: encodes requests for the endpoint list and decodes lists.
use crate::http::{CompleteResponse, HttpError, ResponseReader};
use crate::names::{Names, index_of_name};
use crate::wire::{endpoint_state, target};
use rosewall::types::{EndpointState, Nanos};
use serde::Deserialize;
use std::net::SocketAddr;

/// Maximum size of a list in bytes: enough for a thousand workers.
const MAX_LIST_BYTES: usize = 1024 * 1024;

/// One entry of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    /// Name that identifies the worker.
    pub host: String,
    /// Address to connect to; `None` only if the worker is removed.
    pub address: Option<SocketAddr>,
    /// Whether the worker is ready, draining or removed.
    pub state: EndpointState,
    /// Index of the worker's zone; `u16::MAX` if the settings do not list the zone.
    pub zone: u16,
    /// Index of the worker type; `u8::MAX` if the settings do not list the type.
    pub worker_type: u8,
    /// Group of workers that the worker belongs to; 0 by default.
    pub group: u16,
    /// Size of the worker relative to the others; 1 by default.
    pub size: f32,
    /// Start time of the worker's process, as Unix time in nanoseconds; 0 by default.
    pub started_at: Nanos,
}

/// A list of endpoints, or the changes since an earlier version.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Version of the list, which increases with each change.
    pub version: u64,
    /// Whether the list names all workers, not only those that have changed.
    pub is_snapshot: bool,
    /// Entries in the order in which they were sent.
    pub endpoints: Vec<DiscoveredEndpoint>,
}

/// Reason why a list is malformed.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// The text is not JSON or not a list.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// An entry has a state that the protocol does not define.
    #[error("unknown health {health:?} of host {host:?}: expected ready, draining or gone")]
    UnknownState {
        /// Name of the worker.
        host: String,
        /// State of the worker as sent.
        health: String,
    },
    /// An entry has no valid address, although its worker is not removed.
    #[error("host {host:?} has no valid address in dial: expected IP:PORT")]
    NoAddress {
        /// Name of the worker.
        host: String,
    },
    /// An entry has no name, or a size that is not a finite number.
    #[error(
        "invalid entry: expected a non-empty host and a finite share, got host {host:?}, share {size}"
    )]
    InvalidEntry {
        /// Name of the worker.
        host: String,
        /// Size of the worker.
        size: f32,
    },
}

/// Reason why a response of the discovery service cannot be used.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ListResponseError {
    /// The status is not 200.
    #[error("unexpected status {0}: expected 200")]
    Status(u16),
    /// The response is malformed or too large.
    #[error(transparent)]
    Http(#[from] HttpError),
}

#[derive(Deserialize)]
struct RawList {
    #[serde(rename = "seq")]
    version: u64,
    #[serde(rename = "whole")]
    is_snapshot: bool,
    #[serde(rename = "hosts")]
    endpoints: Vec<RawEndpoint>,
}

#[derive(Deserialize)]
struct RawEndpoint {
    host: String,
    #[serde(rename = "dial", default)]
    address: String,
    #[serde(rename = "site", default)]
    zone: String,
    #[serde(rename = "class", default)]
    worker_type: String,
    #[serde(rename = "block", default)]
    group: u16,
    health: String,
    #[serde(rename = "share", default = "default_size")]
    size: f32,
    #[serde(default)]
    born_ms: u64,
}

fn default_size() -> f32 {
    1.0
}

/// Request for the changes after a known version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watch {
    /// Known version.
    pub version: u64,
    /// Maximum time that the service may wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// Encodes a request for changes if there is a watch, and otherwise for a snapshot.
pub fn encode_list_request(address: &str, watch: Option<Watch>) -> Vec<u8> {
    let query = watch
        .map(|Watch { version, wait_ms }| format!("?index={version}&wait={wait_ms}"))
        .unwrap_or_default();
    let target = target::ENDPOINTS;
    format!("GET {target}{query} HTTP/1.1\r\nHost: {address}\r\n\r\n").into_bytes()
}

/// Decodes a list. One invalid entry makes the whole list malformed.
///
/// # Errors
/// Returns an error if the text is not a list or if an entry is invalid.
pub fn decode_endpoint_list(
    bytes: &[u8],
    names: &Names,
) -> Result<EndpointList, EndpointListError> {
    let raw: RawList = serde_json::from_slice(bytes)?;
    let endpoints = raw
        .endpoints
        .into_iter()
        .map(|endpoint| decode_endpoint(endpoint, names))
        .collect::<Result<_, _>>()?;
    Ok(EndpointList {
        version: raw.version,
        is_snapshot: raw.is_snapshot,
        endpoints,
    })
}

fn decode_endpoint(
    raw: RawEndpoint,
    names: &Names,
) -> Result<DiscoveredEndpoint, EndpointListError> {
    let state = match raw.health.as_str() {
        endpoint_state::READY => EndpointState::Ready,
        endpoint_state::DRAINING => EndpointState::Draining,
        endpoint_state::REMOVED => EndpointState::Removed,
        _ => {
            return Err(EndpointListError::UnknownState {
                host: raw.host,
                health: raw.health,
            });
        }
    };
    let address = raw.address.parse().ok();
    if address.is_none() && state != EndpointState::Removed {
        return Err(EndpointListError::NoAddress { host: raw.host });
    }
    if raw.host.is_empty() || !raw.size.is_finite() {
        return Err(EndpointListError::InvalidEntry {
            host: raw.host,
            size: raw.size,
        });
    }
    // A zone or worker type that the settings do not list gets an index that matches none of them.
    let zone = index_of_name(&names.zones, &raw.zone)
        .and_then(|index| u16::try_from(index).ok())
        .unwrap_or(u16::MAX);
    let worker_type = index_of_name(&names.worker_types, &raw.worker_type)
        .and_then(|index| u8::try_from(index).ok())
        .unwrap_or(u8::MAX);
    Ok(DiscoveredEndpoint {
        host: raw.host,
        address,
        state,
        zone,
        worker_type,
        group: raw.group,
        size: raw.size,
        started_at: raw.born_ms.saturating_mul(1_000_000),
    })
}

/// Reader for one response of the discovery service, regardless of how its bytes are split.
#[derive(Default)]
pub struct EndpointListReader {
    response: ResponseReader,
}

impl EndpointListReader {
    /// Appends received bytes. Returns the response with the encoded list once it is complete.
    ///
    /// # Errors
    /// Returns an error if the response is malformed or its status is not 200.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<CompleteResponse>, ListResponseError> {
        let complete = self.response.feed(bytes, MAX_LIST_BYTES);
        match self.response.status() {
            Some(status) if status != 200 => Err(ListResponseError::Status(status)),
            _ => Ok(complete?),
        }
    }

    /// Returns the encoded list at the end of the connection, if the body ends with it.
    pub fn connection_closed(&mut self) -> Option<Vec<u8>> {
        self.response.connection_closed()
    }
}
