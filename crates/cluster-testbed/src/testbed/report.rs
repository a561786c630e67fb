//! End of a scenario and its report.
use super::Testbed;
use crate::checker::{ClientRequest, Observations, SlowStartUse, Violation};
use serde::Serialize;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Results of one scenario.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub name: String,
    /// Seed of the scenario.
    pub seed: u64,
    /// Rule violations that the checker found.
    pub violations: Vec<Violation>,
    /// Number of requests that clients sent.
    #[serde(rename = "asked")]
    pub requests: usize,
    /// Number of responses with status 200.
    #[serde(rename = "settled")]
    pub succeeded: usize,
    /// Number of responses with status 503.
    #[serde(rename = "declined")]
    pub rejected: usize,
    /// Number of responses with status 502.
    #[serde(rename = "reversed")]
    pub failed: usize,
    /// Fraction of requests that did not succeed.
    #[serde(rename = "missed")]
    pub unsuccessful_share: f64,
    /// Work that each worker received while it warmed up, for workers that joined during the run.
    #[serde(rename = "cold")]
    pub slow_start: Vec<SlowStartUse>,
    /// Highest work per concurrency slot of any warm worker, relative to their mean, in the last third of the run.
    #[serde(rename = "uneven")]
    pub imbalance: f64,
    /// Number of datagrams forwarded between dispatchers.
    pub datagrams: u64,
    /// Number of datagrams lost between dispatchers.
    pub lost: u64,
    /// Forwarded datagram bytes per second and dispatcher, over the dispatchers at the start.
    #[serde(rename = "bytes")]
    pub bytes_per_second: f64,
}

fn count_status(requests: &[ClientRequest], status: u16) -> usize {
    let with_status = requests.iter().filter(|request| request.has_status(status));
    with_status.count()
}

impl Testbed {
    /// Returns the highest work per concurrency slot that any worker received from `from` to `to`, relative to the mean
    /// of all workers.
    pub fn work_imbalance(&self, from: Instant, to: Instant) -> f64 {
        self.observations(to, &[]).imbalance(from, to, |_| true)
    }

    /// Stops the clients, checks the rules and returns the report.
    pub fn finish(mut self) -> Report {
        let end = Instant::now();
        self.stop_clients();
        let requests = self.requests.lock();
        let requests = requests
            .map(|requests| requests.clone())
            .unwrap_or_default();
        self.report(end, &requests)
    }

    fn stop_clients(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        // A dispatcher that is still paused does not answer; its clients end by their read timeout.
        for client in std::mem::take(&mut self.clients) {
            let _ = client.join();
        }
    }

    fn observations<'a>(&'a self, end: Instant, requests: &'a [ClientRequest]) -> Observations<'a> {
        Observations {
            begin: self.begin,
            end,
            timeout: Duration::from_millis(self.scenario.load.expiry_ms),
            retry_window: self.scenario.load.retry_window(),
            workers: &self.workers,
            requests,
            outages: &self.outages,
            drains: &self.drains,
        }
    }

    fn report(&self, end: Instant, requests: &[ClientRequest]) -> Report {
        let observations = self.observations(end, requests);
        let duration = end - self.begin;
        let succeeded = count_status(requests, 200);
        let traffic = self.relay.totals();
        let dispatcher_seconds = duration.as_secs_f64() * self.scenario.fleet.dispatchers as f64;
        Report {
            name: self.scenario.name.clone(),
            seed: self.scenario.seed,
            violations: observations.violations(),
            requests: requests.len(),
            succeeded,
            rejected: count_status(requests, 503),
            failed: count_status(requests, 502),
            unsuccessful_share: 1.0 - succeeded as f64 / requests.len().max(1) as f64,
            slow_start: observations.slow_start_usage(),
            imbalance: observations
                .imbalance(end - duration / 3, end, |worker| self.is_warm(worker)),
            datagrams: traffic.forwarded.datagrams,
            lost: traffic.lost,
            bytes_per_second: traffic.forwarded.bytes as f64 / dispatcher_seconds.max(1e-9),
        }
    }

    /// Returns whether a worker was warm from the start and was not drained.
    fn is_warm(&self, worker: usize) -> bool {
        let drained = self.drains.iter().any(|drain| drain.worker == worker);
        worker < self.scenario.fleet.workers && !drained
    }
}
