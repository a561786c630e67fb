//! The dispatcher: its state, its start, and the events that it handles.
use crate::pcg::Pcg;
use crate::settings::{FIGURES, Map, pick, pick_or};
use crate::start_delays::StartDelays;
use crate::state::{
    ActiveRequest, Idempotency::NonIdempotent, InterArrivalTimes, MAX_ATTEMPTS, RequestClass,
    RequestInput, WeightBasis, Worker,
};
use crate::time::{SECOND, decay};
use crate::timers::{POLL_TIMER, TICK_INTERVAL, TICK_TIMER, token};
use crate::types::{Action, Event, Nanos, PeerLoad, Request, RequestId, WorkerId};
use crate::zones::ZoneDelays;
use rustc_hash::FxHashMap;
use slab::Slab;
use std::collections::BTreeMap;

/// One submitter's dispatcher; how to call it stands in `policy`.
#[derive(Default)]
pub struct Dispatcher {
    pub(crate) rng: Pcg,
    pub(crate) classes: Vec<RequestClass>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) worker_indices: FxHashMap<WorkerId, usize>,
    pub(crate) requests: Slab<ActiveRequest>,
    pub(crate) request_keys: FxHashMap<RequestId, usize>,
    pub(crate) inter_arrival_times: [InterArrivalTimes; 2],
    /// Where a report has its free slots and its jobs in flight.
    pub(crate) report_positions: [Option<usize>; 2],
    /// The settings that are numbers, or yes (1) and no (0).
    pub(crate) figures: BTreeMap<&'static str, f64>,
    pub(crate) polls_endpoints: bool,
    /// Whether dispatchers tell each other what they have out.
    pub(crate) exchanges_load: bool,
    /// Whether workers start jobs in the order of their coming.
    pub(crate) fifo_workers: bool,
    pub(crate) watching: bool,
    pub(crate) next_poll_at: Nanos,
    pub(crate) poll_failures: u32,
    pub(crate) max_attempts: usize,
    /// How many there are, and the part that this one does not see: a lone one knows all that waits.
    pub(crate) dispatchers: f64,
    /// Its place among them.
    pub(crate) rank: usize,
    /// How many the settings speak of, which no view changes, and whether it ever had a view.
    pub(crate) configured_dispatchers: f64,
    pub(crate) has_fleet_view: bool,
    /// Whether rights to cold workers are given by one of the dispatchers, and when this one started.
    pub(crate) uses_warm_up_grants: bool,
    pub(crate) started_at: Nanos,
    /// The cold worker, nearest to its lane, for which the request last looked at lacked a right.
    pub(crate) missing_grant_for: Option<usize>,
    pub(crate) unobserved_share: f64,
    /// How many dispatchers keep to one worker.
    pub(crate) dispatchers_per_worker: f64,
    pub(crate) histograms_decayed_at: Nanos,
    /// The pace of each kind of worker, and how many jobs tell it.
    pub(crate) worker_type_factors: Vec<(f64, f64)>,
    /// How rare jobs are here: 1 where the histogram holds 150 or more, up to 3.
    pub(crate) rarity: f64,
    /// The work of a mean job of late.
    pub(crate) mean_work: f64,
    /// How late attempts start of late, over all workers.
    pub(crate) start_delays: StartDelays,
    pub(crate) weight_basis: WeightBasis,
    pub(crate) mean_other_slots: f64,
    /// The part of the dearest requests turned away, of the last seven to twenty.
    pub(crate) rejected_share: f64,
    /// Figures in reports that cannot be, since the log was told.
    pub(crate) invalid_report_values: u64,
    /// The mean distrust, and the least capacity for a unit of listed size, as of the last beat.
    pub(crate) mean_failure_score: f64,
    pub(crate) capacity_per_size: f64,
    /// Workers with attempts of this dispatcher out, and room for the lanes' parts: kept to save allocations.
    pub(crate) workers_in_use: Vec<usize>,
    pub(crate) interval_weights: Vec<f64>,
    /// What the network takes to the own zone and beyond.
    pub(crate) zone_delays: ZoneDelays,
}

impl Dispatcher {
    pub(crate) fn read(now: Nanos, seed: u64, map: &Map) -> Result<Self, String> {
        let count: usize = pick(map, "class.count")?;
        let classes = (0..count)
            .map(|at| RequestClass::read(map, at))
            .collect::<Result<Vec<_>, _>>()?;
        let mut figures = BTreeMap::new();
        for name in FIGURES.split_whitespace() {
            let number = || pick::<f64>(map, name);
            figures.insert(
                name,
                pick::<bool>(map, name)
                    .map(f64::from)
                    .or_else(|_| number())?,
            );
        }
        let invalid_report_values = figures
            .iter()
            .find(|(_, value)| !(0.0..1e18).contains(*value));
        if let Some((name, value)) = invalid_report_values {
            return Err(format!("setting {name} is out of range: {value}"));
        }
        let fields: String = pick(map, "report.fields")?;
        let dispatchers = pick::<f64>(map, "dispatchers")?.max(1.0);
        let (exchanges_load, me) = (pick_or(map, "peer_load.allowed", false)?, figures["me"]);
        if exchanges_load && !(dispatchers <= 65_535.0 && me < dispatchers) {
            return Err(format!(
                "setting me is out of range: {me} of {dispatchers} dispatchers"
            ));
        }
        Ok(Dispatcher {
            rng: Pcg::new(seed),
            classes,
            dispatchers,
            rank: me as usize,
            configured_dispatchers: dispatchers,
            uses_warm_up_grants: pick_or(map, "warm_up_grants", false)?,
            started_at: now,
            unobserved_share: 1.0 - 1.0 / dispatchers,
            max_attempts: pick::<usize>(map, "attempts.max")?.min(MAX_ATTEMPTS),
            report_positions: ["free-slots", "inflight"]
                .map(|name| fields.split(',').position(|f| f == name)),
            figures,
            polls_endpoints: pick::<String>(map, "endpoints.mode")? == "polled",
            exchanges_load,
            fifo_workers: pick_or::<String>(map, "queue.order", "fifo".to_string())? == "fifo",
            weight_basis: WeightBasis::read(map)?,
            rarity: 1.0,
            zone_delays: ZoneDelays::new(pick_or(map, "zone", 0)?),
            ..Dispatcher::default()
        })
    }

    /// A setting that is a number, or yes (1) or no (0); 0 where there is none of the name.
    pub(crate) fn says(&self, name: &str) -> f64 {
        self.figures.get(name).copied().unwrap_or(0.0)
    }

    pub fn start(now: Nanos, seed: u64, map: &Map) -> Result<Self, String> {
        let mut new = Self::read(now, seed, map)?;
        let mut values: Vec<f64> = new.classes.iter().map(|class| class.value).collect();
        values.sort_by(f64::total_cmp);
        let count = values.len();
        let median = if count == 0 {
            0.0
        } else {
            (values[(count - 1) / 2] + values[count / 2]) / 2.0
        };
        new.classes
            .iter_mut()
            .for_each(|class| class.high_priority = class.value > median);
        new.exchanges_load &= new.dispatchers > 1.0;
        Ok(new)
    }

    pub fn handle(&mut self, now: Nanos, event: Event, acts: &mut Vec<Action>) {
        match event {
            Event::EndpointList { scope, endpoints } => {
                self.apply_endpoint_list(now, scope, &endpoints, acts)
            }
            Event::RequestArrived(request) => self.on_request_arrived(now, request, acts),
            Event::AttemptStarted {
                request_id,
                attempt_index,
            } => self.started(now, request_id, attempt_index, acts),
            Event::StreamStarted { request_id } | Event::ClientGone { request_id } => {
                self.apply_input(now, request_id, RequestInput::ClientGone, acts)
            }
            Event::AttemptEnded(end) => self.ended(now, end, acts),
            Event::HealthChecked(_) => {} // none is asked for
            Event::PeerLoad { from, load } => {
                if let Some(&at) = self.worker_indices.get(&load.worker) {
                    let worker = &mut self.workers[at];
                    worker.record_peer_load(now, from, load);
                    // Guards against a hung worker that each dispatcher finds out with a request of its own.
                    if load.speed_code == PeerLoad::SPEED_SILENT
                        && worker.last_response_at + 300_000_000 < now
                    {
                        worker
                            .failure_score
                            .add(now, Worker::FAILURE_HALF_LIFE, 0.8);
                    }
                }
            }
            Event::FleetView(position) => self.set_fleet_position(now, position),
            Event::WarmUpGranted {
                worker,
                work,
                until,
            } => self.add_warm_up_grant(worker, work, until),
            // This dispatcher ends: all in hand is answered by then, as at its deadline.
            Event::ShuttingDown { by } => self.requests.iter_mut().for_each(|(_, active)| {
                (active.request.deadline, active.objective_deadline) = (
                    active.request.deadline.min(by),
                    active.objective_deadline.min(by),
                );
            }),
            Event::TimerFired { token: TICK_TIMER } => self.tick(now, acts),
            Event::TimerFired { token: POLL_TIMER } => self.poll_endpoints(now, acts),
            Event::TimerFired { token } => self.on_request_timer(now, token, acts),
        }
    }

    pub(crate) fn tick(&mut self, now: Nanos, acts: &mut Vec<Action>) {
        acts.push(Action::SetTimer {
            at: now + TICK_INTERVAL,
            token: TICK_TIMER,
        });
        self.inter_arrival_times
            .iter_mut()
            .for_each(|inter_arrival_times| inter_arrival_times.measure(now));
        self.update_fleet_estimates(now);
        self.update_warm_up_budgets(now, acts);
        if self
            .workers
            .iter()
            .any(|worker| worker.connect_failures > 0)
        {
            self.select_subset(now);
        }
        if self.invalid_report_values > 0 {
            acts.push(Action::Log(format!(
                "{} absurd figures in reports",
                std::mem::take(&mut self.invalid_report_values)
            )));
        }
        for at in 0..if self.exchanges_load {
            self.workers.len()
        } else {
            0
        } {
            if self.workers[at].slots_in_use > 0.0 {
                self.report_load_to_peers(now, at, false, false, acts);
            }
        }
        for w in &mut self.workers {
            // Until it has run a job, what its kind has shown.
            if let Some((mean, _)) = self
                .worker_type_factors
                .get(usize::from(w.worker_type))
                .filter(|_| w.factor_samples == 0.0)
            {
                w.own_service_time_factor = *mean;
            }
            w.update_service_time_factor(now);
            let limit = if w.logged_as_outlier { 0.1 } else { 0.5 };
            if w.logged_as_outlier
                != (w.failure_score_for(now, self.mean_failure_score, 0, NonIdempotent) > limit)
            {
                w.logged_as_outlier = !w.logged_as_outlier;
                let what = if w.logged_as_outlier {
                    "distrusted"
                } else {
                    "trusted again"
                };
                acts.push(Action::Log(format!("worker {}: {what}", w.id)));
            }
        }
    }

    pub(crate) fn on_request_arrived(
        &mut self,
        now: Nanos,
        request: Request,
        acts: &mut Vec<Action>,
    ) {
        let Some(class) = self.classes.get_mut(usize::from(request.class)) else {
            // A class that the settings do not name: nothing is known that would make sending it safe.
            acts.push(Action::Reject {
                request_id: request.id,
                retry_after: 0,
            });
            return;
        };
        let slots = f64::from(request.slots).max(1.0);
        let run =
            class.expected_service_time(request.hint, slots, request.deadline.saturating_sub(now));
        // A job waits until both its slots and its memory fit; a worker has a unit of memory a slot.
        let (work, slots_required) = (run * slots, slots.max(f64::from(request.memory)));
        class.add(work);
        // Halves in 20 s, or under 150 jobs in up to 60 s, by when the mix moves; what starts tell likewise.
        let seen = self.classes.iter().map(|class| class.seen).sum::<f64>();
        self.rarity = (150.0 / seen).clamp(1.0, 3.0);
        self.mean_work = self
            .classes
            .iter()
            .flat_map(|class| &class.histogram)
            .sum::<f64>()
            / seen;
        let keep = decay(
            1.0,
            self.histograms_decayed_at,
            now,
            20.0 * SECOND * self.rarity,
        );
        self.histograms_decayed_at = now;
        self.classes.iter_mut().for_each(|class| class.age(keep));
        let class = &self.classes[usize::from(request.class)];
        self.inter_arrival_times[usize::from(class.high_priority)].arrival(now);
        let due = (now + (class.latency_objective + class.objective_stretch * run) as Nanos)
            .min(request.deadline);
        let key = self.requests.insert(ActiveRequest::new(
            request,
            class.idempotency,
            work,
            run,
            slots_required,
            due,
        ));
        self.request_keys.insert(request.id, key);
        self.dispatch_request(now, key, acts);
    }

    pub(crate) fn dispatch_request(&mut self, now: Nanos, key: usize, acts: &mut Vec<Action>) {
        let ActiveRequest {
            request: Request { id, deadline, .. },
            objective_deadline: due,
            service_time: run,
            attempts_sent,
            ..
        } = self.requests[key];
        if attempts_sent >= self.max_attempts || now >= deadline {
            return self.apply_input(now, id, RequestInput::GivenUp, acts);
        }
        let lane = self.lane(now, key);
        let chosen = self.select_worker(now, key, lane);
        match chosen {
            _ if self.waits_for_grant(now, key, acts) => {}
            Some((at, cost, strain)) if attempts_sent > 0 || self.admit(now, key, cost, strain) => {
                self.send_attempt(now, key, at, cost, acts);
            }
            // Cold workers may soon take more: ask again shortly, as long as it can still be in time.
            None if now + (run as Nanos) < due => {
                acts.push(Action::SetTimer {
                    at: now + 25_000_000,
                    token: token(id, attempts_sent),
                });
            }
            _ => self.apply_input(now, id, RequestInput::GivenUp, acts),
        }
    }
}

#[cfg(test)]
mod tests;
