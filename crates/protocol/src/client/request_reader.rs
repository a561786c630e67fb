//! Reads the requests of one connection, however their bytes are split.
use super::request_head::{RequestHead, parse_request_head};
use super::{ClientEvent, ClientRequest};
use crate::http::{BodyReader, HttpError, MAX_BODY_BYTES, MAX_HEAD_BYTES, ReadBuffer};
use crate::names::Names;
use crate::wire::reason;

/// A request whose body is still to come.
struct OpenRequest {
    request: ClientRequest,
    body: BodyReader,
}

/// Reads the requests of one connection.
#[derive(Default)]
pub struct RequestReader {
    buffer: ReadBuffer,
    open: Option<OpenRequest>,
    /// Whether an invalid request was reported: nothing is read after it.
    failed: bool,
}

impl RequestReader {
    /// Takes in bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.bytes.extend_from_slice(bytes);
    }

    /// Whether nothing of a request has arrived yet.
    pub fn is_idle(&self) -> bool {
        self.open.is_none() && self.buffer.bytes.is_empty()
    }

    /// How many bytes of requests are stored here.
    pub fn buffered_bytes(&self) -> usize {
        let body_bytes = self.open.as_ref().map_or(0, |open| open.request.body.len());
        self.buffer.bytes.len() + body_bytes
    }

    /// Whether more may be fed: the bytes of requests sent ahead of their turn are bounded.
    pub fn has_capacity(&self) -> bool {
        self.buffer.bytes.len() < MAX_HEAD_BYTES + MAX_BODY_BYTES
    }

    /// The next event in the bytes fed so far. Nothing follows [`ClientEvent::Invalid`].
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
