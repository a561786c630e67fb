//! Every decision of rosewall. One `Dispatcher` serves one submitter and shares nothing with others.
//!
//! How it is called: `Dispatcher::start(now, seed, &map)` once, then `handle(now, event, &mut actions)`
//! for each event in the order of arrival. The same calls always give the same actions. Times are
//! nanoseconds on the caller's clock. The interface (events, actions, ids, outcomes) stands in
//! `types.rs`; the names that the map may hold stand in `docs/design.md`.
//! How to read it: `TABLE` says what may follow for a request, `select_worker` picks its worker, `recompute_intervals` draws the
//! lanes by DIFFEQAL, `Worker` holds what is believed of a worker, and `handle` joins them.
use crate::mutation::{Mutation, is_active};
use crate::start_delays::{AttemptId, Congestion, Sent};
pub use crate::state::Dispatcher;
use crate::state::Idempotency::{Idempotent, IdempotentWithKey, NonIdempotent};
use crate::state::RequestState::{Completed, InFlight, Pending, PendingMayHaveRun, RetryInFlight};
use crate::state::{
    ActiveRequest, Attempt, Idempotency, Map, RequestClass, RequestInput, RequestState, RequestStep,
};
use crate::state::{BINS, Bins, SECOND, decay, work_below};
use crate::state::{FailureScore, PeerLoadEstimate, Worker, token};
use crate::types::{
    Action, AttemptEnded, Endpoint, EndpointState, Event, ListScope, Nanos, Outcome, PeerLoad,
    Report,
};
use crate::types::{Request, RequestId};

#[cfg(test)]
mod tests;

/// Each dispatcher keeps to so many workers that at most twelve share each: few enough to hear of them and
/// reuse connections, enough that uneven traffic evens out.
const MAX_DISPATCHERS_PER_WORKER: f64 = 12.0;

/// So few share a worker at least, where there are that many; each then sees enough of it to know its queue.
const MIN_DISPATCHERS_PER_WORKER: f64 = 4.0;
/// What passing over all lanes costs where most share a worker, in mean waits: one of eight costs a fifth.
const SUBSET_DISTANCE_COST: f64 = 1.6;

/// No request is kept that would wait for so many times its time to spare: a class in this state loses no more by longer waits.
const MAX_STRAIN: f64 = 1.5;

const ALL: &[Idempotency] = &[Idempotent, IdempotentWithKey, NonIdempotent];

/// States, input, for which effects, next state, effect. What is not listed changes nothing.
type Row = (
    &'static [RequestState],
    RequestInput,
    &'static [Idempotency],
    RequestState,
    RequestStep,
);

const TABLE: &[Row] = &[
    (
        &[Pending],
        RequestInput::AttemptSent,
        ALL,
        InFlight,
        RequestStep::Nothing,
    ),
    (
        &[PendingMayHaveRun],
        RequestInput::AttemptSent,
        ALL,
        RetryInFlight,
        RequestStep::Nothing,
    ),
    (
        &[InFlight, RetryInFlight],
        RequestInput::Succeeded,
        ALL,
        Completed,
        RequestStep::Nothing,
    ),
    (
        &[InFlight],
        RequestInput::NotRun,
        ALL,
        Pending,
        RequestStep::Forward,
    ),
    (
        &[RetryInFlight],
        RequestInput::NotRun,
        ALL,
        PendingMayHaveRun,
        RequestStep::Forward,
    ),
    (
        &[InFlight],
        RequestInput::MayHaveRun,
        &[Idempotent],
        Pending,
        RequestStep::Forward,
    ),
    (
        &[InFlight, RetryInFlight],
        RequestInput::MayHaveRun,
        &[IdempotentWithKey],
        PendingMayHaveRun,
        RequestStep::Forward,
    ),
    (
        &[InFlight],
        RequestInput::MayHaveRun,
        &[NonIdempotent],
        Completed,
        RequestStep::Fail,
    ),
    (
        &[Pending],
        RequestInput::GivenUp,
        ALL,
        Completed,
        RequestStep::Reject,
    ),
    (
        &[InFlight, PendingMayHaveRun, RetryInFlight],
        RequestInput::GivenUp,
        ALL,
        Completed,
        RequestStep::Fail,
    ),
    (
        &[Pending, InFlight, PendingMayHaveRun, RetryInFlight],
        RequestInput::ClientGone,
        ALL,
        Completed,
        RequestStep::Nothing,
    ),
];

fn next(
    state: RequestState,
    input: RequestInput,
    idempotency: Idempotency,
) -> (RequestState, RequestStep) {
    let row = TABLE
        .iter()
        .find(|row| row.0.contains(&state) && row.1 == input && row.2.contains(&idempotency));
    row.map_or((state, RequestStep::Nothing), |row| (row.3, row.4))
}

/// An outcome counts as "not run" only where it proves it.
fn classify_outcome(outcome: Outcome) -> RequestInput {
    match outcome {
        Outcome::Succeeded => RequestInput::Succeeded,
        Outcome::AtCapacity | Outcome::ConnectFailed | Outcome::NotSent => RequestInput::NotRun,
        // Nothing is proven, and no worker is to blame. Guards against clients that spoil trust.
        Outcome::InvalidRequest => RequestInput::GivenUp,
        Outcome::WorkerError | Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled => {
            RequestInput::MayHaveRun
        }
    }
}

/// The source's semi-geometric routine: `n` shifts that sum to 0, the first of them `-r`.
fn shifts(n: usize, r: f64) -> impl Iterator<Item = f64> {
    let (mut adjust, mut later) = (-r, 0.0);
    (0..n).map(move |i| {
        let left = n - 1 - i;
        let p = if left > 0 { later + adjust } else { later };
        later -= adjust / left.max(1) as f64;
        adjust /= 2.0;
        p
    })
}

/// Where each lane ends, as work of the class `own`: a lane that step one gives the part `targets[i]` of the
/// work in `whole` keeps (1 + shift i) times what it then has of the class (step two).
fn interval_bounds_into(
    whole: &Bins,
    own: &Bins,
    interval_weights: &[f64],
    shift: impl Iterator<Item = f64>,
    interval_bounds: &mut Vec<f64>,
) {
    let scale =
        whole.iter().sum::<f64>() / interval_weights.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    let (mut bin, mut used, mut sum, mut end) = (0, 0.0, 0.0, 0.0);
    interval_bounds.clear();
    for (target, p) in interval_weights.iter().zip(shift) {
        let mut left = target * scale;
        while bin < BINS && whole[bin] - used <= left {
            sum += own[bin] * (1.0 - used / whole[bin].max(f64::MIN_POSITIVE));
            left -= whole[bin] - used;
            (bin, used) = (bin + 1, 0.0);
        }
        if bin < BINS {
            used += left;
            sum += own[bin] * left / whole[bin];
        }
        end += (1.0 + p) * std::mem::take(&mut sum);
        interval_bounds.push(end);
    }
}

/// R, then the shift of the low and of the high class, from both autocorrelations.
fn shift_ratios(low: f64, high: f64) -> (f64, f64, f64) {
    // Present above 0.1; shifts of 40, 40 and 20%: all from the design page.
    let present = |estimate: f64| estimate > 0.1;
    let r = if present(low) || present(high) {
        0.4
    } else {
        0.0
    };
    if present(high) && high > low {
        (r, 0.0, 0.2)
    } else {
        (r, 0.4, 0.0)
    }
}

impl Worker {
    /// Distrust halves in 5 s: several times the time between attempts to one worker at low traffic.
    pub(crate) const FAILURE_HALF_LIFE: f64 = 5.0 * SECOND;
    /// Distrust above the fleet's mean: when all look bad at once, no one is worse than another. Or what
    /// errors of the class left, for which starts do not make up; of any, for what cannot be posted again.
    /// Guards against a worker that starts all and fails most, or one class.
    fn failure_score_for(
        &self,
        now: Nanos,
        mean: f64,
        class: usize,
        idempotency: Idempotency,
    ) -> f64 {
        let all = (self.failure_score.now(now, Worker::FAILURE_HALF_LIFE) - mean).clamp(0.0, 0.95);
        let of = self
            .class_failure_scores
            .iter()
            .enumerate()
            .filter(|(at, _)| *at == class || idempotency == NonIdempotent);
        of.map(|(_, failure_score)| failure_score.now(now, 3.0 * Worker::FAILURE_HALF_LIFE))
            .fold(all, f64::max)
    }

    /// It took no connection: for 1 s, and twice as long each time that it does so again, it has no lane.
    fn record_connect_failure(&mut self, now: Nanos) {
        if !self.is_unreachable(now) {
            let wait = 1_000_000_000 << self.connect_failures.min(4);
            (self.connect_failures, self.connect_retry_at) =
                (self.connect_failures + 1, now + wait);
        }
    }
}

/// The timers of the beat, each second, and of the next call for the list; others carry a request's id and attempt.
const TICK_TIMER: u64 = u64::MAX;
const POLL_TIMER: u64 = u64::MAX - 1;
const TICK_INTERVAL: Nanos = 1_000_000_000;
/// What is out is told again where others would take it for this part of a mean job more or less than it is
/// (a fifth and a half did worse), and each 4 s: it counts for 10 s, should two messages be lost.
const PEER_LOAD_TOLERANCE: f64 = 0.3;
const PEER_LOAD_REFRESH: Nanos = 4_000_000_000;

impl Dispatcher {
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

    fn tick(&mut self, now: Nanos, acts: &mut Vec<Action>) {
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

    /// Tells those who keep to a worker what this dispatcher has out there and how it runs, as far as they
    /// would be wrong: they let go on by themselves what they were told. Guards against what a partial view
    /// costs: each takes for free what another has just filled, and finds out by itself who is slow.
    fn report_load_to_peers(
        &mut self,
        now: Nanos,
        at: usize,
        due: bool,
        silent: bool,
        acts: &mut Vec<Action>,
    ) {
        if !self.exchanges_load {
            return;
        }
        self.refresh_worker_loads(now);
        let worker = &mut self.workers[at];
        let Worker {
            id,
            slots_in_use: out,
            remaining_work: ahead,
            last_sent_load,
            ..
        } = *worker;
        let right = (ahead - last_sent_load.remaining(now, worker.slots).1).abs()
            <= PEER_LOAD_TOLERANCE * self.mean_work;
        if !due && right && (out == 0.0 || now < last_sent_load.at + PEER_LOAD_REFRESH) {
            return;
        }
        worker.last_sent_load = PeerLoadEstimate {
            slots: out,
            work: ahead,
            at: now,
            ..last_sent_load
        };
        let (service_time_factor, jobs) = worker.observed_service_time_factor();
        let known = if jobs > 0.0 {
            PeerLoad::encode_speed(service_time_factor)
        } else {
            PeerLoad::SPEED_UNKNOWN
        };
        let speed_code = if silent {
            PeerLoad::SPEED_SILENT
        } else {
            known
        };
        let load = PeerLoad {
            worker: id,
            half_slots: (2.0 * out).ceil() as u8,
            work: (ahead / 16e6) as u16,
            speed_code,
        };
        let (me, all) = (self.rank, self.dispatchers as usize);
        let place = |s: &RequestClass| {
            Some((
                s.eligible_workers.iter().position(|worker| *worker == at)?,
                s.eligible_workers.len(),
            ))
        };
        let Some((place, n)) = self.classes.iter().find_map(place) else {
            return;
        };
        let m = self.subset_size(n);
        if self.has_fleet_view {
            return acts.extend(
                self.ranked_peers(place, n, m)
                    .map(|to| Action::SendPeerLoad { to, load }),
            );
        }
        let lane = (0..m).rfind(|lane| lane * n / m <= place).unwrap_or(0);
        // By the turns of `select_subset` one of each `len` dispatchers in a row.
        let (from, len) = (lane * n / m, (lane + 1) * n / m - lane * n / m);
        let of = |row: usize| row * len + (place - from + len - lane * row % len) % len;
        let others = (0..=all / len).map(of).filter(|to| *to < all && *to != me);
        acts.extend(others.map(|to| Action::SendPeerLoad {
            to: to as u16,
            load,
        }));
    }

    fn update_fleet_estimates(&mut self, now: Nanos) {
        let ready = || {
            self.workers
                .iter()
                .filter(|worker| worker.state == EndpointState::Ready)
        };
        self.mean_failure_score = ready()
            .map(|w| w.failure_score.now(now, Worker::FAILURE_HALF_LIFE))
            .sum::<f64>()
            / ready().count().max(1) as f64;
        // Full capacity by what is known of the fleet: seats at their pace for their size, the least fourth
        // of the warm where there are some. Guards against a figure that falls with their number, as of many
        // one is slow, and against a mean of large and small.
        let some = ready().any(|w| self.warmth(w, now) >= 1.0);
        let full = ready().filter(|w| !some || self.warmth(w, now) >= 1.0);
        // And none is taken to be faster than hints say, as the cold one may be the slow one. Only its own
        // jobs tell of it here: a kind's mean for all not yet seen left cold workers idle.
        let service_time_factor = |w: &Worker| {
            if w.factor_samples > 0.0 {
                w.service_time_factor.max(1.0)
            } else {
                1.0
            }
        };
        let mut units: Vec<f64> = full
            .map(|w| w.slots / service_time_factor(w) / w.size)
            .collect();
        units.sort_unstable_by(f64::total_cmp);
        self.capacity_per_size = units
            .get(units.len().saturating_sub(1) / 4)
            .copied()
            .unwrap_or(0.0);
    }

    fn poll_endpoints(&mut self, now: Nanos, acts: &mut Vec<Action>) {
        if self.polls_endpoints && !self.watching && now >= self.next_poll_at {
            self.next_poll_at = Nanos::MAX; // until this call has failed
            acts.push(Action::WatchEndpoints);
        }
    }

    fn apply_endpoint_list(
        &mut self,
        now: Nanos,
        scope: ListScope,
        endpoints: &[Endpoint],
        acts: &mut Vec<Action>,
    ) {
        match scope {
            ListScope::Failed => {
                // Twice as long after each failure up to 4 s, spread so that dispatchers do not call as one,
                // and by a timer of its own, not on the beat, which all who started together share.
                let wait = 0.5 * SECOND * f64::from(1 << self.poll_failures.min(3));
                self.poll_failures += 1;
                self.watching = false;
                self.next_poll_at = now + (wait * (0.5 + self.rng.unit())) as Nanos;
                acts.push(Action::SetTimer {
                    at: self.next_poll_at,
                    token: POLL_TIMER,
                });
                return;
            }
            ListScope::Cached => acts.push(Action::SetTimer {
                at: now + TICK_INTERVAL,
                token: TICK_TIMER,
            }), // the first event
            ListScope::Delta | ListScope::Snapshot => {
                (self.watching, self.poll_failures) = (true, 0)
            }
        }
        if scope != ListScope::Delta {
            // Whoever a whole list leaves out is gone.
            self.workers
                .iter_mut()
                .for_each(|worker| worker.state = EndpointState::Removed);
        }
        for entry in endpoints {
            let at = *self
                .worker_indices
                .entry(entry.worker)
                .or_insert(self.workers.len());
            if at == self.workers.len() {
                self.workers
                    .push(Worker::new(entry.worker, entry.started, self.classes.len()));
            }
            let worker = &mut self.workers[at];
            if entry.started != worker.started_at {
                // A new process: what was held against the old one is void, and it starts cold.
                (
                    worker.failure_score,
                    worker.unresponsive,
                    worker.start_delay,
                ) = Default::default();
                worker.class_failure_scores.fill(FailureScore::default());
                // What went to it before its start was told of counts too.
                worker.recent_work.retain(|(at, _)| *at >= entry.started);
                (worker.connect_failures, worker.connect_retry_at) = (0, 0);
                worker.started_at = entry.started;
            }
            (worker.state, worker.zone, worker.worker_type) =
                (entry.state, entry.zone, entry.worker_type);
            if entry.state == EndpointState::Draining && is_active(Mutation::IgnoreDraining) {
                worker.state = EndpointState::Ready;
            }
            if scope == ListScope::Cached {
                // What this turn's budget held may have been sent before a restart.
                worker.recent_work.push_back((now, f64::INFINITY));
            }
            (worker.group, worker.size) = (entry.group, f64::from(entry.size).max(0.01));
        }
        let mut order: Vec<usize> = (0..self.workers.len()).collect();
        order.retain(|at| self.workers[*at].state == EndpointState::Ready);
        order.sort_unstable_by_key(|at| self.workers[*at].id);
        for class in &mut self.classes {
            let fits = |w: &usize| {
                class.worker_type < 0
                    || i64::from(self.workers[*w].worker_type) == class.worker_type
            };
            class.eligible_workers = order.iter().copied().filter(fits).collect();
        }
        self.select_subset(now);
        self.update_fleet_estimates(now);
        self.update_warm_up_budgets(now, acts);
        self.poll_endpoints(now, acts);
    }

    /// Into how many stretches so many workers are cut, for each dispatcher to keep to one of each. Eight, as
    /// long as four to twelve share a worker: fewer lanes are heard of more often, and by more the chance of
    /// who sends how much evens out. Those who tell each other hear from however many share.
    fn subset_size(&self, n: usize) -> usize {
        let each = n as f64 / self.octave_dispatchers();
        let most = if self.exchanges_load {
            f64::INFINITY
        } else {
            MAX_DISPATCHERS_PER_WORKER * each
        };
        (8.0_f64
            .max(MIN_DISPATCHERS_PER_WORKER * each)
            .min(most)
            .ceil() as usize)
            .min(n)
    }

    /// Which workers each class's lanes are: one of each stretch of ids, by turns over the dispatchers.
    pub(crate) fn select_subset(&mut self, now: Nanos) {
        self.dispatchers_per_worker = 1.0;
        for at in 0..self.classes.len() {
            let (me, all) = (self.rank, &self.classes[at].eligible_workers);
            let n = all.len();
            let m = self.subset_size(n);
            let pick = |lane: usize| {
                let among = &all[lane * n / m..(lane + 1) * n / m];
                let (len, block) = (among.len(), me / among.len());
                let turn = (me + lane * block) % len;
                // In place of one that takes no connection another of its stretch, each block of dispatchers
                // its own, but none that is cold: its turns count on who keeps to it. Guards against lanes
                // that lead nowhere for as long as no one tells that their workers are gone.
                let other = |step: usize| (turn + 1 + (block + step) % (len - 1)) % len;
                let others = (0..len - 1).map(|step| among[other(step)]);
                let warm = others.filter(|at| self.warmth(&self.workers[*at], now) >= 1.0);
                let mut all = std::iter::once(among[turn]).chain(warm);
                all.find(|at| !self.workers[*at].is_unreachable(now))
                    .unwrap_or(among[turn])
            };
            let subset = if self.has_fleet_view {
                self.ranked_subset(now, all, m)
            } else {
                (0..m).map(pick).collect()
            };
            self.classes[at].subset = subset;
            self.dispatchers_per_worker = f64::max(
                self.dispatchers_per_worker,
                self.dispatchers * m as f64 / (n as f64).max(1.0),
            );
        }
    }

    /// The part of its full capacity that a worker surely has: the settings' slowest way up.
    pub(crate) fn warmth(&self, worker: &Worker, now: Nanos) -> f64 {
        if worker.started_at == 0 {
            return 1.0;
        }
        let (age, from) = (
            now.saturating_sub(worker.started_at) as f64,
            self.says("slow_start.from"),
        );
        (from + (1.0 - from) * age / self.says("slow_start.duration").max(1.0)).min(1.0)
    }

    /// What one dispatcher may send to a cold worker in any window, and for how many of those that keep to it
    /// this one stands: none where it is not its turn. All clocks are one, and numbers next to each other
    /// take different workers of a stretch. Guards against parts in which no job fits.
    fn warm_up_turn(&self, worker: &Worker, now: Nanos) -> (f64, f64) {
        if self.uses_warm_up_grants {
            return self.reserved_allowance(worker, now);
        }
        let (warmth, window) = (
            self.warmth(worker, now),
            self.says("overload.window").max(1.0),
        );
        // Half of what is allowed: a third may come from those not told of its start, the rest is for hints.
        let most = 0.5
            * self.says("overload.multiple")
            * self.capacity_per_size
            * worker.size
            * warmth
            * window;
        let turns = if self.exchanges_load {
            self.dispatchers_per_worker.ceil()
        } else {
            MAX_DISPATCHERS_PER_WORKER
        }
        .min(self.dispatchers);
        // Two have a turn at once, and more as it warms, as one has few requests in a window; the part of each
        // stays what it is at the start. All count alike, by what the list and the settings tell.
        let at_once = (2.0 * warmth / self.says("slow_start.from").max(0.01))
            .floor()
            .clamp(1.0, turns);
        let place = (self.says("me") * turns / self.dispatchers) as u64;
        let [a, b, c, d] = worker.id.addr.map(u64::from);
        let of = a + b + c + d + u64::from(worker.id.port);
        // A turn lasts four windows, of which the first is a rest: those before may have filled it.
        let at = now / window as u64 + of;
        let mine = !at.is_multiple_of(4) && (at / 4 + of + place) % (turns as u64) < at_once as u64;
        (most / at_once, if mine { turns / at_once } else { 0.0 })
    }

    /// What this dispatcher may still send to a cold worker now.
    pub(crate) fn warm_up_allowance(&self, worker: &Worker, now: Nanos) -> f64 {
        let (most, part) = self.warm_up_turn(worker, now);
        let from = now.saturating_sub(self.says("overload.window") as Nanos);
        let recent_work = worker
            .recent_work
            .iter()
            .filter(|(at, _)| *at >= from)
            .map(|(_, work)| work);
        let own = if part > 0.0 {
            most - recent_work.sum::<f64>()
        } else {
            0.0
        };
        if self.uses_warm_up_grants {
            own.max(0.0) + worker.unused_grants(now)
        } else {
            own
        }
    }

    /// Draws a class's lanes anew.
    fn recompute_intervals(&mut self, now: Nanos, at: usize) {
        let (r, low, high) = shift_ratios(
            self.inter_arrival_times[0].estimate,
            self.inter_arrival_times[1].estimate,
        );
        let lone = self
            .classes
            .iter()
            .all(|class| class.high_priority == self.classes[0].high_priority);
        let mut whole = [0.0; BINS];
        for class in self
            .classes
            .iter()
            .filter(|class| class.worker_type == self.classes[at].worker_type)
        {
            whole
                .iter_mut()
                .zip(&class.histogram)
                .for_each(|(sum, work)| *sum += work);
        }
        let idempotency = self.classes[at].idempotency;
        let mut interval_weights = std::mem::take(&mut self.interval_weights);
        interval_weights.clear();
        interval_weights.extend(
            shifts(self.classes[at].subset.len(), r)
                .zip(&self.classes[at].subset)
                .map(|(p, w)| {
                    let (worker, warmth) = (&self.workers[*w], self.warmth(&self.workers[*w], now));
                    // One that is sent to by turns has the whole of its part in its turn.
                    let turn = if warmth < 1.0 {
                        self.warm_up_turn(worker, now).1
                    } else {
                        1.0
                    };
                    let part = if self.uses_warm_up_grants && self.has_fleet_view {
                        warmth
                    } else {
                        warmth.min(1.0) * turn
                    };
                    (1.0 + p)
                        * worker.size
                        * (1.0
                            - worker.failure_score_for(
                                now,
                                self.mean_failure_score,
                                at,
                                idempotency,
                            ))
                        * part
                }),
        );
        let class = &mut self.classes[at];
        let shift = if lone {
            0.0
        } else {
            [low, high][usize::from(class.high_priority)]
        };
        interval_bounds_into(
            &whole,
            &class.histogram,
            &interval_weights,
            shifts(interval_weights.len(), shift),
            &mut class.interval_bounds,
        );
        self.interval_weights = interval_weights;
    }

    /// The place of a request among its class's lanes.
    fn lane(&mut self, now: Nanos, key: usize) -> usize {
        let ActiveRequest { request, work, .. } = self.requests[key];
        self.recompute_intervals(now, usize::from(request.class));
        let class = &self.classes[usize::from(request.class)];
        // The request is itself in the histogram: one larger than all before falls on one of the lanes that its
        // own work fills, not always on the last. Guards against a crowd at the end where few are seen each.
        let place = work_below(&class.histogram, work) / class.histogram.iter().sum::<f64>();
        let last = class.interval_bounds.last().copied().unwrap_or(0.0);
        let lane = class
            .interval_bounds
            .partition_point(|end| *end <= place * last);
        lane.min(class.subset.len().saturating_sub(1))
    }

    /// The worker for a request, and how long it would wait there: its lane's, or the nearest id neighbour that
    /// can start it soon enough; failing that, the one with the least to wait.
    fn select_worker(&mut self, now: Nanos, key: usize, mine: usize) -> Option<(usize, f64, f64)> {
        self.refresh_worker_loads(now);
        let active = &self.requests[key];
        let ActiveRequest {
            request,
            idempotency,
            warm_up_work: most,
            slots_required,
            first_uncertain_attempt: doubt,
            ..
        } = *active;
        let class = &self.classes[usize::from(request.class)];
        // Where a repeat is bound to a group, its workers may be any in the list.
        let bound = doubt.filter(|_| {
            idempotency == IdempotentWithKey && !is_active(Mutation::IgnoreRetryWindow)
        });
        let (subset, mean) = (
            if bound.is_some() {
                &class.eligible_workers
            } else {
                &class.subset
            },
            class.mean(),
        );
        let Congestion { delay, late } = self.start_delays.congestion(now, self.rarity);
        let fleet = self.unobserved_share * delay;
        // Guards against lanes that hold all sizes once the whole fleet has queues of which each sees little.
        let unknown = ((self.dispatchers_per_worker - MIN_DISPATCHERS_PER_WORKER)
            / (MAX_DISPATCHERS_PER_WORKER - MIN_DISPATCHERS_PER_WORKER))
            .clamp(0.0, 1.0);
        let each_lane = SUBSET_DISTANCE_COST * unknown * fleet / subset.len().max(1) as f64;
        let (mut least, mut best) = (f64::INFINITY, None);
        self.missing_grant_for = None;
        for step in 0..2 * subset.len() {
            let far = step.div_ceil(2);
            let lane = if step % 2 == 1 {
                mine.checked_add(far)
            } else {
                mine.checked_sub(far)
            };
            let Some(&at) = lane.and_then(|lane| subset.get(lane)) else {
                continue;
            };
            if let Some((first, since)) = bound {
                let (a, b) = (&self.workers[first], &self.workers[at]);
                let drops = match class.group.as_str() {
                    "all" => true,
                    "zone" => a.zone == b.zone,
                    _ => a.group == b.group,
                };
                if !drops || now >= since + class.window {
                    continue;
                }
            }
            let worker = &self.workers[at];
            // One's part of the seats, which a job as large may have alone, less what others told of.
            let (sharing, all) = (
                if self.exchanges_load {
                    1.0
                } else {
                    self.dispatchers
                },
                worker.slots.round(),
            );
            let (part, told) = ((all / sharing).max(1.0), worker.peer_load(now).0);
            let seat = worker.slots_in_use + told + slots_required.min(part) <= part;
            let doubt = worker.failure_score_for(
                now,
                self.mean_failure_score,
                usize::from(request.class),
                idempotency,
            );
            let cold = self.warmth(worker, now) < 1.0;
            if cold
                && self.warm_up_allowance(worker, now) < most
                && !is_active(Mutation::IgnoreSlowStart)
            {
                self.missing_grant_for = self.missing_grant_for.or(seat.then_some(at));
                continue;
            }
            let room = active
                .time_to_spare(now, worker.service_time_factor)
                .max(1.0);
            // Who is sent to by turns and within a budget is not as busy as the rest.
            let others = if cold {
                (0.0, 0.0)
            } else {
                (fleet * room, self.mean_other_slots)
            };
            let wait = worker.wait(now, slots_required, mean, others);
            let strain = wait / room + self.zone_delays.part(worker.zone, room);
            // Taken when there is a seat for it in this dispatcher's part, the worker is not distrusted, and
            // it would start about at once: a twentieth of the room before the SLA time is within error.
            if seat && doubt < 0.25 && strain < 0.05 {
                return Some((at, wait, wait / room));
            }
            // Own jobs in flight, and their work, weigh again: what others see and do is alike. A job that
            // fails loses all, one that waits out its room a part. And it failed there before.
            let failed = active.attempts[..active.attempts_sent]
                .iter()
                .any(|attempt| attempt.worker == at);
            let held = (worker.remaining_work / room + worker.slots_in_use) / worker.slots;
            let apart = if bound.is_some() {
                0.0
            } else {
                each_lane * far as f64
            };
            let cost = strain + held + doubt + f64::from(failed) + apart;
            if cost < least {
                // Turned away is by the queue: that a worker is slow shortens its room, but is no overload,
                // and counts only as far as starts are late.
                let service_time_factor =
                    1.0 + (worker.service_time_factor - 1.0) * (3.0 * late).min(1.0);
                (least, best) = (
                    cost,
                    Some((
                        at,
                        wait,
                        wait / active.time_to_spare(now, service_time_factor).max(1.0),
                    )),
                );
            }
        }
        best
    }

    fn on_request_arrived(&mut self, now: Nanos, request: Request, acts: &mut Vec<Action>) {
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

    fn dispatch_request(&mut self, now: Nanos, key: usize, acts: &mut Vec<Action>) {
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

    /// Overload: a request with too little of its room left after waiting is turned away by chance, the cheaper
    /// ones more often, and sooner the more of the last seven to twenty started too late. Guards against a
    /// jam that keeps itself up, and, waits being guesses, against declines while all goes well.
    fn admit(&mut self, now: Nanos, key: usize, wait: f64, strain: f64) -> bool {
        let class = usize::from(self.requests[key].request.class);
        let worth = self.classes[class].worth(self.weight_basis);
        let most = self
            .classes
            .iter()
            .map(|class| class.worth(self.weight_basis))
            .fold(0.0, f64::max);
        let late = self.start_delays.congestion(now, self.rarity).late;
        let strain =
            strain + self.rejected_share * self.strain_on_other_classes(class, wait, strain);
        let fits = (3.0 - 2.0 * strain * (1.0 + 3.0 * late)).clamp(0.0, 1.0);
        let kept = fits >= 1.0 || self.rng.unit() < fits.powf(most / worth);
        if worth >= most {
            self.rejected_share += 0.05 * self.rarity * (f64::from(!kept) - self.rejected_share);
        }
        kept
    }

    /// How much more a wait strains another class than the one that would add to it, as far as the other is worth
    /// as much. Guards against queues that only the class with the longest time to spare can bear: it alone was served.
    fn strain_on_other_classes(&self, class: usize, wait: f64, strain: f64) -> f64 {
        let worth = self.classes[class].worth(self.weight_basis);
        let others = self
            .classes
            .iter()
            .enumerate()
            .filter(|(at, other)| *at != class && other.seen > 0.0);
        let strains = others.map(|(_, other)| {
            let part = (other.worth(self.weight_basis) / worth).min(1.0);
            part * ((wait / other.mean_time_to_spare()).min(MAX_STRAIN) - strain)
        });
        strains.fold(0.0, f64::max)
    }

    fn send_attempt(
        &mut self,
        now: Nanos,
        key: usize,
        at: usize,
        cost: f64,
        acts: &mut Vec<Action>,
    ) {
        let start_notes = self.says("start_notes") > 0.0;
        let chosen = &self.workers[at];
        let cold = self.warmth(chosen, now) < 1.0;
        let from = now.saturating_sub(self.says("overload.window") as Nanos);
        let active = &mut self.requests[key];
        let worker = &mut self.workers[at];
        worker.recent_work.retain(|(at, _)| *at >= from);
        let own = if cold {
            worker.consume_grants(now, active.warm_up_work)
        } else {
            active.warm_up_work
        };
        worker.recent_work.push_back((now, own));
        let expected_wait = worker.queue(active.slots_required, worker.peer_load(now));
        active.attempts[active.attempts_sent] = Attempt {
            worker: at,
            sent_at: now,
            expected_wait,
            started_at: None,
            in_flight: true,
        };
        let token = token(active.request.id, active.attempts_sent);
        let id = AttemptId {
            request: active.request.id,
            number: active.attempts_sent as u8,
        };
        let time_to_spare = active.time_to_spare(now, worker.service_time_factor);
        self.start_delays.sent(Sent {
            id,
            at: now,
            expected_wait,
            time_to_spare,
            service_time: active.service_time,
        });
        active.attempts_sent += 1;
        active.state = next(active.state, RequestInput::AttemptSent, active.idempotency).0;
        acts.push(Action::SendAttempt {
            request_id: active.request.id,
            worker: worker.id,
        });
        // Overdue: a start later than expected by 300 ms, or without start notes by twice the run. Others'
        // jobs there are, by the lanes, of like size: where none was heard of, one may be ahead. Guards
        // against taking for hung, among many dispatchers, what is only busy with others' work.
        let ahead =
            self.unobserved_share * (1.0 - decay(1.0, worker.last_response_at, now, SECOND));
        let run = if start_notes { ahead } else { 2.0 }
            * active.service_time
            * worker.service_time_factor;
        let overdue = now + (cost.min(2.0 * SECOND) * 1.5 + run + 0.3 * SECOND) as Nanos;
        acts.push(Action::SetTimer { at: overdue, token });
        self.report_load_to_peers(now, at, false, false, acts);
    }

    fn started(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        attempt_index: u8,
        acts: &mut Vec<Action>,
    ) {
        let Some((key, attempt)) = self.attempt(request_id, attempt_index) else {
            return;
        };
        self.requests[key].attempts[usize::from(attempt_index)].started_at = Some(now);
        self.refresh_worker_loads(now);
        let worker = &mut self.workers[attempt.worker];
        worker.record_response(now, 0.1);
        worker.latest_started_sent_at = worker.latest_started_sent_at.max(if self.fifo_workers {
            attempt.sent_at
        } else {
            0
        });
        if std::mem::take(&mut worker.unresponsive) {
            worker.failure_score = FailureScore::default();
        }
        (worker.start_delay, worker.start_delay_at) = (attempt.delay(now), now);
        self.zone_delays.observe(worker.zone, worker.start_delay);
        self.start_delays.started(
            AttemptId {
                request: request_id,
                number: attempt_index,
            },
            now,
        );
        let active = &self.requests[key];
        let run = 2.0 * active.service_time * worker.service_time_factor + 0.5 * SECOND;
        acts.push(Action::SetTimer {
            at: now + run as Nanos,
            token: token(request_id, usize::from(attempt_index)),
        });
    }

    /// A timer of one request: it is still held, or an attempt is overdue.
    fn on_request_timer(&mut self, now: Nanos, token: u64, acts: &mut Vec<Action>) {
        let (request_id, attempt_index) = (token as RequestId, (token >> 32) as usize);
        let Some(&key) = self.request_keys.get(&request_id) else {
            return;
        };
        let active = &self.requests[key];
        if matches!(active.state, Pending | PendingMayHaveRun)
            && attempt_index == active.attempts_sent
        {
            return self.dispatch_request(now, key, acts);
        }
        let Some((_, attempt)) = self.attempt(request_id, attempt_index as u8) else {
            return;
        };
        let worker = &mut self.workers[attempt.worker];
        // A worker that has shown life since is only busy; one that has not may be hung.
        let silent = attempt.started_at.is_none() && worker.last_response_at < attempt.sent_at;
        let by = if silent {
            0.8
        } else {
            f64::from(attempt.started_at.is_some()) * 0.15
        };
        worker.failure_score.add(now, Worker::FAILURE_HALF_LIFE, by);
        if silent {
            worker.unresponsive = true;
            self.report_load_to_peers(now, attempt.worker, true, true, acts);
        }
        let age = now - attempt.started_at.unwrap_or(attempt.sent_at);
        acts.push(Action::SetTimer {
            at: now + age.max(300_000_000),
            token,
        });
    }

    fn ended(&mut self, now: Nanos, end: AttemptEnded, acts: &mut Vec<Action>) {
        let AttemptEnded {
            request_id,
            attempt_index,
            outcome,
            complete,
            report,
        } = end;
        let Some((key, attempt)) = self.attempt(request_id, attempt_index) else {
            return;
        };
        if outcome == Outcome::Succeeded {
            self.learn_slots(now, key, attempt.worker);
        }
        self.requests[key].attempts[usize::from(attempt_index)].in_flight = false;
        self.start_delays.ended(AttemptId {
            request: request_id,
            number: attempt_index,
        });
        self.read_report(now, attempt.worker, report);
        let ActiveRequest {
            service_time: run,
            objective_deadline: due,
            request: Request { class, hint, .. },
            ..
        } = self.requests[key];
        let class = usize::from(class);
        let warm = self.warmth(&self.workers[attempt.worker], now) >= 1.0;
        let mut slow = false;
        let worker = &mut self.workers[attempt.worker];
        if outcome == Outcome::ConnectFailed {
            worker.record_connect_failure(now);
        }
        if classify_outcome(outcome) == RequestInput::NotRun {
            // Its wait is this request's whole room. Guards against a worker that is full, dead or drains
            // unannounced: answering at once, it would look idle and draw all that waits.
            (worker.start_delay, worker.start_delay_at) =
                (worker.start_delay.max(due.saturating_sub(now) as f64), now);
        }
        match outcome {
            Outcome::Succeeded => {
                if let Some(from) = attempt.started_at {
                    self.classes[class].observe_service_time(hint, (now - from) as f64);
                    // One job tells little of a worker's pace (its hint may be off): a tenth at a time, the
                    // first ones more. Guards against a slow worker to which each sends few jobs.
                    let service_time_factor = ((now - from) as f64 / run).clamp(0.2, 10.0);
                    // A cold one is slow for another reason: a tenth, and its kind is not told.
                    worker.factor_samples = if warm {
                        (worker.factor_samples + 1.0).min(9.0)
                    } else {
                        9.0
                    };
                    slow = service_time_factor > 2.0 * worker.service_time_factor;
                    worker.own_service_time_factor += (service_time_factor
                        - worker.own_service_time_factor)
                        / (worker.factor_samples + 1.0);
                    worker.update_service_time_factor(now);
                    if warm {
                        let worker_type = usize::from(worker.worker_type);
                        self.worker_type_factors.resize(
                            self.worker_type_factors.len().max(worker_type + 1),
                            (1.0, 0.0),
                        );
                        let (mean, count) = &mut self.worker_type_factors[worker_type];
                        *count = (*count + 1.0).min(50.0);
                        *mean += (service_time_factor - *mean) / *count;
                    }
                }
                worker.record_response(now, 0.2);
                worker.class_failure_scores[class].add(now, 3.0 * Worker::FAILURE_HALF_LIFE, -0.2);
            }
            Outcome::WorkerError => {
                worker
                    .failure_score
                    .add(now, Worker::FAILURE_HALF_LIFE, 0.5);
                worker.class_failure_scores[class].add(now, 3.0 * Worker::FAILURE_HALF_LIFE, 0.3);
            }
            Outcome::TimedOut => worker
                .failure_score
                .add(now, Worker::FAILURE_HALF_LIFE, 0.5),
            Outcome::ConnectFailed | Outcome::ConnectionLost => {
                worker
                    .failure_score
                    .add(now, Worker::FAILURE_HALF_LIFE, 0.6)
            }
            Outcome::AtCapacity
            | Outcome::InvalidRequest
            | Outcome::Cancelled
            | Outcome::NotSent => {}
        }
        self.report_load_to_peers(now, attempt.worker, slow, false, acts);
        if outcome == Outcome::ConnectFailed {
            self.select_subset(now);
        }
        let input = if complete {
            RequestInput::Succeeded
        } else {
            classify_outcome(outcome)
        };
        let active = &mut self.requests[key];
        if input == RequestInput::MayHaveRun {
            active
                .first_uncertain_attempt
                .get_or_insert((attempt.worker, attempt.sent_at));
        }
        self.apply_input(now, request_id, input, acts);
    }

    fn read_report(&mut self, now: Nanos, at: usize, report: Report) {
        // No worker holds so many; what is not a number, or below none, counts as not reported.
        let sane = |value: &f32| (0.0..1e4).contains(value);
        let values = &report.values[..report.count.min(report.values.len())];
        self.invalid_report_values += values.iter().filter(|value| !sane(value)).count() as u64;
        let value = |at: Option<usize>| {
            values
                .get(at?)
                .filter(|value| sane(value))
                .map(|v| f64::from(*v))
        };
        let [free, inflight] = self.report_positions.map(value);
        if free.is_none() && inflight.is_none() {
            return;
        }
        self.refresh_worker_loads(now);
        // Free slots come with noise, of which the most seen would be the worst: a fifth of the way each.
        let (worker_type, slots) = (self.workers[at].worker_type, self.workers[at].slots);
        if let Some(free) = free.filter(|free| *free > slots + 0.25) {
            self.raise_slots(worker_type, slots + 0.2 * (free - slots));
        }
        let worker = &mut self.workers[at];
        let by_slots = free.map(|free| worker.slots - free - worker.slots_running);
        worker.other_slots = inflight
            .map(|all| all - worker.slots_in_use)
            .or(by_slots)
            .unwrap_or(0.0)
            .max(0.0);
        // Reports are late: a lone dispatcher would take its own newest jobs for others'.
        worker.other_slots *= if self.exchanges_load {
            0.0
        } else {
            self.unobserved_share
        };
        worker.other_slots_at = now;
        self.mean_other_slots += 0.1 * (worker.other_slots - self.mean_other_slots);
    }

    /// Runs one input for a request through the table and carries out what follows.
    fn apply_input(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        input: RequestInput,
        acts: &mut Vec<Action>,
    ) {
        let Some(&key) = self.request_keys.get(&request_id) else {
            return;
        };
        let active = &mut self.requests[key];
        let idempotency = if is_active(Mutation::RetryNonIdempotent) {
            Idempotent
        } else {
            active.idempotency
        };
        let (state, step) = next(active.state, input, idempotency);
        active.state = state;
        match step {
            RequestStep::Nothing => {}
            RequestStep::Forward => return self.dispatch_request(now, key, acts),
            RequestStep::Reject => {
                // Come back when a usual job has had time to end.
                let most = self.says("retry_after.allowed") * self.says("retry_after.max");
                let retry_after = most.min(0.5 * SECOND) as Nanos;
                acts.push(Action::Reject {
                    request_id,
                    retry_after,
                });
            }
            RequestStep::Fail => acts.push(Action::Fail { request_id }),
        }
        let active = &self.requests[key];
        if active.state == Completed
            && active.attempts[..active.attempts_sent]
                .iter()
                .all(|attempt| !attempt.in_flight)
        {
            self.request_keys.remove(&request_id);
            self.requests.remove(key);
        }
    }
}
