//! Opens connections to workers within the limit on descriptors.
use crate::context::{Context, WorkerConnection};
use crate::traits::{Runtime, sleep, with_timeout};
use futures_lite::future::yield_now;
use rosewall::types::Outcome;
use rosewall_engine::limits::DescriptorPermit;
use std::net::SocketAddr;
use std::time::Duration;

/// Pause before the next attempt to acquire a descriptor.
const DESCRIPTOR_RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Opens a connection. The limit applies to acquiring the descriptor and then again to connecting.
///
/// # Errors
/// `NotSent` if no descriptor becomes free in time, which is not a fault of the worker.
/// `ConnectFailed` if the connection fails or is not established in time.
pub(super) async fn connect<R: Runtime>(
    context: &Context<R>,
    address: SocketAddr,
    limit: Duration,
) -> Result<WorkerConnection<R::Stream>, Outcome> {
    let runtime = &context.runtime;
    let slot = with_timeout(runtime, limit, async {
        Ok(acquire_descriptor(context).await)
    })
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
    with_timeout(runtime, limit, connect)
        .await
        .map_err(|error| {
            context.counters.connects_failed.add();
            log::debug!("cannot connect to {address}: {error}");
            Outcome::ConnectFailed
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
