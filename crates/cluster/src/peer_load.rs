//! What members tell each other of workers: lines are held back for some ms and go many to a datagram, each with its age.
//! Of what is heard, one member's word counts for only so many silent workers.
use crate::datagram::{Name, Part};
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{Nanos, PeerLoad, WorkerId};
use std::collections::BTreeMap;

const MS: Nanos = 1_000_000;
/// How long a line waits for others to the same member: well under the second in which queues change. At 5 ms datagrams alone
/// made a request cost 1.6 times as much (processor time, six dispatchers of 130 requests a second, jobs of 10 ms).
const FLUSH_DELAY: Nanos = 25 * MS;
const MAX_LOADS_PER_DATAGRAM: usize = 40;
/// The unit of a line's age on the way.
const AGE_UNIT: Nanos = 4 * MS;
/// Lines a second that one process sends: ten times what the busiest of a hundred did in simulated days; 65 KB.
const MAX_LOADS_PER_SECOND: u64 = 5_000;
/// What one member says of silence counts for so many workers, or for a quarter of those that it speaks of; and for so
/// long. Two may well hang at once; who finds more than that is likely cut off itself.
const MAX_SILENT_WORKERS: usize = 2;
const REPORT_RETENTION: Nanos = 10_000 * MS;

#[derive(Default)]
pub struct LoadSender {
    loads: BTreeMap<Name, Vec<(PeerLoad, Nanos)>>,
    flush_at: Option<Nanos>,
    second: (Nanos, u64),
    pub sent: u64,
    pub dropped: u64,
}

impl LoadSender {
    /// One line to a member; a newer one of the same worker takes the place of an older that still waits.
    pub fn send_load(&mut self, now: Nanos, to: &Name, load: PeerLoad) {
        if now >= self.second.0 + 1_000 * MS {
            self.second = (now, 0);
        }
        let loads = self.loads.entry(to.clone()).or_default();
        if let Some(line) = loads
            .iter_mut()
            .find(|(line, _)| line.worker == load.worker)
        {
            *line = (load, now);
            return;
        }
        if self.second.1 >= MAX_LOADS_PER_SECOND {
            self.dropped += 1;
            return;
        }
        self.second.1 += 1;
        loads.push((load, now));
        self.flush_at.get_or_insert(now + FLUSH_DELAY);
    }

    pub fn next_timeout(&self) -> Option<Nanos> {
        self.flush_at
    }

    /// What is due to go out, a datagram's worth to each.
    pub fn take_due(&mut self, now: Nanos) -> Vec<(Name, Vec<Part>)> {
        if self.flush_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        let mut out = Vec::new();
        for (name, loads) in &mut self.loads {
            for some in loads.chunks(MAX_LOADS_PER_DATAGRAM) {
                let part = |(load, at): &(PeerLoad, Nanos)| {
                    let age = (now.saturating_sub(*at) / AGE_UNIT).min(255) as u8;
                    Part::PeerLoad { load: *load, age }
                };
                self.sent += some.len() as u64;
                out.push((name.clone(), some.iter().map(part).collect()));
            }
            loads.clear();
        }
        self.loads
            .retain(|_, loads| loads.capacity() < 4 * MAX_LOADS_PER_DATAGRAM);
        self.flush_at = None;
        out
    }
}

/// What one member has told: when it last spoke of each worker, and when it last called it silent.
#[derive(Default)]
struct Reporter {
    workers: BTreeMap<WorkerId, (Nanos, Option<Nanos>)>,
}

#[derive(Default)]
pub struct LoadReceiver {
    reporters: BTreeMap<Name, Reporter>,
    pub received: u64,
    pub ignored_silence: u64,
}

impl LoadReceiver {
    /// A line as it counts now: what ended since it was told is taken off, and silence is believed of a few only.
    /// Guards against a member whose own link is dead, which finds all workers silent and would empty the fleet for all.
    pub fn receive(&mut self, now: Nanos, from: &Name, mut load: PeerLoad, age: u8) -> PeerLoad {
        self.received += 1;
        let elapsed_work =
            Nanos::from(age) * AGE_UNIT * Nanos::from(load.half_slots) / 2 / (16 * MS);
        load.work_units = load
            .work_units
            .saturating_sub(elapsed_work.min(65_535) as u16);
        let reporter = self.reporters.entry(from.clone()).or_default();
        reporter
            .workers
            .retain(|_, (at, _)| now < *at + REPORT_RETENTION);
        let silent = load.speed_code == PeerLoad::SPEED_SILENT;
        let known = reporter.workers.entry(load.worker).or_insert((now, None));
        *known = (now, if silent { Some(now) } else { None });
        let count = reporter
            .workers
            .values()
            .filter(|(_, silent)| silent.is_some())
            .count();
        if silent
            && count > MAX_SILENT_WORKERS.max(reporter.workers.len() / 4)
            && !is_active(Mutation::UnboundedSilenceReports)
        {
            self.ignored_silence += 1;
            load.speed_code = PeerLoad::SPEED_UNKNOWN;
        }
        load
    }

    /// Forgets who is no member any more.
    pub fn retain_members(&mut self, lives: impl Fn(&Name) -> bool) {
        self.reporters.retain(|name, _| lives(name));
    }
}

#[cfg(test)]
pub(crate) mod tests;
