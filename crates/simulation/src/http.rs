//! HTTP/1.1 as the stand-ins speak it: just enough, and of their own, so that no machine is judged by itself.
use crate::net::VStream;
use futures_lite::AsyncReadExt;
use std::io::{self, ErrorKind};

const HEADERS: usize = 64;

/// What has been read from one connection.
#[derive(Default)]
pub struct Inbox {
    bytes: Vec<u8>,
    /// How many bytes came before these.
    before: u64,
}

/// One message, and the places of its first byte and behind its last one on the connection.
pub struct Message {
    /// The target of a request.
    pub target: String,
    /// The status of an answer.
    pub status: u16,
    fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub from: u64,
    pub to: u64,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Whether the connection ends with it.
    pub fn closes(&self) -> bool {
        self.field("connection")
            .is_some_and(|word| word.eq_ignore_ascii_case("close"))
    }
}

fn wrong(what: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, what.to_string())
}

impl Inbox {
    /// The next whole message; none where the connection ends before one begins.
    pub async fn message(
        &mut self,
        stream: &mut VStream,
        answer: bool,
    ) -> io::Result<Option<Message>> {
        let mut buffer = [0; 4096];
        loop {
            if let Some(message) = self.parse(answer)? {
                return Ok(Some(message));
            }
            match stream.read(&mut buffer).await? {
                0 if self.bytes.is_empty() => return Ok(None),
                0 => return Err(ErrorKind::UnexpectedEof.into()),
                count => self.bytes.extend_from_slice(&buffer[..count]),
            }
        }
    }

    fn parse(&mut self, answer: bool) -> io::Result<Option<Message>> {
        let Some(head) = self
            .bytes
            .windows(4)
            .position(|four| four == b"\r\n\r\n")
            .map(|at| at + 4)
        else {
            return Ok(None);
        };
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let (mut target, mut status) = (String::new(), 0);
        let headers = if answer {
            let mut parsed = httparse::Response::new(&mut headers);
            parsed
                .parse(&self.bytes[..head])
                .map_err(|_| wrong("an answer's head"))?;
            status = parsed.code.unwrap_or_default();
            parsed.headers.to_vec()
        } else {
            let mut parsed = httparse::Request::new(&mut headers);
            parsed
                .parse(&self.bytes[..head])
                .map_err(|_| wrong("a request's head"))?;
            target = parsed.path.unwrap_or_default().to_string();
            parsed.headers.to_vec()
        };
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let fields: Vec<_> = headers
            .iter()
            .map(|header| (header.name.to_string(), text(header.value)))
            .collect();
        let length = fields
            .iter()
            .find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
        let length = length.map_or(Ok(0), |(_, value)| value.parse::<usize>());
        let end = head + length.map_err(|_| wrong("a length"))?;
        if self.bytes.len() < end {
            return Ok(None);
        }
        let body = self.bytes[head..end].to_vec();
        self.bytes.drain(..end);
        let from = self.before;
        self.before += end as u64;
        Ok(Some(Message {
            target,
            status,
            fields,
            body,
            from,
            to: self.before,
        }))
    }
}
