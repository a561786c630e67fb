//! Reads responses: only the head, or a whole response.
use super::{BodyReader, HttpError, MAX_HEADERS, ReadBuffer, UnframedBody, wants_keep_alive};
use crate::wire::reason;
use httparse::{Header, Status};

/// Parts of the head of a response that readers need.
pub struct ResponseHead<'a> {
    /// HTTP status code.
    pub status: u16,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    /// Header fields in the order in which they were sent.
    pub headers: &'a [Header<'a>],
}

/// Consumes the head of a response once it is complete. `read` extracts the parts that the caller
/// needs.
///
/// # Errors
/// Returns an error if the head is malformed or `read` fails.
pub fn parse_response_head<T>(
    buffer: &mut ReadBuffer,
    read: impl FnOnce(ResponseHead) -> Result<T, HttpError>,
) -> Result<Option<T>, HttpError> {
    let Some(end) = buffer.head_length()? else {
        return Ok(None);
    };
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let status = match parsed.parse(&buffer.bytes[..end]) {
        Ok(Status::Complete(length)) if length == end => parsed.code.unwrap_or_default(),
        _ => return Err(HttpError::Malformed(reason::HEAD_UNREADABLE)),
    };
    let value = read(ResponseHead {
        status,
        keep_alive: wants_keep_alive(parsed.headers, parsed.version.unwrap_or_default()),
        headers: parsed.headers,
    })?;
    buffer.consume(end);
    Ok(Some(value))
}

/// Response that was read to its end.
#[derive(Debug, PartialEq, Eq)]
pub struct CompleteResponse {
    /// Body without its framing.
    pub body: Vec<u8>,
    /// Whether the connection can be reused.
    pub reusable: bool,
}

/// Response whose head has been read.
struct OpenResponse {
    status: u16,
    keep_alive: bool,
    body: BodyReader,
}

/// Reader for one response whose body is needed as a whole, regardless of how its bytes are split.
#[derive(Default)]
pub struct ResponseReader {
    buffer: ReadBuffer,
    open: Option<OpenResponse>,
    body: Vec<u8>,
}

impl ResponseReader {
    /// Returns the status once the head has been read.
    pub fn status(&self) -> Option<u16> {
        self.open.as_ref().map(|response| response.status)
    }

    /// Appends received bytes. Returns the response once it is complete.
    ///
    /// # Errors
    /// Returns an error if the response is malformed or its body is longer than `limit`.
    pub fn feed(
        &mut self,
        bytes: &[u8],
        limit: usize,
    ) -> Result<Option<CompleteResponse>, HttpError> {
        self.buffer.bytes.extend_from_slice(bytes);
        if self.open.is_none() {
            self.open = parse_response_head(&mut self.buffer, |head| {
                Ok(OpenResponse {
                    status: head.status,
                    keep_alive: head.keep_alive,
                    body: BodyReader::new(head.headers, UnframedBody::UntilClose)?,
                })
            })?;
        }
        let Some(response) = &mut self.open else {
            return Ok(None);
        };
        if !response
            .body
            .advance(&mut self.buffer, &mut self.body, limit)?
        {
            return Ok(None);
        }
        Ok(Some(CompleteResponse {
            body: std::mem::take(&mut self.body),
            reusable: response.keep_alive && self.buffer.bytes.is_empty(),
        }))
    }

    /// Returns the body at the end of the connection, if the body ends with it.
    pub fn connection_closed(&mut self) -> Option<Vec<u8>> {
        let is_end_of_body = self
            .open
            .as_ref()
            .is_some_and(|response| response.body.ends_with_connection());
        is_end_of_body.then(|| std::mem::take(&mut self.body))
    }
}
