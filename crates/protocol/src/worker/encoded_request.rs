//! The encoded request of one attempt.
use crate::client::ClientRequest;
use crate::wire::header;
use rosewall::types::Nanos;
use std::io::Write;
use std::ops::Range;

/// Size of the longest encoded time-out: the seconds of any [`Nanos`], a point and three decimals.
const MAX_TIMEOUT_BYTES: usize = 16;

/// Request of an attempt, as it is written to a worker. It tells the worker how long the answer is
/// waited for, which has to be set again before each write: the request may have waited for its
/// connection.
#[derive(Debug)]
pub struct EncodedRequest {
    bytes: Vec<u8>,
    /// Position of the time-out's value.
    timeout: Range<usize>,
}

impl EncodedRequest {
    /// Encodes a request that is answered within `timeout`. The idempotency key is forwarded
    /// unchanged, as workers recognise repeats by it.
    pub fn new(host: &str, request: &ClientRequest, timeout: Nanos) -> Self {
        let idempotency_line = if request.idempotency_key.is_empty() {
            String::new()
        } else {
            format!(
                "{}: {}\r\n",
                header::IDEMPOTENCY_KEY,
                request.idempotency_key
            )
        };
        let before_timeout = format!(
            "POST {target} HTTP/1.1\r\nHost: {host}\r\n{id_name}: {id}\r\n{timeout_name}: ",
            target = request.target,
            id_name = header::REQUEST_ID,
            id = request.id,
            timeout_name = header::REQUEST_TIMEOUT,
        );
        let after_timeout = format!(
            "\r\n{idempotency_line}{length_name}: {length}\r\n\r\n",
            length_name = header::CONTENT_LENGTH,
            length = request.body.len(),
        );
        let start = before_timeout.len();
        let size = start + MAX_TIMEOUT_BYTES + after_timeout.len() + request.body.len();
        let mut bytes = Vec::with_capacity(size);
        bytes.extend_from_slice(before_timeout.as_bytes());
        bytes.extend_from_slice(after_timeout.as_bytes());
        bytes.extend_from_slice(&request.body);
        let mut encoded = EncodedRequest {
            bytes,
            timeout: start..start,
        };
        encoded.set_timeout(timeout);
        encoded
    }

    /// Sets the time within which the worker has to answer, rounded to milliseconds.
    pub fn set_timeout(&mut self, timeout: Nanos) {
        let mut value = [0; MAX_TIMEOUT_BYTES];
        let mut unused = &mut value[..];
        let seconds = timeout as f64 / 1e9;
        // Cannot fail: the buffer is large enough for any number of nanoseconds.
        let _ = write!(unused, "{seconds:.3}");
        let unused_bytes = unused.len();
        let value = &value[..MAX_TIMEOUT_BYTES - unused_bytes];
        drop(
            self.bytes
                .splice(self.timeout.clone(), value.iter().copied()),
        );
        self.timeout.end = self.timeout.start + value.len();
    }

    /// Returns the bytes to write.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}
