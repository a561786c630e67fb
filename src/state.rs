//! What the decisions remember, as plain data. None of it crosses the interface and nothing is decided here.
use crate::pcg::Pcg;
use crate::start_delays::StartDelays;
use crate::types::{EndpointState, Nanos, PeerLoad, Request, RequestId, WorkerId};
use crate::zones::ZoneDelays;
use rustc_hash::FxHashMap;
use slab::Slab;
use std::collections::{BTreeMap, VecDeque};
use std::str::FromStr;

pub const SECOND: f64 = 1e9;

/// What is left of a value after so long, if it halves in `half`.
pub fn decay(value: f64, since: Nanos, now: Nanos, half: f64) -> f64 {
    value * (-(now.saturating_sub(since) as f64) / half).exp2()
}

/// The timer of one attempt of a request.
pub(crate) fn token(request_id: RequestId, attempt_index: usize) -> u64 {
    u64::from(request_id) | (attempt_index as u64) << 32
}

/// Settings under our names; the decisions and the programs pick from it what they need.
pub type Map = BTreeMap<String, String>;

/// Reads one setting.
pub fn pick<T: FromStr>(map: &Map, name: &str) -> Result<T, String> {
    let value = map
        .get(name)
        .ok_or_else(|| format!("setting {name} is missing"))?;
    value
        .parse()
        .map_err(|_| format!("setting {name} cannot be read: {value:?}"))
}

/// Reads one setting that may be left out.
fn pick_or<T: FromStr>(map: &Map, name: &str, other: T) -> Result<T, String> {
    if map.contains_key(name) {
        pick(map, name)
    } else {
        Ok(other)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    Idempotent,
    IdempotentWithKey,
    NonIdempotent,
}

/// By what the settings reckon the worth of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum WeightBasis {
    /// Each unit of work of a class is worth the same.
    #[default]
    Work,
    /// Each request of a class is worth the same, however much work it is.
    Request,
}

impl WeightBasis {
    /// Reads the setting; without it, worth goes by work.
    fn read(map: &Map) -> Result<Self, String> {
        match pick_or(map, "priority_weight.basis", "work".to_string())?.as_str() {
            "work" => Ok(WeightBasis::Work),
            "request" => Ok(WeightBasis::Request),
            other => Err(format!(
                "setting priority_weight.basis cannot be read: {other:?}"
            )),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestState {
    /// Nothing out, and nothing that forbids a decline.
    Pending,
    /// One attempt out; all before it are harmless.
    InFlight,
    /// Nothing out; an earlier attempt may have run.
    PendingMayHaveRun,
    /// One attempt out; an earlier one may have run.
    RetryInFlight,
    /// The final answer is given; attempts may still be out.
    Completed,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestInput {
    AttemptSent,
    Succeeded,
    NotRun,
    MayHaveRun,
    GivenUp,
    ClientGone,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestStep {
    Nothing,
    Forward,
    Reject,
    Fail,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Attempt {
    pub worker: usize,
    pub sent_at: Nanos,
    /// The wait that this dispatcher's earlier attempts were to cause.
    pub expected_wait: f64,
    pub started_at: Option<Nanos>,
    pub in_flight: bool,
}

/// Attempts kept for one request; where more are allowed, no more than these are made.
pub const MAX_ATTEMPTS: usize = 6;

#[derive(Debug)]
pub struct ActiveRequest {
    pub request: Request,
    pub idempotency: Idempotency,
    pub state: RequestState,
    /// Hint times slots, and what counts for a cold worker: of one without a hint twice as much. Guards against a cold
    /// worker pushed over by those that run longer than most; half as many go there meanwhile.
    pub work: f64,
    pub warm_up_work: f64,
    /// The hint, and the seats the job takes.
    pub service_time: f64,
    pub slots_required: f64,
    pub objective_deadline: Nanos,
    pub attempts: [Attempt; MAX_ATTEMPTS],
    pub attempts_sent: usize,
    /// The first attempt that may have run: its worker and when it was sent.
    pub first_uncertain_attempt: Option<(usize, Nanos)>,
    /// Whether it has waited for a right.
    pub grant_requested: bool,
}

impl ActiveRequest {
    pub fn new(
        request: Request,
        idempotency: Idempotency,
        work: f64,
        service_time: f64,
        slots_required: f64,
        objective_deadline: Nanos,
    ) -> Self {
        let attempts = [Attempt::default(); MAX_ATTEMPTS];
        let warm_up_work = work * if request.hint.is_some() { 1.0 } else { 2.0 };
        ActiveRequest {
            request,
            idempotency,
            state: RequestState::Pending,
            work,
            warm_up_work,
            service_time,
            slots_required,
            objective_deadline,
            attempts,
            attempts_sent: 0,
            first_uncertain_attempt: None,
            grant_requested: false,
        }
    }

    /// The time to spare before it is due, from a moment on, at a worker of such a pace.
    pub fn time_to_spare(&self, from: Nanos, service_time_factor: f64) -> f64 {
        self.objective_deadline.saturating_sub(from) as f64
            - self.service_time * service_time_factor
    }
}

/// Distrust, as of a moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureScore {
    pub value: f64,
    pub at: Nanos,
}

impl FailureScore {
    /// What is left of it now, if it halves in `half`.
    pub fn now(&self, now: Nanos, half: f64) -> f64 {
        // Mostly there is none; then nothing need be worked out.
        if self.value > 0.0 {
            decay(self.value, self.at, now, half)
        } else {
            0.0
        }
    }

    /// Moves it so far of the way to the most, or to none where `by` is below 0.
    pub fn add(&mut self, now: Nanos, half: f64, by: f64) {
        let d = self.now(now, half);
        (self.value, self.at) = (d + by * if by > 0.0 { 1.0 - d } else { d }, now);
    }
}

/// What another dispatcher told that it has out at a worker, and when it did.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerLoadEstimate {
    pub from: u16,
    pub slots: f64,
    pub work: f64,
    /// The pace at which it runs that dispatcher's jobs, if known.
    pub service_time_factor: Option<f64>,
    pub at: Nanos,
}

impl PeerLoadEstimate {
    /// The seats and work that are still there by now, at a worker with so many seats.
    pub fn remaining(&self, now: Nanos, slots: f64) -> (f64, f64) {
        let done = now.saturating_sub(self.at) as f64 * self.slots.min(slots);
        if self.work > done {
            (self.slots, self.work - done)
        } else {
            (0.0, 0.0)
        }
    }
}

#[derive(Default)]
pub struct Worker {
    pub id: WorkerId,
    pub state: EndpointState,
    pub zone: u16,
    pub worker_type: u8,
    pub group: u16,
    pub size: f64,
    pub started_at: Nanos,
    /// Most slots its kind is known to run at once.
    pub slots: f64,
    /// Running time for one unit of hinted work, and how many jobs tell it, up to ten.
    pub service_time_factor: f64,
    pub factor_samples: f64,
    /// The pace by this dispatcher's own jobs alone, and what those that run longer than that show by now:
    /// the sum and how many.
    pub own_service_time_factor: f64,
    pub overruns: (f64, f64),
    pub failure_score: FailureScore,
    /// What errors of each class left.
    pub class_failure_scores: Vec<FailureScore>,
    /// Silent since an attempt that should have started: its next start has it trusted again.
    pub unresponsive: bool,
    /// When the latest attempt of those that it has started was sent.
    pub latest_started_sent_at: Nanos,
    /// When it last gave a sign of life.
    pub last_response_at: Nanos,
    /// How much longer the last attempt waited for its start than this dispatcher's own work explains.
    pub start_delay: f64,
    pub start_delay_at: Nanos,
    /// Slots that others hold by its last report.
    pub other_slots: f64,
    pub other_slots_at: Nanos,
    /// What the others were last told of it.
    pub last_sent_load: PeerLoadEstimate,
    /// What other dispatchers told of it, one line each.
    pub peer_loads: Vec<PeerLoadEstimate>,
    /// How often in a row it took no connection, and until when it is not asked again.
    pub connect_failures: u32,
    pub connect_retry_at: Nanos,
    /// What this dispatcher sent it of late, less what rights covered while it was cold, and when.
    pub recent_work: VecDeque<(Nanos, f64)>,
    /// Rights to send it work while it is cold: until when, and how much is left.
    pub warm_up_grants: Vec<(Nanos, f64)>,
    /// Of this dispatcher's attempts out: the seats they take, the slots running, the time they still need.
    pub slots_in_use: f64,
    pub slots_running: f64,
    pub remaining_work: f64,
    /// Whether the log was told of its distrust.
    pub logged_as_outlier: bool,
}

impl Worker {
    /// One just heard of: two seats, and the pace of the hints.
    pub fn new(id: WorkerId, started: Nanos, classes: usize) -> Self {
        let of = vec![FailureScore::default(); classes];
        Worker {
            id,
            started_at: started,
            class_failure_scores: of,
            slots: 2.0,
            service_time_factor: 1.0,
            own_service_time_factor: 1.0,
            ..Worker::default()
        }
    }

    /// Whether it took no connection of late.
    pub fn is_unreachable(&self, now: Nanos) -> bool {
        now < self.connect_retry_at
    }

    /// It gave a sign of life, which makes up for part of its distrust.
    pub fn record_response(&mut self, now: Nanos, by: f64) {
        (self.connect_failures, self.connect_retry_at) = (0, 0);
        self.failure_score.add(now, Worker::FAILURE_HALF_LIFE, -by);
        self.last_response_at = now;
    }

    /// Whether it is served first come first served and has started what was posted later: by more than
    /// connections differ in the time they take.
    pub fn was_overtaken(&self, attempt: &Attempt) -> bool {
        attempt.started_at.is_none() && self.latest_started_sent_at > attempt.sent_at + 20_000_000
    }

    /// The wait until a seat is free, by this dispatcher's attempts and others' seats and work: what is
    /// in the worker ends one by one, as fast as its seats work together.
    pub fn queue(&self, slots_required: f64, (others, work): (f64, f64)) -> f64 {
        let count = self.slots_in_use + others;
        let enders = (count + slots_required.min(self.slots) - self.slots).max(0.0);
        if enders > 0.0 {
            enders * (self.remaining_work + work) / count / self.slots
        } else {
            0.0
        }
    }

    /// How long a new job would wait for its start, by what this dispatcher knows.
    pub(crate) fn wait(
        &self,
        now: Nanos,
        slots_required: f64,
        mean: f64,
        fleet: (f64, f64),
    ) -> f64 {
        // Reports and start delays tell of others' work, which changes as fast as jobs end: about 1 s.
        let others = fleet.1 + decay(self.other_slots - fleet.1, self.other_slots_at, now, SECOND);
        // What is not seen anew drifts to what the whole fleet shows. Guards against a fleet jammed by many
        // dispatchers, in which each sees too little of one worker to notice its queue.
        let start_delay =
            fleet.0 + decay(self.start_delay - fleet.0, self.start_delay_at, now, SECOND);
        let (slots, work) = self.peer_load(now);
        self.queue(slots_required, (others + slots, others * mean + work)) + start_delay
    }

    /// Keeps what another dispatcher told; only the newest of each counts.
    pub fn record_peer_load(&mut self, now: Nanos, from: u16, load: PeerLoad) {
        let PeerLoad {
            half_slots, work, ..
        } = load;
        let (slots, work, service_time_factor) = (
            f64::from(half_slots) / 2.0,
            f64::from(work) * 16e6,
            load.pace(),
        );
        let told = PeerLoadEstimate {
            from,
            slots,
            work,
            service_time_factor,
            at: now,
        };
        let before = match self.peer_loads.iter_mut().find(|told| told.from == from) {
            Some(known) => std::mem::replace(known, told).service_time_factor,
            None => {
                self.peer_loads.push(told);
                None
            }
        };
        // Most messages tell no other pace than the one before.
        if service_time_factor != before {
            self.update_service_time_factor(now);
        }
    }

    /// Its pace by own jobs, one told by another counting as one of them. They count as two at least, as
    /// hints are rough: guards against a worker taken for slow by one job that was.
    pub fn update_service_time_factor(&mut self, now: Nanos) {
        let told = self
            .fresh_peer_loads(now)
            .filter_map(|told| told.service_time_factor);
        let (sum, count) = told.fold((0.0, 0.0), |(sum, count), service_time_factor| {
            (sum + service_time_factor, count + 1.0)
        });
        let (service_time_factor, own) = self.observed_service_time_factor();
        let own = own.max(2.0);
        self.service_time_factor = (own * service_time_factor + sum) / (own + count);
    }

    /// Its pace by this dispatcher's own jobs, ended and overrunning, and how many they are.
    pub fn observed_service_time_factor(&self) -> (f64, f64) {
        let (sum, count) = self.overruns;
        if count == 0.0 {
            return (self.own_service_time_factor, self.factor_samples);
        }
        let ended = self.factor_samples.max(2.0);
        (
            (ended * self.own_service_time_factor + sum) / (ended + count),
            ended + count,
        )
    }

    /// What others have told, as long as it is told again.
    fn fresh_peer_loads(&self, now: Nanos) -> impl Iterator<Item = &PeerLoadEstimate> {
        self.peer_loads
            .iter()
            .filter(move |told| now < told.at + 10_000_000_000)
    }

    /// Seats and work that others have told of.
    pub fn peer_load(&self, now: Nanos) -> (f64, f64) {
        let left = self
            .fresh_peer_loads(now)
            .map(|told| told.remaining(now, self.slots));
        left.fold((0.0, 0.0), |(a, b), (slots, work)| (a + slots, b + work))
    }
}

/// Four bins an octave (`BINS_PER_OCTAVE`, of like width) from 1 ms up reach 64 s: narrower than a hint is exact.
pub const BINS: usize = 64;
pub const BINS_PER_OCTAVE: usize = 4;
pub const FIRST_BIN_START: f64 = 1e6;

pub type Bins = [f64; BINS];

pub fn bin_index(work: f64) -> usize {
    let units = (work / FIRST_BIN_START).max(1.0);
    let octave = (units as u64).ilog2() as usize;
    octave * BINS_PER_OCTAVE
        + ((units / (1_u64 << octave) as f64 - 1.0) * BINS_PER_OCTAVE as f64) as usize
}

pub fn bin_start(bin: usize) -> f64 {
    FIRST_BIN_START
        * (1_u64 << (bin / BINS_PER_OCTAVE)) as f64
        * (1.0 + (bin % BINS_PER_OCTAVE) as f64 / BINS_PER_OCTAVE as f64)
}

/// The work in `bins` that lies below the size `x`.
pub fn work_below(bins: &Bins, x: f64) -> f64 {
    let bin = bin_index(x.min(1e18)).min(BINS);
    let part = if bin < BINS {
        ((x - bin_start(bin)) / (bin_start(bin + 1) - bin_start(bin))).clamp(0.0, 1.0)
    } else {
        0.0
    };
    bins[..bin].iter().sum::<f64>() + bins.get(bin).map_or(0.0, |work| work * part)
}

/// A class of which none has run is taken to run for so much of the time that its clients wait, at most: three quarters are
/// left for the queue, so that the first is sent.
const MAX_UNKNOWN_SERVICE_SHARE: f64 = 0.25;

pub struct RequestClass {
    pub idempotency: Idempotency,
    pub group: String,
    pub window: Nanos,
    pub latency_objective: f64,
    pub objective_stretch: f64,
    pub value: f64,
    pub worker_type: i64,
    pub high_priority: bool,
    pub histogram: Bins,
    pub seen: f64,
    /// Whether its requests come with hints, and else how long those settled ran: the mean, and of how many. Until one has
    /// settled the mean is the SLA time, as users want short jobs sooner than long ones. Guards against classes that all
    /// look alike at a dispatcher that sees few of each: their short requests then queue behind long ones.
    pub has_hints: bool,
    pub service_times: (f64, f64),
    /// All ready workers that may take it, and those of them that this dispatcher keeps to, in id order.
    pub eligible_workers: Vec<usize>,
    pub subset: Vec<usize>,
    /// The work of this class at which each lane ends.
    pub interval_bounds: Vec<f64>,
}

impl RequestClass {
    pub fn read(map: &Map, at: usize) -> Result<Self, String> {
        let name = |part: &str| format!("class.{at}.{part}");
        let latency_objective = pick::<f64>(map, &name("latency_objective"))?;
        Ok(RequestClass {
            idempotency: match pick::<String>(map, &name("idempotency"))?.as_str() {
                "idempotent" => Idempotency::Idempotent,
                "idempotent-with-key" => Idempotency::IdempotentWithKey,
                "non-idempotent" => Idempotency::NonIdempotent,
                other => {
                    return Err(format!(
                        "setting {} cannot be read: {other:?}",
                        name("idempotency")
                    ));
                }
            },
            group: pick(map, &name("retry_scope"))?,
            window: pick(map, &name("retry_window"))?,
            latency_objective,
            objective_stretch: pick_or(map, &name("objective_stretch"), 0.0)?,
            value: pick(map, &name("priority_weight"))?,
            worker_type: pick_or(map, &name("worker_type"), -1)?,
            high_priority: false,
            histogram: [0.0; BINS],
            seen: 0.0,
            has_hints: false,
            service_times: (
                latency_objective.max(FIRST_BIN_START).min(bin_start(BINS)),
                0.0,
            ),
            eligible_workers: Vec::new(),
            subset: Vec::new(),
            interval_bounds: Vec::new(),
        })
    }

    pub fn add(&mut self, work: f64) {
        self.histogram[bin_index(work).min(BINS - 1)] += work;
        self.seen += 1.0;
    }

    pub fn age(&mut self, keep: f64) {
        self.histogram.iter_mut().for_each(|work| *work *= keep);
        self.seen *= keep;
    }

    /// How long a request is taken to run: as it hints, else as those like it did. Guards against users who give no hints, for
    /// whom a figure out of the air has each worker look slow or fast by what it happened to run.
    pub fn expected_service_time(&mut self, hint: Option<Nanos>, slots: f64, waits: Nanos) -> f64 {
        self.has_hints |= hint.is_some();
        let (ran, count) = self.service_times;
        // Guards against requests declined until one has run, where the SLA time is near the time that clients wait.
        let ran = if count > 0.0 {
            ran
        } else {
            ran.min(MAX_UNKNOWN_SERVICE_SHARE * waits as f64)
        };
        let mean = if self.has_hints {
            self.mean() / slots
        } else {
            ran
        };
        hint.map_or(mean, |hint| hint as f64)
    }

    /// One ran so long. The last few dozen without a hint tell: the mix moves in minutes.
    pub fn observe_service_time(&mut self, hint: Option<Nanos>, service_time: f64) {
        let (mean, count) = &mut self.service_times;
        if hint.is_none() {
            *count = (*count + 1.0).min(50.0);
            *mean += (service_time - *mean) / *count;
        }
    }

    /// What a request is worth for each unit that the settings reckon by: per unit of work, a short one of the same value is
    /// worth more, as it takes less of the capacity.
    pub fn worth(&self, basis: WeightBasis) -> f64 {
        let value = self.value.max(1e-9);
        match basis {
            WeightBasis::Work => value,
            WeightBasis::Request => value / self.mean().max(1.0),
        }
    }

    /// How long a request of mean work may wait and still be in time.
    pub fn mean_time_to_spare(&self) -> f64 {
        (self.latency_objective + (self.objective_stretch - 1.0).max(0.0) * self.mean()).max(1.0)
    }

    /// The mean work of late.
    pub fn mean(&self) -> f64 {
        if self.seen > 0.0 {
            self.histogram.iter().sum::<f64>() / self.seen
        } else {
            self.service_times.0
        }
    }
}

/// The gaps between arrivals of one priority class, for their lag-one autocorrelation.
#[derive(Default)]
pub struct InterArrivalTimes {
    pub from: Nanos,
    pub last: Option<Nanos>,
    pub before: f64,
    pub count: f64,
    pub sum: f64,
    pub squares: f64,
    pub products: f64,
    pub estimate: f64,
}

impl InterArrivalTimes {
    pub fn arrival(&mut self, now: Nanos) {
        if let Some(last) = self.last {
            let gap = (now - last) as f64 / SECOND;
            self.count += 1.0;
            self.sum += gap;
            self.squares += gap * gap;
            self.products += gap * self.before;
            self.before = gap;
        }
        self.last = Some(now);
    }

    /// The design page's figures: over 5 s, and the last estimate stays until 100 gaps exist.
    pub fn measure(&mut self, now: Nanos) {
        if now - self.from < 5_000_000_000 || self.count < 100.0 {
            return;
        }
        *self = InterArrivalTimes {
            from: now,
            last: self.last,
            estimate: self.autocorrelation(),
            ..InterArrivalTimes::default()
        };
    }

    /// The lag-one autocorrelation of the gaps counted.
    pub fn autocorrelation(&self) -> f64 {
        let mean = self.sum / self.count;
        let variance = self.squares / self.count - mean * mean;
        let covariance = self.products / (self.count - 1.0) - mean * mean;
        if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        }
    }
}

impl Attempt {
    /// How much longer it has waited, for a start now, than this dispatcher's own work explains.
    pub fn delay(&self, now: Nanos) -> f64 {
        ((now - self.sent_at) as f64 - self.expected_wait).max(0.0)
    }
}

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

/// The settings without which nothing can be decided; a missing one ends the start.
const FIGURES: &str = "me retry_after.allowed retry_after.max start_notes \
    slow_start.from slow_start.duration overload.multiple overload.window";

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

    /// Workers of one kind have as many seats as any of them was seen to fill.
    pub(crate) fn raise_slots(&mut self, worker_type: u8, seen: f64) {
        for worker in self
            .workers
            .iter_mut()
            .filter(|worker| worker.worker_type == worker_type && worker.slots < seen)
        {
            worker.slots = seen;
        }
    }

    /// A request settled at a worker: its kind has seats for the jobs that ran there together, as far as that is sure, for a
    /// quarter of their time at least and for twice it at most. Guards against a cold worker pushed over where starts are told
    /// sooner than the ends before them, and by jobs that were lost or never began.
    pub(crate) fn learn_slots(&mut self, now: Nanos, settled: usize, at: usize) {
        let worker = &self.workers[at];
        let sure = |key: usize, active: &ActiveRequest, attempt: &Attempt| {
            let Some(from) = attempt.started_at.filter(|from| {
                attempt.worker == at && attempt.in_flight && *from >= worker.started_at
            }) else {
                return false;
            };
            let (age, run) = (
                (now - from) as f64,
                active.service_time * worker.service_time_factor,
            );
            key == settled || (0.25 * run..=2.0 * run).contains(&age)
        };
        let slots_running = self.requests.iter().filter(|(key, active)| {
            active.attempts[..active.attempts_sent]
                .iter()
                .any(|attempt| sure(*key, active, attempt))
        });
        let slots_running = slots_running
            .map(|(_, active)| f64::from(active.request.slots))
            .sum();
        self.raise_slots(worker.worker_type, slots_running);
    }

    /// Brings up to date what follows from the attempts out and from the clock.
    pub(crate) fn refresh_worker_loads(&mut self, now: Nanos) {
        for at in self.workers_in_use.drain(..) {
            let worker = &mut self.workers[at];
            (
                worker.slots_in_use,
                worker.slots_running,
                worker.remaining_work,
                worker.overruns,
            ) = (0.0, 0.0, 0.0, (0.0, 0.0));
        }
        for (_, active) in &self.requests {
            for attempt in active.attempts[..active.attempts_sent]
                .iter()
                .filter(|attempt| attempt.in_flight)
            {
                self.workers_in_use.push(attempt.worker);
                let worker = &mut self.workers[attempt.worker];
                // Guards against a worker that lost one job and is then taken for full until that expires.
                if worker.was_overtaken(attempt) {
                    continue;
                }
                let age = now.saturating_sub(attempt.started_at.unwrap_or(now)) as f64;
                worker.slots_in_use += active.slots_required;
                // A job past its hint has, as such sizes go, about a third of its age still to run.
                worker.remaining_work += active.slots_required
                    * (active.service_time * worker.service_time_factor - age).max(0.3 * age);
                if let Some(started) = attempt.started_at {
                    let over = (age / active.service_time.max(1e6)).min(10.0);
                    // Hints are rough: one that runs long tells little alone, many do, where others tell theirs.
                    if self.exchanges_load && over > worker.own_service_time_factor {
                        worker.overruns = (worker.overruns.0 + over, worker.overruns.1 + 1.0);
                    }
                    // What an earlier process ran is lost. Guards against taking its jobs for more seats.
                    let lives = started >= worker.started_at;
                    worker.slots_running += if lives {
                        f64::from(active.request.slots)
                    } else {
                        0.0
                    };
                } else {
                    let delay = attempt.delay(now);
                    if delay > decay(worker.start_delay, worker.start_delay_at, now, SECOND) {
                        (worker.start_delay, worker.start_delay_at) = (delay, now);
                    }
                }
            }
        }
    }

    /// An attempt that is still out, and the place of its request.
    pub(crate) fn attempt(
        &self,
        request_id: RequestId,
        attempt_index: u8,
    ) -> Option<(usize, Attempt)> {
        let key = *self.request_keys.get(&request_id)?;
        let active = &self.requests[key];
        let attempt = active.attempts[..active.attempts_sent].get(usize::from(attempt_index))?;
        attempt.in_flight.then_some((key, *attempt))
    }
}
