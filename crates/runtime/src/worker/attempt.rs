//! One attempt: has its request sent and reads the worker's answer.
use super::send::{SentAttempt, UnsentRequest, send};
use super::send_permit::SendPermit;
use crate::context::{Context, WorkerConnection};
use crate::event::EngineEvent;
use crate::traits::{Runtime, Stream, nanos, sleep};
use futures_lite::future::yield_now;
use futures_lite::{AsyncReadExt, FutureExt};
use rosewall::mutation::{Mutation, is_active};
use rosewall_engine::engine::OutboundAttempt;
use rosewall_engine::pool::IdleConnection;
use rosewall_protocol::worker::{AttemptProgress, AttemptResponseReader};
use std::rc::Rc;
use std::time::Duration;

/// Time limit for the end of an answer after its last line. The connection is reused only if the
/// end arrives in time.
const ANSWER_END_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a connection is not reused after an answer that names no request, as a faulty worker
/// may send it a second time some milliseconds late.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(50);
/// Size of one read.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Connection for an attempt, and the permission to send it.
pub struct AttemptConnection<S> {
    /// Connection from the pool; `None` if a new one must be opened.
    pub pooled: Option<IdleConnection<WorkerConnection<S>>>,
    /// Permission to write the request to its last byte.
    pub permit: Rc<SendPermit>,
}

/// Runs one attempt, unless it may no longer be sent before its last byte is written. The end is
/// reported once.
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
        deadline,
        connect_timeout,
        ..
    } = attempt;
    let report = |progress| {
        context.report(EngineEvent::AttemptProgress {
            request_id,
            attempt_index,
            progress,
        })
    };
    let AttemptConnection { pooled, permit } = connection;
    let step_timeout = Duration::from_nanos(connect_timeout);
    let request = UnsentRequest::new(message, deadline, &permit, step_timeout);
    let sent = match send(&context, pooled, address, request).await {
        Ok(sent) => sent,
        Err(outcome) => return report(AttemptProgress::Ended(outcome)),
    };
    let reader = AttemptResponseReader::new(id);
    if let Some(connection) = read_answer(&context, sent, reader, report).await {
        context.report(EngineEvent::ConnectionIdle { worker, connection });
    }
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
    if !reader.is_reusable() {
        return None;
    }
    let names_request = reader.names_request();
    (names_request || !receives_late_answer(context, &connection).await).then_some(connection)
}

/// Waits for a second answer on a connection whose answer named no request. The next request on the
/// connection could not tell it from its own.
async fn receives_late_answer<R: Runtime>(
    context: &Context<R>,
    connection: &WorkerConnection<R::Stream>,
) -> bool {
    let readable = async {
        let _ = connection.stream.readable().await;
        true
    };
    let wait_elapsed = async {
        sleep(&context.runtime, LATE_ANSWER_WAIT).await;
        false
    };
    readable.or(wait_elapsed).await
}
