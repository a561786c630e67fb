//! Reads and writes for the worker side: one task an attempt, one a probe.
use crate::context::{Conn, News, Shared};
use crate::traits::{Ground, Look, Stream, nanos, pause, within};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{HealthChecked, Nanos, Outcome, Report, WorkerId};
use rosewall_engine::engine::OutboundAttempt;
use rosewall_engine::limits::Slot;
use rosewall_engine::pool::REST;
use rosewall_protocol::worker::{Reply, Sounding, Told, probe};
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
async fn descriptor<G: Ground>(shared: &Shared<G>) -> Slot {
    let mut short = false;
    loop {
        if let Some(slot) = shared.budget.worker() {
            return slot;
        }
        if !std::mem::replace(&mut short, true) {
            shared.counters.no_descriptor.add();
        }
        if !shared.make_room() {
            pause(&shared.ground, PAUSE).await;
        }
        futures_lite::future::yield_now().await;
    }
}

/// The connection that is ready, or a new one, within the time. Guards against a vanished machine, which never
/// answers. Where it is this program that has no descriptor, that is no fault of the worker's.
async fn connection<G: Ground>(
    shared: &Shared<G>,
    ready: Option<Conn<G::Stream>>,
    address: SocketAddr,
    limit: Duration,
) -> Result<Conn<G::Stream>, Outcome> {
    if let Some(conn) = ready {
        return Ok(conn);
    }
    let ground = &shared.ground;
    let slot = within(ground, limit, async { Ok(descriptor(shared).await) })
        .await
        .map_err(|_| Outcome::NotSent)?;
    shared.counters.connects.add();
    let connect = async {
        Ok(Conn {
            stream: ground.connect(address).await?,
            address,
            _slot: slot,
        })
    };
    within(ground, limit, connect).await.map_err(|error| {
        shared.counters.connects_failed.add();
        log::debug!("no connection to {address}: {error}");
        Outcome::ConnectFailed
    })
}

/// Writes a posting; false where the connection broke before the last byte was written, or it was called off by then,
/// so that it never ran.
/// Guards against kept connections that the worker has dropped in silence, which show it only when written to: the
/// last byte waits until what came before it could have been answered with a reset.
async fn written<G: Ground>(
    ground: &G,
    conn: &mut Conn<G::Stream>,
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
        let rest = kept.map_or(0, |since| (since + REST).saturating_sub(ground.now()));
        pause(ground, ANSWERED_WITHIN.max(Duration::from_nanos(rest))).await;
        false
    };
    // What is there to read is the connection's end, or an answer ahead of its time. On a kept one it is another's, as a
    // worker begins with the last byte: guards against a second answer that comes late, and would be taken for this one's.
    if answered.or(silent).await && (kept.is_some() || conn.stream.look() != Look::Bytes) {
        return false;
    }
    !off.get() && conn.stream.write_all(&[*last]).await.is_ok()
}

/// Sends an attempt over the kept connection, or over a new one where there is none or that one is dead; gives since when
/// a kept one was idle. What could not be written whole never ran, and from there on nothing is sent again here.
async fn sent<G: Ground>(
    shared: &Shared<G>,
    ready: Option<(Conn<G::Stream>, Nanos)>,
    address: SocketAddr,
    limit: Duration,
    message: &[u8],
    off: &Cell<bool>,
) -> Result<(Conn<G::Stream>, Option<Nanos>), Outcome> {
    // A connection that takes no bytes is given up as one that does not come up. Guards against a vanished machine that is
    // back seconds later, and is then sent over a new connection what the list has forbidden since.
    let ground = &shared.ground;
    if let Some((mut conn, since)) = ready {
        let writing = async { Ok(written(ground, &mut conn, message, off, Some(since)).await) };
        match within(ground, limit, writing).await {
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
        if conn.stream.look() == Look::Ended {
            shared.broke(since);
        }
    }
    let mut conn = connection(shared, None, address, limit).await?;
    // Not a byte goes out for a client who has left, or to a worker that was told to drain, while it came up.
    let writing = async { Ok(!off.get() && written(ground, &mut conn, message, off, None).await) };
    if within(ground, limit, writing).await.unwrap_or(false) {
        return Ok((conn, None));
    }
    Err(if off.get() {
        Outcome::NotSent
    } else {
        Outcome::ConnectFailed
    })
}

/// Carries one attempt, unless it is called off before its last byte; what it ended in is told once.
pub async fn post<G: Ground>(
    shared: Rc<Shared<G>>,
    attempt: OutboundAttempt,
    ready: Option<(Conn<G::Stream>, Nanos)>,
    off: Rc<Cell<bool>>,
) {
    let OutboundAttempt {
        request_id,
        attempt_index,
        worker,
        address,
        id,
        message,
        connect_within,
    } = attempt;
    let connect_within = Duration::from_nanos(connect_within);
    let tell = |told| {
        shared.tell(News::Told {
            request_id,
            attempt_index,
            told,
        })
    };
    let (mut conn, kept) = match sent(&shared, ready, address, connect_within, &message, &off).await
    {
        Ok(sent) => sent,
        Err(outcome) => return tell(Told::Ended(outcome)),
    };
    drop(message);
    let mut reply = Reply::new(id);
    let mut buffer = vec![0; READ];
    let (mut ended, mut heard) = (None, false);
    loop {
        let read = async { conn.stream.read(&mut buffer).await.unwrap_or(0) };
        let late = async {
            match ended {
                Some(at) => shared.ground.until(at).await,
                None => std::future::pending().await,
            };
            0
        };
        // Guards against an answer that goes on without an end.
        let count = late.or(read).await;
        if count == 0 {
            if let Some(since) = kept.filter(|_| !heard) {
                shared.broke(since);
            }
            reply.closed().into_iter().for_each(tell);
            if is_active(Mutation::LeakConnection) {
                std::mem::forget(conn);
            }
            return;
        }
        heard = true;
        reply.feed(&buffer[..count]);
        while let Some(told) = reply.told() {
            if told != Told::Started && ended.is_none() {
                ended = Some(shared.ground.now() + nanos(TAIL_WITHIN));
            }
            tell(told);
        }
        if reply.finished() {
            break;
        }
        // Guards against a worker that sends faster than is read, and leaves no one else a turn.
        futures_lite::future::yield_now().await;
    }
    if reply.reusable() {
        shared.tell(News::Spare { worker, conn });
    }
}

/// Asks one worker how it is, within so many nanoseconds.
pub async fn sound<G: Ground>(
    shared: Rc<Shared<G>>,
    worker: WorkerId,
    address: SocketAddr,
    host: String,
    limit: Nanos,
) {
    let limit = Duration::from_nanos(limit);
    let late = async {
        pause(&shared.ground, limit).await;
        (Outcome::TimedOut, Report::default())
    };
    let (outcome, report) = ask(&shared, worker, address, &host, limit).or(late).await;
    shared.tell(News::HealthChecked(HealthChecked {
        worker,
        outcome,
        report,
    }));
}

async fn ask<G: Ground>(
    shared: &Shared<G>,
    worker: WorkerId,
    address: SocketAddr,
    host: &str,
    limit: Duration,
) -> (Outcome, Report) {
    let none = Report::default();
    let ready = shared.pooled(worker).map(|(conn, _)| conn);
    let mut conn = match connection(shared, ready, address, limit).await {
        Ok(conn) => conn,
        Err(outcome) => return (outcome, none),
    };
    if conn
        .stream
        .write_all(&probe(host, !shared.report.is_empty()))
        .await
        .is_err()
    {
        return (Outcome::ConnectFailed, none);
    }
    let mut sounding = Sounding::new(&shared.report);
    let mut buffer = [0; 1024];
    loop {
        let count = conn.stream.read(&mut buffer).await.unwrap_or(0);
        if count == 0 {
            return (Outcome::ConnectionLost, none);
        }
        if let Some((outcome, report, reusable)) = sounding.feed(&buffer[..count]) {
            if reusable {
                shared.tell(News::Spare { worker, conn });
            }
            return (outcome, report);
        }
    }
}
