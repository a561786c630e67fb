//! Who is there: SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health (Dadgar, Phillips, Currey 2018). Each
//! period one member is probed, by others too if it does not answer; one that no one reaches is suspected, may refute
//! that by a higher incarnation, and is held for dead after a time that shrinks with those who suspect it too. What
//! changes is passed on with the datagrams that go out anyway.
use crate::datagram::{DatagramEncoder, MemberRecord, MemberState, NO_RANK, Name, Part, hash};
use rosewall::mutation::{Mutation, is_active};
use rosewall::pcg::Pcg;
use rosewall::types::Nanos;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

const MS: Nanos = 1_000_000;
/// One member is probed each period: with two or three periods to find out and one and a half seconds to refute, a dead
/// one is known everywhere in 3 s. Twice as fast would double the datagrams.
const PROBE_PERIOD: Nanos = 250 * MS;
/// A probe not answered by then is tried through others: ten times a slow data centre's way there and back.
const MIN_PROBE_TIMEOUT: Nanos = 80 * MS;
/// Where ways are longer, half as much again as the way there and back of late to those far off, and no more than this: what
/// helpers say is to come in the same period.
const MAX_PROBE_TIMEOUT: Nanos = 4 * PROBE_PERIOD / 5;
/// How many probes are remembered, so that answers that come after their period tell how long the way is.
const REMEMBERED_PROBES: usize = 16;
/// So many others are asked to try (the paper's k).
const INDIRECT_PROBES: usize = 3;
/// News goes out so often, to so many at random, as long as there is some.
const GOSSIP_INTERVAL: Nanos = 100 * MS;
const GOSSIP_FANOUT: usize = 3;
/// How often one piece of news is sent, times the decimal logarithm of their number: at 20% loss it reaches all of a
/// thousand but for less than one in a thousand cases, and then the digest shows it.
const RETRANSMIT_MULTIPLIER: f64 = 5.0;
/// Periods a suspect has to refute, times the logarithm of their number: at least, and at most.
const MIN_SUSPICION_PERIODS: f64 = 3.0;
const MAX_SUSPICION_PERIODS: f64 = 5.0;
/// So many who suspect it as well bring that down to the least.
const CONFIRMATIONS_FOR_MIN: f64 = 3.0;
/// One that was held for dead is tried again so often, all such together: slowly, but a split heals in seconds.
const DEAD_RETRY_INTERVAL: Nanos = 1_000 * MS;
/// Seeds are asked so often while no one is known, and so often later, where one of them is missing.
const SEED_INTERVAL_ALONE: Nanos = 500 * MS;
const SEED_INTERVAL: Nanos = 5_000 * MS;
/// The lists are compared with each probe; where they differ a page is asked for at most so often.
const PAGE_INTERVAL: Nanos = 300 * MS;
const PAGE_RECORDS: usize = 26;
/// And so often where many are missing, as in a start of all.
const PAGE_INTERVAL_BEHIND: Nanos = 60 * MS;
/// How long those who are gone are remembered, so that old news does not bring them back.
const DEAD_RETENTION: Nanos = 600_000 * MS;
/// A process that hears and does nothing for so long was not running: what it waited for meanwhile tells nothing.
const PAUSE_THRESHOLD: Nanos = 4 * PROBE_PERIOD / 5;
const MAX_LOCAL_HEALTH: u64 = 4;
/// A rank is claimed once it has been the same for so long.
const RANK_SETTLE_TIME: Nanos = 1_000 * MS;
/// One that stands aside looks so often whether the other of its name still runs, and for how long it must be silent.
const STANDBY_PROBE_INTERVAL: Nanos = 2_000 * MS;
const STANDBY_TIMEOUT: Nanos = 6_000 * MS;

/// How what is told stands to what is known of the same start of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Precedence {
    /// By a higher incarnation, or a later start.
    Newer,
    Same,
    Older,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Transition {
    Replace,
    /// One more suspects it.
    Confirm,
}

/// What is known, how the telling stands to it, what is told, and what follows; what is not listed changes nothing.
type TableRow = (
    &'static [MemberState],
    Precedence,
    &'static [MemberState],
    Transition,
);

use MemberState::{Alive, Dead, Left, Suspect};

const STATE_TABLE: &[TableRow] = &[
    (
        &[Alive, Suspect, Dead, Left],
        Precedence::Newer,
        &[Alive, Suspect, Dead, Left],
        Transition::Replace,
    ),
    (
        &[Alive],
        Precedence::Same,
        &[Suspect, Dead, Left],
        Transition::Replace,
    ),
    (
        &[Suspect],
        Precedence::Same,
        &[Dead, Left],
        Transition::Replace,
    ),
    (
        &[Suspect],
        Precedence::Same,
        &[Suspect],
        Transition::Confirm,
    ),
    (&[Dead], Precedence::Same, &[Left], Transition::Replace),
];

fn transition(
    known: MemberState,
    transmissions: Precedence,
    what: MemberState,
) -> Option<Transition> {
    let row = STATE_TABLE
        .iter()
        .find(|row| row.0.contains(&known) && row.1 == transmissions && row.2.contains(&what));
    row.map(|row| row.3)
}

#[derive(Clone, Debug)]
pub struct Member {
    pub record: MemberRecord,
    /// Since when it stands as it does.
    pub since: Nanos,
    /// A suspect's last moment, and who suspects it.
    suspect_until: Nanos,
    suspected_by: Vec<u32>,
    /// How often it was passed on as it is now, and whether it still is to be.
    transmissions: u32,
    queued: bool,
}

/// What changed, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Joined(Name),
    Suspected(Name),
    Refuted(Name),
    Died(Name),
    Left(Name),
    /// Another process runs under this one's name, at this address; this one stands aside.
    DuplicateName(SocketAddr),
    /// It is gone: this one is a member again.
    DuplicateNameGone,
}

struct Probe {
    seq: u32,
    name: Name,
    /// When others are asked, unless they were.
    indirect_at: Option<Nanos>,
    /// How many were asked and have not said that they got no answer either.
    silent_helpers: usize,
}

/// A ping in another's name.
struct ProxiedPing {
    seq: u32,
    of: u32,
    back: SocketAddr,
    suspect_until: Nanos,
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

pub struct Membership {
    pub me: MemberRecord,
    cluster: u32,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<Name, Member>,
    probe_order: Vec<Name>,
    probe: Option<Probe>,
    /// The last probes: number, of whom, and when. How long the way there and back is to those far off, as of late.
    probes: VecDeque<(u32, Name, Nanos)>,
    longest_round_trip: Nanos,
    proxied_pings: Vec<ProxiedPing>,
    /// Whose records are passed on, the newest first, and how often its own was.
    update_queue: VecDeque<Name>,
    own_transmissions: u32,
    /// Of the others that live: how many, and their part of the digest.
    living_count: usize,
    digest_sum: u32,
    /// 0 is well; each failure of its own makes it slower to blame others.
    local_health: u64,
    probe_at: Nanos,
    gossip_at: Nanos,
    retry_at: Nanos,
    seed_at: Nanos,
    page_at: Nanos,
    page: u16,
    /// When it last did anything.
    last: Nanos,
    /// The address of another process of its name, and when that was last heard.
    duplicate: Option<(SocketAddr, Nanos)>,
    standby_probe_at: Nanos,
    leaving: bool,
    /// Whether it ever heard of another member.
    pub has_met_peers: bool,
    rank: (u16, Nanos),
    rng: Pcg,
    last_seq: u32,
    pub changes: Vec<Change>,
    /// Whether anything of the view or of claims has changed since this was last cleared.
    pub view_changed: bool,
    pub counts: Counts,
}

impl Membership {
    /// `start` is higher at each start of the process, as far as its clock goes.
    pub fn new(
        cluster: u32,
        name: Name,
        addr: SocketAddr,
        seeds: Vec<SocketAddr>,
        now: Nanos,
        seed: u64,
    ) -> Self {
        let mut rng = Pcg::new(seed);
        // Two starts in one instant of a coarse clock differ by what is drawn.
        let start = now & !0xffff | (rng.unit() * 65_536.0) as u64;
        let (claimed_rank, issues_grants, suspected_by) = (NO_RANK, false, 0);
        let me = MemberRecord {
            name,
            addr,
            start,
            incarnation: 0,
            state: Alive,
            claimed_rank,
            issues_grants,
            suspected_by,
        };
        let spread = (rng.unit() * PROBE_PERIOD as f64) as Nanos;
        Membership {
            me,
            cluster,
            seeds: seeds.into_iter().filter(|seed| *seed != addr).collect(),
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            probe: None,
            probes: VecDeque::new(),
            longest_round_trip: 0,
            proxied_pings: Vec::new(),
            update_queue: VecDeque::new(),
            own_transmissions: 0,
            living_count: 0,
            digest_sum: 0,
            local_health: 0,
            probe_at: now + spread,
            gossip_at: now + spread,
            retry_at: now + DEAD_RETRY_INTERVAL,
            seed_at: now,
            page_at: now,
            page: 0,
            last: now,
            duplicate: None,
            standby_probe_at: now,
            leaving: false,
            has_met_peers: false,
            rank: (NO_RANK, now),
            rng,
            last_seq: 0,
            changes: Vec::new(),
            view_changed: true,
            counts: Counts::default(),
        }
    }

    /// Whether another process runs under its name, or it is leaving: then it is no member.
    pub fn is_standby(&self) -> bool {
        self.duplicate.is_some() || self.leaving
    }

    pub fn duplicate(&self) -> Option<SocketAddr> {
        self.duplicate.map(|(addr, _)| addr)
    }

    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    fn living_count(member: &Member) -> bool {
        matches!(member.record.state, Alive | Suspect)
    }

    /// Those who live, without itself.
    pub fn living_others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members
            .values()
            .filter(|member| Membership::living_count(member))
            .map(|member| &member.record)
    }

    /// All who live, itself too, in the order of their names.
    pub fn view(&self) -> Vec<&MemberRecord> {
        let mut view: Vec<&MemberRecord> = self.living_others().collect();
        let at = view.partition_point(|record| record.name < self.me.name);
        view.insert(at, &self.me);
        view
    }

    pub fn count(&self) -> usize {
        self.living_count + 1
    }

    fn digest_of(record: &MemberRecord) -> u32 {
        let of = hash(record.name.as_bytes()).wrapping_mul(0x9e37_79b1)
            ^ hash(&record.start.to_be_bytes());
        of ^ u32::from(record.claimed_rank).wrapping_mul(0x85eb_ca6b)
    }

    /// Equal where the same processes are held to live, with the same claims.
    pub fn digest(&self) -> u32 {
        self.digest_sum
            .wrapping_add(Membership::digest_of(&self.me))
    }

    /// Counts what a record adds to those that live, where it takes the place of another.
    fn update_totals(&mut self, old: Option<&MemberRecord>, new: Option<&MemberRecord>) {
        self.view_changed = true;
        let lives = |record: &&MemberRecord| matches!(record.state, Alive | Suspect);
        if let Some(old) = old.filter(lives) {
            (self.living_count, self.digest_sum) = (
                self.living_count - 1,
                self.digest_sum.wrapping_sub(Membership::digest_of(old)),
            );
        }
        if let Some(new) = new.filter(lives) {
            (self.living_count, self.digest_sum) = (
                self.living_count + 1,
                self.digest_sum.wrapping_add(Membership::digest_of(new)),
            );
        }
    }

    fn has_updates(&self) -> bool {
        !self.update_queue.is_empty() || self.own_transmissions < self.retransmit_limit()
    }

    /// How often a piece of news is passed on.
    fn retransmit_limit(&self) -> u32 {
        (RETRANSMIT_MULTIPLIER * self.log_count()).ceil() as u32
    }

    fn next_seq(&mut self) -> u32 {
        self.last_seq = self.last_seq.wrapping_add(1);
        self.last_seq
    }

    fn log_count(&self) -> f64 {
        (self.count() as f64).log10().max(1.0)
    }

    fn queue_update(&mut self, name: &Name) {
        if let Some(member) = self.members.get_mut(name) {
            member.transmissions = 0;
            if !std::mem::replace(&mut member.queued, true) {
                self.update_queue.push_front(name.clone());
            }
        }
    }

    /// Tells all anew what it says of itself.
    fn announce_self(&mut self) {
        // Its own record is at the head of each datagram; while it is new, some go out for it alone.
        (self.me.incarnation, self.own_transmissions) = (self.me.incarnation + 1, 0);
    }

    /// Says whether it gives rights.
    pub fn set_issues_grants(&mut self, issues_grants: bool) {
        if self.me.issues_grants != issues_grants {
            self.me.issues_grants = issues_grants;
            self.announce_self();
        }
    }

    /// Takes the rank that follows from the view as its own, once that has been the same for a while.
    pub fn settle_rank(&mut self, now: Nanos, rank: u16) {
        if self.rank.0 != rank {
            self.rank = (rank, now);
        } else if self.me.claimed_rank != rank && now >= self.rank.1 + RANK_SETTLE_TIME {
            self.me.claimed_rank = rank;
            self.announce_self();
        }
    }

    /// What was waited for while this process did not run tells nothing of others. Guards against one that was paused
    /// and, as it wakes, holds all others for dead.
    fn handle_pause(&mut self, now: Nanos) {
        let gap = now.saturating_sub(self.last);
        self.last = now;
        if gap < PAUSE_THRESHOLD || is_active(Mutation::IgnorePause) {
            return;
        }
        self.probe = None;
        self.proxied_pings.clear();
        self.probe_at = now + MIN_PROBE_TIMEOUT;
        for member in self
            .members
            .values_mut()
            .filter(|member| member.record.state == Suspect)
        {
            member.suspect_until += gap;
        }
    }

    /// Whether it was not running until just now.
    pub fn was_paused(&self, now: Nanos) -> bool {
        now.saturating_sub(self.last) >= PAUSE_THRESHOLD
    }

    pub fn next_timeout(&self) -> Nanos {
        if self.leaving {
            return Nanos::MAX / 2;
        }
        if self.duplicate.is_some() {
            return self.standby_probe_at;
        }
        let suspects = self
            .members
            .values()
            .filter(|member| member.record.state == Suspect);
        let suspects = suspects.map(|member| member.suspect_until).min();
        let asked = self.probe.as_ref().and_then(|probe| probe.indirect_at);
        let proxied = self
            .proxied_pings
            .iter()
            .map(|proxied| proxied.suspect_until)
            .min();
        let gossip = self.has_updates().then_some(self.gossip_at);
        let fixed = [self.probe_at, self.retry_at, self.seed_at];
        let some = suspects
            .into_iter()
            .chain(asked)
            .chain(proxied)
            .chain(gossip)
            .chain(fixed);
        // Looks up often enough to know that it was running.
        some.min().unwrap_or(0).min(self.last + PAUSE_THRESHOLD / 2)
    }

    pub fn handle_timeout(&mut self, now: Nanos, out: &mut Out) {
        self.handle_pause(now);
        if self.leaving {
            return;
        }
        if let Some((addr, heard)) = self.duplicate {
            if now >= heard + STANDBY_TIMEOUT {
                self.duplicate = None;
                self.me.start = self.me.start.max(now);
                self.changes.push(Change::DuplicateNameGone);
            } else if now >= self.standby_probe_at {
                self.standby_probe_at = now + STANDBY_PROBE_INTERVAL;
                let (seq, to) = (self.next_seq(), self.me.name.clone());
                out.push((addr, vec![Part::Ping { seq, to }]));
            }
            return;
        }
        let late: Vec<Name> = self
            .members
            .values()
            .filter(|m| m.record.state == Suspect && m.suspect_until <= now)
            .map(|m| m.record.name.clone())
            .collect();
        for name in late {
            if let Some(member) = self.members.get(&name) {
                let record = MemberRecord {
                    state: Dead,
                    ..member.record.clone()
                };
                self.merge(now, record);
            }
        }
        self.proxied_pings.retain(|proxied| {
            let late = proxied.suspect_until <= now;
            if late {
                out.push((proxied.back, vec![Part::Nack { seq: proxied.of }]));
            }
            !late
        });
        self.request_indirect_probes(now, out);
        if now >= self.probe_at {
            self.finish_probe(now, out);
            self.start_probe(now, out);
            // Three times as often while someone is suspected. Guards against the time it takes to find out many at once.
            let some = self
                .members
                .values()
                .any(|member| member.record.state == Suspect);
            // But no sooner than an answer, and one by others, can come. Guards against suspicions that make others.
            let soon = PROBE_PERIOD * (1 + self.local_health) / if some { 3 } else { 1 };
            self.probe_at = now
                + soon.max(
                    (5 * self.longest_round_trip / 2).min(PROBE_PERIOD * (1 + self.local_health)),
                );
        }
        if now >= self.gossip_at {
            self.gossip_at = now + GOSSIP_INTERVAL;
            if self.has_updates() {
                self.own_transmissions += 1;
                for addr in self.random_peers(GOSSIP_FANOUT, None) {
                    out.push((addr, Vec::new()));
                }
            }
        }
        if now >= self.retry_at {
            self.retry_at = now
                + DEAD_RETRY_INTERVAL / 2
                + (self.rng.unit() * DEAD_RETRY_INTERVAL as f64) as Nanos;
            self.members.retain(|_, member| {
                Membership::living_count(member) || now < member.since + DEAD_RETENTION
            });
            let gone: Vec<&MemberRecord> = self
                .members
                .values()
                .map(|m| &m.record)
                .filter(|r| r.state == Dead)
                .collect();
            if !gone.is_empty() {
                let one = gone[(self.rng.unit() * gone.len() as f64) as usize].clone();
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
            self.seed_at = now
                + if alone {
                    SEED_INTERVAL_ALONE
                } else {
                    SEED_INTERVAL
                };
            let missing =
                |seed: &&SocketAddr| alone || !self.living_others().any(|r| r.addr == **seed);
            for seed in self.seeds.iter().filter(missing) {
                out.push((*seed, vec![Part::PageRequest { from: 0 }]));
            }
        }
    }

    /// Some of those who live, at random.
    fn random_peers(&mut self, count: usize, but: Option<&Name>) -> Vec<SocketAddr> {
        let all = self
            .living_others()
            .filter(|record| Some(&record.name) != but);
        let mut all: Vec<SocketAddr> = all.map(|record| record.addr).collect();
        for at in 0..count.min(all.len()) {
            let other = at + (self.rng.unit() * (all.len() - at) as f64) as usize;
            all.swap(at, other);
        }
        all.truncate(count);
        all
    }

    /// The next one's probe: all in turn, in an order drawn anew each round.
    fn start_probe(&mut self, now: Nanos, out: &mut Out) {
        let name = loop {
            match self.probe_order.pop() {
                Some(name)
                    if self
                        .members
                        .get(&name)
                        .is_some_and(Membership::living_count) =>
                {
                    break name;
                }
                Some(_) => {}
                None => {
                    self.probe_order = self
                        .living_others()
                        .map(|record| record.name.clone())
                        .collect();
                    if self.probe_order.is_empty() {
                        return;
                    }
                    for at in (1..self.probe_order.len()).rev() {
                        self.probe_order
                            .swap(at, (self.rng.unit() * (at + 1) as f64) as usize);
                    }
                }
            }
        };
        let Some(member) = self.members.get(&name) else {
            return;
        };
        let (addr, suspect) = (member.record.addr, member.record.state == Suspect);
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
        let indirect_at = Some(now + self.probe_timeout() * (1 + self.local_health));
        self.probes.push_back((seq, name.clone(), now));
        if self.probes.len() > REMEMBERED_PROBES {
            self.probes.pop_front();
        }
        self.probe = Some(Probe {
            seq,
            name,
            indirect_at,
            silent_helpers: 0,
        });
    }

    /// No answer so far: others try.
    fn request_indirect_probes(&mut self, now: Nanos, out: &mut Out) {
        let Some(Probe {
            seq,
            name,
            indirect_at: Some(at),
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
        let helpers = self.random_peers(INDIRECT_PROBES, Some(&name));
        if let Some(probe) = &mut self.probe {
            (probe.indirect_at, probe.silent_helpers) = (None, helpers.len());
        }
        for helper in helpers {
            out.push((
                helper,
                vec![Part::IndirectPing {
                    seq,
                    to: name.clone(),
                    addr,
                }],
            ));
        }
    }

    /// A probe that was not answered by the end of its period.
    fn finish_probe(&mut self, now: Nanos, out: &mut Out) {
        let Some(Probe {
            name,
            silent_helpers,
            ..
        }) = self.probe.take()
        else {
            return;
        };
        // Where none of the helpers says anything, the fault may be on this side; one may be dead as well.
        if silent_helpers > 0
            && silent_helpers == INDIRECT_PROBES.min(self.count().saturating_sub(2))
        {
            self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
        }
        let Some(member) = self.members.get(&name) else {
            return;
        };
        let record = MemberRecord {
            state: Suspect,
            suspected_by: hash(self.me.name.as_bytes()),
            ..member.record.clone()
        };
        out.push((record.addr, vec![Part::Record(record.clone())]));
        self.merge(now, record);
    }

    /// How long an answer may take before others are asked.
    fn probe_timeout(&self) -> Nanos {
        MIN_PROBE_TIMEOUT
            .max((self.longest_round_trip + self.longest_round_trip / 2).min(MAX_PROBE_TIMEOUT))
    }

    /// An answer of the probed one's own tells how long the way is. The longest counts, and is forgotten by a part each time:
    /// two in three regions of like size are far off, and a tenth of what a probe costs is spent on one that is not.
    fn record_round_trip(&mut self, now: Nanos, seq: u32, from: &Name) {
        let probe = self
            .probes
            .iter()
            .find(|(of, name, _)| *of == seq && name == from);
        if let Some(took) = probe.map(|(_, _, at)| now.saturating_sub(*at)) {
            self.longest_round_trip =
                took.max(self.longest_round_trip - self.longest_round_trip / 32);
        }
    }

    fn handle_ack(&mut self, seq: u32) {
        if self.probe.as_ref().is_some_and(|probe| probe.seq == seq) {
            self.probe = None;
            self.local_health = self.local_health.saturating_sub(1);
        }
    }

    /// What one datagram says of members.
    pub fn handle_datagram(
        &mut self,
        now: Nanos,
        from: SocketAddr,
        sender: &MemberRecord,
        parts: &[Part],
        out: &mut Out,
    ) {
        self.handle_pause(now);
        let mut sender = sender.clone();
        sender.addr = from;
        if sender.name == self.me.name {
            return self.handle_duplicate_name(now, &sender, out);
        }
        if self.is_standby() {
            return;
        }
        self.merge(now, sender.clone());
        // Whoever is taken for worse than it says is told so, and may refute it.
        if let Some(known) = self.members.get(&sender.name)
            && known.record.state > sender.state
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
                    if let Some(at) = self
                        .proxied_pings
                        .iter()
                        .position(|proxied| proxied.seq == *seq)
                    {
                        let proxied = self.proxied_pings.swap_remove(at);
                        out.push((proxied.back, vec![Part::Ack { seq: proxied.of }]));
                    }
                    self.record_round_trip(now, *seq, &sender.name);
                    self.handle_ack(*seq);
                }
                Part::Nack { seq } => {
                    if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == *seq) {
                        probe.silent_helpers = probe.silent_helpers.saturating_sub(1);
                    }
                }
                Part::IndirectPing { seq, to, addr } => {
                    let own = self.next_seq();
                    self.proxied_pings.push(ProxiedPing {
                        seq: own,
                        of: *seq,
                        back: from,
                        suspect_until: now + self.probe_timeout(),
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
                        self.page_at = now
                            + if many {
                                PAGE_INTERVAL_BEHIND
                            } else {
                                PAGE_INTERVAL
                            };
                        let ask = Part::PageRequest { from: self.page };
                        self.page = self.page.wrapping_add(PAGE_RECORDS as u16) % (*count).max(1);
                        let own = self.page(self.page);
                        out.push((from, std::iter::once(ask).chain(own).collect()));
                    }
                }
                Part::PageRequest { from: place } => {
                    self.counts.pages += 1;
                    let digest = Part::Digest {
                        hash: self.digest(),
                        count: self.count() as u16,
                    };
                    out.push((
                        from,
                        std::iter::once(digest).chain(self.page(*place)).collect(),
                    ));
                }
                _ => {}
            }
        }
    }

    /// A page of what is known, itself first.
    fn page(&self, from: u16) -> impl Iterator<Item = Part> {
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
    fn handle_duplicate_name(&mut self, now: Nanos, other: &MemberRecord, out: &mut Out) {
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
        } else if other.state != Left {
            if self.duplicate.is_none() {
                self.changes.push(Change::DuplicateName(other.addr));
                self.standby_probe_at = now;
            }
            self.duplicate = Some((other.addr, now));
        }
    }

    /// What is told of itself.
    fn handle_record_about_self(&mut self, now: Nanos, record: MemberRecord) {
        if self.leaving {
            return;
        }
        if record.start > self.me.start {
            if record.addr == self.me.addr || !matches!(record.state, Alive | Suspect) {
                self.me.start = record.start + 1;
                self.announce_self();
            } else if self.duplicate.is_none() {
                self.changes.push(Change::DuplicateName(record.addr));
                (self.duplicate, self.standby_probe_at) = (Some((record.addr, now)), now);
            }
        } else if record.start == self.me.start
            && record.incarnation >= self.me.incarnation
            && record.state != Alive
        {
            self.me.incarnation = record.incarnation;
            self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
            self.counts.refuted += 1;
            self.announce_self();
        }
    }

    fn merge(&mut self, now: Nanos, record: MemberRecord) {
        if record.name == self.me.name {
            return self.handle_record_about_self(now, record);
        }
        let timeout = self.timeout(0);
        let Some(known) = self.members.get_mut(&record.name) else {
            if matches!(record.state, Alive | Suspect) {
                self.has_met_peers = true;
                self.changes.push(Change::Joined(record.name.clone()));
                let (name, suspect_until) = (record.name.clone(), now + timeout);
                self.suspect_previous_at_address(now, &record);
                self.update_totals(None, Some(&record));
                let (suspected_by, transmissions, queued) = (Vec::new(), 0, false);
                self.members.insert(
                    name.clone(),
                    Member {
                        record,
                        since: now,
                        suspect_until,
                        suspected_by,
                        transmissions,
                        queued,
                    },
                );
                self.queue_update(&name);
            }
            return;
        };
        let (new, old) = (
            (record.start, record.incarnation),
            (known.record.start, known.record.incarnation),
        );
        let transmissions = match new.cmp(&old) {
            std::cmp::Ordering::Greater => Precedence::Newer,
            std::cmp::Ordering::Equal => Precedence::Same,
            std::cmp::Ordering::Less => Precedence::Older,
        };
        let transmissions =
            if is_active(Mutation::AcceptOldIncarnation) && transmissions == Precedence::Older {
                Precedence::Newer
            } else {
                transmissions
            };
        match transition(known.record.state, transmissions, record.state) {
            None => {}
            Some(Transition::Confirm)
                if known.suspected_by.contains(&record.suspected_by)
                    || known.suspected_by.len() as f64 > CONFIRMATIONS_FOR_MIN => {}
            Some(Transition::Confirm) => {
                known.suspected_by.push(record.suspected_by);
                let (count, since, name) =
                    (known.suspected_by.len(), known.since, record.name.clone());
                let suspect_until = since + self.timeout(count - 1);
                if let Some(known) = self.members.get_mut(&name) {
                    known.suspect_until = suspect_until;
                }
                self.queue_update(&name);
            }
            Some(Transition::Replace) => {
                let (was, name) = (known.record.state, record.name.clone());
                let change = match (was, record.state) {
                    (Alive, Alive) | (Dead | Left, Dead | Left) | (Suspect, Suspect) => None,
                    (Suspect, Alive) => Some(Change::Refuted(name.clone())),
                    (Dead | Left, Alive | Suspect) => Some(Change::Joined(name.clone())),
                    (_, Suspect) => Some(Change::Suspected(name.clone())),
                    (_, Dead) => Some(Change::Died(name.clone())),
                    (_, Left) => Some(Change::Left(name.clone())),
                };
                match change {
                    Some(Change::Suspected(_)) => self.counts.suspected += 1,
                    Some(Change::Died(_)) => self.counts.died += 1,
                    _ => {}
                }
                if was != record.state {
                    known.since = now;
                }
                (known.suspect_until, known.suspected_by) =
                    (now + timeout, vec![record.suspected_by]);
                let view_changed = known.record.addr != record.addr;
                let old = std::mem::replace(&mut known.record, record.clone());
                self.update_totals(Some(&old), Some(&record));
                if view_changed && record.state == Alive {
                    self.suspect_previous_at_address(now, &record);
                }
                self.changes.extend(change);
                self.queue_update(&name);
            }
        }
    }

    /// Whoever was at the address that another now has is no longer there: it is suspected at once.
    fn suspect_previous_at_address(&mut self, now: Nanos, new: &MemberRecord) {
        let suspected_by = hash(self.me.name.as_bytes());
        let old = self
            .living_others()
            .find(|r| r.addr == new.addr && r.name != new.name)
            .cloned();
        if let Some(old) = old.filter(|old| old.state == Alive) {
            self.merge(
                now,
                MemberRecord {
                    state: Suspect,
                    suspected_by,
                    ..old
                },
            );
        }
    }

    /// How long a suspect has, where so many more suspect it.
    fn timeout(&self, agree: usize) -> Nanos {
        let unit = PROBE_PERIOD as f64 * self.log_count();
        let part = (agree as f64 + 1.0).ln() / (CONFIRMATIONS_FOR_MIN + 1.0).ln();
        (unit
            * (MAX_SUSPICION_PERIODS
                - (MAX_SUSPICION_PERIODS - MIN_SUSPICION_PERIODS) * part.min(1.0))) as Nanos
    }

    /// Goes: those told need not find out.
    pub fn leave(&mut self, out: &mut Out) {
        self.leaving = true;
        self.me.state = Left;
        self.me.incarnation += 1;
        // All of a small cluster, enough of a large one that the rest hear of it by them.
        let addrs = self.random_peers(64, None);
        out.extend(addrs.into_iter().map(|addr| (addr, Vec::new())));
    }

    /// A datagram with these parts, its own record at the head, and news as far as there is room.
    pub fn encode(&mut self, parts: &[Part]) -> Vec<u8> {
        let mut draft = DatagramEncoder::new(self.cluster, &self.me);
        for part in parts {
            draft.add(part);
        }
        let most = self.retransmit_limit();
        for _ in 0..self.update_queue.len().min(12) {
            let Some(name) = self.update_queue.pop_front() else {
                break;
            };
            let Some(member) = self.members.get_mut(&name) else {
                continue;
            };
            if !draft.add(&Part::Record(member.record.clone())) {
                self.update_queue.push_front(name);
                break;
            }
            member.transmissions += 1;
            member.queued = member.transmissions < most;
            if member.queued {
                self.update_queue.push_back(name);
            }
        }
        draft.done()
    }
}

#[cfg(test)]
pub(crate) mod tests;
