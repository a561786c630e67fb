//! One attempt: sends its request and reads the worker's answer.
use super::connect::connect;
use crate::context::{Context, WorkerConnection};
use crate::event::EngineEvent;
use crate::traits::{Readiness, Runtime, Stream, nanos, sleep, with_timeout};
use futures_lite::future::yield_now;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{Nanos, Outcome};
use rosewall_engine::engine::OutboundAttempt;
use rosewall_engine::pool::{IdleConnection, REUSE_DELAY};
use rosewall_protocol::worker::{AttemptProgress, AttemptResponseReader};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time limit for the end of an answer after its last line. The connection is reused only if the
/// end arrives in time.
const ANSWER_END_TIMEOUT: Duration = Duration::from_millis(250);
/// Time that the last byte of a request is delayed to wait for a reset: two round trips inside one
/// data centre, and the scheduling delays of both sides.
const RESET_WAIT: Duration = Duration::from_millis(2);
/// Size of one read.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Connection for an attempt, and the cancellation flag of the attempt.
pub struct AttemptConnection<S> {
    /// Connection from the pool; `None` if a new one must be opened.
    pub pooled: Option<IdleConnection<WorkerConnection<S>>>,
    /// Set when the attempt must not be sent any more. Without effect once the last byte was
    /// written.
    pub cancelled: Rc<Cell<bool>>,
}

/// Connection that a request was completely written to.
struct SentAttempt<S> {
    connection: WorkerConnection<S>,
    /// Time since which a reused connection was idle; `None` for a new one.
    idle_since: Option<Nanos>,
}

/// Encoded request that can be cancelled until its last byte is written.
struct CancellableRequest<'a> {
    bytes: &'a [u8],
    cancelled: &'a Cell<bool>,
}

impl CancellableRequest<'_> {
    /// Returns the outcome of a request whose last byte was not written.
    fn unsent_outcome(&self) -> Outcome {
        if self.cancelled.get() {
            Outcome::NotSent
        } else {
            Outcome::ConnectFailed
        }
    }
}

/// Runs one attempt, unless it is cancelled before its last byte is written. The end is reported
/// once.
pub async fn send_attempt<R: Runtime>(
    context: Rc<Context<R>>,
    attempt: OutboundAttempt,
    connection: AttemptConnection<R::Stream>,
) {
    let OutboundAttempt {
        request_id,
        attempt_index,
        worker,
        address,
        id,
        message,
        connect_timeout,
    } = attempt;
    let report = |progress| {
        context.report(EngineEvent::AttemptProgress {
            request_id,
            attempt_index,
            progress,
        })
    };
    let AttemptConnection { pooled, cancelled } = connection;
    let request = CancellableRequest {
        bytes: &message,
        cancelled: &cancelled,
    };
    let connect_timeout = Duration::from_nanos(connect_timeout);
    let sent = match send(&context, pooled, address, connect_timeout, &request).await {
        Ok(sent) => sent,
        Err(outcome) => return report(AttemptProgress::Ended(outcome)),
    };
    drop(message);
    let reader = AttemptResponseReader::new(id);
    if let Some(connection) = read_answer(&context, sent, reader, report).await {
        context.report(EngineEvent::ConnectionIdle { worker, connection });
    }
}

/// Sends a request over the pooled connection, or over a new one if there is none or the pooled one
/// has failed. A request whose last byte was not written did not run. After that byte, nothing is
/// sent again here.
async fn send<R: Runtime>(
    context: &Context<R>,
    pooled: Option<IdleConnection<WorkerConnection<R::Stream>>>,
    address: SocketAddr,
    limit: Duration,
    request: &CancellableRequest<'_>,
) -> Result<SentAttempt<R::Stream>, Outcome> {
    let runtime = &context.runtime;
    if let Some(pooled) = pooled {
        let IdleConnection {
            mut connection,
            idle_since,
        } = pooled;
        let write = async {
            Ok(write_request(runtime, &mut connection.stream, request, Some(idle_since)).await)
        };
        // If the connection accepts no bytes within the limit, the attempt ends as well: when an
        // unreachable host returns, the endpoint list may no longer permit requests to it.
        match with_timeout(runtime, limit, write).await {
            Ok(true) => {
                return Ok(SentAttempt {
                    connection,
                    idle_since: Some(idle_since),
                });
            }
            Ok(false) => {}
            Err(_) => return Err(request.unsent_outcome()),
        }
        if request.cancelled.get() {
            return Err(Outcome::NotSent);
        }
        // Counts against the lifetime of idle connections and not against the worker: the request
        // was not sent yet.
        if connection.stream.readiness() == Readiness::Closed {
            context.record_broken_connection(idle_since);
        }
    }
    let mut connection = connect(context, address, limit).await?;
    let write = async {
        let cancelled = request.cancelled.get();
        Ok(!cancelled && write_request(runtime, &mut connection.stream, request, None).await)
    };
    if with_timeout(runtime, limit, write).await.unwrap_or(false) {
        return Ok(SentAttempt {
            connection,
            idle_since: None,
        });
    }
    Err(request.unsent_outcome())
}

/// Writes a request. Returns false if the connection failed or the attempt was cancelled before the
/// last byte, so that the request did not run.
///
/// The last byte is delayed until the worker could have answered the other bytes with a reset, as
/// it does on a connection that it closed while it was idle.
async fn write_request<R: Runtime>(
    runtime: &R,
    stream: &mut R::Stream,
    request: &CancellableRequest<'_>,
    idle_since: Option<Nanos>,
) -> bool {
    let Some((last, first_bytes)) = request.bytes.split_last() else {
        return false;
    };
    if stream.write_all(first_bytes).await.is_err() {
        return false;
    }
    let became_readable = async { stream.readable().await.is_ok() };
    let wait_elapsed = async {
        let remaining_delay = idle_since.map_or(0, |since| {
            (since + REUSE_DELAY).saturating_sub(runtime.now())
        });
        sleep(
            runtime,
            RESET_WAIT.max(Duration::from_nanos(remaining_delay)),
        )
        .await;
        false
    };
    // A worker answers only after the last byte. Anything readable earlier is the end of the
    // connection or, on a reused one, a late answer to an earlier request, which must not be
    // attributed to this one.
    let is_readable = became_readable.or(wait_elapsed).await;
    if is_readable && (idle_since.is_some() || stream.readiness() != Readiness::Readable) {
        return false;
    }
    !request.cancelled.get() && stream.write_all(&[*last]).await.is_ok()
}

/// Reads the answer to its end. Returns the connection if it can be reused.
async fn read_answer<R: Runtime>(
    context: &Context<R>,
    sent: SentAttempt<R::Stream>,
    mut reader: AttemptResponseReader,
    report: impl Fn(AttemptProgress),
) -> Option<WorkerConnection<R::Stream>> {
    let SentAttempt {
        mut connection,
        idle_since,
    } = sent;
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    // Time limit for reading the rest of the answer, set once the attempt has ended.
    let mut read_limit = None;
    let mut has_received = false;
    loop {
        let read = async { connection.stream.read(&mut buffer).await.unwrap_or(0) };
        let timeout = async {
            match read_limit {
                Some(at) => context.runtime.sleep_until(at).await,
                None => std::future::pending().await,
            };
            0
        };
        let count = timeout.or(read).await;
        if count == 0 {
            if let Some(since) = idle_since.filter(|_| !has_received) {
                context.record_broken_connection(since);
            }
            reader.connection_closed().into_iter().for_each(report);
            if is_active(Mutation::LeakConnection) {
                std::mem::forget(connection);
            }
            return None;
        }
        has_received = true;
        reader.feed(&buffer[..count]);
        while let Some(progress) = reader.next_progress() {
            if progress != AttemptProgress::Started && read_limit.is_none() {
                read_limit = Some(context.runtime.now() + nanos(ANSWER_END_TIMEOUT));
            }
            report(progress);
        }
        if reader.is_finished() {
            break;
        }
        // A worker that sends faster than this task reads must not block other tasks.
        yield_now().await;
    }
    reader.is_reusable().then_some(connection)
}
