//! Validation of value ranges and of references between the parts of a scenario.
use super::{Load, Membership, Scenario};

/// Four times the 1,024 dispatchers that must be supported without any cap. Simulations of this
/// size take minutes and gigabytes of memory.
const MAX_DISPATCHERS: usize = 4096;
/// Equal to the maximum number of dispatchers.
const MAX_WORKERS: usize = 4096;
/// 30 minutes.
const MAX_LENGTH_MS: u64 = 30 * 60_000;
const MAX_CLOCK_OR_NETWORK_DELAY_MS: u64 = 60_000;
/// Requests per second.
const MAX_RATE: f64 = 100_000.0;

/// Reason why an entry of a scenario is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// The number of dispatchers is out of range.
    #[error("the number of dispatchers must be from 1 to 4096")]
    DispatcherCount,
    /// The length of the simulation is out of range.
    #[error("length_ms must be from 1 to 1800000 (30 minutes)")]
    Length,
    /// There is no request class.
    #[error("at least one request class ([[scheme]]) is required")]
    NoClass,
    /// The number of workers is out of range.
    #[error("the number of workers must be from 1 to 4096")]
    WorkerCount,
    /// The latency range is empty or begins at 0.
    #[error("latency_us must be [low, high] with 0 < low <= high")]
    Latency,
    /// A fraction is out of range.
    #[error("split, loss and twice must be from 0 to 1")]
    Share,
    /// The number of quorum members is not supported.
    #[error("keepers must be 0, 1, 3 or 5")]
    QuorumSize,
    /// Clock skew or jitter is too large.
    #[error("skew_ms and jitter_ms must be at most 60000")]
    Delay,
    /// A class has a deadline or a latency objective of 0.
    #[error("sla_ms and expiry_ms must be greater than 0")]
    ClassTime,
    /// A worker has no capacity.
    #[error("slots and speed must be greater than 0")]
    Capacity,
    /// The work of a request is not positive, or its range is empty.
    #[error("work_ms must be greater than 0, and a range [low, high] must have low <= high")]
    Work,
    /// The class does not exist.
    #[error("scheme must be the index of an existing request class")]
    UnknownClass,
    /// A rate is out of range.
    #[error("rate must be greater than 0 and at most 100000")]
    Rate,
    /// The dispatcher does not exist.
    #[error("there is no dispatcher with this index")]
    UnknownDispatcher,
    /// The worker does not exist.
    #[error("there is no worker with this index")]
    UnknownWorker,
    /// A fault has a negative time.
    #[error("at_ms and for_ms must not be negative")]
    NegativeTime,
}

/// Invalid entry of a scenario file and its problem.
pub(super) struct InvalidEntry {
    pub key: &'static str,
    pub index: usize,
    pub problem: Problem,
}

/// Entry of a scenario file for which conditions are checked.
#[derive(Clone, Copy)]
struct Entry {
    key: &'static str,
    index: usize,
}

impl Entry {
    fn plain(key: &'static str) -> Self {
        Entry { key, index: 0 }
    }

    fn require(self, condition: bool, problem: Problem) -> Result<(), InvalidEntry> {
        if condition {
            return Ok(());
        }
        Err(InvalidEntry {
            key: self.key,
            index: self.index,
            problem,
        })
    }

    fn require_work(self, low: f64, high: f64) -> Result<(), InvalidEntry> {
        self.require(low > 0.0 && low <= high, Problem::Work)
    }
}

fn entries<'a, T>(
    key: &'static str,
    list: &'a [T],
) -> impl Iterator<Item = (Entry, &'a T)> + use<'a, T> {
    list.iter()
        .enumerate()
        .map(move |(index, item)| (Entry { key, index }, item))
}

fn is_fraction(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

pub(super) fn validate(scenario: &Scenario) -> Result<(), InvalidEntry> {
    validate_sizes(scenario)?;
    validate_network(scenario)?;
    if let Some(membership) = &scenario.membership {
        validate_membership(membership)?;
    }
    validate_classes_and_workers(scenario)?;
    validate_clients(scenario)?;
    validate_faults(scenario)
}

fn validate_sizes(scenario: &Scenario) -> Result<(), InvalidEntry> {
    Entry::plain("dispatchers").require(
        (1..=MAX_DISPATCHERS).contains(&scenario.dispatchers),
        Problem::DispatcherCount,
    )?;
    Entry::plain("length_ms").require(
        (1..=MAX_LENGTH_MS).contains(&scenario.length_ms),
        Problem::Length,
    )?;
    Entry::plain("scheme").require(!scenario.classes.is_empty(), Problem::NoClass)?;
    Entry::plain("worker").require(
        (1..=MAX_WORKERS).contains(&scenario.workers.len()),
        Problem::WorkerCount,
    )
}

fn validate_network(scenario: &Scenario) -> Result<(), InvalidEntry> {
    let entry = Entry::plain("net");
    let [low, high] = scenario.net.latency_us;
    entry.require(low > 0 && low <= high, Problem::Latency)?;
    entry.require(is_fraction(scenario.net.partial_io), Problem::Share)
}

fn validate_membership(membership: &Membership) -> Result<(), InvalidEntry> {
    let entry = Entry::plain("members");
    entry.require(
        matches!(membership.quorum_members, 0 | 1 | 3 | 5),
        Problem::QuorumSize,
    )?;
    entry.require(
        is_fraction(membership.loss) && is_fraction(membership.duplicate),
        Problem::Share,
    )?;
    entry.require(
        membership.skew_ms <= MAX_CLOCK_OR_NETWORK_DELAY_MS
            && membership.jitter_ms <= MAX_CLOCK_OR_NETWORK_DELAY_MS,
        Problem::Delay,
    )
}

fn validate_classes_and_workers(scenario: &Scenario) -> Result<(), InvalidEntry> {
    for (entry, class) in entries("scheme", &scenario.classes) {
        entry.require(
            class.deadline_ms > 0 && class.latency_objective_ms > 0,
            Problem::ClassTime,
        )?;
    }
    for (entry, worker) in entries("worker", &scenario.workers) {
        entry.require(worker.slots > 0 && worker.speed > 0.0, Problem::Capacity)?;
    }
    Ok(())
}

fn validate_clients(scenario: &Scenario) -> Result<(), InvalidEntry> {
    let known_class = |class: usize| class < scenario.classes.len();
    let known_dispatcher = |dispatcher: usize| dispatcher < scenario.dispatchers;
    for (entry, load) in entries("load", &scenario.loads) {
        let Load {
            class,
            rate,
            work_ms: [low, high],
            ..
        } = *load;
        entry.require(known_class(class), Problem::UnknownClass)?;
        entry.require_work(low, high)?;
        entry.require(rate > 0.0 && rate <= MAX_RATE, Problem::Rate)?;
    }
    for (entry, request) in entries("txn", &scenario.requests) {
        entry.require(known_class(request.class), Problem::UnknownClass)?;
        entry.require_work(request.work_ms, request.work_ms)?;
        entry.require(
            known_dispatcher(request.dispatcher),
            Problem::UnknownDispatcher,
        )?;
    }
    for (entry, client) in entries("bad", &scenario.misbehaving_clients) {
        entry.require(
            known_dispatcher(client.dispatcher),
            Problem::UnknownDispatcher,
        )?;
    }
    Ok(())
}

fn validate_faults(scenario: &Scenario) -> Result<(), InvalidEntry> {
    for (entry, fault) in entries("fault", &scenario.faults) {
        if fault.kind.targets_worker() {
            entry.require(
                fault.target < scenario.workers.len(),
                Problem::UnknownWorker,
            )?;
        } else {
            entry.require(
                fault.target < scenario.dispatchers,
                Problem::UnknownDispatcher,
            )?;
        }
        entry.require(
            fault.at_ms >= 0.0 && fault.duration_ms >= 0.0,
            Problem::NegativeTime,
        )?;
        entry.require(fault.class < scenario.classes.len(), Problem::UnknownClass)?;
    }
    Ok(())
}
