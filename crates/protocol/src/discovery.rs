//! The discovery side: requests for the endpoint list out, lists in.
use crate::http::{CompleteResponse, HttpError, ResponseReader};
use crate::names::{Names, index_of_name};
use crate::wire::{endpoint_state, target};
use rosewall::types::{EndpointState, Nanos};
use serde::Deserialize;
use std::net::SocketAddr;

/// The largest list in bytes: some thousand workers.
const MAX_LIST_BYTES: usize = 1024 * 1024;

/// One entry of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    /// The name that identifies the worker.
    pub host: String,
    /// Where to connect; always known unless the worker is removed.
    pub address: Option<SocketAddr>,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// Index of its zone, or `u16::MAX` for one that the settings do not name.
    pub zone: u16,
    /// Index of its worker type, or `u8::MAX` for one that the settings do not name.
    pub worker_type: u8,
    /// The group of workers it belongs to.
    pub group: u16,
    /// Its relative size.
    pub size: f32,
    /// When its process started, as Unix time.
    pub started_at: Nanos,
}

/// A list of endpoints, or the changes since an earlier version.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// Grows with each change.
    pub version: u64,
    /// Whether it names all workers, not only those that changed.
    pub is_snapshot: bool,
    /// The entries.
    pub endpoints: Vec<DiscoveredEndpoint>,
}

/// Why a list is malformed.
#[derive(Debug, thiserror::Error)]
pub enum EndpointListError {
    /// It does not have the form of a list.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// An entry has a state that the protocol does not know.
    #[error("unknown health {health:?} of {host:?}")]
    UnknownState {
        /// The entry.
        host: String,
        /// Its state.
        health: String,
    },
    /// An entry names a worker that is not removed, but no address of it.
    #[error("no address to dial for {host:?}")]
    NoAddress {
        /// The entry.
        host: String,
    },
    /// An entry has no name, or a size that is not a finite number.
    #[error(
        "an entry without a host or with a share that is no number: host {host:?}, share {size}"
    )]
    InvalidEntry {
        /// The entry.
        host: String,
        /// Its size.
        size: f32,
    },
}

/// Why a response of the discovery service cannot be used.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ListResponseError {
    /// It has another status than 200.
    #[error("status {0}")]
    Status(u16),
    /// It is malformed or too large.
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

/// A request for changes after a version that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watch {
    /// The version that is known.
    pub version: u64,
    /// How long the service may wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// The request for the whole list, or for changes where there is a watch.
pub fn encode_list_request(address: &str, watch: Option<Watch>) -> Vec<u8> {
    let query = watch
        .map(|Watch { version, wait_ms }| format!("?index={version}&wait={wait_ms}"))
        .unwrap_or_default();
    let target = target::ENDPOINTS;
    format!("GET {target}{query} HTTP/1.1\r\nHost: {address}\r\n\r\n").into_bytes()
}

/// Decodes a list. One invalid entry makes the list malformed.
///
/// # Errors
/// Where the text is not a list or an entry is invalid.
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
    // A zone or worker type that the settings do not name matches none of them.
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

/// Reads one response of the discovery service, however its bytes are split.
#[derive(Default)]
pub struct EndpointListReader {
    response: ResponseReader,
}

impl EndpointListReader {
    /// Takes in bytes; returns the response with the list's text, once it is complete.
    ///
    /// # Errors
    /// Where the response is malformed or has another status than 200.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<CompleteResponse>, ListResponseError> {
        let complete = self.response.feed(bytes, MAX_LIST_BYTES);
        match self.response.status() {
            Some(status) if status != 200 => Err(ListResponseError::Status(status)),
            _ => Ok(complete?),
        }
    }

    /// At the end of the connection: the text, if that is how its body ends.
    pub fn connection_closed(&mut self) -> Option<Vec<u8>> {
        self.response.connection_closed()
    }
}
