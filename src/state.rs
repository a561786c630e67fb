//! What the decisions remember, as plain data. None of it crosses the interface and nothing is decided here.
use crate::types::{Nanos, Standing, Txn, WorkerId};
use std::collections::BTreeMap;
use std::str::FromStr;

pub type Map = BTreeMap<String, String>;

/// Reads one setting.
pub fn pick<T: FromStr>(map: &Map, name: &str) -> Result<T, String> {
    let value = map.get(name).ok_or_else(|| format!("setting {name} is missing"))?;
    value.parse().map_err(|_| format!("setting {name} cannot be read: {value:?}"))
}

/// Reads one setting that may be left out.
fn pick_or<T: FromStr>(map: &Map, name: &str, other: T) -> Result<T, String> {
    if map.contains_key(name) { pick(map, name) } else { Ok(other) }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    Repeatable,
    Referenced,
    OnceOnly,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// Nothing out, and nothing that forbids a decline.
    Held,
    /// One posting out; all before it are harmless.
    Out,
    /// Nothing out; an earlier posting may have run.
    Doubted,
    /// One posting out; an earlier one may have run.
    Again,
    /// The final answer is given; postings may still be out.
    Answered,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Input {
    Posted,
    Settled,
    NotRun,
    MayHaveRun,
    GivenUp,
    Left,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    Nothing,
    Place,
    Decline,
    Reverse,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Posting {
    pub worker: usize,
    pub at: Nanos,
    /// The wait that this dispatcher's earlier postings were to cause.
    pub expected: f64,
    pub started: Option<Nanos>,
    pub out: bool,
}

/// Postings kept for one txn; where more are allowed, no more than these are made.
pub const LEGS: usize = 6;

#[derive(Debug)]
pub struct InHand {
    pub txn: Txn,
    pub effect: Effect,
    pub stage: Stage,
    /// Hint times slots.
    pub work: f64,
    /// The hint, and the seats the job takes.
    pub run: f64,
    pub need: f64,
    pub due: Nanos,
    pub legs: [Posting; LEGS],
    pub posted: usize,
    /// The first posting that may have run: its worker and when it was sent.
    pub doubt: Option<(usize, Nanos)>,
}

impl InHand {
    pub fn new(txn: Txn, effect: Effect, work: f64, run: f64, need: f64, due: Nanos) -> Self {
        let legs = [Posting::default(); LEGS];
        InHand { txn, effect, stage: Stage::Held, work, run, need, due, legs, posted: 0, doubt: None }
    }
}

#[derive(Default)]
pub struct Worker {
    pub id: WorkerId,
    pub standing: Standing,
    pub zone: u16,
    pub kind: u8,
    pub group: u16,
    pub size: f64,
    pub started: Nanos,
    /// Most slots its kind is known to run at once.
    pub seats: f64,
    /// Running time for one unit of hinted work.
    pub pace: f64,
    pub distrust: f64,
    pub distrust_at: Nanos,
    /// When it last gave a sign of life.
    pub alive: Nanos,
    /// How much longer the last posting waited for its start than this dispatcher's own work explains.
    pub lag: f64,
    pub lag_at: Nanos,
    /// Slots that others hold by its last report.
    pub others: f64,
    pub others_at: Nanos,
    /// This dispatcher's part of what may still be sent while it is cold.
    pub budget: f64,
    pub budget_at: Nanos,
    /// Of this dispatcher's postings out: the seats they take, the slots running, the time they still need.
    pub out: f64,
    pub running: f64,
    pub ahead: f64,
    /// Whether the log was told of its distrust.
    pub told: bool,
}

/// Four bins an octave (`PARTS`, of like width) from 1 ms up reach 64 s: narrower than a hint is exact.
pub const BINS: usize = 64;
pub const PARTS: usize = 4;
pub const FIRST_EDGE: f64 = 1e6;

pub type Bins = [f64; BINS];

pub struct Scheme {
    pub effect: Effect,
    pub group: String,
    pub window: Nanos,
    pub sla: f64,
    pub stretch: f64,
    pub value: f64,
    pub kind: i64,
    pub high: bool,
    pub bins: Bins,
    pub seen: f64,
    pub lanes: Vec<usize>,
    /// The work of this scheme at which each lane ends.
    pub ends: Vec<f64>,
}

impl Scheme {
    pub fn read(map: &Map, at: usize) -> Result<Self, String> {
        let name = |part: &str| format!("scheme.{at}.{part}");
        Ok(Scheme {
            effect: match pick::<String>(map, &name("effect"))?.as_str() {
                "repeatable" => Effect::Repeatable,
                "referenced" => Effect::Referenced,
                "once-only" => Effect::OnceOnly,
                other => return Err(format!("setting {} cannot be read: {other:?}", name("effect"))),
            },
            group: pick(map, &name("group"))?,
            window: pick(map, &name("window"))?,
            sla: pick(map, &name("sla"))?,
            stretch: pick_or(map, &name("stretch"), 0.0)?,
            value: pick(map, &name("value"))?,
            kind: pick_or(map, &name("kind"), -1)?,
            high: false,
            bins: [0.0; BINS],
            seen: 0.0,
            lanes: Vec::new(),
            ends: Vec::new(),
        })
    }

    /// The mean work of late, for a txn without a valid hint.
    pub fn mean(&self) -> f64 {
        if self.seen > 0.0 { self.bins.iter().sum::<f64>() / self.seen } else { 1e8 }
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
