//! State and startup of the dispatcher, and routing of each event to the decision that handles it.
use crate::pcg::Pcg;
use crate::settings::{Settings, SettingsError, SettingsMap};
use crate::start_delays::StartDelays;
use crate::state::{
    ActiveRequest, InterArrivalTimes, MAX_ATTEMPTS, RequestClass, RequestDemand, RequestInput,
    RunningMean, Worker,
};
use crate::time::{SECOND, decay};
use crate::timers::{POLL_TIMER, TICK_INTERVAL, TICK_TIMER, attempt_of, attempt_timer};
use crate::types::{Action, Event, Nanos, Request, RequestId, WorkerId};
use crate::zones::ZoneDelays;
use rustc_hash::FxHashMap;
use slab::Slab;

#[cfg(test)]
mod tests;

/// Delay before a request is dispatched again if no worker may accept it. A warming worker may
/// accept it soon.
const REDISPATCH_DELAY: Nanos = 25_000_000;

/// Half-life of the histograms in nanoseconds, at a low-traffic factor of 1.
const HISTOGRAM_HALF_LIFE: f64 = 20.0 * SECOND;

/// Number of recent requests below which the histograms decay more slowly.
const MIN_HISTOGRAM_REQUESTS: f64 = 150.0;

/// Upper bound of the factor by which low traffic extends half-lives.
const MAX_LOW_TRAFFIC_FACTOR: f64 = 3.0;

/// The decisions of one dispatcher. See [`crate::policy`] for how to call it.
#[derive(Default)]
pub struct Dispatcher {
    pub(super) settings: Settings,
    pub(super) rng: Pcg,
    pub(super) started_at: Nanos,
    pub(super) classes: Vec<RequestClass>,
    pub(super) workers: Vec<Worker>,
    pub(super) worker_indices: FxHashMap<WorkerId, usize>,
    pub(super) requests: Slab<ActiveRequest>,
    pub(super) request_keys: FxHashMap<RequestId, usize>,
    pub(super) max_attempts: usize,
    /// Inter-arrival times of requests of low priority and of high priority, in this order.
    pub(super) inter_arrival_times: [InterArrivalTimes; 2],
    pub(super) exchanges_load: bool,

    // Endpoint list.
    pub(super) watching_endpoints: bool,
    pub(super) next_poll_at: Nanos,
    pub(super) poll_failures: u32,

    // Fleet of dispatchers.
    /// Number of running dispatchers.
    pub(super) dispatchers: f64,
    /// Rank of this dispatcher, from 0.
    pub(super) rank: usize,
    /// Whether membership has ever reported a fleet position.
    pub(super) has_fleet_view: bool,
    /// Fraction of the fleet's requests that other dispatchers send.
    pub(super) unobserved_fraction: f64,
    /// Number of dispatchers that use one worker.
    pub(super) dispatchers_per_worker: f64,

    // Estimates.
    pub(super) histograms_decayed_at: Nanos,
    /// Service-time factor of each worker type, indexed by type.
    pub(super) worker_type_factors: Vec<RunningMean>,
    /// Factor by which half-lives of estimates are extended at low request rates, from 1 to
    /// [`MAX_LOW_TRAFFIC_FACTOR`].
    pub(super) low_traffic_factor: f64,
    /// Mean work of recent requests of all classes, in nanoseconds of one slot.
    pub(super) mean_work: f64,
    pub(super) start_delays: StartDelays,
    pub(super) zone_delays: ZoneDelays,
    /// Mean number of slots that other dispatchers use at a worker, from load reports.
    pub(super) mean_other_slots: f64,
    /// Fraction of the recent requests of the highest weight that was rejected.
    pub(super) rejected_fraction: f64,
    /// Invalid values in load reports since the last log line about them.
    pub(super) invalid_report_values: u64,
    pub(super) mean_failure_score: f64,
    /// Capacity of a fully warm worker for each unit of its listed size.
    pub(super) capacity_per_size: f64,

    /// Index of the warming worker that the latest request would have been sent to with a grant.
    pub(super) missing_grant_for: Option<usize>,

    // Buffers retained to avoid allocations.
    /// Indices of the workers with attempts of this dispatcher in flight.
    pub(super) workers_in_use: Vec<usize>,
    pub(super) interval_weights: Vec<f64>,
}

impl Dispatcher {
    /// Starts a dispatcher. `seed` determines all random numbers.
    ///
    /// # Errors
    /// Returns an error if a required setting is missing or a setting has an invalid value.
    pub fn start(now: Nanos, seed: u64, map: &SettingsMap) -> Result<Self, SettingsError> {
        let class_settings = Settings::read_classes(map)?;
        let settings = Settings::read(map)?;
        let mut classes: Vec<RequestClass> =
            class_settings.into_iter().map(RequestClass::new).collect();
        mark_high_priority(&mut classes);
        Ok(Dispatcher {
            rng: Pcg::new(seed),
            started_at: now,
            classes,
            max_attempts: settings.max_attempts.min(MAX_ATTEMPTS),
            exchanges_load: settings.exchanges_load && settings.dispatchers > 1.0,
            dispatchers: settings.dispatchers,
            rank: settings.rank as usize,
            unobserved_fraction: 1.0 - 1.0 / settings.dispatchers,
            low_traffic_factor: 1.0,
            zone_delays: ZoneDelays::new(settings.zone),
            settings,
            ..Dispatcher::default()
        })
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList { scope, endpoints } => {
                self.on_endpoint_list(now, scope, &endpoints, actions)
            }
            Event::RequestArrived(request) => self.on_request_arrived(now, request, actions),
            Event::AttemptStarted {
                request_id,
                attempt_index,
            } => self.on_attempt_started(now, request_id, attempt_index, actions),
            Event::StreamStarted { request_id } | Event::ClientDisconnected { request_id } => {
                self.apply_input(now, request_id, RequestInput::ClientDisconnected, actions)
            }
            Event::AttemptEnded(end) => self.on_attempt_ended(now, end, actions),
            // No decision requests health checks: attempts already show a worker's health. The
            // simulator's protocol can still deliver the event.
            Event::HealthChecked(_) => {}
            Event::PeerLoad { from, load } => self.on_peer_load(now, from, load),
            Event::FleetView(position) => self.set_fleet_position(now, position),
            Event::WarmUpGranted {
                worker,
                work,
                until,
            } => self.add_warm_up_grant(worker, work, until),
            Event::ShuttingDown { by } => self.advance_deadlines(by),
            Event::TimerFired { token: TICK_TIMER } => self.on_tick(now, actions),
            Event::TimerFired { token: POLL_TIMER } => self.poll_endpoints(now, actions),
            Event::TimerFired { token } => self.on_request_timer(now, token, actions),
        }
    }

    /// Returns whether the timer with this token still has an effect when it fires.
    pub fn needs_timer(&self, token: u64) -> bool {
        let (request_id, _) = attempt_of(token);
        matches!(token, TICK_TIMER | POLL_TIMER) || self.request_keys.contains_key(&request_id)
    }

    /// Limits all deadlines to `by`, so that each request is answered before the process exits.
    fn advance_deadlines(&mut self, by: Nanos) {
        for (_, active) in &mut self.requests {
            active.request.deadline = active.request.deadline.min(by);
            active.objective_deadline = active.objective_deadline.min(by);
        }
    }

    pub(super) fn on_tick(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer {
            at: now + TICK_INTERVAL,
            token: TICK_TIMER,
        });
        for times in &mut self.inter_arrival_times {
            times.update_estimate(now);
        }
        self.update_fleet_estimates(now);
        self.update_warm_up_budgets(now, actions);
        if self
            .workers
            .iter()
            .any(|worker| worker.connect_failures > 0)
        {
            self.select_subsets(now);
        }
        self.log_invalid_reports(actions);
        self.report_loads_in_use(now, actions);
        self.update_service_time_factors(now);
        self.log_outliers(now, actions);
    }

    /// Updates the estimates that cover the whole fleet of workers.
    pub(super) fn update_fleet_estimates(&mut self, now: Nanos) {
        self.update_mean_failure_score(now);
        self.update_capacity_per_size(now);
    }

    fn on_request_arrived(&mut self, now: Nanos, request: Request, actions: &mut Vec<Action>) {
        let class_index = usize::from(request.class);
        let Some(class) = self.classes.get_mut(class_index) else {
            // Without settings for the class it is unknown whether a retry is safe.
            actions.push(Action::Reject {
                request_id: request.id,
                retry_after: 0,
            });
            return;
        };
        let slots = f64::from(request.slots).max(1.0);
        let time_to_deadline = request.deadline.saturating_sub(now);
        let service_time = class.expected_service_time(request.hint, slots, time_to_deadline);
        let demand = RequestDemand {
            work: service_time * slots,
            service_time,
            // A worker has one unit of memory for each slot.
            slots_required: slots.max(f64::from(request.memory)),
        };
        class.record_request(demand.work);
        self.update_request_estimates(now);
        let class = &self.classes[class_index];
        self.inter_arrival_times[usize::from(class.high_priority)].record_arrival(now);
        let objective =
            class.settings.latency_objective + class.settings.objective_stretch * service_time;
        let objective_deadline = (now + objective as Nanos).min(request.deadline);
        let active = ActiveRequest::new(
            request,
            class.settings.idempotency,
            demand,
            objective_deadline,
        );
        let key = self.requests.insert(active);
        self.request_keys.insert(request.id, key);
        self.dispatch_request(now, key, actions);
    }

    /// Updates the low-traffic factor and the mean work of requests, then decays all histograms.
    fn update_request_estimates(&mut self, now: Nanos) {
        let requests = self
            .classes
            .iter()
            .map(|class| class.request_count)
            .sum::<f64>();
        self.low_traffic_factor =
            (MIN_HISTOGRAM_REQUESTS / requests).clamp(1.0, MAX_LOW_TRAFFIC_FACTOR);
        self.mean_work = self
            .classes
            .iter()
            .flat_map(|class| &class.histogram)
            .sum::<f64>()
            / requests;
        let half_life = HISTOGRAM_HALF_LIFE * self.low_traffic_factor;
        let factor = decay(1.0, self.histograms_decayed_at, now, half_life);
        self.histograms_decayed_at = now;
        for class in &mut self.classes {
            class.decay_histogram(factor);
        }
    }

    /// Sends a request to a worker, rejects it, or delays it until a warming worker may accept it. A
    /// request that can no longer be sent to any worker is given up at once.
    pub(super) fn dispatch_request(&mut self, now: Nanos, key: usize, actions: &mut Vec<Action>) {
        let active = &self.requests[key];
        let request_id = active.request.id;
        let attempts_sent = active.attempts_sent;
        let service_time = active.demand.service_time as Nanos;
        let objective_deadline = active.objective_deadline;
        let send_deadline = self.request_send_deadline(active);
        if attempts_sent >= self.max_attempts || now >= send_deadline {
            return self.apply_input(now, request_id, RequestInput::GivenUp, actions);
        }
        let interval = self.interval_of(now, key);
        let selection = self.select_worker(now, key, interval);
        if self.waits_for_grant(now, key, actions) {
            return;
        }
        match selection {
            Some(selection) if attempts_sent > 0 || self.admit(now, key, selection) => {
                self.send_attempt(now, key, selection, actions);
            }
            None if now + service_time < objective_deadline => actions.push(Action::SetTimer {
                at: (now + REDISPATCH_DELAY).min(send_deadline),
                token: attempt_timer(request_id, attempts_sent),
            }),
            _ => self.apply_input(now, request_id, RequestInput::GivenUp, actions),
        }
    }
}

/// Marks the classes above the median priority weight as of high priority.
fn mark_high_priority(classes: &mut [RequestClass]) {
    let mut weights: Vec<f64> = classes
        .iter()
        .map(|class| class.settings.priority_weight)
        .collect();
    weights.sort_by(f64::total_cmp);
    let count = weights.len();
    let median = if count == 0 {
        0.0
    } else {
        (weights[(count - 1) / 2] + weights[count / 2]) / 2.0
    };
    for class in classes {
        class.high_priority = class.settings.priority_weight > median;
    }
}
