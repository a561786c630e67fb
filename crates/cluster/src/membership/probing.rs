//! Probing of one member in each period: a ping, then indirect pings through others, then a suspicion.
use super::{Member, Membership, PROBE_PERIOD};
use crate::datagram::Part;
use crate::member::{MemberState, Name};
use crate::outbox::Outbox;
use crate::time::MILLISECOND;
use rosewall::types::Nanos;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// The shortest wait for an answer before indirect pings are sent: ten times the round trip of a
/// slow data centre.
const MIN_PROBE_TIMEOUT: Nanos = 80 * MILLISECOND;
/// The longest wait before indirect pings are sent, so that an indirect answer still arrives in the
/// same period.
const MAX_PROBE_TIMEOUT: Nanos = 4 * PROBE_PERIOD / 5;
/// The number of recent probes that are kept, to measure round trips that end after their period.
const MAX_TRACKED_PROBES: usize = 16;
/// The number of members that receive a request for an indirect ping (the paper's k).
const INDIRECT_PROBES: usize = 3;
/// The upper bound of Lifeguard's local health score.
const MAX_LOCAL_HEALTH: u64 = 4;
/// The factor by which probes are more frequent while a member is suspected, so that many dead members
/// are detected soon.
const SUSPECT_PROBE_SPEEDUP: Nanos = 3;
/// With each measurement the longest round trip decays by one part in this many, so that it follows
/// shorter ones.
const ROUND_TRIP_DECAY_DIVISOR: Nanos = 32;

/// The probe of the current period.
struct Probe {
    seq: u32,
    name: Name,
    /// The time at which indirect pings are due; `None` once they are sent.
    indirect_at: Option<Nanos>,
    /// The number of members that received an indirect ping and have not answered with a nack.
    unresponsive_helpers: usize,
}

struct SentProbe {
    seq: u32,
    name: Name,
    sent_at: Nanos,
}

/// A ping that is sent for another member.
struct ProxiedPing {
    seq: u32,
    requester_seq: u32,
    requester: SocketAddr,
    expires_at: Nanos,
}

/// The state of the failure detector.
pub(super) struct Probing {
    next_period_at: Nanos,
    /// The members that are still to be probed in this round; the last is next.
    order: Vec<Name>,
    current: Option<Probe>,
    recent: VecDeque<SentProbe>,
    longest_round_trip: Nanos,
    proxied_pings: Vec<ProxiedPing>,
    /// Lifeguard's local health score: 0 is healthy; a higher score slows this member's suspicions.
    local_health: u64,
    last_seq: u32,
}

impl Probing {
    pub(super) fn new(first_period: Nanos) -> Self {
        Probing {
            next_period_at: first_period,
            order: Vec::new(),
            current: None,
            recent: VecDeque::new(),
            longest_round_trip: 0,
            proxied_pings: Vec::new(),
            local_health: 0,
            last_seq: 0,
        }
    }

    pub(super) fn next_seq(&mut self) -> u32 {
        self.last_seq = self.last_seq.wrapping_add(1);
        self.last_seq
    }

    pub(super) fn next_timeout(&self) -> Option<Nanos> {
        let indirect = self.current.as_ref().and_then(|probe| probe.indirect_at);
        let proxied = self.proxied_pings.iter().map(|ping| ping.expires_at).min();
        [Some(self.next_period_at), indirect, proxied]
            .into_iter()
            .flatten()
            .min()
    }

    /// Discards the current probe and the proxied pings, and schedules a new period.
    pub(super) fn restart(&mut self, now: Nanos) {
        self.current = None;
        self.proxied_pings.clear();
        self.next_period_at = now + MIN_PROBE_TIMEOUT;
    }

    pub(super) fn handle_nack(&mut self, seq: u32) {
        if let Some(probe) = self.current.as_mut().filter(|probe| probe.seq == seq) {
            probe.unresponsive_helpers = probe.unresponsive_helpers.saturating_sub(1);
        }
    }

    /// Returns the ping of a target on behalf of another member, and registers it.
    pub(super) fn proxy_ping(
        &mut self,
        now: Nanos,
        requester: SocketAddr,
        requester_seq: u32,
        target: &Name,
    ) -> Part {
        let seq = self.next_seq();
        self.proxied_pings.push(ProxiedPing {
            seq,
            requester_seq,
            requester,
            expires_at: now + self.probe_timeout(),
        });
        Part::Ping {
            seq,
            target: target.clone(),
        }
    }

    /// Raises the local health score, since this member itself may be faulty.
    pub(super) fn degrade_local_health(&mut self) {
        self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
    }

    fn health_multiplier(&self) -> Nanos {
        1 + self.local_health
    }

    /// Returns the wait for an answer before indirect pings are sent.
    fn probe_timeout(&self) -> Nanos {
        let with_margin = self.longest_round_trip + self.longest_round_trip / 2;
        MIN_PROBE_TIMEOUT.max(with_margin.min(MAX_PROBE_TIMEOUT))
    }

    /// Measures the round trip if the probed member itself answers. The longest one is kept, since in
    /// a cluster of several regions most members are remote.
    fn record_round_trip(&mut self, now: Nanos, seq: u32, from: &Name) {
        let sent = self
            .recent
            .iter()
            .find(|probe| probe.seq == seq && probe.name == *from);
        if let Some(probe) = sent {
            let round_trip = now.saturating_sub(probe.sent_at);
            let decay = self.longest_round_trip / ROUND_TRIP_DECAY_DIVISOR;
            self.longest_round_trip = round_trip.max(self.longest_round_trip - decay);
        }
    }

    /// Registers a probe that is sent now.
    fn track(&mut self, now: Nanos, seq: u32, name: Name) {
        self.recent.push_back(SentProbe {
            seq,
            name: name.clone(),
            sent_at: now,
        });
        if self.recent.len() > MAX_TRACKED_PROBES {
            self.recent.pop_front();
        }
        self.current = Some(Probe {
            seq,
            name,
            indirect_at: Some(now + self.probe_timeout() * self.health_multiplier()),
            unresponsive_helpers: 0,
        });
    }

    /// Returns the time between two probes. While a member is suspected it is shorter, but no shorter
    /// than a direct or indirect answer may take; otherwise one suspicion would cause others.
    fn period(&self, any_suspect: bool) -> Nanos {
        let full = PROBE_PERIOD * self.health_multiplier();
        let speedup = if any_suspect {
            SUSPECT_PROBE_SPEEDUP
        } else {
            1
        };
        (full / speedup).max((5 * self.longest_round_trip / 2).min(full))
    }
}

impl Membership {
    /// Ends the probe of the last period and starts the next one, if the period is over.
    pub(super) fn run_probe_period(&mut self, now: Nanos, out: &mut Outbox) {
        if now < self.probing.next_period_at {
            return;
        }
        self.finish_probe(now, out);
        self.start_probe(now, out);
        let any_suspect = self.suspects().next().is_some();
        self.probing.next_period_at = now + self.probing.period(any_suspect);
    }

    /// Sends a nack to the requester of each proxied ping that was not answered in time.
    pub(super) fn expire_proxied_pings(&mut self, now: Nanos, out: &mut Outbox) {
        self.probing.proxied_pings.retain(|ping| {
            let expired = ping.expires_at <= now;
            if expired {
                let seq = ping.requester_seq;
                out.send(ping.requester, vec![Part::Nack { seq }]);
            }
            !expired
        });
    }

    /// Requests indirect pings of the probed member from others, if it has not answered in time.
    pub(super) fn send_indirect_pings(&mut self, now: Nanos, out: &mut Outbox) {
        let due = |probe: &&Probe| probe.indirect_at.is_some_and(|at| at <= now);
        let Some(probe) = self.probing.current.as_ref().filter(due) else {
            return;
        };
        let Some(member) = self.members.get(&probe.name) else {
            return;
        };
        let ping = Part::IndirectPing {
            seq: probe.seq,
            target: probe.name.clone(),
            addr: member.record.addr,
        };
        let target = probe.name.clone();
        let helpers = self.random_peers(INDIRECT_PROBES, Some(&target));
        if let Some(probe) = &mut self.probing.current {
            probe.indirect_at = None;
            probe.unresponsive_helpers = helpers.len();
        }
        for helper in helpers {
            out.send(helper, vec![ping.clone()]);
        }
    }

    pub(super) fn handle_ack(&mut self, now: Nanos, seq: u32, from: &Name, out: &mut Outbox) {
        let pings = &mut self.probing.proxied_pings;
        if let Some(index) = pings.iter().position(|ping| ping.seq == seq) {
            let ping = pings.swap_remove(index);
            let seq = ping.requester_seq;
            out.send(ping.requester, vec![Part::Ack { seq }]);
        }
        self.probing.record_round_trip(now, seq, from);
        let answered = |probe: &Probe| probe.seq == seq;
        if self.probing.current.as_ref().is_some_and(answered) {
            self.probing.current = None;
            self.probing.local_health = self.probing.local_health.saturating_sub(1);
        }
    }

    /// Returns the next member of a random order, which is generated anew once all members were probed.
    fn next_probe_target(&mut self) -> Option<Name> {
        loop {
            while let Some(name) = self.probing.order.pop() {
                if self.members.get(&name).is_some_and(Member::is_live) {
                    return Some(name);
                }
            }
            let mut order: Vec<Name> = self
                .live_others()
                .map(|record| record.name.clone())
                .collect();
            if order.is_empty() {
                return None;
            }
            for index in (1..order.len()).rev() {
                order.swap(index, self.random_index(index + 1));
            }
            self.probing.order = order;
        }
    }

    fn start_probe(&mut self, now: Nanos, out: &mut Outbox) {
        let Some(name) = self.next_probe_target() else {
            return;
        };
        let Some(member) = self.members.get(&name) else {
            return;
        };
        let addr = member.record.addr;
        let mut parts = Vec::new();
        if member.record.state == MemberState::Suspect {
            parts.push(Part::Record(member.record.clone()));
        }
        let seq = self.probing.next_seq();
        let target = name.clone();
        parts.push(Part::Ping { seq, target });
        parts.push(self.digest_part());
        out.send(addr, parts);
        self.probing.track(now, seq, name);
    }

    /// Suspects the probed member if it has not answered by the end of the period.
    fn finish_probe(&mut self, now: Nanos, out: &mut Outbox) {
        let Some(probe) = self.probing.current.take() else {
            return;
        };
        // If none of the helpers answers, this member itself may be faulty; one that does not answer
        // may as well be dead.
        let helpers = INDIRECT_PROBES.min(self.count().saturating_sub(2));
        if probe.unresponsive_helpers > 0 && probe.unresponsive_helpers == helpers {
            self.probing.degrade_local_health();
        }
        let Some(member) = self.members.get(&probe.name) else {
            return;
        };
        let suspicion = member.record.with_suspicion_by(&self.own.name);
        out.send(suspicion.addr, vec![Part::Record(suspicion.clone())]);
        self.merge(now, suspicion);
    }
}
