//! A client of one dispatcher, for tests.
use super::{TIMEOUT, read_message, request};
use std::io::{BufReader, Read, Write};
use std::net::TcpStream;

/// A client with one connection to a dispatcher.
pub struct Client {
    /// The connection.
    pub reader: BufReader<TcpStream>,
}

/// A response.
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its head, with the status line.
    pub head: String,
    /// Its body.
    pub body: Vec<u8>,
}

impl Client {
    /// Connects to a dispatcher.
    pub fn connect(address: &str) -> Client {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Client {
            reader: BufReader::new(stream),
        }
    }

    /// Sends these bytes.
    pub fn send(&mut self, bytes: &[u8]) {
        // A connection that the other side has closed shows when the response is read.
        let _ = self.reader.get_mut().write_all(bytes);
    }

    /// Reads the next response; none once the connection has ended.
    pub fn read_response(&mut self) -> Option<Response> {
        let (head, body) = read_message(&mut self.reader)?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some(Response { status, head, body })
    }

    /// Sends a request and reads its response.
    pub fn exchange(&mut self, id: &str, class: &str, seconds: f64) -> Response {
        self.send(request(id, class, seconds, "", "a body").as_bytes());
        self.read_response()
            .expect("the connection ended without a response")
    }

    /// Sends a GET request; the status of its response, or 0 where there is none.
    pub fn get(&mut self, path: &str) -> u16 {
        self.send(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes());
        self.read_response().map_or(0, |response| response.status)
    }

    /// Whether the other side ends the connection without sending anything more.
    pub fn is_closed(&mut self) -> bool {
        match self.reader.read(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }
}
