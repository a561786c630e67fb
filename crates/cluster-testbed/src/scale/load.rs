//! Open-loop clients: each request is sent at a time that was fixed before, whatever came of those before it.
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

/// What is asked of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct LoadConfig {
    /// Task starts a second, over all dispatchers.
    pub requests_per_second: f64,
    /// The mean duration of a task.
    pub service_time: Duration,
    /// How many teams send requests.
    pub tenants: usize,
    /// The share of the requests that is urgent.
    pub urgent_share: f64,
    /// Tasks that run from the start, each with what is left of it.
    pub initial_requests: usize,
    /// The time within which those are sent.
    pub fill: Duration,
    /// The measured time, after that.
    pub measured: Duration,
    /// The deadline of a request, from when it is sent.
    pub timeout: Duration,
    /// The seed of all that is random.
    pub seed: u64,
}

/// How the requests that were meant to begin in the measured time ended. What has not ended by then is cut off.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LoadTotals {
    /// Requests that were sent.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Responses 200.
    #[serde(rename = "settled")]
    pub succeeded: u64,
    /// Responses 503 and 429.
    #[serde(rename = "declined")]
    pub rejected: u64,
    /// Responses 502 and 504.
    #[serde(rename = "reversed")]
    pub failed: u64,
    /// Other responses.
    pub other: u64,
    /// No connection, or one that ended without a response.
    pub lost: u64,
    /// Meant for a dispatcher that was not running: the client has to wait.
    pub down: u64,
    /// Of all requests from the start on, those that succeeded.
    #[serde(rename = "all_settled")]
    pub all_succeeded: u64,
    /// Of all requests from the start on, those that ended otherwise.
    pub all_failed: u64,
}

/// Sends the load up to the end of the measured time. `on_measured` is called when that begins.
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
    // Tasks hold the clients; they end with the executor.
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
    // The requests that are out go on until the end.
    std::future::pending::<()>().await;
}
