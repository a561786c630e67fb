//! Reports between members on their load at each worker.
//!
//! Reports are batched for some ms, many to a datagram, each with its age. One member's reports that
//! workers are unresponsive count for a limited number of workers only.
use crate::datagram::Part;
use crate::member::Name;
use crate::quota::PerSecondQuota;
use crate::time::MILLISECOND;
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{Nanos, PeerLoad, WorkerId};
use std::collections::BTreeMap;

/// The time for which a report is delayed to be batched with others to the same member; queues change
/// more slowly, within about a second.
const BATCH_DELAY: Nanos = 25 * MILLISECOND;
/// The maximum number of reports in a datagram.
const MAX_REPORTS_PER_DATAGRAM: usize = 40;
/// The unit of a report's age in a datagram.
const AGE_UNIT: Nanos = 4 * MILLISECOND;
/// The unit of [`PeerLoad::work_units`].
const WORK_UNIT: Nanos = 16 * MILLISECOND;
/// The maximum number of reports that one process sends per second: some 65 KB.
const MAX_REPORTS_PER_SECOND: u64 = 5_000;
/// The number of workers that one member may always report as unresponsive; more are allowed by
/// [`MAX_UNRESPONSIVE_DIVISOR`]. A member that reports even more has probably lost its own connection.
const MAX_UNRESPONSIVE_WORKERS: usize = 2;
/// A member may report up to one in this many of the workers that it reports on as unresponsive.
const MAX_UNRESPONSIVE_DIVISOR: usize = 4;
/// A worker counts as one that a member reports on for this time after a report.
const REPORT_RETENTION: Nanos = 10_000 * MILLISECOND;

struct QueuedReport {
    load: PeerLoad,
    queued_at: Nanos,
}

/// A batch of reports to one member, at most one datagram.
#[derive(Debug, PartialEq)]
pub struct ReportBatch {
    /// The name of the receiving member.
    pub to: Name,
    /// The reports, each a [`Part::PeerLoad`].
    pub parts: Vec<Part>,
}

/// Batches this member's reports to others.
#[derive(Default)]
pub struct LoadSender {
    queues: BTreeMap<Name, Vec<QueuedReport>>,
    flush_at: Option<Nanos>,
    quota: PerSecondQuota<MAX_REPORTS_PER_SECOND>,
}

impl LoadSender {
    /// Queues a report to a member; it replaces a queued report on the same worker. A report beyond the
    /// quota of this second is dropped.
    pub fn queue(&mut self, now: Nanos, to: &Name, load: PeerLoad) {
        self.quota.advance(now);
        let queue = self.queues.entry(to.clone()).or_default();
        let report = QueuedReport {
            load,
            queued_at: now,
        };
        if let Some(queued) = queue
            .iter_mut()
            .find(|queued| queued.load.worker == load.worker)
        {
            *queued = report;
            return;
        }
        if !self.quota.try_take() {
            return;
        }
        queue.push(report);
        self.flush_at.get_or_insert(now + BATCH_DELAY);
    }

    /// Returns the time at which [`LoadSender::take_due`] is to be called next, if any.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.flush_at
    }

    /// Removes and returns the batches that are due.
    pub fn take_due(&mut self, now: Nanos) -> Vec<ReportBatch> {
        if self.flush_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        let mut batches = Vec::new();
        for (name, queue) in &mut self.queues {
            for reports in queue.chunks(MAX_REPORTS_PER_DATAGRAM) {
                batches.push(ReportBatch {
                    to: name.clone(),
                    parts: reports.iter().map(|report| report.part(now)).collect(),
                });
            }
            queue.clear();
        }
        self.queues
            .retain(|_, queue| queue.capacity() < 4 * MAX_REPORTS_PER_DATAGRAM);
        self.flush_at = None;
        batches
    }
}

impl QueuedReport {
    fn part(&self, now: Nanos) -> Part {
        let age = now.saturating_sub(self.queued_at) / AGE_UNIT;
        Part::PeerLoad {
            load: self.load,
            age: age.min(255) as u8,
        }
    }
}

struct WorkerReport {
    received_at: Nanos,
    unresponsive: bool,
}

/// The latest reports of one member, by worker.
#[derive(Default)]
struct Reporter {
    workers: BTreeMap<WorkerId, WorkerReport>,
}

impl Reporter {
    /// Records a report; returns the number of workers that the member reports as unresponsive.
    fn record(&mut self, now: Nanos, worker: WorkerId, unresponsive: bool) -> usize {
        self.workers
            .retain(|_, report| now < report.received_at + REPORT_RETENTION);
        let report = WorkerReport {
            received_at: now,
            unresponsive,
        };
        self.workers.insert(worker, report);
        self.workers
            .values()
            .filter(|report| report.unresponsive)
            .count()
    }

    fn max_unresponsive(&self) -> usize {
        MAX_UNRESPONSIVE_WORKERS.max(self.workers.len() / MAX_UNRESPONSIVE_DIVISOR)
    }
}

/// Checks and adjusts the reports of other members.
#[derive(Default)]
pub struct LoadReceiver {
    reporters: BTreeMap<Name, Reporter>,
    /// The number of reports of unresponsive workers that were ignored.
    pub ignored_silence: u64,
}

impl LoadReceiver {
    /// Returns the adjusted report.
    ///
    /// The work that the worker is expected to have completed since the report is subtracted. Reports of
    /// unresponsive workers beyond the limit are changed to an unknown speed, since to a member whose
    /// own link is down all workers appear unresponsive.
    pub fn receive(&mut self, now: Nanos, from: &Name, mut load: PeerLoad, age: u8) -> PeerLoad {
        let completed = Nanos::from(age) * AGE_UNIT * Nanos::from(load.half_slots) / 2 / WORK_UNIT;
        load.work_units = load.work_units.saturating_sub(completed.min(65_535) as u16);
        let reporter = self.reporters.entry(from.clone()).or_default();
        let unresponsive = load.speed_code == PeerLoad::SPEED_UNRESPONSIVE;
        let unresponsive_workers = reporter.record(now, load.worker, unresponsive);
        if unresponsive
            && unresponsive_workers > reporter.max_unresponsive()
            && !is_active(Mutation::UnboundedSilenceReports)
        {
            self.ignored_silence += 1;
            load.speed_code = PeerLoad::SPEED_UNKNOWN;
        }
        load
    }

    /// Discards the reports of processes that are no longer members.
    pub fn retain_members(&mut self, is_member: impl Fn(&Name) -> bool) {
        self.reporters.retain(|name, _| is_member(name));
    }
}

#[cfg(test)]
pub(crate) mod tests;
