//! Accepting connections within the limits on descriptors.
use super::RETRY_PAUSE;
use super::connection::{Acceptance, Admission, ClientConnection, Service};
use crate::context::Context;
use crate::traits::{Listener, Runtime, nanos, sleep};
use async_channel::Receiver;
use futures_lite::FutureExt;
use futures_lite::future::{poll_once, yield_now};
use rosewall::types::Nanos;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Connections that the system accepts ahead of this program: more than a crowd opens within one turn of the executor.
const BACKLOG: i32 = 1024;
/// How long clients wait for a free slot before they are rejected: a few short requests' time, and short beside deadlines.
const REJECT_AFTER: Duration = Duration::from_millis(50);
/// How long the backlog is accepted after the signal to stop accepting.
const BACKLOG_DRAIN_LIMIT: Duration = Duration::from_millis(500);

/// Accepts connections until shutdown, and then those that the system has accepted already.
pub async fn accept_connections<R: Runtime>(
    context: Rc<Context<R>>,
    listener: R::Listener,
    shutdown: Receiver<()>,
) {
    if let Err(error) = listener.set_backlog(BACKLOG) {
        log::warn!("cannot set the backlog of the listener to {BACKLOG}: {error}");
    }
    let shut_down = async {
        let _ = shutdown.recv().await;
    };
    accept_until_cancelled(&context, &listener)
        .or(shut_down)
        .await;
    drain_backlog(&context, &listener).await;
}

async fn accept_until_cancelled<R: Runtime>(context: &Rc<Context<R>>, listener: &R::Listener) {
    // Since when clients have waited in the backlog without a free slot.
    let mut full_since = None;
    loop {
        // A slot is freed only for a client that is there.
        if let Err(error) = listener.wait_ready().await {
            log::warn!("cannot wait for connections: {error}");
            sleep(&context.runtime, RETRY_PAUSE).await;
            continue;
        }
        let Some(admission) = find_slot(context, &mut full_since).await else {
            continue;
        };
        accept_one(context, listener, admission, &mut full_since).await;
    }
}

/// A slot for a client; none where the caller is to look again.
async fn find_slot<R: Runtime>(
    context: &Context<R>,
    full_since: &mut Option<Nanos>,
) -> Option<Admission> {
    if let Some(slot) = context.limits.acquire_client() {
        return Some(Admission {
            slot,
            service: Service::Full,
        });
    }
    if context.free_client_slot() {
        // The task of the client that is closed needs a turn to give its slot back.
        yield_now().await;
        return None;
    }
    let now = context.runtime.now();
    let since = *full_since.get_or_insert(now);
    if now >= since + nanos(REJECT_AFTER)
        && let Some(slot) = context.limits.acquire_overflow_client()
    {
        return Some(Admission {
            slot,
            service: Service::RejectOnly,
        });
    }
    context.counters.accept_paused.add();
    sleep(&context.runtime, RETRY_PAUSE).await;
    None
}

async fn accept_one<R: Runtime>(
    context: &Rc<Context<R>>,
    listener: &R::Listener,
    admission: Admission,
    full_since: &mut Option<Nanos>,
) {
    match listener.accept() {
        Ok(stream) => {
            spawn_connection(context, stream, admission, *full_since);
            // Only an empty backlog ends a time without free slots: where slots become free now and then, those who
            // wait in the backlog still grow older.
            if poll_once(listener.wait_ready()).await.is_none() {
                *full_since = None;
            }
        }
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => *full_since = None,
        Err(error) => {
            // Where the system is out of descriptors, one is freed, and the pause prevents a busy loop.
            context.counters.accept_failed.add();
            log::warn!("cannot accept: {error}");
            context.free_descriptor();
            sleep(&context.runtime, RETRY_PAUSE).await;
        }
    }
    // The accepted client must read before the next slot is freed, or it would count as silent and be closed.
    yield_now().await;
}

/// Accepts the connections of the backlog; those without a free slot are rejected.
async fn drain_backlog<R: Runtime>(context: &Rc<Context<R>>, listener: &R::Listener) {
    let deadline = context.runtime.now() + nanos(BACKLOG_DRAIN_LIMIT);
    while context.runtime.now() < deadline {
        let Some(admission) = find_slot_at_shutdown(context) else {
            sleep(&context.runtime, RETRY_PAUSE).await;
            continue;
        };
        match listener.accept() {
            Ok(stream) => spawn_connection(context, stream, admission, None),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) => {
                context.counters.accept_failed.add();
                log::warn!("cannot accept: {error}");
                sleep(&context.runtime, RETRY_PAUSE).await;
            }
        }
    }
}

fn find_slot_at_shutdown<R: Runtime>(context: &Context<R>) -> Option<Admission> {
    if let Some(slot) = context.limits.acquire_client() {
        return Some(Admission {
            slot,
            service: Service::Full,
        });
    }
    let slot = context.limits.acquire_overflow_client()?;
    Some(Admission {
        slot,
        service: Service::RejectOnly,
    })
}

/// Serves a connection in its own task. It may have waited in the backlog since `waiting_since`.
fn spawn_connection<R: Runtime>(
    context: &Rc<Context<R>>,
    stream: R::Stream,
    admission: Admission,
    waiting_since: Option<Nanos>,
) {
    context.counters.clients_accepted.add();
    let now = context.runtime.now();
    let acceptance = Acceptance {
        at: now,
        longest_wait: now.saturating_sub(waiting_since.unwrap_or(now)),
    };
    let task_context = context.clone();
    let serve = async move {
        let mut connection = ClientConnection::new(task_context, stream, admission, acceptance);
        // An error is the client's doing or was counted.
        let _ = connection.serve().await;
    };
    context.runtime.spawn(serve).detach();
}
