//! Client stub: one connection to a dispatcher.
use super::{TIMEOUT, read_message, request};
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;

/// Client with one connection to a dispatcher.
pub struct Client {
    /// Buffered reader of the connection; reads time out after 30 s.
    pub reader: BufReader<TcpStream>,
}

/// HTTP response of a dispatcher.
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Status line and header fields.
    pub head: String,
    /// Body without its framing.
    pub body: Vec<u8>,
}

impl Client {
    /// Connects to the dispatcher at an address.
    pub fn connect(address: &str) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Client {
            reader: BufReader::new(stream),
        }
    }

    /// Sends bytes as they are. A closed connection is not an error here.
    pub fn send(&mut self, bytes: &[u8]) {
        // If the dispatcher has closed the connection, reading the response detects it.
        let _ = self.reader.get_mut().write_all(bytes);
    }

    /// Reads the next response. Returns `None` if the connection was closed, no response came within 30 s, or
    /// the response is malformed.
    pub fn read_response(&mut self) -> Option<Response> {
        let (head, body) = read_message(&mut self.reader)?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some(Response { status, head, body })
    }

    /// Sends a request with this id, class and timeout in seconds, and returns its response.
    pub fn exchange(&mut self, id: &str, class: &str, seconds: f64) -> Response {
        self.send(request(id, class, seconds, "", "a body").as_bytes());
        self.read_response()
            .expect("the dispatcher sent no response")
    }

    /// Sends a GET request and returns the status of its response, or 0 if there is none.
    pub fn get(&mut self, path: &str) -> u16 {
        self.send(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes());
        self.read_response().map_or(0, |response| response.status)
    }

    /// Waits for the next byte and returns whether the dispatcher closed the connection instead of sending it.
    pub fn is_closed(&mut self) -> bool {
        match self.reader.read(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }
}
