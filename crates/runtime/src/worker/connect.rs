//! Opens connections to workers within the limit on descriptors.
use super::send_permit::{SendPermit, while_permitted};
use crate::context::{Context, WorkerConnection};
use crate::traits::{Runtime, sleep};
use futures_lite::future::yield_now;
use rosewall::types::Outcome;
use rosewall_engine::limits::DescriptorPermit;
use std::net::SocketAddr;
use std::time::Duration;

/// Pause before the next attempt to acquire a descriptor.
const DESCRIPTOR_RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Opens a connection. The limit applies to acquiring the descriptor and then again to connecting.
/// Ends both as soon as the permit no longer holds.
///
/// # Errors
/// `NotSent` if no descriptor becomes free in time or the permit has ended, which is not a fault of
/// the worker. `ConnectFailed` if the connection fails or is not established in time.
pub(super) async fn connect<R: Runtime>(
    context: &Context<R>,
    address: SocketAddr,
    limit: Duration,
    permit: &SendPermit,
) -> Result<WorkerConnection<R::Stream>, Outcome> {
    let runtime = &context.runtime;
    let slot = async { Ok(acquire_descriptor(context).await) };
    let slot = while_permitted(runtime, permit, limit, slot)
        .await
        .map_err(|_| Outcome::NotSent)?;
    context.counters.connects.add();
    let connect = async {
        Ok(WorkerConnection {
            stream: runtime.connect(address).await?,
            address,
            _slot: slot,
        })
    };
    while_permitted(runtime, permit, limit, connect)
        .await
        .map_err(|error| {
            let outcome = error.outcome();
            if outcome == Outcome::ConnectFailed {
                context.counters.connects_failed.add();
            }
            log::debug!("no connection to {address}: {error}");
            outcome
        })
}

/// Waits for a descriptor.
async fn acquire_descriptor<R: Runtime>(context: &Context<R>) -> DescriptorPermit {
    let mut is_counted = false;
    loop {
        if let Some(slot) = context.limits.acquire_worker() {
            return slot;
        }
        if !is_counted {
            is_counted = true;
            context.counters.no_descriptor.add();
        }
        if !context.free_descriptor() {
            sleep(&context.runtime, DESCRIPTOR_RETRY_PAUSE).await;
        }
        yield_now().await;
    }
}
