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

/// How long the rest of an answer may take once it has begun: hundreds of times what one data centre needs.
const ANSWER_REST_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// One read.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The answer to a request.
pub(super) struct ListAnswer<S> {
    pub stream: S,
    /// The text of the list.
    pub body: Vec<u8>,
    /// Whether the connection may be used for the next request.
    pub reusable: bool,
}

/// One request over an open connection, or a new one, and its answer, which must begin within a time.
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
            count = stream.read(&mut buffer).await?;
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
    with_timeout(runtime, ANSWER_REST_TIMEOUT, rest).await
}

/// The first answer to several calls: while none has ended, another one starts after each `retry`. Failures count only once
/// no call is left.
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
