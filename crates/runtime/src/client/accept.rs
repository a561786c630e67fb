//! Accepts client connections within the limits on descriptors.
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

/// Maximum number of connections that wait to be accepted: more than a burst of clients opens
/// within one turn of the executor.
const BACKLOG: i32 = 1024;
/// Time that clients wait for a free slot before they are rejected: enough for a few short requests
/// to finish, and short compared with deadlines.
const REJECT_AFTER: Duration = Duration::from_millis(50);
/// Maximum time for accepting the rest of the backlog after the signal to stop accepting.
const BACKLOG_DRAIN_LIMIT: Duration = Duration::from_millis(500);

/// Accepts connections until shutdown, and then those that wait in the backlog.
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
    // Time since which clients have waited in the backlog without a free slot.
    let mut full_since = None;
    loop {
        // Slots are freed only if a client waits to be accepted.
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

/// Finds a slot for a client. Returns `None` if the caller must try again.
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
        // The task of the closed client must run once to release its slot.
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
            // The waiting time restarts only once the backlog is empty: single slots that become
            // free do not shorten the wait of the clients that remain in the backlog.
            if poll_once(listener.wait_ready()).await.is_none() {
                *full_since = None;
            }
        }
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => *full_since = None,
        Err(error) => {
            // The system may be out of descriptors, so one is freed. The pause prevents a busy
            // loop.
            context.counters.accept_failed.add();
            log::warn!("cannot accept a connection: {error}");
            context.free_descriptor();
            sleep(&context.runtime, RETRY_PAUSE).await;
        }
    }
    // The accepted client's task must read before the next slot is freed; otherwise the client
    // would count as one without a request and be closed.
    yield_now().await;
}

/// Accepts the rest of the backlog. Connections without a free slot are rejected.
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
                log::warn!("cannot accept a connection: {error}");
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

/// Serves a connection in a task of its own. The connection may have waited in the backlog since
/// `waiting_since`.
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
        // Errors are caused by the client or have been counted.
        let _ = connection.serve().await;
    };
    context.runtime.spawn(serve).detach();
}
