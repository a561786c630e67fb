//! Received records of this member itself: refutation of suspicions, and standby while a later process
//! runs under this member's name.
use super::{Change, Membership};
use crate::datagram::Part;
use crate::member::{MemberRecord, MemberState};
use crate::outbox::Outbox;
use crate::time::MILLISECOND;
use rosewall::types::Nanos;
use std::net::SocketAddr;

/// The interval at which a process on standby pings the other process with its name.
const STANDBY_PROBE_INTERVAL: Nanos = 2_000 * MILLISECOND;
/// A process on standby is a member again once it has received no datagram from the other process for
/// this time.
const STANDBY_TIMEOUT: Nanos = 6_000 * MILLISECOND;

/// Another process with this member's name.
struct OtherProcess {
    addr: SocketAddr,
    last_received_at: Nanos,
}

/// The standby state of this process; active while another process with this member's name is known.
pub(super) struct Standby {
    other: Option<OtherProcess>,
    next_probe_at: Nanos,
}

impl Standby {
    pub(super) fn new(now: Nanos) -> Self {
        Standby {
            other: None,
            next_probe_at: now,
        }
    }

    pub(super) fn is_active(&self) -> bool {
        self.other.is_some()
    }

    pub(super) fn next_timeout(&self) -> Option<Nanos> {
        self.is_active().then_some(self.next_probe_at)
    }
}

impl Membership {
    /// Pings the other process with this name, and ends the standby once it no longer answers.
    pub(super) fn watch_duplicate(&mut self, now: Nanos, out: &mut Outbox) {
        let Some(other) = &self.standby.other else {
            return;
        };
        if now >= other.last_received_at + STANDBY_TIMEOUT {
            self.standby.other = None;
            self.own.generation = self.own.generation.max(now);
            self.changes.push(Change::DuplicateNameGone);
        } else if now >= self.standby.next_probe_at {
            self.standby.next_probe_at = now + STANDBY_PROBE_INTERVAL;
            let seq = self.probing.next_seq();
            let target = self.own.name.clone();
            out.send(other.addr, vec![Part::Ping { seq, target }]);
        }
    }

    /// Handles a datagram from a process with this member's name.
    pub(super) fn handle_duplicate(&mut self, now: Nanos, other: &MemberRecord, out: &mut Outbox) {
        let is_own_datagram = other.generation == self.own.generation;
        if is_own_datagram || self.leaving {
            return;
        }
        if other.generation < self.own.generation {
            // The header of any datagram shows the other process that a later one runs.
            return out.send_updates(other.addr);
        }
        if other.addr == self.own.addr {
            // An earlier process at this address had a clock that was ahead.
            self.own.generation = other.generation + 1;
        } else if other.state != MemberState::Left {
            self.enter_standby(now, other.addr);
        }
    }

    /// Handles a record of this member that another member sent.
    pub(super) fn handle_own_record(&mut self, now: Nanos, record: &MemberRecord) {
        if self.leaving {
            return;
        }
        if record.generation > self.own.generation {
            if record.addr == self.own.addr || !record.state.is_live() {
                self.own.generation = record.generation + 1;
                self.announce_own_record();
            } else if !self.standby.is_active() {
                self.enter_standby(now, record.addr);
            }
        } else if record.generation == self.own.generation
            && record.incarnation >= self.own.incarnation
            && record.state != MemberState::Alive
        {
            self.refute(record.incarnation);
        }
    }

    /// Refutes a suspicion or death of this member by announcing a higher incarnation.
    fn refute(&mut self, incarnation: u32) {
        self.own.incarnation = incarnation;
        self.probing.degrade_local_health();
        self.counts.refuted += 1;
        self.announce_own_record();
    }

    fn enter_standby(&mut self, now: Nanos, addr: SocketAddr) {
        if !self.standby.is_active() {
            self.changes.push(Change::DuplicateName(addr));
            self.standby.next_probe_at = now;
        }
        self.standby.other = Some(OtherProcess {
            addr,
            last_received_at: now,
        });
    }
}
