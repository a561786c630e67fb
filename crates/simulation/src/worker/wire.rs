//! The wire format of worker responses.
use super::Persistence;
use crate::network::VirtualStream;
use futures_lite::AsyncWriteExt;

pub(super) const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
/// A rejection with the promise that the attempt did not run.
pub(super) const NOT_STARTED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
pub(super) const EMPTY_OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
pub(super) const LAST_CHUNK: &str = "0\r\n\r\n";

pub(super) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Renders one line of a response body; `fields` are additional JSON fields, each preceded by a
/// comma.
pub(super) fn line(id: &str, state: &str, fields: &str) -> String {
    format!("{{\"id\":\"{id}\",\"from\":\"w\",\"state\":\"{state}\"{fields}}}\n")
}

pub(super) fn empty_response(status: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n")
}

/// Renders a complete chunked response of one chunk.
pub(super) fn one_chunk_response(text: &str) -> String {
    format!("{CHUNKED}{}{LAST_CHUNK}", chunk(text))
}

/// Sends a complete response; returns `None` if the connection broke.
pub(super) async fn send(stream: &mut VirtualStream, text: &str) -> Option<Persistence> {
    stream.write_all(text.as_bytes()).await.ok()?;
    Some(Persistence::KeepOpen)
}
