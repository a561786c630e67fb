//! What a world is made of and what goes wrong in it, as a file that people can read and write. Times are in
//! milliseconds from the world's start unless a name says otherwise.
use serde::{Deserialize, Serialize};
use std::ops::Range;

/// The most that is taken: four times the 1,024 dispatchers or workers below which nothing may be capped. Worlds of
/// that size take minutes and gigabytes.
const MOST_DISPATCHERS: usize = 4096;
const MOST_WORKERS: usize = 4096;
const MOST_MS: u64 = 30 * 60_000;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    #[serde(default)]
    pub name: String,
    /// What is left to chance (latencies, splits, arrivals, who is hit) follows from it.
    pub seed: u64,
    /// How long clients go on asking.
    pub length_ms: u64,
    #[serde(default = "one")]
    pub dispatchers: usize,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub net: Net,
    #[serde(default)]
    pub rules: Rules,
    /// Where dispatchers know each other.
    #[serde(default)]
    pub members: Option<Members>,
    pub scheme: Vec<Scheme>,
    pub worker: Vec<Worker>,
    #[serde(default)]
    pub load: Vec<Load>,
    #[serde(default)]
    pub txn: Vec<One>,
    #[serde(default)]
    pub bad: Vec<Bad>,
    #[serde(default)]
    pub fault: Vec<Fault>,
}

fn one() -> usize {
    1
}

impl Scenario {
    /// The mean work of a txn over all loads, in ns of one seat; 0 where there is no load.
    pub fn mean_work(&self) -> f64 {
        let mean = |[low, high]: [f64; 2]| {
            if high > low {
                (high - low) / (high / low).ln()
            } else {
                low
            }
        };
        let (sum, rate) = self.load.iter().fold((0.0, 0.0), |(sum, rate), load| {
            (sum + load.rate * mean(load.work_ms), rate + load.rate)
        });
        if rate > 0.0 { 1e6 * sum / rate } else { 0.0 }
    }
}

/// What each dispatcher may hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    pub sockets: usize,
    pub memory_mb: usize,
    /// Postings of one txn.
    pub postings: usize,
    pub probes: bool,
    /// How long a worker keeps an idle connection, by the settings.
    pub idle_ms: u64,
    pub connect_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sockets: 384,
            memory_mb: 48,
            postings: 3,
            probes: false,
            idle_ms: 5000,
            connect_ms: 250,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Net {
    /// The least and the most that a packet takes.
    pub latency_us: [u64; 2],
    /// How often a write or a read takes only a part.
    pub split: f64,
    /// Whether a reset takes with it what has come and was not read.
    pub harsh: bool,
    /// Connections that a worker's machine takes in before they are accepted.
    pub backlog: usize,
}

impl Default for Net {
    fn default() -> Self {
        Net {
            latency_us: [50, 400],
            split: 0.1,
            harsh: false,
            backlog: 64,
        }
    }
}

/// What dispatchers are to each other, and their datagrams.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Members {
    /// 1, 3 or 5; none where it is 0.
    pub keepers: usize,
    /// Whether they tell each other what they have out.
    pub peers: bool,
    pub loss: f64,
    pub twice: f64,
    /// Up to so much later than packets are.
    pub jitter_ms: u64,
    /// Their wall clocks are up to so far ahead.
    pub skew_ms: u64,
}

/// The figures of the four rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    pub grace_ms: u64,
    pub fall_multiple: f64,
    pub fall_ms: u64,
    pub cold_from: f64,
    pub cold_ms: u64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            grace_ms: 3000,
            fall_multiple: 4.0,
            fall_ms: 2000,
            cold_from: 0.2,
            cold_ms: 10_000,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    Repeatable,
    Referenced,
    OnceOnly,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scheme {
    pub effect: Effect,
    #[serde(default)]
    pub group: Group,
    #[serde(default = "window")]
    pub window_ms: u64,
    pub sla_ms: u64,
    /// How long clients wait.
    pub expiry_ms: u64,
    #[serde(default = "value")]
    pub value: f64,
    #[serde(default = "value")]
    pub stretch: f64,
}

fn window() -> u64 {
    5000
}

fn value() -> f64 {
    1.0
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    #[serde(default)]
    pub zone: usize,
    #[serde(default)]
    pub cell: usize,
    pub slots: usize,
    #[serde(default = "queue")]
    pub queue: usize,
    #[serde(default = "value")]
    pub speed: f64,
    /// Whether jobs whose connection has closed are not begun; else all that came whole run.
    #[serde(default)]
    pub drops_left: bool,
    /// How much longer than the settings say it keeps idle connections, as a factor.
    #[serde(default = "value")]
    pub keeps: f64,
}

fn queue() -> usize {
    12
}

/// Clients that ask at random moments.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    pub scheme: usize,
    /// Txns a second, over all dispatchers.
    pub rate: f64,
    #[serde(default)]
    pub from_ms: u64,
    /// To the end where it is left out.
    #[serde(default)]
    pub until_ms: Option<u64>,
    pub work_ms: [f64; 2],
    /// How many times a client tries again after what may be tried again.
    #[serde(default)]
    pub retries: usize,
    /// The part that leaves before its time.
    #[serde(default)]
    pub leave: f64,
    /// Whether txns are told with a hint of their work.
    #[serde(default)]
    pub hints: bool,
}

/// One txn at one moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct One {
    pub at_ms: f64,
    pub scheme: usize,
    #[serde(default)]
    pub dispatcher: usize,
    pub work_ms: f64,
    /// The scheme's expiry where it is left out.
    #[serde(default)]
    pub within_ms: Option<f64>,
    #[serde(default)]
    pub leave_ms: Option<f64>,
}

/// What a bad client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Badness {
    Silent,
    Garbage,
    HalfHead,
    HalfBody,
    Trickle,
    HugeHead,
    HugeBody,
    EndlessChunks,
    NoId,
    UnknownScheme,
    TwoLengths,
    LengthAndChunks,
    BareLineFeeds,
    SameId,
    HalfClose,
    Unread,
    OldVersion,
}

pub const BADNESSES: [Badness; 17] = [
    Badness::Silent,
    Badness::Garbage,
    Badness::HalfHead,
    Badness::HalfBody,
    Badness::Trickle,
    Badness::HugeHead,
    Badness::HugeBody,
    Badness::EndlessChunks,
    Badness::NoId,
    Badness::UnknownScheme,
    Badness::TwoLengths,
    Badness::LengthAndChunks,
    Badness::BareLineFeeds,
    Badness::SameId,
    Badness::HalfClose,
    Badness::Unread,
    Badness::OldVersion,
];

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bad {
    pub at_ms: f64,
    pub kind: Badness,
    #[serde(default = "one")]
    pub count: usize,
    #[serde(default)]
    pub dispatcher: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Trouble {
    /// A worker stands still for a time: nothing moves, nothing is lost.
    Stall,
    /// A worker takes `share` times as long.
    Slow,
    /// A worker answers this share at once with an error.
    Errors,
    /// A worker fails one scheme.
    FailScheme,
    /// A worker swallows this share without a word.
    Swallow,
    /// A worker turns all away.
    Full,
    /// A worker answers this share with lines that make no sense, never end, or come too early.
    Odd,
    /// A worker's process dies, with resets; it is back, cold, after the time (never where that is 0).
    Die,
    /// A worker's machine vanishes without a word; it is back, cold, after the time.
    Vanish,
    /// A worker drains, ends what it has and is gone after the time, to be born again after as long.
    Drain,
    /// As `Drain`, and what has not started is handed back.
    DrainReturn,
    /// A worker's process is replaced at once at the same address.
    Rebirth,
    /// This share of a worker's connections is reset from its side.
    Cut,
    /// This share of a worker's connections is reset on the way, for both sides.
    CutBoth,
    /// A dispatcher's watch answers nothing for a time.
    ListSilent,
    /// Changes reach a dispatcher later by `for_ms`.
    ListLate,
    /// A dispatcher's list goes back to one of `for_ms` before, with its number, and is right again after as long.
    ListBack,
    /// A dispatcher's list lacks this share of the workers for a time.
    ListLacks,
    /// A dispatcher's list is answered with what cannot be read, for a time.
    ListGarbled,
    /// A dispatcher is killed; it starts again after the time.
    Kill,
    /// A dispatcher is stopped in order; it starts again after the time.
    Stop,
    /// A dispatcher is told of another address of discovery; the old one falls silent.
    Reload,
    /// As `Reload`, and the new address answers only after the time.
    ReloadDead,
    /// No datagram reaches a dispatcher for a time; none of its is heard; none passes between those up to it and the rest.
    Deaf,
    Mute,
    Split,
    /// A dispatcher's open calls for the list are never answered, new ones are; what those missed counts after the time.
    ListForgets,
    /// Half of a dispatcher's descriptors are taken away for a time, by a reload, but 64.
    Tighten,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at_ms: f64,
    pub kind: Trouble,
    /// Which worker, or which dispatcher.
    pub target: usize,
    #[serde(default)]
    pub for_ms: f64,
    #[serde(default = "value")]
    pub share: f64,
    /// For a worker that fails one scheme.
    #[serde(default)]
    pub scheme: usize,
}

impl Trouble {
    /// Whether its target is a worker, else it is a dispatcher.
    pub fn at_worker(self) -> bool {
        self < Trouble::ListSilent
    }
}

/// Reads a scenario; an error names the line.
pub fn read(text: &str) -> Result<Scenario, String> {
    let scenario: Scenario = toml::from_str(text).map_err(|error| {
        let line = error.span().map_or(0, |span| line_at(text, span));
        format!("line {line}: {}", error.message())
    })?;
    check(&scenario).map_err(|(list, at, fault)| match line_of(text, list, at) {
        Some(line) => format!("line {line}: {fault}"),
        None => fault,
    })?;
    Ok(scenario)
}

fn line_at(text: &str, span: Range<usize>) -> usize {
    text.bytes()
        .take(span.start)
        .filter(|byte| *byte == b'\n')
        .count()
        + 1
}

/// The line at which the entry `at` of a list begins, or that of a plain name.
fn line_of(text: &str, list: &str, at: usize) -> Option<usize> {
    let whole: toml::Table = toml::from_str(text).ok()?;
    let _ = whole.get(list)?;
    let heads = |line: &str| {
        let line = line.trim();
        line == format!("[[{list}]]")
            || line
                .strip_prefix(list)
                .is_some_and(|rest| rest.trim().starts_with('='))
    };
    text.lines()
        .enumerate()
        .filter(|(_, line)| heads(line))
        .nth(at)
        .map(|(line, _)| line + 1)
}

type Wrong = (&'static str, usize, String);

/// What a reader of types alone does not see.
fn check(scenario: &Scenario) -> Result<(), Wrong> {
    let no = |holds: bool, list, at, fault: &str| {
        if holds {
            Ok(())
        } else {
            Err((list, at, fault.to_string()))
        }
    };
    let Scenario {
        dispatchers,
        length_ms,
        scheme,
        worker,
        ..
    } = scenario;
    no(
        (1..=MOST_DISPATCHERS).contains(dispatchers),
        "dispatchers",
        0,
        "1 to 4096 dispatchers are played",
    )?;
    no(
        (1..=MOST_MS).contains(length_ms),
        "length_ms",
        0,
        "a world lasts from 1 ms to 30 min",
    )?;
    no(!scheme.is_empty(), "scheme", 0, "there is no scheme")?;
    no(
        (1..=MOST_WORKERS).contains(&worker.len()),
        "worker",
        0,
        "1 to 4096 workers are played",
    )?;
    let [low, high] = scenario.net.latency_us;
    no(
        low > 0 && low <= high,
        "net",
        0,
        "latencies begin above 0 and end no lower",
    )?;
    no(
        (0.0..=1.0).contains(&scenario.net.split),
        "net",
        0,
        "a part lies from 0 to 1",
    )?;
    if let Some(members) = &scenario.members {
        no(
            matches!(members.keepers, 0 | 1 | 3 | 5),
            "members",
            0,
            "there are 0, 1, 3 or 5 keepers",
        )?;
        let parts = (0.0..=1.0).contains(&members.loss) && (0.0..=1.0).contains(&members.twice);
        no(parts, "members", 0, "a part lies from 0 to 1")?;
        no(
            members.skew_ms <= 60_000 && members.jitter_ms <= 60_000,
            "members",
            0,
            "up to a minute is played",
        )?;
    }
    for (at, one) in scheme.iter().enumerate() {
        no(
            one.expiry_ms > 0 && one.sla_ms > 0,
            "scheme",
            at,
            "times are above 0",
        )?;
    }
    for (at, one) in worker.iter().enumerate() {
        no(
            one.slots > 0 && one.speed > 0.0,
            "worker",
            at,
            "a worker has slots and a speed",
        )?;
    }
    let work =
        |list, at, low: f64, high: f64| no(low > 0.0 && low <= high, list, at, "work is above 0");
    let known = |list, at, one: usize| no(one < scheme.len(), list, at, "there is no such scheme");
    for (at, load) in scenario.load.iter().enumerate() {
        known("load", at, load.scheme)?;
        work("load", at, load.work_ms[0], load.work_ms[1])?;
        no(
            load.rate > 0.0 && load.rate <= 100_000.0,
            "load",
            at,
            "a rate lies above 0, and not over 100,000",
        )?;
    }
    for (at, txn) in scenario.txn.iter().enumerate() {
        known("txn", at, txn.scheme)?;
        work("txn", at, txn.work_ms, txn.work_ms)?;
        no(
            txn.dispatcher < *dispatchers,
            "txn",
            at,
            "there is no such dispatcher",
        )?;
    }
    for (at, bad) in scenario.bad.iter().enumerate() {
        no(
            bad.dispatcher < *dispatchers,
            "bad",
            at,
            "there is no such dispatcher",
        )?;
    }
    for (at, fault) in scenario.fault.iter().enumerate() {
        let (most, what) = match fault.kind.at_worker() {
            true => (worker.len(), "there is no such worker"),
            false => (*dispatchers, "there is no such dispatcher"),
        };
        no(fault.target < most, "fault", at, what)?;
        no(
            fault.at_ms >= 0.0 && fault.for_ms >= 0.0,
            "fault",
            at,
            "times are not below 0",
        )?;
        known("fault", at, fault.scheme)?;
    }
    Ok(())
}

/// A scenario as a file.
pub fn write(scenario: &Scenario) -> Result<String, String> {
    toml::to_string(scenario).map_err(|error| error.to_string())
}
