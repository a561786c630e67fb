//! Who is there: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health (Dadgar, Phillips, Currey 2018). Each
//! period one member is probed, by others too if it does not answer; one that no one reaches is suspected, may refute
//! that by a higher incarnation, and is held for dead after a time that shrinks with those who suspect it too. What
//! changes is passed on with the datagrams that go out anyway.
use crate::datagram::{Draft, NONE, Name, Part, Record, Standing, hash};
use rosewall::mutation::{Mutation, is_active};
use rosewall::pcg::Pcg;
use rosewall::types::Nanos;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;
/// One member is probed each period: with two or three periods to find out and one and a half seconds to refute, a dead
/// one is known everywhere in 3 s. Twice as fast would double the datagrams.
const PERIOD: Nanos = 250 * MS;
/// A probe not answered by then is tried through others: ten times a slow data centre's way there and back.
const ANSWER: Nanos = 80 * MS;
/// Where ways are longer, half as much again as the way there and back of late to those far off, and no more than this: what
/// helpers say is to come in the same period.
const ANSWER_MOST: Nanos = 4 * PERIOD / 5;
/// How many probes are remembered, so that answers that come after their period tell how long the way is.
const REMEMBERED: usize = 16;
/// So many others are asked to try (the paper's k).
const HELPERS: usize = 3;
/// News goes out so often, to so many at random, as long as there is some.
const GOSSIP: Nanos = 100 * MS;
const FANOUT: usize = 3;
/// How often one piece of news is sent, times the decimal logarithm of their number: at 20% loss it reaches all of a
/// thousand but for less than one in a thousand cases, and then the digest shows it.
const REPEATS: f64 = 5.0;
/// Periods a suspect has to refute, times the logarithm of their number: at least, and at most.
const LEAST: f64 = 3.0;
const MOST: f64 = 5.0;
/// So many who suspect it as well bring that down to the least.
const AGREE: f64 = 3.0;
/// One that was held for dead is tried again so often, all such together: slowly, but a split heals in seconds.
const RETRY: Nanos = 1_000 * MS;
/// Seeds are asked so often while no one is known, and so often later, where one of them is missing.
const SEED: Nanos = 500 * MS;
const SEED_LATER: Nanos = 5_000 * MS;
/// The lists are compared with each probe; where they differ a page is asked for at most so often.
const PAGE: Nanos = 300 * MS;
const PAGE_RECORDS: usize = 26;
/// And so often where many are missing, as in a start of all.
const PAGE_SOON: Nanos = 60 * MS;
/// How long those who are gone are remembered, so that old news does not bring them back.
const FORGET: Nanos = 600_000 * MS;
/// A process that hears and does nothing for so long was not running: what it waited for meanwhile tells nothing.
const ASLEEP: Nanos = 4 * PERIOD / 5;
const HEALTH_MOST: u64 = 4;
/// A rank is claimed once it has been the same for so long.
const STABLE: Nanos = 1_000 * MS;
/// One that stands aside looks so often whether the other of its name still runs, and for how long it must be silent.
const ASIDE: Nanos = 2_000 * MS;
const ASIDE_SILENT: Nanos = 6_000 * MS;

/// How what is told stands to what is known of the same start of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    /// By a higher incarnation, or a later start.
    Newer,
    Same,
    Older,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Take,
    /// One more suspects it.
    Agree,
}

/// What is known, how the telling stands to it, what is told, and what follows; what is not listed changes nothing.
type Row = (&'static [Standing], Told, &'static [Standing], Step);

use Standing::{Alive, Dead, Left, Suspect};

const TABLE: &[Row] = &[
    (
        &[Alive, Suspect, Dead, Left],
        Told::Newer,
        &[Alive, Suspect, Dead, Left],
        Step::Take,
    ),
    (&[Alive], Told::Same, &[Suspect, Dead, Left], Step::Take),
    (&[Suspect], Told::Same, &[Dead, Left], Step::Take),
    (&[Suspect], Told::Same, &[Suspect], Step::Agree),
    (&[Dead], Told::Same, &[Left], Step::Take),
];

fn step(known: Standing, told: Told, what: Standing) -> Option<Step> {
    let row = TABLE
        .iter()
        .find(|row| row.0.contains(&known) && row.1 == told && row.2.contains(&what));
    row.map(|row| row.3)
}

#[derive(Clone, Debug)]
pub struct Member {
    pub record: Record,
    /// Since when it stands as it does.
    pub since: Nanos,
    /// A suspect's last moment, and who suspects it.
    until: Nanos,
    by: Vec<u32>,
    /// How often it was passed on as it is now, and whether it still is to be.
    told: u32,
    queued: bool,
}

/// What changed, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Came(Name),
    Suspected(Name),
    Refuted(Name),
    Died(Name),
    Left(Name),
    /// Another process runs under this one's name, at this address; this one stands aside.
    Twice(SocketAddr),
    /// It is gone: this one is a member again.
    Once,
}

struct Probe {
    seq: u32,
    name: Name,
    /// When others are asked, unless they were.
    ask_at: Option<Nanos>,
    /// How many were asked and have not said that they got no answer either.
    silent: usize,
}

/// A ping in another's name.
struct Favour {
    seq: u32,
    of: u32,
    back: SocketAddr,
    until: Nanos,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub probes: u64,
    pub suspected: u64,
    pub refuted: u64,
    pub died: u64,
    pub pages: u64,
}

pub type Out = Vec<(SocketAddr, Vec<Part>)>;

pub struct Members {
    pub me: Record,
    cluster: u32,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<Name, Member>,
    round: Vec<Name>,
    probe: Option<Probe>,
    /// The last probes: number, of whom, and when. How long the way there and back is to those far off, as of late.
    probes: VecDeque<(u32, Name, Nanos)>,
    far: Nanos,
    favours: Vec<Favour>,
    /// Whose records are passed on, the newest first, and how often its own was.
    news: VecDeque<Name>,
    own_told: u32,
    /// Of the others that live: how many, and their part of the digest.
    living: usize,
    sum: u32,
    /// 0 is well; each failure of its own makes it slower to blame others.
    health: u64,
    probe_at: Nanos,
    gossip_at: Nanos,
    retry_at: Nanos,
    seed_at: Nanos,
    page_at: Nanos,
    page: u16,
    /// When it last did anything.
    last: Nanos,
    /// The address of another process of its name, and when that was last heard.
    twice: Option<(SocketAddr, Nanos)>,
    aside_at: Nanos,
    leaving: bool,
    /// Whether it ever heard of another member.
    pub met: bool,
    rank: (u16, Nanos),
    chance: Pcg,
    serial: u32,
    pub changes: Vec<Change>,
    /// Whether anything of the view or of claims has changed since this was last cleared.
    pub moved: bool,
    pub counts: Counts,
}

impl Members {
    /// `start` is higher at each start of the process, as far as its clock goes.
    pub fn new(
        cluster: u32,
        name: Name,
        addr: SocketAddr,
        seeds: Vec<SocketAddr>,
        now: Nanos,
        seed: u64,
    ) -> Self {
        let mut chance = Pcg::new(seed);
        // Two starts in one instant of a coarse clock differ by what is drawn.
        let start = now & !0xffff | (chance.unit() * 65_536.0) as u64;
        let (claim, gives, by) = (NONE, false, 0);
        let me = Record {
            name,
            addr,
            start,
            incarnation: 0,
            standing: Alive,
            claim,
            gives,
            by,
        };
        let spread = (chance.unit() * PERIOD as f64) as Nanos;
        Members {
            me,
            cluster,
            seeds: seeds.into_iter().filter(|seed| *seed != addr).collect(),
            members: BTreeMap::new(),
            round: Vec::new(),
            probe: None,
            probes: VecDeque::new(),
            far: 0,
            favours: Vec::new(),
            news: VecDeque::new(),
            own_told: 0,
            living: 0,
            sum: 0,
            health: 0,
            probe_at: now + spread,
            gossip_at: now + spread,
            retry_at: now + RETRY,
            seed_at: now,
            page_at: now,
            page: 0,
            last: now,
            twice: None,
            aside_at: now,
            leaving: false,
            met: false,
            rank: (NONE, now),
            chance,
            serial: 0,
            changes: Vec::new(),
            moved: true,
            counts: Counts::default(),
        }
    }

    /// Whether another process runs under its name, or it is leaving: then it is no member.
    pub fn aside(&self) -> bool {
        self.twice.is_some() || self.leaving
    }

    pub fn twice(&self) -> Option<SocketAddr> {
        self.twice.map(|(addr, _)| addr)
    }

    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    fn living(member: &Member) -> bool {
        matches!(member.record.standing, Alive | Suspect)
    }

    /// Those who live, without itself.
    pub fn living_others(&self) -> impl Iterator<Item = &Record> {
        self.members
            .values()
            .filter(|member| Members::living(member))
            .map(|member| &member.record)
    }

    /// All who live, itself too, in the order of their names.
    pub fn view(&self) -> Vec<&Record> {
        let mut view: Vec<&Record> = self.living_others().collect();
        let at = view.partition_point(|record| record.name < self.me.name);
        view.insert(at, &self.me);
        view
    }

    pub fn count(&self) -> usize {
        self.living + 1
    }

    fn digest_of(record: &Record) -> u32 {
        let of = hash(record.name.as_bytes()).wrapping_mul(0x9e37_79b1)
            ^ hash(&record.start.to_be_bytes());
        of ^ u32::from(record.claim).wrapping_mul(0x85eb_ca6b)
    }

    /// Equal where the same processes are held to live, with the same claims.
    pub fn digest(&self) -> u32 {
        self.sum.wrapping_add(Members::digest_of(&self.me))
    }

    /// Counts what a record adds to those that live, where it takes the place of another.
    fn account(&mut self, old: Option<&Record>, new: Option<&Record>) {
        self.moved = true;
        let lives = |record: &&Record| matches!(record.standing, Alive | Suspect);
        if let Some(old) = old.filter(lives) {
            (self.living, self.sum) = (
                self.living - 1,
                self.sum.wrapping_sub(Members::digest_of(old)),
            );
        }
        if let Some(new) = new.filter(lives) {
            (self.living, self.sum) = (
                self.living + 1,
                self.sum.wrapping_add(Members::digest_of(new)),
            );
        }
    }

    fn has_news(&self) -> bool {
        !self.news.is_empty() || self.own_told < self.repeats()
    }

    /// How often a piece of news is passed on.
    fn repeats(&self) -> u32 {
        (REPEATS * self.scale()).ceil() as u32
    }

    fn next_seq(&mut self) -> u32 {
        self.serial = self.serial.wrapping_add(1);
        self.serial
    }

    fn scale(&self) -> f64 {
        (self.count() as f64).log10().max(1.0)
    }

    fn tell_news(&mut self, name: &Name) {
        if let Some(member) = self.members.get_mut(name) {
            member.told = 0;
            if !std::mem::replace(&mut member.queued, true) {
                self.news.push_front(name.clone());
            }
        }
    }

    /// Tells all anew what it says of itself.
    fn announce(&mut self) {
        // Its own record is at the head of each datagram; while it is new, some go out for it alone.
        (self.me.incarnation, self.own_told) = (self.me.incarnation + 1, 0);
    }

    /// Says whether it gives rights.
    pub fn give(&mut self, gives: bool) {
        if self.me.gives != gives {
            self.me.gives = gives;
            self.announce();
        }
    }

    /// Takes the rank that follows from the view as its own, once that has been the same for a while.
    pub fn settle(&mut self, now: Nanos, rank: u16) {
        if self.rank.0 != rank {
            self.rank = (rank, now);
        } else if self.me.claim != rank && now >= self.rank.1 + STABLE {
            self.me.claim = rank;
            self.announce();
        }
    }

    /// What was waited for while this process did not run tells nothing of others. Guards against one that was paused
    /// and, as it wakes, holds all others for dead.
    fn wake(&mut self, now: Nanos) {
        let gap = now.saturating_sub(self.last);
        self.last = now;
        if gap < ASLEEP || is_active(Mutation::IgnorePause) {
            return;
        }
        self.probe = None;
        self.favours.clear();
        self.probe_at = now + ANSWER;
        for member in self
            .members
            .values_mut()
            .filter(|member| member.record.standing == Suspect)
        {
            member.until += gap;
        }
    }

    /// Whether it was not running until just now.
    pub fn slept(&self, now: Nanos) -> bool {
        now.saturating_sub(self.last) >= ASLEEP
    }

    pub fn next_due(&self) -> Nanos {
        if self.leaving {
            return Nanos::MAX / 2;
        }
        if self.twice.is_some() {
            return self.aside_at;
        }
        let suspects = self
            .members
            .values()
            .filter(|member| member.record.standing == Suspect);
        let suspects = suspects.map(|member| member.until).min();
        let asked = self.probe.as_ref().and_then(|probe| probe.ask_at);
        let favour = self.favours.iter().map(|favour| favour.until).min();
        let gossip = self.has_news().then_some(self.gossip_at);
        let fixed = [self.probe_at, self.retry_at, self.seed_at];
        let some = suspects
            .into_iter()
            .chain(asked)
            .chain(favour)
            .chain(gossip)
            .chain(fixed);
        // Looks up often enough to know that it was running.
        some.min().unwrap_or(0).min(self.last + ASLEEP / 2)
    }

    pub fn due(&mut self, now: Nanos, out: &mut Out) {
        self.wake(now);
        if self.leaving {
            return;
        }
        if let Some((addr, heard)) = self.twice {
            if now >= heard + ASIDE_SILENT {
                self.twice = None;
                self.me.start = self.me.start.max(now);
                self.changes.push(Change::Once);
            } else if now >= self.aside_at {
                self.aside_at = now + ASIDE;
                let (seq, to) = (self.next_seq(), self.me.name.clone());
                out.push((addr, vec![Part::Ping { seq, to }]));
            }
            return;
        }
        let late: Vec<Name> = self
            .members
            .values()
            .filter(|m| m.record.standing == Suspect && m.until <= now)
            .map(|m| m.record.name.clone())
            .collect();
        for name in late {
            if let Some(member) = self.members.get(&name) {
                let record = Record {
                    standing: Dead,
                    ..member.record.clone()
                };
                self.merge(now, record);
            }
        }
        self.favours.retain(|favour| {
            let late = favour.until <= now;
            if late {
                out.push((favour.back, vec![Part::Nack { seq: favour.of }]));
            }
            !late
        });
        self.ask_others(now, out);
        if now >= self.probe_at {
            self.conclude(now, out);
            self.begin(now, out);
            // Three times as often while someone is suspected. Guards against the time it takes to find out many at once.
            let some = self
                .members
                .values()
                .any(|member| member.record.standing == Suspect);
            // But no sooner than an answer, and one by others, can come. Guards against suspicions that make others.
            let soon = PERIOD * (1 + self.health) / if some { 3 } else { 1 };
            self.probe_at = now + soon.max((5 * self.far / 2).min(PERIOD * (1 + self.health)));
        }
        if now >= self.gossip_at {
            self.gossip_at = now + GOSSIP;
            if self.has_news() {
                self.own_told += 1;
                for addr in self.some(FANOUT, None) {
                    out.push((addr, Vec::new()));
                }
            }
        }
        if now >= self.retry_at {
            self.retry_at = now + RETRY / 2 + (self.chance.unit() * RETRY as f64) as Nanos;
            self.members
                .retain(|_, member| Members::living(member) || now < member.since + FORGET);
            let gone: Vec<&Record> = self
                .members
                .values()
                .map(|m| &m.record)
                .filter(|r| r.standing == Dead)
                .collect();
            if !gone.is_empty() {
                let one = gone[(self.chance.unit() * gone.len() as f64) as usize].clone();
                let seq = self.next_seq();
                out.push((
                    one.addr,
                    vec![
                        Part::Ping {
                            seq,
                            to: one.name.clone(),
                        },
                        Part::Record(one),
                    ],
                ));
            }
        }
        if now >= self.seed_at {
            let alone = self.living_others().next().is_none();
            self.seed_at = now + if alone { SEED } else { SEED_LATER };
            let missing =
                |seed: &&SocketAddr| alone || !self.living_others().any(|r| r.addr == **seed);
            for seed in self.seeds.iter().filter(missing) {
                out.push((*seed, vec![Part::Page { from: 0 }]));
            }
        }
    }

    /// Some of those who live, at random.
    fn some(&mut self, count: usize, but: Option<&Name>) -> Vec<SocketAddr> {
        let all = self
            .living_others()
            .filter(|record| Some(&record.name) != but);
        let mut all: Vec<SocketAddr> = all.map(|record| record.addr).collect();
        for at in 0..count.min(all.len()) {
            let other = at + (self.chance.unit() * (all.len() - at) as f64) as usize;
            all.swap(at, other);
        }
        all.truncate(count);
        all
    }

    /// The next one's probe: all in turn, in an order drawn anew each round.
    fn begin(&mut self, now: Nanos, out: &mut Out) {
        let name = loop {
            match self.round.pop() {
                Some(name) if self.members.get(&name).is_some_and(Members::living) => break name,
                Some(_) => {}
                None => {
                    self.round = self
                        .living_others()
                        .map(|record| record.name.clone())
                        .collect();
                    if self.round.is_empty() {
                        return;
                    }
                    for at in (1..self.round.len()).rev() {
                        self.round
                            .swap(at, (self.chance.unit() * (at + 1) as f64) as usize);
                    }
                }
            }
        };
        let Some(member) = self.members.get(&name) else {
            return;
        };
        let (addr, suspect) = (member.record.addr, member.record.standing == Suspect);
        let mut parts = Vec::new();
        if suspect {
            parts.push(Part::Record(member.record.clone()));
        }
        let seq = self.next_seq();
        parts.push(Part::Ping {
            seq,
            to: name.clone(),
        });
        parts.push(Part::Digest {
            hash: self.digest(),
            count: self.count() as u16,
        });
        out.push((addr, parts));
        self.counts.probes += 1;
        let ask_at = Some(now + self.answer() * (1 + self.health));
        self.probes.push_back((seq, name.clone(), now));
        if self.probes.len() > REMEMBERED {
            self.probes.pop_front();
        }
        self.probe = Some(Probe {
            seq,
            name,
            ask_at,
            silent: 0,
        });
    }

    /// No answer so far: others try.
    fn ask_others(&mut self, now: Nanos, out: &mut Out) {
        let Some(Probe {
            seq,
            name,
            ask_at: Some(at),
            ..
        }) = &self.probe
        else {
            return;
        };
        if *at > now {
            return;
        }
        let (seq, name) = (*seq, name.clone());
        let Some(addr) = self.members.get(&name).map(|member| member.record.addr) else {
            return;
        };
        let helpers = self.some(HELPERS, Some(&name));
        if let Some(probe) = &mut self.probe {
            (probe.ask_at, probe.silent) = (None, helpers.len());
        }
        for helper in helpers {
            out.push((
                helper,
                vec![Part::PingFor {
                    seq,
                    to: name.clone(),
                    addr,
                }],
            ));
        }
    }

    /// A probe that was not answered by the end of its period.
    fn conclude(&mut self, now: Nanos, out: &mut Out) {
        let Some(Probe { name, silent, .. }) = self.probe.take() else {
            return;
        };
        // Where none of the helpers says anything, the fault may be on this side; one may be dead as well.
        if silent > 0 && silent == HELPERS.min(self.count().saturating_sub(2)) {
            self.health = (self.health + 1).min(HEALTH_MOST);
        }
        let Some(member) = self.members.get(&name) else {
            return;
        };
        let record = Record {
            standing: Suspect,
            by: hash(self.me.name.as_bytes()),
            ..member.record.clone()
        };
        out.push((record.addr, vec![Part::Record(record.clone())]));
        self.merge(now, record);
    }

    /// How long an answer may take before others are asked.
    fn answer(&self) -> Nanos {
        ANSWER.max((self.far + self.far / 2).min(ANSWER_MOST))
    }

    /// An answer of the probed one's own tells how long the way is. The longest counts, and is forgotten by a part each time:
    /// two in three regions of like size are far off, and a tenth of what a probe costs is spent on one that is not.
    fn learn_way(&mut self, now: Nanos, seq: u32, from: &Name) {
        let probe = self
            .probes
            .iter()
            .find(|(of, name, _)| *of == seq && name == from);
        if let Some(took) = probe.map(|(_, _, at)| now.saturating_sub(*at)) {
            self.far = took.max(self.far - self.far / 32);
        }
    }

    fn answered(&mut self, seq: u32) {
        if self.probe.as_ref().is_some_and(|probe| probe.seq == seq) {
            self.probe = None;
            self.health = self.health.saturating_sub(1);
        }
    }

    /// What one datagram says of members.
    pub fn heard(
        &mut self,
        now: Nanos,
        from: SocketAddr,
        sender: &Record,
        parts: &[Part],
        out: &mut Out,
    ) {
        self.wake(now);
        let mut sender = sender.clone();
        sender.addr = from;
        if sender.name == self.me.name {
            return self.namesake(now, &sender, out);
        }
        if self.aside() {
            return;
        }
        self.merge(now, sender.clone());
        // Whoever is taken for worse than it says is told so, and may refute it.
        if let Some(known) = self.members.get(&sender.name)
            && known.record.standing > sender.standing
            && known.record.start >= sender.start
        {
            out.push((from, vec![Part::Record(known.record.clone())]));
        }
        for part in parts {
            match part {
                Part::Ping { seq, to } if *to == self.me.name => {
                    let digest = Part::Digest {
                        hash: self.digest(),
                        count: self.count() as u16,
                    };
                    out.push((from, vec![Part::Ack { seq: *seq }, digest]));
                }
                Part::Ack { seq } => {
                    if let Some(at) = self.favours.iter().position(|favour| favour.seq == *seq) {
                        let favour = self.favours.swap_remove(at);
                        out.push((favour.back, vec![Part::Ack { seq: favour.of }]));
                    }
                    self.learn_way(now, *seq, &sender.name);
                    self.answered(*seq);
                }
                Part::Nack { seq } => {
                    if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == *seq) {
                        probe.silent = probe.silent.saturating_sub(1);
                    }
                }
                Part::PingFor { seq, to, addr } => {
                    let own = self.next_seq();
                    self.favours.push(Favour {
                        seq: own,
                        of: *seq,
                        back: from,
                        until: now + self.answer(),
                    });
                    out.push((
                        *addr,
                        vec![Part::Ping {
                            seq: own,
                            to: to.clone(),
                        }],
                    ));
                }
                Part::Record(record) => self.merge(now, record.clone()),
                Part::Digest { hash, count } => {
                    let differs = *hash != self.digest() || usize::from(*count) != self.count();
                    if differs && now >= self.page_at {
                        let many = usize::from(*count).abs_diff(self.count()) > PAGE_RECORDS;
                        self.page_at = now + if many { PAGE_SOON } else { PAGE };
                        let ask = Part::Page { from: self.page };
                        self.page = self.page.wrapping_add(PAGE_RECORDS as u16) % (*count).max(1);
                        let own = self.records(self.page);
                        out.push((from, std::iter::once(ask).chain(own).collect()));
                    }
                }
                Part::Page { from: place } => {
                    self.counts.pages += 1;
                    let digest = Part::Digest {
                        hash: self.digest(),
                        count: self.count() as u16,
                    };
                    out.push((
                        from,
                        std::iter::once(digest)
                            .chain(self.records(*place))
                            .collect(),
                    ));
                }
                _ => {}
            }
        }
    }

    /// A page of what is known, itself first.
    fn records(&self, from: u16) -> impl Iterator<Item = Part> {
        let all = self.members.values().map(|member| &member.record);
        let count = self.members.len().max(1);
        let page = all
            .cycle()
            .skip(usize::from(from) % count)
            .take(PAGE_RECORDS.min(self.members.len()));
        page.cloned()
            .map(Part::Record)
            .collect::<Vec<_>>()
            .into_iter()
    }

    /// Another process of its own name has spoken.
    fn namesake(&mut self, now: Nanos, other: &Record, out: &mut Out) {
        if other.start == self.me.start || self.leaving {
            return; // its own datagram, come back
        }
        if other.start < self.me.start {
            // It learns from the head that a later one runs.
            return out.push((other.addr, Vec::new()));
        }
        if other.addr == self.me.addr {
            // One before this, whose clock was ahead.
            self.me.start = other.start + 1;
        } else if other.standing != Left {
            if self.twice.is_none() {
                self.changes.push(Change::Twice(other.addr));
                self.aside_at = now;
            }
            self.twice = Some((other.addr, now));
        }
    }

    /// What is told of itself.
    fn of_me(&mut self, now: Nanos, record: Record) {
        if self.leaving {
            return;
        }
        if record.start > self.me.start {
            if record.addr == self.me.addr || !matches!(record.standing, Alive | Suspect) {
                self.me.start = record.start + 1;
                self.announce();
            } else if self.twice.is_none() {
                self.changes.push(Change::Twice(record.addr));
                (self.twice, self.aside_at) = (Some((record.addr, now)), now);
            }
        } else if record.start == self.me.start
            && record.incarnation >= self.me.incarnation
            && record.standing != Alive
        {
            self.me.incarnation = record.incarnation;
            self.health = (self.health + 1).min(HEALTH_MOST);
            self.counts.refuted += 1;
            self.announce();
        }
    }

    fn merge(&mut self, now: Nanos, record: Record) {
        if record.name == self.me.name {
            return self.of_me(now, record);
        }
        let timeout = self.timeout(0);
        let Some(known) = self.members.get_mut(&record.name) else {
            if matches!(record.standing, Alive | Suspect) {
                self.met = true;
                self.changes.push(Change::Came(record.name.clone()));
                let (name, until) = (record.name.clone(), now + timeout);
                self.replaced(now, &record);
                self.account(None, Some(&record));
                let (by, told, queued) = (Vec::new(), 0, false);
                self.members.insert(
                    name.clone(),
                    Member {
                        record,
                        since: now,
                        until,
                        by,
                        told,
                        queued,
                    },
                );
                self.tell_news(&name);
            }
            return;
        };
        let (new, old) = (
            (record.start, record.incarnation),
            (known.record.start, known.record.incarnation),
        );
        let told = match new.cmp(&old) {
            std::cmp::Ordering::Greater => Told::Newer,
            std::cmp::Ordering::Equal => Told::Same,
            std::cmp::Ordering::Less => Told::Older,
        };
        let told = if is_active(Mutation::AcceptOldIncarnation) && told == Told::Older {
            Told::Newer
        } else {
            told
        };
        match step(known.record.standing, told, record.standing) {
            None => {}
            Some(Step::Agree) if known.by.contains(&record.by) || known.by.len() as f64 > AGREE => {
            }
            Some(Step::Agree) => {
                known.by.push(record.by);
                let (count, since, name) = (known.by.len(), known.since, record.name.clone());
                let until = since + self.timeout(count - 1);
                if let Some(known) = self.members.get_mut(&name) {
                    known.until = until;
                }
                self.tell_news(&name);
            }
            Some(Step::Take) => {
                let (was, name) = (known.record.standing, record.name.clone());
                let change = match (was, record.standing) {
                    (Alive, Alive) | (Dead | Left, Dead | Left) | (Suspect, Suspect) => None,
                    (Suspect, Alive) => Some(Change::Refuted(name.clone())),
                    (Dead | Left, Alive | Suspect) => Some(Change::Came(name.clone())),
                    (_, Suspect) => Some(Change::Suspected(name.clone())),
                    (_, Dead) => Some(Change::Died(name.clone())),
                    (_, Left) => Some(Change::Left(name.clone())),
                };
                match change {
                    Some(Change::Suspected(_)) => self.counts.suspected += 1,
                    Some(Change::Died(_)) => self.counts.died += 1,
                    _ => {}
                }
                if was != record.standing {
                    known.since = now;
                }
                (known.until, known.by) = (now + timeout, vec![record.by]);
                let moved = known.record.addr != record.addr;
                let old = std::mem::replace(&mut known.record, record.clone());
                self.account(Some(&old), Some(&record));
                if moved && record.standing == Alive {
                    self.replaced(now, &record);
                }
                self.changes.extend(change);
                self.tell_news(&name);
            }
        }
    }

    /// Whoever was at the address that another now has is no longer there: it is suspected at once.
    fn replaced(&mut self, now: Nanos, new: &Record) {
        let by = hash(self.me.name.as_bytes());
        let old = self
            .living_others()
            .find(|r| r.addr == new.addr && r.name != new.name)
            .cloned();
        if let Some(old) = old.filter(|old| old.standing == Alive) {
            self.merge(
                now,
                Record {
                    standing: Suspect,
                    by,
                    ..old
                },
            );
        }
    }

    /// How long a suspect has, where so many more suspect it.
    fn timeout(&self, agree: usize) -> Nanos {
        let unit = PERIOD as f64 * self.scale();
        let part = (agree as f64 + 1.0).ln() / (AGREE + 1.0).ln();
        (unit * (MOST - (MOST - LEAST) * part.min(1.0))) as Nanos
    }

    /// Goes: those told need not find out.
    pub fn leave(&mut self, out: &mut Out) {
        self.leaving = true;
        self.me.standing = Left;
        self.me.incarnation += 1;
        // All of a small cluster, enough of a large one that the rest hear of it by them.
        let addrs = self.some(64, None);
        out.extend(addrs.into_iter().map(|addr| (addr, Vec::new())));
    }

    /// A datagram with these parts, its own record at the head, and news as far as there is room.
    pub fn pack(&mut self, parts: &[Part]) -> Vec<u8> {
        let mut draft = Draft::new(self.cluster, &self.me);
        for part in parts {
            draft.add(part);
        }
        let most = self.repeats();
        for _ in 0..self.news.len().min(12) {
            let Some(name) = self.news.pop_front() else {
                break;
            };
            let Some(member) = self.members.get_mut(&name) else {
                continue;
            };
            if !draft.add(&Part::Record(member.record.clone())) {
                self.news.push_front(name);
                break;
            }
            member.told += 1;
            member.queued = member.told < most;
            if member.queued {
                self.news.push_back(name);
            }
        }
        draft.done()
    }
}
