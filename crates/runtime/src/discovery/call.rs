//! One call to the discovery service and its answer.
use crate::traits::{Runtime, with_timeout};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rosewall_protocol::discovery::EndpointListReader;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Time limit for the next part of an answer that has begun: hundreds of times the time needed
/// within one data centre.
const ANSWER_PART_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of one read.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Complete answer to a call.
pub(super) struct ListAnswer<S> {
    /// Encoded endpoint list.
    pub body: Vec<u8>,
    /// Connection for the next call; `None` if it cannot be used again.
    pub connection: Option<S>,
}

/// Sends one request over `connection`, or over a new one, and reads the answer. Calls `on_begun`
/// once the answer begins; the wait until then has no limit.
pub(super) async fn call<R: Runtime>(
    runtime: &R,
    address: SocketAddr,
    connection: Option<R::Stream>,
    request: &[u8],
    on_begun: impl FnOnce(),
) -> io::Result<ListAnswer<R::Stream>> {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let mut stream = match connection {
        Some(stream) => stream,
        None => with_timeout(runtime, CONNECT_TIMEOUT, runtime.connect(address)).await?,
    };
    stream.write_all(request).await?;
    let mut count = stream.read(&mut buffer).await?;
    on_begun();
    let mut reader = EndpointListReader::default();
    while count > 0 {
        let complete = reader.feed(&buffer[..count]).map_err(io::Error::other)?;
        if let Some(response) = complete {
            return Ok(ListAnswer {
                body: response.body,
                connection: response.reusable.then_some(stream),
            });
        }
        let part = stream.read(&mut buffer);
        count = with_timeout(runtime, ANSWER_PART_TIMEOUT, part).await?;
    }
    let body = reader
        .connection_closed()
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(ListAnswer {
        body,
        connection: None,
    })
}
