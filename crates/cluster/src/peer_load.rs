//! What members tell each other of workers: lines are held back for some ms and go many to a datagram, each with its age.
//! Of what is heard, one member's word counts for only so many silent workers.
use crate::datagram::{Name, Part};
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{Nanos, PeerLoad, WorkerId};
use std::collections::BTreeMap;

const MS: Nanos = 1_000_000;
/// How long a line waits for others to the same member: well under the second in which queues change. At 5 ms datagrams alone
/// made a request cost 1.6 times as much (processor time, six dispatchers of 130 requests a second, jobs of 10 ms).
const HOLD: Nanos = 25 * MS;
const LINES: usize = 40;
/// The unit of a line's age on the way.
const AGE: Nanos = 4 * MS;
/// Lines a second that one process sends: ten times what the busiest of a hundred did in simulated days; 65 KB.
const A_SECOND: u64 = 5_000;
/// What one member says of silence counts for so many workers, or for a quarter of those that it speaks of; and for so
/// long. Two may well hang at once; who finds more than that is likely cut off itself.
const SILENT: usize = 2;
const MEMORY: Nanos = 10_000 * MS;

#[derive(Default)]
pub struct LoadSender {
    lines: BTreeMap<Name, Vec<(PeerLoad, Nanos)>>,
    flush_at: Option<Nanos>,
    second: (Nanos, u64),
    pub told: u64,
    pub lost: u64,
}

impl LoadSender {
    /// One line to a member; a newer one of the same worker takes the place of an older that still waits.
    pub fn send_load(&mut self, now: Nanos, to: &Name, load: PeerLoad) {
        if now >= self.second.0 + 1_000 * MS {
            self.second = (now, 0);
        }
        let lines = self.lines.entry(to.clone()).or_default();
        if let Some(line) = lines
            .iter_mut()
            .find(|(line, _)| line.worker == load.worker)
        {
            *line = (load, now);
            return;
        }
        if self.second.1 >= A_SECOND {
            self.lost += 1;
            return;
        }
        self.second.1 += 1;
        lines.push((load, now));
        self.flush_at.get_or_insert(now + HOLD);
    }

    pub fn next_due(&self) -> Option<Nanos> {
        self.flush_at
    }

    /// What is due to go out, a datagram's worth to each.
    pub fn due(&mut self, now: Nanos) -> Vec<(Name, Vec<Part>)> {
        if self.flush_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        let mut out = Vec::new();
        for (name, lines) in &mut self.lines {
            for some in lines.chunks(LINES) {
                let part = |(load, at): &(PeerLoad, Nanos)| {
                    let age = (now.saturating_sub(*at) / AGE).min(255) as u8;
                    Part::PeerLoad { load: *load, age }
                };
                self.told += some.len() as u64;
                out.push((name.clone(), some.iter().map(part).collect()));
            }
            lines.clear();
        }
        self.lines.retain(|_, lines| lines.capacity() < 4 * LINES);
        self.flush_at = None;
        out
    }
}

/// What one member has told: when it last spoke of each worker, and when it last called it silent.
#[derive(Default)]
struct Word {
    workers: BTreeMap<WorkerId, (Nanos, Option<Nanos>)>,
}

#[derive(Default)]
pub struct LoadReceiver {
    words: BTreeMap<Name, Word>,
    pub heard: u64,
    pub bounded: u64,
}

impl LoadReceiver {
    /// A line as it counts now: what ended since it was told is taken off, and silence is believed of a few only.
    /// Guards against a member whose own link is dead, which finds all workers silent and would empty the fleet for all.
    pub fn line(&mut self, now: Nanos, from: &Name, mut load: PeerLoad, age: u8) -> PeerLoad {
        self.heard += 1;
        let gone = Nanos::from(age) * AGE * Nanos::from(load.half_slots) / 2 / (16 * MS);
        load.work_units = load.work_units.saturating_sub(gone.min(65_535) as u16);
        let word = self.words.entry(from.clone()).or_default();
        word.workers.retain(|_, (at, _)| now < *at + MEMORY);
        let silent = load.speed_code == PeerLoad::SPEED_SILENT;
        let known = word.workers.entry(load.worker).or_insert((now, None));
        *known = (now, if silent { Some(now) } else { None });
        let count = word
            .workers
            .values()
            .filter(|(_, silent)| silent.is_some())
            .count();
        if silent
            && count > SILENT.max(word.workers.len() / 4)
            && !is_active(Mutation::UnboundedSilenceReports)
        {
            self.bounded += 1;
            load.speed_code = PeerLoad::SPEED_UNKNOWN;
        }
        load
    }

    /// Forgets who is no member any more.
    pub fn keep(&mut self, lives: impl Fn(&Name) -> bool) {
        self.words.retain(|name, _| lives(name));
    }
}
