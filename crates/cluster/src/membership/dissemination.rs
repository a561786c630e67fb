//! Dissemination of updates: piggybacked on all datagrams, and by gossip while any are queued.
use super::Membership;
use crate::datagram::{DatagramEncoder, Part};
use crate::member::Name;
use crate::outbox::Outbox;
use crate::time::MILLISECOND;
use rosewall::types::Nanos;
use std::collections::VecDeque;

/// The interval of gossip while updates are queued.
const GOSSIP_INTERVAL: Nanos = 100 * MILLISECOND;
/// The number of random members that receive each gossip.
const GOSSIP_FANOUT: usize = 3;
/// An update is transmitted this many times the decimal logarithm of the number of members, which
/// counts as at least 1. At 20% loss an update misses one in a thousand members in less than one of a thousand
/// cases; anti-entropy repairs that.
const RETRANSMIT_MULTIPLIER: f64 = 5.0;
/// The maximum number of updates piggybacked on one datagram.
const MAX_UPDATES_PER_DATAGRAM: usize = 12;

/// The queue of members whose records are to be disseminated.
pub(super) struct UpdateQueue {
    /// Names of the queued members, newest update first.
    names: VecDeque<Name>,
    /// The number of gossip rounds since this member's own record last changed.
    own_transmissions: u32,
    pub(super) next_gossip_at: Nanos,
}

impl UpdateQueue {
    pub(super) fn new(next_gossip_at: Nanos) -> Self {
        UpdateQueue {
            names: VecDeque::new(),
            own_transmissions: 0,
            next_gossip_at,
        }
    }
}

impl Membership {
    /// Encodes a datagram with these parts and as many queued updates as fit. Its header carries this
    /// member's own record.
    pub fn encode(&mut self, parts: &[Part]) -> Vec<u8> {
        let mut encoder = DatagramEncoder::new(self.cluster_hash, &self.own);
        for part in parts {
            encoder.push(part);
        }
        let retransmit_limit = self.retransmit_limit();
        for _ in 0..self.updates.names.len().min(MAX_UPDATES_PER_DATAGRAM) {
            let Some(name) = self.updates.names.pop_front() else {
                break;
            };
            let Some(member) = self.members.get_mut(&name) else {
                continue;
            };
            if !encoder.push(&Part::Record(member.record.clone())) {
                self.updates.names.push_front(name);
                break;
            }
            member.transmissions += 1;
            member.queued = member.transmissions < retransmit_limit;
            if member.queued {
                self.updates.names.push_back(name);
            }
        }
        encoder.finish()
    }

    /// Queues a member's record for dissemination, or restarts its dissemination.
    pub(super) fn queue_update(&mut self, name: &Name) {
        if let Some(member) = self.members.get_mut(name) {
            member.transmissions = 0;
            if !std::mem::replace(&mut member.queued, true) {
                self.updates.names.push_front(name.clone());
            }
        }
    }

    /// Disseminates this member's own record in a new incarnation.
    pub(super) fn announce_own_record(&mut self) {
        self.own.incarnation += 1;
        self.updates.own_transmissions = 0;
    }

    pub(super) fn has_updates(&self) -> bool {
        !self.updates.names.is_empty() || self.updates.own_transmissions < self.retransmit_limit()
    }

    /// Sends datagrams that carry only updates to random members, if gossip is due.
    pub(super) fn gossip(&mut self, now: Nanos, out: &mut Outbox) {
        if now < self.updates.next_gossip_at {
            return;
        }
        self.updates.next_gossip_at = now + GOSSIP_INTERVAL;
        if self.has_updates() {
            self.updates.own_transmissions += 1;
            for addr in self.random_peers(GOSSIP_FANOUT, None) {
                out.send_updates(addr);
            }
        }
    }

    fn retransmit_limit(&self) -> u32 {
        (RETRANSMIT_MULTIPLIER * self.log_count()).ceil() as u32
    }
}
