//! Requests to the discovery service and their answers.
use crate::traits::{Runtime, nanos, with_timeout};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use rosewall::types::Nanos;
use rosewall_protocol::discovery::EndpointListReader;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

/// Time limit for the next part of an answer that has begun: hundreds of times the time needed
/// within one data centre.
const ANSWER_PART_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for a whole answer that has begun. A crowded service sends a long list slowly; to give
/// it up while it arrives would request the same list again.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Size of one read.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Complete answer to a list request.
pub(super) struct ListAnswer<S> {
    pub stream: S,
    /// Encoded endpoint list.
    pub body: Vec<u8>,
    /// Whether the next request may use the same connection.
    pub reusable: bool,
}

/// Sends one request over `connection`, or over a new one, and reads the answer, which must begin
/// within `begin_timeout`.
pub(super) async fn exchange<R: Runtime>(
    runtime: &R,
    address: SocketAddr,
    connection: Option<R::Stream>,
    request: &[u8],
    begin_timeout: Duration,
) -> io::Result<ListAnswer<R::Stream>> {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let begin = async {
        let mut stream = match connection {
            Some(stream) => stream,
            None => with_timeout(runtime, CONNECT_TIMEOUT, runtime.connect(address)).await?,
        };
        stream.write_all(request).await?;
        let count = stream.read(&mut buffer).await?;
        Ok((stream, count))
    };
    let (mut stream, mut count) = with_timeout(runtime, begin_timeout, begin).await?;
    let mut reader = EndpointListReader::default();
    let rest = async {
        while count > 0 {
            let complete = reader.feed(&buffer[..count]).map_err(io::Error::other)?;
            if let Some(response) = complete {
                return Ok(ListAnswer {
                    stream,
                    body: response.body,
                    reusable: response.reusable,
                });
            }
            let part = stream.read(&mut buffer);
            count = with_timeout(runtime, ANSWER_PART_TIMEOUT, part).await?;
        }
        let body = reader
            .connection_closed()
            .ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok(ListAnswer {
            stream,
            body,
            reusable: false,
        })
    };
    with_timeout(runtime, ANSWER_TIMEOUT, rest).await
}

/// Returns the first answer of several concurrent calls. A further call starts after each `retry`
/// without an answer. A failure is returned only once no other call is in progress.
pub(super) async fn first_answer<R: Runtime, T, F: Future<Output = io::Result<T>>>(
    runtime: &R,
    retry: Duration,
    call: impl Fn() -> F,
) -> io::Result<T> {
    let mut calls: Vec<Pin<Box<F>>> = Vec::new();
    let mut next_call: Nanos = 0;
    loop {
        if runtime.now() >= next_call {
            calls.push(Box::pin(call()));
            next_call = runtime.now().saturating_add(nanos(retry));
        }
        let ended = poll_fn(|cx| {
            let polled = calls.iter_mut().map(|call| call.as_mut().poll(cx));
            match polled.enumerate().find(|(_, polled)| polled.is_ready()) {
                Some((at, Poll::Ready(result))) => Poll::Ready(Some((at, result))),
                _ => Poll::Pending,
            }
        });
        let retry_due = async {
            runtime.sleep_until(next_call).await;
            None
        };
        if let Some((at, result)) = ended.or(retry_due).await {
            drop(calls.remove(at));
            if result.is_ok() || calls.is_empty() {
                return result;
            }
        }
    }
}
