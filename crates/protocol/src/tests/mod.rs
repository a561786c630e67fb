//! Tests of the state machines with complete messages, single bytes and arbitrary bytes.
mod client;
mod discovery;
mod peer_load;
mod properties;
mod robustness;
mod worker;

use crate::client::{ClientEvent, RequestReader};
use crate::names::Names;
use crate::worker::{AttemptProgress, AttemptResponseReader};

const REQUEST_HEAD: &str = "POST /api/x?y=%20 HTTP/1.1\r\nRequest-Id: 9b1f\r\nRequest-Class: charge\r\nTenant: zeta\r\n\
    Request-Timeout: 0.480\r\nWork-Hint: 250\r\nRequest-Info: slots=2,memory=0.5\r\nCookie: k=7f\r\nIdempotency-Key: 43 66\r\n";
const STARTED_LINE: &str = "{\"id\":\"id\",\"from\":\"w\",\"state\":\"started\"}\n";
const DONE_LINE: &str = "{\"id\":\"id\",\"state\":\"done\",\"result\":\"a \\\"b\\\"\"}\n";
const FAILED_LINE: &str = "{\"id\":\"id\",\"state\":\"failed\"}\n";

fn list_of(words: &str) -> Vec<String> {
    words.split(',').map(str::to_string).collect()
}

fn names() -> Names {
    Names {
        classes: list_of("thumb,charge"),
        tenants: list_of("acme,zeta"),
        zones: list_of("a,b"),
        worker_types: list_of("m1"),
    }
}

/// Feeds a reader in pieces of `size` bytes and collects what it returns for each.
fn feed_in_pieces<Reader, T>(
    reader: &mut Reader,
    bytes: &[u8],
    size: usize,
    mut feed: impl FnMut(&mut Reader, &[u8]) -> Vec<T>,
) -> Vec<T> {
    bytes
        .chunks(size)
        .flat_map(|piece| feed(reader, piece))
        .collect()
}

fn client_events(bytes: &[u8], size: usize) -> Vec<ClientEvent> {
    feed_in_pieces(
        &mut RequestReader::default(),
        bytes,
        size,
        |reader, piece| {
            reader.feed(piece);
            std::iter::from_fn(|| reader.next_event(&names())).collect()
        },
    )
}

fn attempt_progress(bytes: &[u8], size: usize) -> (Vec<AttemptProgress>, AttemptResponseReader) {
    let mut reader = AttemptResponseReader::new("id".into());
    let progress = feed_in_pieces(&mut reader, bytes, size, |reader, piece| {
        reader.feed(piece);
        std::iter::from_fn(|| reader.next_progress()).collect()
    });
    (progress, reader)
}

/// Encodes a response with status 200 and one chunk for each line.
fn streamed_response(lines: &[&str]) -> Vec<u8> {
    let chunks: String = lines
        .iter()
        .map(|line| format!("{:x}\r\n{line}\r\n", line.len()))
        .collect();
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n").into_bytes()
}
