//! The schedule of requests, generated before the first one is sent.
use super::LoadConfig;
use rosewall::pcg::Pcg;
use std::time::Duration;

/// Minimum remainder of an initial request, as a fraction of its service time.
const MIN_REMAINING_SHARE: f64 = 0.01;

pub(super) struct PlannedRequest {
    /// Send time, from the start of the load.
    pub(super) at: Duration,
    pub(super) dispatcher: usize,
    pub(super) serial: u64,
    pub(super) urgent: bool,
    pub(super) tenant: usize,
    pub(super) work: Duration,
    /// Whether the send time is within the measured time.
    pub(super) measured: bool,
}

pub(super) struct Schedule {
    pub(super) requests: Vec<PlannedRequest>,
    pub(super) measured_from: Duration,
    pub(super) end: Duration,
}

/// Arrival of a request, before its other properties are generated.
struct Arrival {
    at: Duration,
    /// Work, as a fraction of the mean service time.
    work_share: f64,
    measured: bool,
}

struct ScheduleBuilder<'a> {
    config: &'a LoadConfig,
    dispatchers: usize,
    rng: Pcg,
    requests: Vec<PlannedRequest>,
}

/// Picks a random tenant; the probability of the `n`th is proportional to 1/n.
fn pick_tenant(rng: &mut Pcg, tenants: usize) -> usize {
    let total: f64 = (1..=tenants).map(|n| 1.0 / n as f64).sum();
    let mut remaining = rng.unit() * total;
    for n in 1..=tenants {
        remaining -= 1.0 / n as f64;
        if remaining <= 0.0 {
            return n - 1;
        }
    }
    0
}

impl ScheduleBuilder<'_> {
    fn add(&mut self, arrival: Arrival) {
        let urgent = self.rng.unit() < self.config.urgent_share;
        let dispatcher = (self.rng.unit() * self.dispatchers as f64) as usize;
        let tenant = pick_tenant(&mut self.rng, self.config.tenants.max(1));
        self.requests.push(PlannedRequest {
            at: arrival.at,
            dispatcher: dispatcher.min(self.dispatchers.saturating_sub(1)),
            serial: self.requests.len() as u64 + 1,
            urgent,
            tenant,
            work: self.config.service_time.mul_f64(arrival.work_share),
            measured: arrival.measured,
        });
    }

    /// Adds the requests that run from the start. The remainder of a request at a random time is uniformly distributed
    /// over its service time.
    fn add_initial_requests(&mut self) {
        let count = self.config.initial_requests;
        for n in 0..count {
            let at = self.config.fill.mul_f64(n as f64 / count as f64);
            let work_share = self.rng.unit().max(MIN_REMAINING_SHARE);
            self.add(Arrival {
                at,
                work_share,
                measured: false,
            });
        }
    }

    /// Adds the requests of the measured time, with exponentially distributed intervals.
    fn add_measured(&mut self, from_s: f64, end_s: f64) {
        if self.config.requests_per_second <= 0.0 {
            return;
        }
        let mut at_s = from_s;
        loop {
            at_s += -(1.0 - self.rng.unit()).ln() / self.config.requests_per_second;
            if at_s >= end_s {
                return;
            }
            let work_share = 0.5 + self.rng.unit();
            self.add(Arrival {
                at: Duration::from_secs_f64(at_s),
                work_share,
                measured: true,
            });
        }
    }
}

impl Schedule {
    pub(super) fn generate(config: &LoadConfig, dispatchers: usize) -> Schedule {
        let mut builder = ScheduleBuilder {
            config,
            dispatchers,
            rng: Pcg::new(config.seed),
            requests: Vec::new(),
        };
        builder.add_initial_requests();
        let measured_from_s = if config.initial_requests > 0 {
            config.fill.as_secs_f64()
        } else {
            0.0
        };
        let end_s = measured_from_s + config.measured.as_secs_f64();
        builder.add_measured(measured_from_s, end_s);
        Schedule {
            requests: builder.requests,
            measured_from: Duration::from_secs_f64(measured_from_s),
            end: Duration::from_secs_f64(end_s),
        }
    }
}
