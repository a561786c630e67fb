//! Encoding the answers to clients.
use crate::wire::{body, header, reason, value};
use rosewall::types::Nanos;

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The worker's result.
    Succeeded(Vec<u8>),
    /// Nothing ran.
    Rejected {
        /// After which time the client may send the request again; 0 for no statement.
        retry_after: Nanos,
    },
    /// No result, and no promise that nothing ran.
    Failed,
    /// Not accepted: a request with this id is active or was forwarded before.
    DuplicateId,
}

/// Lets a client send its body.
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

/// A complete response; `header_lines` are further header fields, each with its line end.
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

/// The response to a readiness check.
pub fn encode_readiness(ready: bool, keep_alive: bool) -> Vec<u8> {
    if ready {
        encode_response(200, "", body::READY, keep_alive)
    } else {
        encode_response(503, "", body::NOT_READY, keep_alive)
    }
}

/// The response to an invalid request. The connection ends after it.
pub fn encode_refusal(status: u16, reason: &str) -> Vec<u8> {
    encode_response(status, "", format!("{reason}\n").as_bytes(), false)
}

/// The response to a request that did not arrive whole in time. The connection ends after it.
pub fn encode_incomplete_request() -> Vec<u8> {
    encode_refusal(408, reason::REQUEST_INCOMPLETE)
}

/// The response that carries an answer.
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
