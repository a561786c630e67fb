//! Encodes the answers to clients.
use crate::wire::{body, header, reason, value};
use rosewall::types::Nanos;

/// Final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The request ran; holds the result from the worker.
    Succeeded(Vec<u8>),
    /// The request did not run.
    Rejected {
        /// Time after which the client may send the request again, in nanoseconds; 0 if not
        /// specified.
        retry_after: Nanos,
    },
    /// There is no result, and the request may have run.
    Failed,
    /// The request was not accepted: one with the same id is active or was forwarded before.
    DuplicateId,
}

/// Interim response that lets a client send its body.
pub const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        417 => "Expectation Failed",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        _ => "Service Unavailable",
    }
}

/// Encodes a complete response. `header_lines` are further header fields, each with its line end.
pub fn encode_response(status: u16, header_lines: &str, body: &[u8], keep_alive: bool) -> Vec<u8> {
    let connection_line = if keep_alive {
        String::new()
    } else {
        format!("{}: {}\r\n", header::CONNECTION, value::CLOSE)
    };
    let mut bytes = format!(
        "HTTP/1.1 {status} {}\r\n{header_lines}{connection_line}{}: {}\r\n\r\n",
        reason_phrase(status),
        header::CONTENT_LENGTH,
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes the response to a readiness check.
pub fn encode_readiness(ready: bool, keep_alive: bool) -> Vec<u8> {
    if ready {
        encode_response(200, "", body::READY, keep_alive)
    } else {
        encode_response(503, "", body::NOT_READY, keep_alive)
    }
}

/// Encodes the response to an invalid request. The connection is closed after it.
pub fn encode_refusal(status: u16, reason: &str) -> Vec<u8> {
    encode_response(status, "", format!("{reason}\n").as_bytes(), false)
}

/// Encodes the response to a request that did not arrive completely in time. The connection is
/// closed after it.
pub fn encode_incomplete_request() -> Vec<u8> {
    encode_refusal(408, reason::REQUEST_INCOMPLETE)
}

/// Encodes the response with the final answer to a request.
pub fn encode_answer(answer: &Answer, keep_alive: bool) -> Vec<u8> {
    match answer {
        Answer::Succeeded(result) => encode_response(200, "", result, keep_alive),
        Answer::Rejected { retry_after: 0 } => encode_response(503, "", body::REJECTED, keep_alive),
        Answer::Rejected { retry_after } => {
            let seconds = *retry_after as f64 / 1e9;
            let retry_after_line = format!("{}: {seconds:.3}\r\n", header::RETRY_AFTER);
            encode_response(503, &retry_after_line, body::REJECTED, keep_alive)
        }
        Answer::Failed => encode_response(502, "", body::FAILED, keep_alive),
        Answer::DuplicateId => encode_response(409, "", body::DUPLICATE_ID, keep_alive),
    }
}
