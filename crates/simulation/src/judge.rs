//! The judge: keeps the world's own truth (what clients sent and got, what reached workers and ran there, what lists
//! told) and checks the rules on each happening. It asks no dispatcher anything.
use crate::core::MS;
use crate::net::Half;
use crate::scenario::{Effect, Group, Rules};
use rosewall::types::{EndpointState, Nanos};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::VecDeque;
use std::rc::Rc;

/// By how much each time limit is longer on sockets than in the rules' figures.
pub const SLACK: Nanos = 50 * MS;
/// A cold worker's budget has a little slack for chance: a tenth.
const CHANCE: f64 = 1.1;

/// What must hold; the words of a violation begin with one of these.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Everything taken gets one whole, true answer in time.
    Answer,
    /// No effect twice.
    Effect,
    /// Nothing new to who drains or is gone.
    Drain,
    /// No cold worker pushed over.
    Cold,
    /// Nothing is sent for a txn that is over.
    Over,
    /// What cannot be taken is not served.
    Bad,
    /// Descriptors stay within the limit.
    Descriptors,
    /// At the end all is given back.
    GivenBack,
    /// A stop ends in time.
    Stop,
    /// The program neither fails nor spins.
    Program,
}

#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Violation {
    pub rule: Rule,
    /// From the world's start.
    pub at_ms: f64,
    pub what: String,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Answered(u16),
    Left,
    /// Its dispatcher was killed, or never took it.
    Excused,
}

struct Attempt {
    zone: usize,
    cell: usize,
    first: Nanos,
    /// Where, in what the worker writes, the proof ends that it has not run.
    proof: Option<(u64, Rc<Half>)>,
}

impl Attempt {
    /// Whether the dispatcher was told that it never ran.
    fn proven(&self) -> bool {
        self.proof
            .as_ref()
            .is_some_and(|(end, half)| half.read.get() >= *end)
    }
}

pub struct Truth {
    pub scheme: usize,
    pub work: Nanos,
    /// The last byte was written then, to the machine of this dispatcher.
    pub sent: Option<(Nanos, usize)>,
    pub expiry: Nanos,
    pub ended: Option<(Nanos, End)>,
    attempts: Vec<Attempt>,
    runs: usize,
    results: Vec<u64>,
    /// Not to be served, and why.
    bad: Option<&'static str>,
    /// Its id came twice: what was declined may be taken the second time.
    twice: bool,
    /// Its client reads no answer.
    forgone: bool,
}

#[derive(Clone, Copy)]
struct Told {
    standing: EndpointState,
    /// Since when it is not ready.
    since: Nanos,
    born: Nanos,
    seq: u64,
}

struct Cold {
    host: usize,
    born: Nanos,
    capacity: f64,
    work: VecDeque<(Nanos, f64)>,
    sum: f64,
    all: VecDeque<(Nanos, f64)>,
    all_sum: f64,
    /// Whether it was counted as fallen by the root of N.
    fell: bool,
}

struct SchemeFacts {
    effect: Effect,
    group: Group,
    window: Nanos,
}

#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Tally {
    pub txns: u64,
    pub settled: u64,
    pub declined: u64,
    pub reversed: u64,
    pub left: u64,
    pub excused: u64,
    pub postings: u64,
    pub in_time: u64,
    /// Cold processes that got more than N + 2 x root of N + 2 calls of mean work in a window, of which over two thirds came
    /// from those told of the start; N is what the rules let them take (the operators' measure, beside the judge's own).
    pub fell_by_root: u64,
    /// The same by class, in the scenario's order.
    pub classes: Vec<ClassTally>,
}

/// What became of the requests of one class.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct ClassTally {
    pub requests: u64,
    /// Settled before the client gave up.
    pub in_time: u64,
}

pub struct Judge {
    start: Nanos,
    rules: Rules,
    schemes: Vec<SchemeFacts>,
    pub txns: Vec<Truth>,
    told: FxHashMap<(usize, usize), Told>,
    killed: FxHashSet<usize>,
    cold: Vec<Cold>,
    /// The mean work of a txn, over all loads.
    mean_work: f64,
    pub violations: Vec<Violation>,
    pub tally: Tally,
}

impl Judge {
    pub fn new(
        start: Nanos,
        rules: Rules,
        schemes: &[crate::scenario::Scheme],
        mean_work: f64,
    ) -> Self {
        let facts = |scheme: &crate::scenario::Scheme| SchemeFacts {
            effect: scheme.effect,
            group: scheme.group,
            window: scheme.window_ms * MS,
        };
        Judge {
            start,
            rules,
            schemes: schemes.iter().map(facts).collect(),
            txns: Vec::new(),
            told: FxHashMap::default(),
            killed: FxHashSet::default(),
            cold: Vec::new(),
            mean_work,
            violations: Vec::new(),
            tally: Tally {
                classes: vec![ClassTally::default(); schemes.len()],
                ..Tally::default()
            },
        }
    }

    pub fn blame(&mut self, now: Nanos, rule: Rule, what: String) {
        // The first few tell all; a world that goes on wrongly repeats itself.
        if self.violations.len() < 16 {
            let at_ms = now.saturating_sub(self.start) as f64 / 1e6;
            self.violations.push(Violation { rule, at_ms, what });
        }
    }

    /// A client means to ask.
    pub fn asks(&mut self, scheme: usize, work: Nanos, bad: Option<&'static str>) -> usize {
        self.txns.push(Truth {
            scheme,
            work,
            sent: None,
            expiry: Nanos::MAX,
            ended: None,
            attempts: Vec::new(),
            runs: 0,
            results: Vec::new(),
            bad,
            twice: false,
            forgone: false,
        });
        self.tally.txns += 1;
        if let Some(class) = self.tally.classes.get_mut(scheme) {
            class.requests += 1;
        }
        self.txns.len() - 1
    }

    /// The last byte of a request was written to this dispatcher's machine.
    pub fn sent(&mut self, now: Nanos, txn: usize, machine: usize, expiry: Nanos) {
        let truth = &mut self.txns[txn];
        (truth.sent, truth.expiry) = (Some((now, machine)), expiry);
    }

    /// Whether the dispatcher that has it was killed outright, so that no one is to blame for its loss.
    pub fn was_killed(&self, machine: usize) -> bool {
        self.killed.contains(&machine)
    }

    pub fn kill(&mut self, machine: usize) {
        self.killed.insert(machine);
    }

    fn end(&mut self, now: Nanos, txn: usize, end: End) {
        self.txns[txn].ended = Some((now, end));
        match end {
            End::Answered(200) => self.tally.settled += 1,
            End::Answered(503) => self.tally.declined += 1,
            End::Answered(_) => self.tally.reversed += 1,
            End::Left => self.tally.left += 1,
            End::Excused => self.tally.excused += 1,
        }
    }

    pub fn left(&mut self, now: Nanos, txn: usize) {
        if self.txns[txn].ended.is_none() {
            self.end(now, txn, End::Left);
        }
    }

    pub fn excuse(&mut self, now: Nanos, txn: usize) {
        if self.txns[txn].ended.is_none() {
            self.end(now, txn, End::Excused);
        }
    }

    /// The client will read no answer; nothing is owed to it.
    pub fn forgo(&mut self, txn: usize) {
        self.txns[txn].forgone = true;
    }

    /// The same id comes once more.
    pub fn doubles(&mut self, txn: usize) {
        self.txns[txn].twice = true;
    }

    /// The second of two with one id was settled, which is wrong while the first was in hand or had been posted.
    pub fn blame_double(&mut self, now: Nanos, txn: usize) {
        let declined = matches!(self.txns[txn].ended, Some((_, End::Answered(503))));
        if !declined {
            self.blame(
                now,
                Rule::Bad,
                format!("the id of txn {txn} was taken twice"),
            );
        }
    }

    /// A whole answer has come.
    pub fn answered(&mut self, now: Nanos, txn: usize, status: u16, body: &[u8]) {
        let facts = &self.schemes[self.txns[txn].scheme];
        let (effect, group) = (facts.effect, facts.group);
        let truth = &self.txns[txn];
        if let Some((_, end)) = truth.ended {
            let what = format!("txn {txn} was answered with {status} after it had ended: {end:?}");
            return self.blame(now, Rule::Answer, what);
        }
        let doubtful = truth
            .attempts
            .iter()
            .filter(|attempt| !attempt.proven())
            .count();
        if status == 200 {
            let made = std::str::from_utf8(body).ok().and_then(|text| {
                let (of, number) = text.strip_prefix("made ")?.split_once(' ')?;
                (of.parse::<usize>().ok()? == txn).then_some(number.parse::<u64>().ok()?)
            });
            if made.is_none_or(|number| !truth.results.contains(&number)) {
                self.blame(
                    now,
                    Rule::Answer,
                    format!("txn {txn} was settled with what no worker made for it"),
                );
            }
        } else if status == 503 || status == 429 {
            let harms = match effect {
                Effect::Repeatable => false,
                Effect::Referenced => doubtful > 0 && group != Group::All,
                Effect::OnceOnly => doubtful > 0,
            };
            if harms {
                let what = format!(
                    "txn {txn} ({effect:?}) was declined with {doubtful} postings not proven unrun"
                );
                self.blame(now, Rule::Effect, what);
            }
        } else if self.txns[txn].bad.is_none() && status != 502 {
            self.blame(
                now,
                Rule::Answer,
                format!("txn {txn} is sound and was answered with {status}"),
            );
        }
        if self.txns[txn].bad.is_some() && status == 200 {
            self.blame(now, Rule::Bad, format!("txn {txn} is bad and was served"));
        }
        let late = self.txns[txn].expiry.saturating_add(SLACK);
        if now > late {
            let by = (now - late) as f64 / 1e6;
            self.blame(
                now,
                Rule::Answer,
                format!("txn {txn} was answered {by:.1} ms too late"),
            );
        } else if status == 200 {
            self.tally.in_time += 1;
            self.tally.classes[self.txns[txn].scheme].in_time += 1;
        }
        self.end(now, txn, End::Answered(status));
    }

    /// What was taken ended without a whole answer.
    pub fn lost(&mut self, now: Nanos, txn: usize, how: &str) {
        let truth = &self.txns[txn];
        if truth.ended.is_some() {
            return;
        }
        let Some((_, machine)) = truth.sent else {
            return self.excuse(now, txn);
        };
        if self.was_killed(machine) || truth.bad.is_some() || truth.forgone {
            return self.excuse(now, txn);
        }
        self.blame(
            now,
            Rule::Answer,
            format!("txn {txn} was taken and not answered: {how}"),
        );
        self.end(now, txn, End::Excused);
    }

    /// A whole posting has reached a worker: its first and last byte were written then. Gives its place, or none if no
    /// client sent such a txn.
    pub fn arrived(
        &mut self,
        now: Nanos,
        from: &From,
        txn: Option<usize>,
        at: &At,
    ) -> Option<usize> {
        self.tally.postings += 1;
        let From {
            machine,
            first,
            last,
        } = *from;
        let Some(txn) = txn.filter(|txn| *txn < self.txns.len()) else {
            self.blame(
                now,
                Rule::Bad,
                "a posting with an id that no client sent".to_string(),
            );
            return None;
        };
        let facts = &self.schemes[self.txns[txn].scheme];
        let (effect, group, window) = (facts.effect, facts.group, facts.window);
        let truth = &self.txns[txn];
        let mut blames = Vec::new();
        if let Some(why) = truth.bad {
            blames.push((
                Rule::Bad,
                format!("txn {txn} went to a worker, and is bad: {why}"),
            ));
        }
        match truth.ended {
            // One whose id came twice and was declined unposted is new to the dispatcher.
            Some((_, End::Answered(503))) if truth.twice => {}
            Some((at, end)) if last > at + SLACK => {
                let after = (last - at) as f64 / 1e6;
                blames.push((
                    Rule::Over,
                    format!("txn {txn} was sent {after:.1} ms after its end: {end:?}"),
                ));
            }
            Some((_, End::Answered(503 | 429))) if effect == Effect::OnceOnly => {
                blames.push((
                    Rule::Effect,
                    format!("txn {txn} is once-only, was declined, and came to a worker"),
                ));
            }
            _ if last > truth.expiry.saturating_add(SLACK) => {
                blames.push((Rule::Over, format!("txn {txn} was sent after its expiry")));
            }
            _ => {}
        }
        if let Some(doubtful) = truth.attempts.iter().find(|attempt| !attempt.proven()) {
            let inside = match group {
                Group::All => true,
                Group::Zone => doubtful.zone == at.zone,
                Group::Cell => doubtful.cell == at.cell,
            };
            match effect {
                Effect::Repeatable => {}
                Effect::OnceOnly => {
                    let what = format!(
                        "txn {txn} is once-only and was posted again before the first was proven unrun"
                    );
                    blames.push((Rule::Effect, what));
                }
                Effect::Referenced if !inside => {
                    blames.push((
                        Rule::Effect,
                        format!("txn {txn} is referenced and was repeated out of its group"),
                    ));
                }
                Effect::Referenced if first > doubtful.first + window + SLACK => {
                    blames.push((
                        Rule::Effect,
                        format!("txn {txn} is referenced and was repeated out of its window"),
                    ));
                }
                Effect::Referenced => {}
            }
        }
        match self.told.get(&(machine, at.host)) {
            None => blames.push((
                Rule::Drain,
                format!("worker {} is on no list of who posted txn {txn}", at.host),
            )),
            Some(told) if told.standing != EndpointState::Ready => {
                let limit = told.since + self.rules.grace_ms * MS + SLACK;
                if first > limit {
                    let (standing, by) = (told.standing, (first - limit) as f64 / 1e6);
                    let what = format!(
                        "txn {txn} went to worker {} ({standing:?}) {by:.1} ms past the grace",
                        at.host
                    );
                    blames.push((Rule::Drain, what));
                }
            }
            Some(_) => {}
        }
        blames
            .into_iter()
            .for_each(|(rule, what)| self.blame(now, rule, what));
        let truth = &mut self.txns[txn];
        truth.attempts.push(Attempt {
            zone: at.zone,
            cell: at.cell,
            first,
            proof: None,
        });
        Some(truth.attempts.len() - 1)
    }

    /// The worker has not begun this posting and never will; what it wrote of that ends there.
    pub fn turned_away(&mut self, txn: usize, attempt: usize, end: u64, half: Rc<Half>) {
        self.txns[txn].attempts[attempt].proof = Some((end, half));
    }

    /// A worker begins a job.
    pub fn runs(&mut self, now: Nanos, txn: usize) {
        let effect = self.schemes[self.txns[txn].scheme].effect;
        self.txns[txn].runs += 1;
        if effect == Effect::OnceOnly && self.txns[txn].runs > 1 {
            self.blame(
                now,
                Rule::Effect,
                format!("txn {txn} is once-only and ran twice"),
            );
        }
    }

    /// A worker has made a result.
    pub fn made(&mut self, txn: usize, number: u64) {
        self.txns[txn].results.push(number);
    }

    /// A list that is written to a dispatcher says this of a worker; of one that a whole list leaves out, that it is gone.
    pub fn told(
        &mut self,
        now: Nanos,
        machine: usize,
        host: usize,
        standing: EndpointState,
        born: Nanos,
        seq: u64,
    ) {
        let known = self.told.get(&(machine, host)).copied();
        let old = known.filter(|known| known.seq > seq && born <= known.born);
        // An older list says nothing new of the process that a newer one spoke of.
        if old.is_some_and(|old| old.standing != EndpointState::Ready) {
            return;
        }
        let since = match known {
            Some(known) if known.standing != EndpointState::Ready && known.born == born => {
                known.since
            }
            _ => now,
        };
        let born = if standing == EndpointState::Removed {
            known.map_or(born, |known| known.born)
        } else {
            born
        };
        let seq = known.map_or(seq, |known| known.seq.max(seq));
        self.told.insert(
            (machine, host),
            Told {
                standing,
                since,
                born,
                seq,
            },
        );
    }

    /// Whom a dispatcher was told of.
    pub fn named(&self, machine: usize) -> Vec<usize> {
        let mut hosts: Vec<usize> = self
            .told
            .keys()
            .filter(|(of, _)| *of == machine)
            .map(|(_, host)| *host)
            .collect();
        hosts.sort_unstable();
        hosts
    }

    /// A cold process begins; its capacity is in work a unit of time once it is warm.
    pub fn born(&mut self, host: usize, born: Nanos, capacity: f64) {
        let (work, all) = Default::default();
        self.cold.push(Cold {
            host,
            born,
            capacity,
            work,
            sum: 0.0,
            all,
            all_sum: 0.0,
            fell: false,
        });
    }

    /// The part of its capacity that a process has.
    pub fn warmth(&self, now: Nanos, born: Nanos) -> f64 {
        if born == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(born) as f64 / (self.rules.cold_ms.max(1) * MS) as f64;
        (self.rules.cold_from + (1.0 - self.rules.cold_from) * age).min(1.0)
    }

    /// Work has reached a worker; true where the worker falls over under it.
    pub fn loads(
        &mut self,
        now: Nanos,
        machine: usize,
        host: usize,
        born: Nanos,
        work: f64,
    ) -> bool {
        let warmth = self.warmth(now, born);
        if warmth >= 1.0 {
            return false;
        }
        let informed = self
            .told
            .get(&(machine, host))
            .is_some_and(|told| told.born == born);
        let (window, multiple) = (self.rules.fall_ms * MS, self.rules.fall_multiple);
        let Some(cold) = self
            .cold
            .iter_mut()
            .find(|cold| cold.host == host && cold.born == born)
        else {
            return false;
        };
        let most = multiple * cold.capacity * warmth * window as f64;
        let limit = most * CHANCE;
        for (counts, list, sum) in [
            (informed, &mut cold.work, &mut cold.sum),
            (true, &mut cold.all, &mut cold.all_sum),
        ] {
            while list.front().is_some_and(|(at, _)| at + window < now) {
                *sum -= list.pop_front().map_or(0.0, |(_, work)| work);
            }
            if counts {
                list.push_back((now, work));
                *sum += work;
            }
        }
        let (sum, all) = (cold.sum, cold.all_sum);
        let calls = most / self.mean_work.max(1.0);
        let by_root = (calls + 2.0 * calls.sqrt() + 2.0) * self.mean_work;
        if informed
            && all > by_root
            && sum * 3.0 >= all * 2.0
            && !std::mem::replace(&mut cold.fell, true)
        {
            self.tally.fell_by_root += 1;
        }
        // What came from those who did not know of its start is no one's fault, up to a third.
        if informed && all > limit && sum * 3.0 >= all * 2.0 {
            let part = sum / limit * 100.0;
            self.blame(
                now,
                Rule::Cold,
                format!("worker {host} is cold and was sent {part:.0}% of what it can bear"),
            );
        }
        all > limit
    }

    /// All that was taken must have ended by now.
    pub fn close(&mut self, now: Nanos) {
        for txn in 0..self.txns.len() {
            if self.txns[txn].ended.is_none() && self.txns[txn].sent.is_some() {
                self.lost(now, txn, "nothing came to the end of the world");
            }
        }
    }
}

/// Who posted, and when the first and the last byte were written.
pub struct From {
    pub machine: usize,
    pub first: Nanos,
    pub last: Nanos,
}

/// The worker that a posting reached.
pub struct At {
    pub host: usize,
    pub zone: usize,
    pub cell: usize,
}
