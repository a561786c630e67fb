//! Minimal HTTP for simulated peers: messages with a `Content-Length`, or without a body.
use async_io::Async;
use futures_lite::AsyncReadExt;
use std::net::{TcpListener, TcpStream};

const READ_BUFFER_BYTES: usize = 2048;

/// Returns the end of the first message in these bytes, head and body, once it is complete.
pub fn message_end(bytes: &[u8]) -> Option<usize> {
    let head_end = bytes.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    let head = std::str::from_utf8(&bytes[..head_end]).ok()?;
    let body_length = crate::stubs::header_field(head, "content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    (bytes.len() >= head_end + body_length).then_some(head_end + body_length)
}

/// Reads messages from a connection.
#[derive(Default)]
pub struct MessageReader {
    unread: Vec<u8>,
}

impl MessageReader {
    /// Reads the next message; `None` once the connection is closed. `on_read` is called with the byte count of each
    /// read.
    pub async fn next(
        &mut self,
        stream: &mut Async<TcpStream>,
        on_read: impl Fn(usize),
    ) -> Option<String> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        let end = loop {
            if let Some(end) = message_end(&self.unread) {
                break end;
            }
            let count = stream.read(&mut buffer).await.ok()?;
            if count == 0 {
                return None;
            }
            on_read(count);
            self.unread.extend_from_slice(&buffer[..count]);
        };
        let message = String::from_utf8_lossy(&self.unread[..end]).into_owned();
        self.unread.drain(..end);
        Some(message)
    }
}

/// Opens a listener on a free loopback port and returns it with the port.
pub fn listen() -> std::io::Result<(Async<TcpListener>, u16)> {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
    let port = listener.get_ref().local_addr()?.port();
    Ok((listener, port))
}

/// Returns the nanoseconds since the Unix epoch.
pub fn unix_nanos() -> u64 {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_nanos() as u64
}
