//! One attempt: sending its request and reading the worker's answer.
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

/// How long after its last line the end of an answer may come for the connection to be used again.
const ANSWER_END_TIMEOUT: Duration = Duration::from_millis(250);
/// How long the last byte of a request waits for a reset: two round trips inside one data centre, and the turns of both
/// sides.
const RESET_WAIT: Duration = Duration::from_millis(2);
/// One read.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// What an attempt is sent over, and whether it is still wanted.
pub struct AttemptConnection<S> {
    /// A connection from the pool, if there was one.
    pub pooled: Option<IdleConnection<WorkerConnection<S>>>,
    /// Set where the attempt is not to be sent any more, if its last byte was not.
    pub cancelled: Rc<Cell<bool>>,
}

/// The connection that a request was written to.
struct SentAttempt<S> {
    connection: WorkerConnection<S>,
    /// For a reused connection, since when it was idle.
    idle_since: Option<Nanos>,
}

/// A request to be written.
struct CancellableRequest<'a> {
    bytes: &'a [u8],
    cancelled: &'a Cell<bool>,
}

impl CancellableRequest<'_> {
    /// The outcome where it was not written to its last byte.
    fn unsent_outcome(&self) -> Outcome {
        if self.cancelled.get() {
            Outcome::NotSent
        } else {
            Outcome::ConnectFailed
        }
    }
}

/// Carries out one attempt, unless it is cancelled before its last byte. Its end is reported once.
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

/// Sends a request over the pooled connection, or over a new one where there is none or that one is dead. A request that
/// was not written to its last byte did not run; after that byte nothing is sent again here.
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
        // A connection that accepts no bytes within the limit is given up, and so is the attempt: by the time that a
        // vanished host is back, the endpoint list may forbid to send to it.
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
        // This says how long idle connections live, and nothing of the worker: nothing was sent yet.
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

/// Writes a request; false where the connection broke, or the attempt was cancelled, before its last byte, so that it never
/// ran.
///
/// The last byte waits until the worker could have became_readable the others with a reset, as it does on a connection that it
/// dropped while it was idle.
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
        let rest = idle_since.map_or(0, |since| {
            (since + REUSE_DELAY).saturating_sub(runtime.now())
        });
        sleep(runtime, RESET_WAIT.max(Duration::from_nanos(rest))).await;
        false
    };
    // A worker answers after the last byte. What is there before it is the end of the connection, or, on a reused one, a
    // late answer to an earlier request, which must not be taken for this one's.
    let is_readable = became_readable.or(wait_elapsed).await;
    if is_readable && (idle_since.is_some() || stream.readiness() != Readiness::Readable) {
        return false;
    }
    !request.cancelled.get() && stream.write_all(&[*last]).await.is_ok()
}

/// Reads the answer to its end. Returns the connection where it may be used again.
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
    // Once the attempt has ended: until when the rest of the answer is read.
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
        // One worker that sends faster than is read must not keep the executor from the others.
        yield_now().await;
    }
    reader.is_reusable().then_some(connection)
}
