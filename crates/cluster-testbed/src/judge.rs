//! The four rules, by what workers were sent and ran and what clients were answered. No counter of the program is read.
use crate::worker::Worker;
use serde::Serialize;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What the rules allow a process on sockets beyond the figures.
const SLACK: Duration = Duration::from_millis(50);
/// After a drain was put up: the list's way and the grace, as the settings of the rig have it.
pub const GRACE: Duration = Duration::from_millis(550);

/// One txn as its client saw it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub id: String,
    pub dispatcher: usize,
    pub once: bool,
    pub at: Instant,
    /// The status and its moment; none where the connection ended without an answer.
    pub answer: Option<(u16, Instant)>,
    /// When the client gave up or saw the connection end.
    pub over: Instant,
}

/// When a dispatcher was not running: killed, paused, or told to end.
#[derive(Clone, Copy, Debug)]
pub struct Down {
    pub dispatcher: usize,
    pub from: Instant,
    pub to: Option<Instant>,
}

impl Down {
    /// Whether it was down at any moment of a span.
    fn meets(&self, dispatcher: usize, from: Instant, to: Instant) -> bool {
        self.dispatcher == dispatcher && self.from <= to && self.to.is_none_or(|end| end >= from)
    }
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    pub rule: u8,
    pub at_ms: u64,
    pub what: String,
}

/// What a cold worker was sent while it warmed.
#[derive(Clone, Debug, Serialize)]
pub struct ColdUse {
    pub worker: usize,
    /// Postings and work until it was warm, and the work over half of what the rule allows in that time.
    pub postings: usize,
    pub work_s: f64,
    pub of_half: f64,
    /// The most of any window over what the rule allows in it: above 1 the rule is broken.
    pub worst: f64,
}

pub struct Evidence<'a> {
    pub begin: Instant,
    pub end: Instant,
    pub expiry: Duration,
    pub workers: &'a [Arc<Worker>],
    pub asked: &'a [Asked],
    pub downs: &'a [Down],
    /// Which workers were put up as draining, and when.
    pub drains: &'a [(usize, Instant)],
}

fn dispatcher_of(id: &str) -> Option<usize> {
    id.strip_prefix('d')?.split('-').next()?.parse().ok()
}

impl Evidence<'_> {
    fn ms(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.begin).as_millis() as u64
    }

    fn down(&self, dispatcher: usize, from: Instant, to: Instant) -> bool {
        self.downs
            .iter()
            .any(|down| down.meets(dispatcher, from, to))
    }

    pub fn violations(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        let mut say = |rule, at, what: String| {
            found.push(Violation {
                rule,
                at_ms: self.ms(at),
                what,
            })
        };
        for asked in self.asked {
            let late = asked.at + self.expiry + SLACK;
            let until = asked.answer.map_or(asked.over, |(_, at)| at);
            if self.down(asked.dispatcher, asked.at, until) {
                continue;
            }
            match asked.answer {
                None => say(1, asked.at, format!("{} got no answer", asked.id)),
                Some((_, at)) if at > late => {
                    let more = (at - late).as_millis();
                    say(
                        1,
                        asked.at,
                        format!("{} was answered {more} ms after its expiry", asked.id),
                    );
                }
                Some(_) => {}
            }
        }
        let mut ran: HashMap<&str, Vec<Instant>> = HashMap::new();
        let records: Vec<Vec<(String, Instant)>> = self
            .workers
            .iter()
            .map(|w| w.read(|r| r.ran.clone()))
            .collect();
        for (id, at) in records.iter().flatten() {
            ran.entry(id).or_default().push(*at);
        }
        for asked in self.asked.iter().filter(|asked| asked.once) {
            let runs = ran.get(asked.id.as_str()).map_or(&[][..], Vec::as_slice);
            if runs.len() > 1 {
                say(
                    2,
                    asked.at,
                    format!("{} ran {} times", asked.id, runs.len()),
                );
            }
            if let (Some((503, _)), Some(at)) = (asked.answer, runs.first()) {
                say(2, *at, format!("{} was declined and ran", asked.id));
            }
        }
        for (at, told) in self.drains {
            let late = *told + GRACE;
            for sent in self.workers[*at]
                .read(|r| r.sent.clone())
                .iter()
                .filter(|sent| sent.at > late)
            {
                let of = dispatcher_of(&sent.id);
                // One that was paused, or started since, was told later.
                if of.is_some_and(|of| !self.down(of, *told, sent.at)) {
                    say(
                        3,
                        sent.at,
                        format!("worker {at} drains and was sent {}", sent.id),
                    );
                }
            }
        }
        for (at, worker) in self.workers.iter().enumerate() {
            let used = self.cold(at, worker);
            if let Some((from, over)) = used.as_ref().and_then(|(_, worst)| *worst) {
                say(
                    4,
                    from,
                    format!("worker {at} is cold and was sent {over:.2} of what it bears"),
                );
            }
        }
        found
    }

    /// The use of a cold worker, and its worst window where that is too much.
    fn cold(&self, at: usize, worker: &Worker) -> Option<(ColdUse, Option<(Instant, f64)>)> {
        let (born, cold) = (worker.born?, worker.cold);
        let warm = born + cold.time;
        let sent = worker.read(|r| r.sent.clone());
        let sent: Vec<_> = sent.iter().filter(|sent| sent.at < warm).collect();
        let bears = |from: Instant| {
            let full = cold.multiple * worker.seats as f64 * cold.window.as_secs_f64();
            full * cold.warmth(from.saturating_duration_since(born))
        };
        let mut worst: Option<(Instant, f64)> = None;
        for first in &sent {
            let within = sent
                .iter()
                .filter(|s| s.at >= first.at && s.at < first.at + cold.window);
            let part = within.map(|s| s.work).sum::<f64>() / bears(first.at);
            if worst.is_none_or(|(_, most)| part > most) {
                worst = Some((first.at, part));
            }
        }
        let seen = self
            .end
            .min(warm)
            .saturating_duration_since(born)
            .as_secs_f64();
        let share = (seen / cold.time.as_secs_f64()).min(1.0);
        let mean = cold.from + (1.0 - cold.from) * share / 2.0;
        let half = 0.5 * cold.multiple * worker.seats as f64 * mean * seen;
        let work_s = sent.iter().map(|s| s.work).sum::<f64>();
        let most = worst.map_or(0.0, |(_, part)| part);
        let used = ColdUse {
            worker: at,
            postings: sent.len(),
            work_s,
            of_half: work_s / half.max(1e-9),
            worst: most,
        };
        Some((used, worst.filter(|(_, part)| *part > 1.0)))
    }

    pub fn cold_uses(&self) -> Vec<ColdUse> {
        let uses = self
            .workers
            .iter()
            .enumerate()
            .filter_map(|(at, worker)| self.cold(at, worker));
        uses.map(|(used, _)| used).collect()
    }

    /// The most work a seat that any of these workers was sent in a span, over the mean of them.
    pub fn uneven(&self, from: Instant, to: Instant, among: impl Fn(usize) -> bool) -> f64 {
        let of = |worker: &Arc<Worker>| {
            let sent = |r: &crate::worker::Record| {
                r.sent
                    .iter()
                    .filter(|s| s.at >= from && s.at < to)
                    .map(|s| s.work)
                    .sum::<f64>()
            };
            worker.read(sent) / worker.seats as f64
        };
        let all = self.workers.iter().enumerate().filter(|(at, _)| among(*at));
        let all: Vec<f64> = all.map(|(_, worker)| of(worker)).collect();
        let mean = all.iter().sum::<f64>() / all.len().max(1) as f64;
        all.iter().copied().fold(0.0, f64::max) / mean.max(1e-9)
    }
}
