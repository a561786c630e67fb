//! Reads the requests of one connection, regardless of how their bytes are split.
use super::request_head::{RequestHead, parse_request_head};
use super::{ClientEvent, ClientRequest};
use crate::http::{BodyReader, HttpError, MAX_BODY_BYTES, MAX_HEAD_BYTES, ReadBuffer};
use crate::names::Names;
use crate::wire::reason;

/// Request whose body is incomplete.
struct OpenRequest {
    request: ClientRequest,
    body: BodyReader,
}

/// Reader for the requests of one connection.
#[derive(Default)]
pub struct RequestReader {
    buffer: ReadBuffer,
    open: Option<OpenRequest>,
    /// Whether an invalid request was reported. Nothing is read after it.
    failed: bool,
}

impl RequestReader {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.bytes.extend_from_slice(bytes);
    }

    /// Returns whether no byte of a request has arrived yet.
    pub fn is_idle(&self) -> bool {
        self.open.is_none() && self.buffer.bytes.is_empty()
    }

    /// Returns the number of buffered bytes of requests.
    pub fn buffered_bytes(&self) -> usize {
        let open = self.open.as_ref();
        self.buffer.bytes.len() + open.map_or(0, |open| open.request.held_bytes())
    }

    /// Returns whether more bytes may be fed: the bytes of pipelined requests are limited.
    pub fn has_capacity(&self) -> bool {
        self.buffer.bytes.len() < MAX_HEAD_BYTES + MAX_BODY_BYTES
    }

    /// Returns the next event in the bytes fed so far. Nothing follows [`ClientEvent::Invalid`].
    pub fn next_event(&mut self, names: &Names) -> Option<ClientEvent> {
        if self.failed {
            return None;
        }
        let event = self
            .read(names)
            .unwrap_or_else(|error| Some(invalid(error)));
        self.failed = matches!(event, Some(ClientEvent::Invalid { .. }));
        event
    }

    fn read(&mut self, names: &Names) -> Result<Option<ClientEvent>, HttpError> {
        let mut expects_continue = false;
        if self.open.is_none() {
            self.buffer.skip_empty_lines();
            let Some(end) = self.buffer.head_length()? else {
                return Ok(None);
            };
            let head = parse_request_head(&self.buffer.bytes[..end], names)?;
            self.buffer.consume(end);
            match head {
                RequestHead::Event(event) => return Ok(Some(event)),
                RequestHead::Request {
                    request,
                    body,
                    expects_continue: expects,
                } => {
                    expects_continue = expects;
                    self.open = Some(OpenRequest { request, body });
                }
            }
        }
        let Some(OpenRequest { request, body }) = &mut self.open else {
            return Ok(None);
        };
        if body.advance(&mut self.buffer, &mut request.body, MAX_BODY_BYTES)? {
            return Ok(self
                .open
                .take()
                .map(|open| ClientEvent::Request(open.request)));
        }
        let body_awaits_continue = expects_continue && self.buffer.bytes.is_empty();
        Ok(body_awaits_continue.then_some(ClientEvent::ContinueExpected))
    }
}

fn invalid(error: HttpError) -> ClientEvent {
    let (status, reason) = match error {
        HttpError::Malformed(reason) => (400, reason),
        HttpError::HeadTooLarge => (431, reason::HEAD_TOO_LARGE),
        HttpError::BodyTooLarge => (413, reason::BODY_TOO_LARGE),
    };
    ClientEvent::Invalid { status, reason }
}
