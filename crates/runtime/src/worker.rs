//! Reads and writes for the worker side: one task an attempt, one a probe.
use crate::context::{Conn, Context, EngineEvent};
use crate::traits::{Readiness, Runtime, Stream, nanos, sleep, with_timeout};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{HealthChecked, Nanos, Outcome, Report, WorkerId};
use rosewall_engine::engine::OutboundAttempt;
use rosewall_engine::limits::DescriptorPermit;
use rosewall_engine::pool::REST_AFTER_ANSWER;
use rosewall_protocol::worker::{
    AttemptProgress, AttemptResponseReader, HealthCheckReader, HealthCheckResult,
    HealthCheckTarget, encode_health_check,
};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Where no descriptor is free, how soon to look again: idle ones close in less.
const PAUSE: Duration = Duration::from_millis(5);
/// How long the end of an answer may come after its last line, for the connection to be used again.
const TAIL_WITHIN: Duration = Duration::from_millis(250);
/// Two round trips inside one data centre, and the turns of both sides.
const ANSWERED_WITHIN: Duration = Duration::from_millis(2);
const READ: usize = 8 * 1024;

/// A descriptor for a new connection, once there is one.
async fn descriptor<R: Runtime>(context: &Context<R>) -> DescriptorPermit {
    let mut short = false;
    loop {
        if let Some(slot) = context.limits.acquire_worker() {
            return slot;
        }
        if !std::mem::replace(&mut short, true) {
            context.counters.no_descriptor.add();
        }
        if !context.make_room() {
            sleep(&context.runtime, PAUSE).await;
        }
        futures_lite::future::yield_now().await;
    }
}

/// The connection that is ready, or a new one, within the time. Guards against a vanished machine, which never
/// answers. Where it is this program that has no descriptor, that is no fault of the worker's.
async fn connection<R: Runtime>(
    context: &Context<R>,
    ready: Option<Conn<R::Stream>>,
    address: SocketAddr,
    limit: Duration,
) -> Result<Conn<R::Stream>, Outcome> {
    if let Some(conn) = ready {
        return Ok(conn);
    }
    let runtime = &context.runtime;
    let slot = with_timeout(runtime, limit, async { Ok(descriptor(context).await) })
        .await
        .map_err(|_| Outcome::NotSent)?;
    context.counters.connects.add();
    let connect = async {
        Ok(Conn {
            stream: runtime.connect(address).await?,
            address,
            _slot: slot,
        })
    };
    with_timeout(runtime, limit, connect)
        .await
        .map_err(|error| {
            context.counters.connects_failed.add();
            log::debug!("no connection to {address}: {error}");
            Outcome::ConnectFailed
        })
}

/// Writes a posting; false where the connection broke before the last byte was written, or it was called off by then,
/// so that it never ran.
/// Guards against kept connections that the worker has dropped in silence, which show it only when written to: the
/// last byte waits until what came before it could have been answered with a reset.
async fn written<R: Runtime>(
    runtime: &R,
    conn: &mut Conn<R::Stream>,
    message: &[u8],
    off: &Cell<bool>,
    kept: Option<Nanos>,
) -> bool {
    let Some((last, most)) = message.split_last() else {
        return false;
    };
    if conn.stream.write_all(most).await.is_err() {
        return false;
    }
    let answered = async { conn.stream.readable().await.is_ok() };
    let silent = async {
        let rest = kept.map_or(0, |since| {
            (since + REST_AFTER_ANSWER).saturating_sub(runtime.now())
        });
        sleep(runtime, ANSWERED_WITHIN.max(Duration::from_nanos(rest))).await;
        false
    };
    // What is there to read is the connection's end, or an answer ahead of its time. On a kept one it is another's, as a
    // worker begins with the last byte: guards against a second answer that comes late, and would be taken for this one's.
    if answered.or(silent).await
        && (kept.is_some() || conn.stream.readiness() != Readiness::Readable)
    {
        return false;
    }
    !off.get() && conn.stream.write_all(&[*last]).await.is_ok()
}

/// Sends an attempt over the kept connection, or over a new one where there is none or that one is dead; gives since when
/// a kept one was idle. What could not be written whole never ran, and from there on nothing is sent again here.
async fn sent<R: Runtime>(
    context: &Context<R>,
    ready: Option<(Conn<R::Stream>, Nanos)>,
    address: SocketAddr,
    limit: Duration,
    message: &[u8],
    off: &Cell<bool>,
) -> Result<(Conn<R::Stream>, Option<Nanos>), Outcome> {
    // A connection that takes no bytes is given up as one that does not come up. Guards against a vanished machine that is
    // back seconds later, and is then sent over a new connection what the list has forbidden since.
    let runtime = &context.runtime;
    if let Some((mut conn, since)) = ready {
        let writing = async { Ok(written(runtime, &mut conn, message, off, Some(since)).await) };
        match with_timeout(runtime, limit, writing).await {
            Ok(true) => return Ok((conn, Some(since))),
            Ok(false) => {}
            Err(_) => {
                return Err(if off.get() {
                    Outcome::NotSent
                } else {
                    Outcome::ConnectFailed
                });
            }
        }
        if off.get() {
            return Err(Outcome::NotSent);
        }
        // It tells of its age, not of the worker: nothing was posted yet.
        if conn.stream.readiness() == Readiness::Closed {
            context.broke(since);
        }
    }
    let mut conn = connection(context, None, address, limit).await?;
    // Not a byte goes out for a client who has left, or to a worker that was told to drain, while it came up.
    let writing = async { Ok(!off.get() && written(runtime, &mut conn, message, off, None).await) };
    if with_timeout(runtime, limit, writing).await.unwrap_or(false) {
        return Ok((conn, None));
    }
    Err(if off.get() {
        Outcome::NotSent
    } else {
        Outcome::ConnectFailed
    })
}

/// Carries one attempt, unless it is called off before its last byte; what it ended in is told once.
pub async fn post<R: Runtime>(
    context: Rc<Context<R>>,
    attempt: OutboundAttempt,
    ready: Option<(Conn<R::Stream>, Nanos)>,
    off: Rc<Cell<bool>>,
) {
    let OutboundAttempt {
        request_id,
        attempt_index,
        worker,
        address,
        id,
        message,
        connect_timeout: connect_within,
    } = attempt;
    let connect_within = Duration::from_nanos(connect_within);
    let tell = |told| {
        context.tell(EngineEvent::AttemptProgress {
            request_id,
            attempt_index,
            told,
        })
    };
    let (mut conn, kept) =
        match sent(&context, ready, address, connect_within, &message, &off).await {
            Ok(sent) => sent,
            Err(outcome) => return tell(AttemptProgress::Ended(outcome)),
        };
    drop(message);
    let mut reply = AttemptResponseReader::new(id);
    let mut buffer = vec![0; READ];
    let (mut ended, mut heard) = (None, false);
    loop {
        let read = async { conn.stream.read(&mut buffer).await.unwrap_or(0) };
        let late = async {
            match ended {
                Some(at) => context.runtime.sleep_until(at).await,
                None => std::future::pending().await,
            };
            0
        };
        // Guards against an answer that goes on without an end.
        let count = late.or(read).await;
        if count == 0 {
            if let Some(since) = kept.filter(|_| !heard) {
                context.broke(since);
            }
            reply.connection_closed().into_iter().for_each(tell);
            if is_active(Mutation::LeakConnection) {
                std::mem::forget(conn);
            }
            return;
        }
        heard = true;
        reply.feed(&buffer[..count]);
        while let Some(told) = reply.next_progress() {
            if told != AttemptProgress::Started && ended.is_none() {
                ended = Some(context.runtime.now() + nanos(TAIL_WITHIN));
            }
            tell(told);
        }
        if reply.is_finished() {
            break;
        }
        // Guards against a worker that sends faster than is read, and leaves no one else a turn.
        futures_lite::future::yield_now().await;
    }
    if reply.is_reusable() {
        context.tell(EngineEvent::Spare { worker, conn });
    }
}

/// Asks one worker how it is, within so many nanoseconds.
pub async fn sound<R: Runtime>(
    context: Rc<Context<R>>,
    worker: WorkerId,
    address: SocketAddr,
    host: String,
    limit: Nanos,
) {
    let limit = Duration::from_nanos(limit);
    let late = async {
        sleep(&context.runtime, limit).await;
        (Outcome::TimedOut, Report::default())
    };
    let (outcome, report) = ask(&context, worker, address, &host, limit).or(late).await;
    context.tell(EngineEvent::HealthChecked(HealthChecked {
        worker,
        outcome,
        report,
    }));
}

async fn ask<R: Runtime>(
    context: &Context<R>,
    worker: WorkerId,
    address: SocketAddr,
    host: &str,
    limit: Duration,
) -> (Outcome, Report) {
    let none = Report::default();
    let ready = context.pooled(worker).map(|(conn, _)| conn);
    let mut conn = match connection(context, ready, address, limit).await {
        Ok(conn) => conn,
        Err(outcome) => return (outcome, none),
    };
    if conn
        .stream
        .write_all(&encode_health_check(
            host,
            if context.report.is_empty() {
                HealthCheckTarget::Health
            } else {
                HealthCheckTarget::Load
            },
        ))
        .await
        .is_err()
    {
        return (Outcome::ConnectFailed, none);
    }
    let mut sounding = HealthCheckReader::new(&context.report);
    let mut buffer = [0; 1024];
    loop {
        let count = conn.stream.read(&mut buffer).await.unwrap_or(0);
        if count == 0 {
            return (Outcome::ConnectionLost, none);
        }
        if let Some(HealthCheckResult {
            outcome,
            report,
            reusable,
        }) = sounding.feed(&buffer[..count])
        {
            if reusable {
                context.tell(EngineEvent::Spare { worker, conn });
            }
            return (outcome, report);
        }
    }
}
