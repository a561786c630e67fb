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
pub fn fade(value: f64, since: Nanos, now: Nanos, half: f64) -> f64 {
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
pub enum WorthBasis {
    /// Each unit of work of a class is worth the same.
    #[default]
    Work,
    /// Each request of a class is worth the same, however much work it is.
    Request,
}

impl WorthBasis {
    /// Reads the setting; without it, worth goes by work.
    fn read(map: &Map) -> Result<Self, String> {
        match pick_or(map, "priority_weight.basis", "work".to_string())?.as_str() {
            "work" => Ok(WorthBasis::Work),
            "request" => Ok(WorthBasis::Request),
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
    pub at: Nanos,
    /// The wait that this dispatcher's earlier attempts were to cause.
    pub expected: f64,
    pub started: Option<Nanos>,
    pub out: bool,
}

/// Attempts kept for one request; where more are allowed, no more than these are made.
pub const MOST_ATTEMPTS: usize = 6;

#[derive(Debug)]
pub struct ActiveRequest {
    pub request: Request,
    pub idempotency: Idempotency,
    pub state: RequestState,
    /// Hint times slots, and what counts for a cold worker: of one without a hint twice as much. Guards against a cold
    /// worker pushed over by those that run longer than most; half as many go there meanwhile.
    pub work: f64,
    pub most: f64,
    /// The hint, and the seats the job takes.
    pub run: f64,
    pub need: f64,
    pub due: Nanos,
    pub attempts: [Attempt; MOST_ATTEMPTS],
    pub attempts_sent: usize,
    /// The first attempt that may have run: its worker and when it was sent.
    pub doubt: Option<(usize, Nanos)>,
    /// Whether it has waited for a right.
    pub asked: bool,
}

impl ActiveRequest {
    pub fn new(
        request: Request,
        idempotency: Idempotency,
        work: f64,
        run: f64,
        need: f64,
        due: Nanos,
    ) -> Self {
        let attempts = [Attempt::default(); MOST_ATTEMPTS];
        let most = work * if request.hint.is_some() { 1.0 } else { 2.0 };
        ActiveRequest {
            request,
            idempotency,
            state: RequestState::Pending,
            work,
            most,
            run,
            need,
            due,
            attempts,
            attempts_sent: 0,
            doubt: None,
            asked: false,
        }
    }

    /// The time to spare before it is due, from a moment on, at a worker of such a pace.
    pub fn room(&self, from: Nanos, pace: f64) -> f64 {
        self.due.saturating_sub(from) as f64 - self.run * pace
    }
}

/// Distrust, as of a moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trust {
    pub distrust: f64,
    pub at: Nanos,
}

impl Trust {
    /// What is left of it now, if it halves in `half`.
    pub fn now(&self, now: Nanos, half: f64) -> f64 {
        // Mostly there is none; then nothing need be worked out.
        if self.distrust > 0.0 {
            fade(self.distrust, self.at, now, half)
        } else {
            0.0
        }
    }

    /// Moves it so far of the way to the most, or to none where `by` is below 0.
    pub fn add(&mut self, now: Nanos, half: f64, by: f64) {
        let d = self.now(now, half);
        (self.distrust, self.at) = (d + by * if by > 0.0 { 1.0 - d } else { d }, now);
    }
}

/// What another dispatcher told that it has out at a worker, and when it did.
#[derive(Clone, Copy, Debug, Default)]
pub struct Told {
    pub from: u16,
    pub seats: f64,
    pub work: f64,
    /// The pace at which it runs that dispatcher's jobs, if known.
    pub pace: Option<f64>,
    pub at: Nanos,
}

impl Told {
    /// The seats and work that are still there by now, at a worker with so many seats.
    pub fn left(&self, now: Nanos, seats: f64) -> (f64, f64) {
        let done = now.saturating_sub(self.at) as f64 * self.seats.min(seats);
        if self.work > done {
            (self.seats, self.work - done)
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
    pub started: Nanos,
    /// Most slots its kind is known to run at once.
    pub seats: f64,
    /// Running time for one unit of hinted work, and how many jobs tell it, up to ten.
    pub pace: f64,
    pub paced: f64,
    /// The pace by this dispatcher's own jobs alone, and what those that run longer than that show by now:
    /// the sum and how many.
    pub own_pace: f64,
    pub over: (f64, f64),
    pub trust: Trust,
    /// What errors of each class left.
    pub of: Vec<Trust>,
    /// Silent since an attempt that should have started: its next start has it trusted again.
    pub silent: bool,
    /// When the latest attempt of those that it has started was sent.
    pub reached: Nanos,
    /// When it last gave a sign of life.
    pub alive: Nanos,
    /// How much longer the last attempt waited for its start than this dispatcher's own work explains.
    pub lag: f64,
    pub lag_at: Nanos,
    /// Slots that others hold by its last report.
    pub others: f64,
    pub others_at: Nanos,
    /// What the others were last told of it.
    pub said: Told,
    /// What other dispatchers told of it, one line each.
    pub theirs: Vec<Told>,
    /// How often in a row it took no connection, and until when it is not asked again.
    pub refusals: u32,
    pub refused_till: Nanos,
    /// What this dispatcher sent it of late, less what rights covered while it was cold, and when.
    pub spent: VecDeque<(Nanos, f64)>,
    /// Rights to send it work while it is cold: until when, and how much is left.
    pub rights: Vec<(Nanos, f64)>,
    /// Of this dispatcher's attempts out: the seats they take, the slots running, the time they still need.
    pub out: f64,
    pub running: f64,
    pub ahead: f64,
    /// Whether the log was told of its distrust.
    pub logged: bool,
}

impl Worker {
    /// One just heard of: two seats, and the pace of the hints.
    pub fn new(id: WorkerId, started: Nanos, classes: usize) -> Self {
        let of = vec![Trust::default(); classes];
        Worker {
            id,
            started,
            of,
            seats: 2.0,
            pace: 1.0,
            own_pace: 1.0,
            ..Worker::default()
        }
    }

    /// Whether it took no connection of late.
    pub fn refuses(&self, now: Nanos) -> bool {
        now < self.refused_till
    }

    /// It gave a sign of life, which makes up for part of its distrust.
    pub fn heard(&mut self, now: Nanos, by: f64) {
        (self.refusals, self.refused_till) = (0, 0);
        self.trust.add(now, Worker::HALF, -by);
        self.alive = now;
    }

    /// Whether it is served first come first served and has started what was posted later: by more than
    /// connections differ in the time they take.
    pub fn passed(&self, attempt: &Attempt) -> bool {
        attempt.started.is_none() && self.reached > attempt.at + 20_000_000
    }

    /// The wait until a seat is free, by this dispatcher's attempts and others' seats and work: what is
    /// in the worker ends one by one, as fast as its seats work together.
    pub fn queue(&self, need: f64, (others, work): (f64, f64)) -> f64 {
        let count = self.out + others;
        let enders = (count + need.min(self.seats) - self.seats).max(0.0);
        if enders > 0.0 {
            enders * (self.ahead + work) / count / self.seats
        } else {
            0.0
        }
    }

    /// How long a new job would wait for its start, by what this dispatcher knows.
    pub(crate) fn wait(&self, now: Nanos, need: f64, mean: f64, fleet: (f64, f64)) -> f64 {
        // Reports and start delays tell of others' work, which changes as fast as jobs end: about 1 s.
        let others = fleet.1 + fade(self.others - fleet.1, self.others_at, now, SECOND);
        // What is not seen anew drifts to what the whole fleet shows. Guards against a fleet jammed by many
        // dispatchers, in which each sees too little of one worker to notice its queue.
        let lag = fleet.0 + fade(self.lag - fleet.0, self.lag_at, now, SECOND);
        let (seats, work) = self.told(now);
        self.queue(need, (others + seats, others * mean + work)) + lag
    }

    /// Keeps what another dispatcher told; only the newest of each counts.
    pub fn hear(&mut self, now: Nanos, from: u16, load: PeerLoad) {
        let PeerLoad {
            half_slots, work, ..
        } = load;
        let (seats, work, pace) = (
            f64::from(half_slots) / 2.0,
            f64::from(work) * 16e6,
            load.pace(),
        );
        let told = Told {
            from,
            seats,
            work,
            pace,
            at: now,
        };
        let before = match self.theirs.iter_mut().find(|told| told.from == from) {
            Some(known) => std::mem::replace(known, told).pace,
            None => {
                self.theirs.push(told);
                None
            }
        };
        // Most messages tell no other pace than the one before.
        if pace != before {
            self.blend(now);
        }
    }

    /// Its pace by own jobs, one told by another counting as one of them. They count as two at least, as
    /// hints are rough: guards against a worker taken for slow by one job that was.
    pub fn blend(&mut self, now: Nanos) {
        let told = self.fresh(now).filter_map(|told| told.pace);
        let (sum, count) = told.fold((0.0, 0.0), |(sum, count), pace| (sum + pace, count + 1.0));
        let (pace, own) = self.seen_pace();
        let own = own.max(2.0);
        self.pace = (own * pace + sum) / (own + count);
    }

    /// Its pace by this dispatcher's own jobs, ended and overrunning, and how many they are.
    pub fn seen_pace(&self) -> (f64, f64) {
        let (sum, count) = self.over;
        if count == 0.0 {
            return (self.own_pace, self.paced);
        }
        let ended = self.paced.max(2.0);
        (
            (ended * self.own_pace + sum) / (ended + count),
            ended + count,
        )
    }

    /// What others have told, as long as it is told again.
    fn fresh(&self, now: Nanos) -> impl Iterator<Item = &Told> {
        self.theirs
            .iter()
            .filter(move |told| now < told.at + 10_000_000_000)
    }

    /// Seats and work that others have told of.
    pub fn told(&self, now: Nanos) -> (f64, f64) {
        let left = self.fresh(now).map(|told| told.left(now, self.seats));
        left.fold((0.0, 0.0), |(a, b), (seats, work)| (a + seats, b + work))
    }
}

/// Four bins an octave (`PARTS`, of like width) from 1 ms up reach 64 s: narrower than a hint is exact.
pub const BINS: usize = 64;
pub const PARTS: usize = 4;
pub const FIRST_EDGE: f64 = 1e6;

pub type Bins = [f64; BINS];

pub fn bin_of(work: f64) -> usize {
    let units = (work / FIRST_EDGE).max(1.0);
    let octave = (units as u64).ilog2() as usize;
    octave * PARTS + ((units / (1_u64 << octave) as f64 - 1.0) * PARTS as f64) as usize
}

pub fn edge(bin: usize) -> f64 {
    FIRST_EDGE * (1_u64 << (bin / PARTS)) as f64 * (1.0 + (bin % PARTS) as f64 / PARTS as f64)
}

/// The work in `bins` that lies below the size `x`.
pub fn below(bins: &Bins, x: f64) -> f64 {
    let bin = bin_of(x.min(1e18)).min(BINS);
    let part = if bin < BINS {
        ((x - edge(bin)) / (edge(bin + 1) - edge(bin))).clamp(0.0, 1.0)
    } else {
        0.0
    };
    bins[..bin].iter().sum::<f64>() + bins.get(bin).map_or(0.0, |work| work * part)
}

/// A class of which none has run is taken to run for so much of the time that its clients wait, at most: three quarters are
/// left for the queue, so that the first is sent.
const FIRST_RUN_MOST: f64 = 0.25;

pub struct RequestClass {
    pub idempotency: Idempotency,
    pub group: String,
    pub window: Nanos,
    pub sla: f64,
    pub stretch: f64,
    pub value: f64,
    pub worker_type: i64,
    pub high: bool,
    pub bins: Bins,
    pub seen: f64,
    /// Whether its requests come with hints, and else how long those settled ran: the mean, and of how many. Until one has
    /// settled the mean is the SLA time, as users want short jobs sooner than long ones. Guards against classes that all
    /// look alike at a dispatcher that sees few of each: their short requests then queue behind long ones.
    pub hinted: bool,
    pub ran: (f64, f64),
    /// All ready workers that may take it, and those of them that this dispatcher keeps to, in id order.
    pub all: Vec<usize>,
    pub lanes: Vec<usize>,
    /// The work of this class at which each lane ends.
    pub ends: Vec<f64>,
}

impl RequestClass {
    pub fn read(map: &Map, at: usize) -> Result<Self, String> {
        let name = |part: &str| format!("class.{at}.{part}");
        let sla = pick::<f64>(map, &name("latency_objective"))?;
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
            sla,
            stretch: pick_or(map, &name("objective_stretch"), 0.0)?,
            value: pick(map, &name("priority_weight"))?,
            worker_type: pick_or(map, &name("worker_type"), -1)?,
            high: false,
            bins: [0.0; BINS],
            seen: 0.0,
            hinted: false,
            ran: (sla.max(FIRST_EDGE).min(edge(BINS)), 0.0),
            all: Vec::new(),
            lanes: Vec::new(),
            ends: Vec::new(),
        })
    }

    pub fn add(&mut self, work: f64) {
        self.bins[bin_of(work).min(BINS - 1)] += work;
        self.seen += 1.0;
    }

    pub fn age(&mut self, keep: f64) {
        self.bins.iter_mut().for_each(|work| *work *= keep);
        self.seen *= keep;
    }

    /// How long a request is taken to run: as it hints, else as those like it did. Guards against users who give no hints, for
    /// whom a figure out of the air has each worker look slow or fast by what it happened to run.
    pub fn run(&mut self, hint: Option<Nanos>, slots: f64, waits: Nanos) -> f64 {
        self.hinted |= hint.is_some();
        let (ran, count) = self.ran;
        // Guards against requests declined until one has run, where the SLA time is near the time that clients wait.
        let ran = if count > 0.0 {
            ran
        } else {
            ran.min(FIRST_RUN_MOST * waits as f64)
        };
        let mean = if self.hinted {
            self.mean() / slots
        } else {
            ran
        };
        hint.map_or(mean, |hint| hint as f64)
    }

    /// One ran so long. The last few dozen without a hint tell: the mix moves in minutes.
    pub fn learn(&mut self, hint: Option<Nanos>, run: f64) {
        let (mean, count) = &mut self.ran;
        if hint.is_none() {
            *count = (*count + 1.0).min(50.0);
            *mean += (run - *mean) / *count;
        }
    }

    /// What a request is worth for each unit that the settings reckon by: per unit of work, a short one of the same value is
    /// worth more, as it takes less of the capacity.
    pub fn worth(&self, basis: WorthBasis) -> f64 {
        let value = self.value.max(1e-9);
        match basis {
            WorthBasis::Work => value,
            WorthBasis::Request => value / self.mean().max(1.0),
        }
    }

    /// How long a request of mean work may wait and still be in time.
    pub fn usual_room(&self) -> f64 {
        (self.sla + (self.stretch - 1.0).max(0.0) * self.mean()).max(1.0)
    }

    /// The mean work of late.
    pub fn mean(&self) -> f64 {
        if self.seen > 0.0 {
            self.bins.iter().sum::<f64>() / self.seen
        } else {
            self.ran.0
        }
    }
}

/// The gaps between arrivals of one priority class, for their lag-one autocorrelation.
#[derive(Default)]
pub struct Gaps {
    pub from: Nanos,
    pub last: Option<Nanos>,
    pub before: f64,
    pub count: f64,
    pub sum: f64,
    pub squares: f64,
    pub products: f64,
    pub estimate: f64,
}

impl Gaps {
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
        *self = Gaps {
            from: now,
            last: self.last,
            estimate: self.autocorrelation(),
            ..Gaps::default()
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
        ((now - self.at) as f64 - self.expected).max(0.0)
    }
}

/// One submitter's dispatcher; how to call it stands in `policy`.
#[derive(Default)]
pub struct Dispatcher {
    pub(crate) chance: Pcg,
    pub(crate) classes: Vec<RequestClass>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) known: FxHashMap<WorkerId, usize>,
    pub(crate) requests: Slab<ActiveRequest>,
    pub(crate) held: FxHashMap<RequestId, usize>,
    pub(crate) gaps: [Gaps; 2],
    /// Where a report has its free slots and its jobs in flight.
    pub(crate) report_at: [Option<usize>; 2],
    /// The settings that are numbers, or yes (1) and no (0).
    pub(crate) figures: BTreeMap<&'static str, f64>,
    pub(crate) list_asked: bool,
    /// Whether dispatchers tell each other what they have out.
    pub(crate) exchanges_load: bool,
    /// Whether workers start jobs in the order of their coming.
    pub(crate) first_come: bool,
    pub(crate) following: bool,
    pub(crate) ask_at: Nanos,
    pub(crate) ask_failures: u32,
    pub(crate) most_attempts: usize,
    /// How many there are, and the part that this one does not see: a lone one knows all that waits.
    pub(crate) dispatchers: f64,
    /// Its place among them.
    pub(crate) me: usize,
    /// How many the settings speak of, which no view changes, and whether it ever had a view.
    pub(crate) slots: f64,
    pub(crate) met: bool,
    /// Whether rights to cold workers are given by one of the dispatchers, and when this one started.
    pub(crate) rights: bool,
    pub(crate) begun: Nanos,
    /// The cold worker, nearest to its lane, for which the request last looked at lacked a right.
    pub(crate) lacking: Option<usize>,
    pub(crate) unseen: f64,
    /// How many dispatchers keep to one worker.
    pub(crate) sharers: f64,
    pub(crate) cut_at: Nanos,
    /// The pace of each kind of worker, and how many jobs tell it.
    pub(crate) paces: Vec<(f64, f64)>,
    /// How rare jobs are here: 1 where the histogram holds 150 or more, up to 3.
    pub(crate) rare: f64,
    /// The work of a mean job of late.
    pub(crate) mean: f64,
    /// How late attempts start of late, over all workers.
    pub(crate) start_delays: StartDelays,
    pub(crate) worth_basis: WorthBasis,
    pub(crate) others: f64,
    /// The part of the dearest requests turned away, of the last seven to twenty.
    pub(crate) turned: f64,
    /// Figures in reports that cannot be, since the log was told.
    pub(crate) absurd: u64,
    /// The mean distrust, and the least capacity for a unit of listed size, as of the last beat.
    pub(crate) distrust: f64,
    pub(crate) unit: f64,
    /// Workers with attempts of this dispatcher out, and room for the lanes' parts: kept to save allocations.
    pub(crate) touched: Vec<usize>,
    pub(crate) targets: Vec<f64>,
    /// What the network takes to the own zone and beyond.
    pub(crate) zones: ZoneDelays,
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
        let absurd = figures
            .iter()
            .find(|(_, value)| !(0.0..1e18).contains(*value));
        if let Some((name, value)) = absurd {
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
            chance: Pcg::new(seed),
            classes,
            dispatchers,
            me: me as usize,
            slots: dispatchers,
            rights: pick_or(map, "warm_up_grants", false)?,
            begun: now,
            unseen: 1.0 - 1.0 / dispatchers,
            most_attempts: pick::<usize>(map, "attempts.max")?.min(MOST_ATTEMPTS),
            report_at: ["free-slots", "inflight"]
                .map(|name| fields.split(',').position(|f| f == name)),
            figures,
            list_asked: pick::<String>(map, "endpoints.mode")? == "polled",
            exchanges_load,
            first_come: pick_or::<String>(map, "queue.order", "fifo".to_string())? == "fifo",
            worth_basis: WorthBasis::read(map)?,
            rare: 1.0,
            zones: ZoneDelays::new(pick_or(map, "zone", 0)?),
            ..Dispatcher::default()
        })
    }

    /// A setting that is a number, or yes (1) or no (0); 0 where there is none of the name.
    pub(crate) fn says(&self, name: &str) -> f64 {
        self.figures.get(name).copied().unwrap_or(0.0)
    }

    /// Workers of one kind have as many seats as any of them was seen to fill.
    pub(crate) fn seats(&mut self, worker_type: u8, seen: f64) {
        for worker in self
            .workers
            .iter_mut()
            .filter(|worker| worker.worker_type == worker_type && worker.seats < seen)
        {
            worker.seats = seen;
        }
    }

    /// A request settled at a worker: its kind has seats for the jobs that ran there together, as far as that is sure, for a
    /// quarter of their time at least and for twice it at most. Guards against a cold worker pushed over where starts are told
    /// sooner than the ends before them, and by jobs that were lost or never began.
    pub(crate) fn learn_seats(&mut self, now: Nanos, settled: usize, at: usize) {
        let worker = &self.workers[at];
        let sure = |key: usize, active: &ActiveRequest, attempt: &Attempt| {
            let Some(from) = attempt
                .started
                .filter(|from| attempt.worker == at && attempt.out && *from >= worker.started)
            else {
                return false;
            };
            let (age, run) = ((now - from) as f64, active.run * worker.pace);
            key == settled || (0.25 * run..=2.0 * run).contains(&age)
        };
        let running = self.requests.iter().filter(|(key, active)| {
            active.attempts[..active.attempts_sent]
                .iter()
                .any(|attempt| sure(*key, active, attempt))
        });
        let running = running
            .map(|(_, active)| f64::from(active.request.slots))
            .sum();
        self.seats(worker.worker_type, running);
    }

    /// Brings up to date what follows from the attempts out and from the clock.
    pub(crate) fn tally(&mut self, now: Nanos) {
        for at in self.touched.drain(..) {
            let worker = &mut self.workers[at];
            (worker.out, worker.running, worker.ahead, worker.over) = (0.0, 0.0, 0.0, (0.0, 0.0));
        }
        for (_, active) in &self.requests {
            for attempt in active.attempts[..active.attempts_sent]
                .iter()
                .filter(|attempt| attempt.out)
            {
                self.touched.push(attempt.worker);
                let worker = &mut self.workers[attempt.worker];
                // Guards against a worker that lost one job and is then taken for full until that expires.
                if worker.passed(attempt) {
                    continue;
                }
                let age = now.saturating_sub(attempt.started.unwrap_or(now)) as f64;
                worker.out += active.need;
                // A job past its hint has, as such sizes go, about a third of its age still to run.
                worker.ahead += active.need * (active.run * worker.pace - age).max(0.3 * age);
                if let Some(started) = attempt.started {
                    let over = (age / active.run.max(1e6)).min(10.0);
                    // Hints are rough: one that runs long tells little alone, many do, where others tell theirs.
                    if self.exchanges_load && over > worker.own_pace {
                        worker.over = (worker.over.0 + over, worker.over.1 + 1.0);
                    }
                    // What an earlier process ran is lost. Guards against taking its jobs for more seats.
                    let lives = started >= worker.started;
                    worker.running += if lives {
                        f64::from(active.request.slots)
                    } else {
                        0.0
                    };
                } else {
                    let delay = attempt.delay(now);
                    if delay > fade(worker.lag, worker.lag_at, now, SECOND) {
                        (worker.lag, worker.lag_at) = (delay, now);
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
        let key = *self.held.get(&request_id)?;
        let active = &self.requests[key];
        let attempt = active.attempts[..active.attempts_sent].get(usize::from(attempt_index))?;
        attempt.out.then_some((key, *attempt))
    }
}
