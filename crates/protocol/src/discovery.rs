//! The discovery side: calls out, lists of workers in.
use crate::client::{Names, place};
use crate::http::Whole;
use rosewall::types::{EndpointState, Nanos};
use serde::Deserialize;
use std::net::SocketAddr;

/// A list of some thousand workers; the protocol's limit for bodies is for jobs.
const LIST_LIMIT: usize = 1024 * 1024;

#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveredEndpoint {
    pub host: String,
    pub address: Option<SocketAddr>,
    pub state: EndpointState,
    pub zone: u16,
    pub worker_type: u8,
    pub group: u16,
    pub size: f32,
    pub born: Nanos,
}

#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    pub version: u64,
    pub is_snapshot: bool,
    pub endpoints: Vec<DiscoveredEndpoint>,
}

#[derive(Deserialize)]
struct RawList {
    seq: u64,
    whole: bool,
    hosts: Vec<RawHost>,
}

#[derive(Deserialize)]
struct RawHost {
    host: String,
    #[serde(default)]
    dial: String,
    #[serde(default)]
    site: String,
    #[serde(default)]
    class: String,
    #[serde(default)]
    block: u16,
    health: String,
    #[serde(default = "one")]
    share: f32,
    #[serde(default)]
    born_ms: u64,
}

fn one() -> f32 {
    1.0
}

/// A call for the whole list, or a watch from a version on.
pub fn call(address: &str, watch: Option<(u64, u64)>) -> Vec<u8> {
    let query = watch
        .map(|(seq, wait)| format!("?index={seq}&wait={wait}"))
        .unwrap_or_default();
    format!("GET /v1/servers{query} HTTP/1.1\r\nHost: {address}\r\n\r\n").into_bytes()
}

/// Decodes a list; any entry that makes no sense makes the list malformed.
pub fn decode_endpoint_list(bytes: &[u8], names: &Names) -> Result<EndpointList, String> {
    let raw: RawList = serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
    let host = |raw: RawHost| {
        let state = match raw.health.as_str() {
            "ready" => EndpointState::Ready,
            "draining" => EndpointState::Draining,
            "gone" => EndpointState::Removed,
            other => return Err(format!("unknown health {other:?} of {:?}", raw.host)),
        };
        let address = raw.dial.parse().ok();
        if address.is_none() && state != EndpointState::Removed {
            return Err(format!("no address to dial for {:?}", raw.host));
        }
        // A zone or kind that the settings do not name matches none of them.
        let zone = place(&names.zones, &raw.site)
            .and_then(|at| u16::try_from(at).ok())
            .unwrap_or(u16::MAX);
        let worker_type = place(&names.worker_types, &raw.class)
            .and_then(|at| u8::try_from(at).ok())
            .unwrap_or(u8::MAX);
        let (group, size, born) = (raw.block, raw.share, raw.born_ms.saturating_mul(1_000_000));
        if raw.host.is_empty() || !size.is_finite() {
            return Err(format!("an entry without sense for {:?}", raw.host));
        }
        Ok(DiscoveredEndpoint {
            host: raw.host,
            address,
            state,
            zone,
            worker_type,
            group,
            size,
            born,
        })
    };
    let endpoints = raw.hosts.into_iter().map(host).collect::<Result<_, _>>()?;
    Ok(EndpointList {
        version: raw.seq,
        is_snapshot: raw.whole,
        endpoints,
    })
}

/// Reads one answer of discovery, however its bytes are cut.
#[derive(Default)]
pub struct EndpointListReader {
    answer: Whole,
}

impl EndpointListReader {
    /// The list's text, once it is whole, and whether the connection may be used for the next call.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<(Vec<u8>, bool)>, String> {
        let fed = self.answer.feed(bytes, LIST_LIMIT);
        match self.answer.status() {
            Some(status) if status != 200 => Err(format!("status {status}")),
            _ => fed.map_err(|fault| format!("{fault:?}")),
        }
    }

    /// At the end of the connection: the text, if that is how its body ends.
    pub fn closed(&mut self) -> Option<Vec<u8>> {
        self.answer.closed()
    }
}
