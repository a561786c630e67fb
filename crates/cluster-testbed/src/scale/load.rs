//! Open-loop clients: each request is sent at a scheduled time, independent of the outcome of earlier requests.
mod client;
mod schedule;

use async_executor::LocalExecutor;
use async_io::Timer;
pub use client::ClientAddresses;
use client::Clients;
use futures_lite::FutureExt;
use schedule::{PlannedRequest, Schedule};
use serde::Serialize;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Load on the fleet.
#[derive(Clone, Copy, Debug)]
pub struct LoadConfig {
    /// Requests sent per second, over all dispatchers.
    pub requests_per_second: f64,
    /// Mean service time of a request.
    pub service_time: Duration,
    /// Number of tenants that send requests.
    pub tenants: usize,
    /// Fraction of requests that are urgent, 0 to 1.
    pub urgent_share: f64,
    /// Requests that run from the start, each with a random remainder of its service time.
    pub initial_requests: usize,
    /// Time over which the initial requests are sent.
    pub fill: Duration,
    /// Measured time, which follows.
    pub measured: Duration,
    /// Deadline of a request, measured from when it is sent.
    pub timeout: Duration,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Outcomes of the requests scheduled in the measured time. Requests without an outcome by its end are cancelled and
/// counted only as sent.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LoadTotals {
    /// Requests sent.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Responses with status 200.
    #[serde(rename = "settled")]
    pub succeeded: u64,
    /// Responses with status 503 or 429.
    #[serde(rename = "declined")]
    pub rejected: u64,
    /// Responses with status 502 or 504.
    #[serde(rename = "reversed")]
    pub failed: u64,
    /// Responses with any other status.
    pub other: u64,
    /// Requests without a connection, or whose connection ended without a response.
    pub lost: u64,
    /// Requests to a dispatcher that was not running, which its client could not send.
    pub down: u64,
    /// Requests that succeeded, including those from before the measured time.
    #[serde(rename = "all_settled")]
    pub all_succeeded: u64,
    /// Requests that ended otherwise, including those from before the measured time.
    pub all_failed: u64,
}

/// Sends the load until the end of the measured time. `on_measured` is called when the measured time begins.
pub fn run(
    config: LoadConfig,
    addresses: &ClientAddresses,
    on_measured: impl FnOnce(),
) -> LoadTotals {
    let dispatchers = addresses
        .lock()
        .map(|addresses| addresses.len())
        .unwrap_or(0);
    let executor = Rc::new(LocalExecutor::new());
    let clients = Rc::new(Clients::new(addresses.clone(), dispatchers, config.timeout));
    let begin = Instant::now();
    let schedule = Schedule::generate(&config, dispatchers);
    let sending = send_all(schedule.requests, begin, clients.clone(), executor.clone());
    let timing = async {
        Timer::at(begin + schedule.measured_from).await;
        on_measured();
        Timer::at(begin + schedule.end).await;
    };
    async_io::block_on(executor.run(timing.or(sending)));
    let totals = clients.totals();
    // Tasks of the executor hold references to the clients, and are cancelled with it.
    drop(executor);
    totals
}

async fn send_all(
    requests: Vec<PlannedRequest>,
    begin: Instant,
    clients: Rc<Clients>,
    executor: Rc<LocalExecutor<'static>>,
) {
    for request in requests {
        Timer::at(begin + request.at).await;
        clients.count_sent(&request);
        let clients = clients.clone();
        let sending = async move {
            let outcome = clients.send(&request).await;
            clients.count_outcome(&request, outcome);
        };
        executor.spawn(sending).detach();
    }
    // Never returns, so that requests in flight continue until the end of the measured time.
    std::future::pending::<()>().await;
}
