//! Sends the request of an attempt: over a connection from the pool or a new one, byte by byte as the
//! limits on sending allow.
use super::connect::connect;
use super::send_permit::{SendError, SendPermit, while_permitted};
use crate::context::{Context, WorkerConnection};
use crate::traits::{Readiness, Runtime, Stream, nanos, sleep};
use futures_lite::{AsyncWrite, AsyncWriteExt, FutureExt};
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{Nanos, Outcome};
use rosewall_engine::pool::{IdleConnection, REUSE_DELAY};
use rosewall_protocol::worker::EncodedRequest;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Poll, ready};
use std::time::Duration;

/// Time that the last byte of a request is delayed to wait for a reset: two round trips inside one
/// data centre, and the scheduling delays of both sides.
const RESET_WAIT: Duration = Duration::from_millis(2);
/// Time after which the time-out that a request states is out of date, less than the 150 ms by which
/// a worker may be told more than is left.
const MAX_TIMEOUT_AGE: Duration = Duration::from_millis(100);
/// Time by which the stated time-out is reduced after a slow write, so that it holds for another one.
const SLOW_WRITE_ALLOWANCE: Duration = Duration::from_millis(200);
/// Connection that a request was completely written to.
pub(super) struct SentAttempt<S> {
    pub(super) connection: WorkerConnection<S>,
    /// Time since which a reused connection was idle; `None` for a new one.
    pub(super) idle_since: Option<Nanos>,
}

/// Request that is not written to its last byte.
pub(super) struct UnsentRequest<'a> {
    message: EncodedRequest,
    /// Deadline of the request.
    deadline: Nanos,
    /// Time at which the time-out in the message was set.
    timeout_set_at: Nanos,
    /// Time by which the time-out in the message is less than the time left, for a slow write.
    write_allowance: Duration,
    permit: &'a SendPermit,
    /// Time limit for each step up to the last byte.
    step_timeout: Duration,
}

impl<'a> UnsentRequest<'a> {
    /// Creates a request with this deadline. `step_timeout` limits each step up to the last byte.
    pub(super) fn new(
        message: EncodedRequest,
        deadline: Nanos,
        permit: &'a SendPermit,
        step_timeout: Duration,
    ) -> Self {
        UnsentRequest {
            message,
            deadline,
            timeout_set_at: 0,
            write_allowance: Duration::ZERO,
            permit,
            step_timeout,
        }
    }

    /// Sets the time-out that the message states to the time left.
    fn update_timeout(&mut self, now: Nanos) {
        if is_active(Mutation::StateOutdatedTimeout) {
            self.timeout_set_at = Nanos::MAX;
            return;
        }
        self.timeout_set_at = now;
        let stated_end = self.deadline.saturating_sub(nanos(self.write_allowance));
        self.message.set_timeout(stated_end.saturating_sub(now));
    }

    /// Checks that the next byte may be written now.
    fn check(&self, now: Nanos) -> Result<(), SendError> {
        if !self.permit.holds(now) {
            return Err(SendError::NotPermitted);
        }
        let max_age = nanos(MAX_TIMEOUT_AGE + self.write_allowance);
        if now.saturating_sub(self.timeout_set_at) > max_age {
            return Err(SendError::StaleTimeout);
        }
        Ok(())
    }
}

/// Sends a request over the pooled connection, or over a new one if there is none or the pooled one
/// has failed. After a slow write, it is written once more over a new connection, with less time
/// stated. A request whose last byte was not written did not run. After that byte, nothing is
/// sent again here.
pub(super) async fn send<R: Runtime>(
    context: &Context<R>,
    pooled: Option<IdleConnection<WorkerConnection<R::Stream>>>,
    address: SocketAddr,
    mut request: UnsentRequest<'_>,
) -> Result<SentAttempt<R::Stream>, Outcome> {
    let runtime = &context.runtime;
    if let Some(pooled) = pooled {
        let IdleConnection {
            mut connection,
            idle_since,
        } = pooled;
        let stream = &mut connection.stream;
        match write_request(runtime, stream, &mut request, Some(idle_since)).await {
            Ok(()) => {
                return Ok(SentAttempt {
                    connection,
                    idle_since: Some(idle_since),
                });
            }
            // Counts against the lifetime of idle connections and not against the worker: the
            // request was not sent yet.
            Err(SendError::Connection(_)) => {
                if connection.stream.readiness() == Readiness::Closed {
                    context.record_broken_connection(idle_since);
                }
            }
            Err(SendError::StaleTimeout) => request.write_allowance = SLOW_WRITE_ALLOWANCE,
            // If the connection accepts no bytes within the limit, the attempt ends as well: when
            // an unreachable host returns, the endpoint list may no longer permit requests to it.
            Err(error) => return Err(error.outcome()),
        }
    }
    loop {
        let limit = request.step_timeout;
        let mut connection = connect(context, address, limit, request.permit).await?;
        match write_request(runtime, &mut connection.stream, &mut request, None).await {
            Ok(()) => {
                return Ok(SentAttempt {
                    connection,
                    idle_since: None,
                });
            }
            Err(SendError::StaleTimeout) if request.write_allowance.is_zero() => {
                request.write_allowance = SLOW_WRITE_ALLOWANCE;
            }
            Err(error) => return Err(error.outcome()),
        }
    }
}

/// Writes a request with the time that is left now.
///
/// # Errors
/// Returns an error if the last byte was not written, so that the request did not run.
async fn write_request<R: Runtime>(
    runtime: &R,
    stream: &mut R::Stream,
    request: &mut UnsentRequest<'_>,
    idle_since: Option<Nanos>,
) -> Result<(), SendError> {
    request.update_timeout(runtime.now());
    let write = write_bytes(runtime, stream, request, idle_since);
    while_permitted(runtime, request.permit, request.step_timeout, write).await
}

/// Writes the bytes of a request.
///
/// The last byte is delayed until the worker could have answered the other bytes with a reset, as
/// it does on a connection that it closed while it was idle.
async fn write_bytes<R: Runtime>(
    runtime: &R,
    stream: &mut R::Stream,
    request: &UnsentRequest<'_>,
    idle_since: Option<Nanos>,
) -> Result<(), SendError> {
    let Some((last, first_bytes)) = request.message.bytes().split_last() else {
        return Err(io::Error::from(io::ErrorKind::InvalidInput).into());
    };
    request.check(runtime.now())?;
    stream.write_all(first_bytes).await?;
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
        return Err(io::Error::from(io::ErrorKind::ConnectionReset).into());
    }
    write_last_byte(runtime, stream, request, *last).await
}

/// Writes the last byte of a request. The limits on sending count at this moment, so they are checked
/// at each try while the worker accepts no more bytes.
async fn write_last_byte<R: Runtime>(
    runtime: &R,
    stream: &mut R::Stream,
    request: &UnsentRequest<'_>,
    last: u8,
) -> Result<(), SendError> {
    poll_fn(|cx| {
        request.check(runtime.now())?;
        let written = ready!(Pin::new(&mut *stream).poll_write(cx, &[last]))?;
        if written == 0 {
            return Poll::Ready(Err(io::Error::from(io::ErrorKind::WriteZero).into()));
        }
        Poll::Ready(Ok(()))
    })
    .await
}
