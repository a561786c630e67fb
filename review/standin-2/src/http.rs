//! As much of HTTP/1.1 as the stand-ins need: messages whose body has a Content-Length.
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A received message.
pub struct Message {
    /// First line: of a request its method, target and version; of an answer its version and status.
    pub first_line: String,
    head: String,
    /// When its first byte and its last byte were read.
    pub first_byte: Instant,
    pub last_byte: Instant,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        field(&self.head, name)
    }

    /// Status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// One side of a connection, with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Connection> {
        TcpStream::connect_timeout(&address, Duration::from_secs(2)).map(Connection::new)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads one message. Fails with `UnexpectedEof` at the end of the connection, and with `TimedOut`
    /// or `WouldBlock` if the message is not complete at `until`.
    pub fn read(&mut self, until: Option<Instant>) -> io::Result<Message> {
        let mut first_byte = (!self.buffer.is_empty()).then(Instant::now);
        loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                let length: usize = field(&head, "Content-Length")
                    .and_then(|n| n.parse().ok())
                    .unwrap_or(0);
                if self.buffer.len() >= end + 4 + length {
                    self.buffer.drain(..end + 4 + length);
                    let last_byte = Instant::now();
                    return Ok(Message {
                        first_line: head.lines().next().unwrap_or("").to_string(),
                        head,
                        first_byte: first_byte.unwrap_or(last_byte),
                        last_byte,
                    });
                }
            }
            let left = match until {
                None => None,
                Some(until) => {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        return Err(io::ErrorKind::TimedOut.into());
                    }
                    Some(left)
                }
            };
            self.stream.set_read_timeout(left)?;
            let mut bytes = [0; 16 * 1024];
            let count = self.stream.read(&mut bytes)?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            first_byte.get_or_insert_with(Instant::now);
            self.buffer.extend_from_slice(&bytes[..count]);
        }
    }
}

pub fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock
    )
}
