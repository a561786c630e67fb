//! Minimal HTTP/1.1 parser of the simulated clients, workers and discovery. It is independent of
//! the dispatcher's parser, so that the code under test does not check itself.
use crate::network::VirtualStream;
use futures_lite::AsyncReadExt;
use httparse::Header;
use std::io::{self, ErrorKind};

const MAX_HEADERS: usize = 64;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Reads the messages of one connection; buffers the bytes that do not form a complete message yet.
#[derive(Default)]
pub struct MessageReader {
    bytes: Vec<u8>,
    /// The offset of the first buffered byte in the connection's stream.
    offset: u64,
}

/// A complete request or response.
pub struct Message {
    /// The target of a request; empty in a response.
    pub target: String,
    /// The status of a response; 0 in a request.
    pub status: u16,
    fields: Vec<(String, String)>,
    /// The body, empty without a content length.
    pub body: Vec<u8>,
    /// The offset of the message's first byte in the connection's stream.
    pub begin: u64,
    /// The offset after the message's last byte in the connection's stream.
    pub end: u64,
}

impl Message {
    /// Returns the value of a header field; the name is case-insensitive.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns whether the connection closes after this message.
    pub fn closes_connection(&self) -> bool {
        self.field("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

#[derive(Clone, Copy)]
enum MessageKind {
    Request,
    Response,
}

/// The parsed head of a message.
#[derive(Default)]
struct Head {
    target: String,
    status: u16,
    fields: Vec<(String, String)>,
}

impl Head {
    fn parse(bytes: &[u8], kind: MessageKind) -> io::Result<Self> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        match kind {
            MessageKind::Request => {
                let mut request = httparse::Request::new(&mut headers);
                request
                    .parse(bytes)
                    .map_err(|error| invalid_data("request head", error))?;
                Ok(Head {
                    target: request.path.unwrap_or_default().to_string(),
                    fields: fields(request.headers),
                    ..Head::default()
                })
            }
            MessageKind::Response => {
                let mut response = httparse::Response::new(&mut headers);
                response
                    .parse(bytes)
                    .map_err(|error| invalid_data("response head", error))?;
                Ok(Head {
                    status: response.code.unwrap_or_default(),
                    fields: fields(response.headers),
                    ..Head::default()
                })
            }
        }
    }

    fn content_length(&self) -> io::Result<usize> {
        self.fields
            .iter()
            .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
            .map_or(Ok(0), |(_, value)| value.parse::<usize>())
            .map_err(|error| invalid_data("content length", error))
    }
}

fn fields(headers: &[Header]) -> Vec<(String, String)> {
    headers
        .iter()
        .map(|header| {
            let value = String::from_utf8_lossy(header.value).into_owned();
            (header.name.to_string(), value)
        })
        .collect()
}

fn invalid_data(part: &str, error: impl std::fmt::Display) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, format!("invalid {part}: {error}"))
}

impl MessageReader {
    /// Reads the next complete request; returns `None` if the connection ends before one begins.
    ///
    /// # Errors
    ///
    /// If the connection breaks, or the bytes are not a valid request.
    pub async fn read_request(
        &mut self,
        stream: &mut VirtualStream,
    ) -> io::Result<Option<Message>> {
        self.read_message(stream, MessageKind::Request).await
    }

    /// Reads the next complete response; returns `None` if the connection ends before one begins.
    ///
    /// # Errors
    ///
    /// If the connection breaks, or the bytes are not a valid response.
    pub async fn read_response(
        &mut self,
        stream: &mut VirtualStream,
    ) -> io::Result<Option<Message>> {
        self.read_message(stream, MessageKind::Response).await
    }

    async fn read_message(
        &mut self,
        stream: &mut VirtualStream,
        kind: MessageKind,
    ) -> io::Result<Option<Message>> {
        let mut buffer = [0; 4096];
        loop {
            if let Some(message) = self.parse_message(kind)? {
                return Ok(Some(message));
            }
            match stream.read(&mut buffer).await? {
                0 if self.bytes.is_empty() => return Ok(None),
                0 => return Err(ErrorKind::UnexpectedEof.into()),
                count => self.bytes.extend_from_slice(&buffer[..count]),
            }
        }
    }

    fn parse_message(&mut self, kind: MessageKind) -> io::Result<Option<Message>> {
        let head_end = self
            .bytes
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END);
        let Some(head_end) = head_end.map(|position| position + HEAD_END.len()) else {
            return Ok(None);
        };
        let head = Head::parse(&self.bytes[..head_end], kind)?;
        let message_end = head_end + head.content_length()?;
        if self.bytes.len() < message_end {
            return Ok(None);
        }
        let body = self.bytes[head_end..message_end].to_vec();
        self.bytes.drain(..message_end);
        let begin = self.offset;
        self.offset += message_end as u64;
        Ok(Some(Message {
            target: head.target,
            status: head.status,
            fields: head.fields,
            body,
            begin,
            end: self.offset,
        }))
    }
}
