//! Anti-entropy, which repairs missed updates: digests, pages of records, contact with seeds, and probes
//! of dead members.
use super::Membership;
use crate::datagram::Part;
use crate::member::{MemberRecord, MemberState};
use crate::outbox::Outbox;
use crate::time::MILLISECOND;
use rosewall::types::Nanos;
use std::net::SocketAddr;

/// The mean interval between probes of dead members, one member at a time; with it the sides of a
/// healed partition merge within seconds.
const DEAD_PROBE_INTERVAL: Nanos = 1_000 * MILLISECOND;
/// Records of members that are dead or have left are kept for this time, so that old updates do not
/// add them again.
const DEAD_RETENTION: Nanos = 600_000 * MILLISECOND;
/// The interval of contact with all seeds while no other member is known.
const ISOLATED_SEED_INTERVAL: Nanos = 500 * MILLISECOND;
/// The interval of contact with seeds that are not known as members, once other members are known.
const SEED_INTERVAL: Nanos = 5_000 * MILLISECOND;
/// The minimum time between two page requests.
const PAGE_INTERVAL: Nanos = 300 * MILLISECOND;
/// The minimum time between two page requests while the views differ by more than a page, as when
/// all members start.
const CATCH_UP_PAGE_INTERVAL: Nanos = 60 * MILLISECOND;
/// The number of records of a page.
const PAGE_RECORDS: usize = 26;

/// Times of the next actions, and the offset of the next page request.
pub(super) struct AntiEntropy {
    next_dead_probe_at: Nanos,
    next_seed_at: Nanos,
    next_page_at: Nanos,
    page_offset: u16,
}

impl AntiEntropy {
    pub(super) fn new(now: Nanos) -> Self {
        AntiEntropy {
            next_dead_probe_at: now + DEAD_PROBE_INTERVAL,
            next_seed_at: now,
            next_page_at: now,
            page_offset: 0,
        }
    }

    pub(super) fn timeouts(&self) -> [Nanos; 2] {
        [self.next_dead_probe_at, self.next_seed_at]
    }
}

impl Membership {
    /// Requests a page of records if the sender's view differs, and sends one of its own.
    pub(super) fn handle_digest(
        &mut self,
        now: Nanos,
        from: SocketAddr,
        hash: u32,
        count: u16,
        out: &mut Outbox,
    ) {
        let differs = hash != self.digest() || usize::from(count) != self.count();
        if !differs || now < self.anti_entropy.next_page_at {
            return;
        }
        let is_far_behind = usize::from(count).abs_diff(self.count()) > PAGE_RECORDS;
        let interval = if is_far_behind {
            CATCH_UP_PAGE_INTERVAL
        } else {
            PAGE_INTERVAL
        };
        let offset = self.anti_entropy.page_offset;
        let next_offset = offset.wrapping_add(PAGE_RECORDS as u16) % count.max(1);
        self.anti_entropy.next_page_at = now + interval;
        self.anti_entropy.page_offset = next_offset;
        let mut parts = vec![Part::PageRequest { offset }];
        parts.extend(self.page(next_offset));
        out.send(from, parts);
    }

    /// Answers a page request with a digest and a page of records.
    pub(super) fn handle_page_request(&self, from: SocketAddr, offset: u16, out: &mut Outbox) {
        let mut parts = vec![self.digest_part()];
        parts.extend(self.page(offset));
        out.send(from, parts);
    }

    /// Returns a page of records from the index `offset`, wrapping around after the last record.
    fn page(&self, offset: u16) -> impl Iterator<Item = Part> {
        let count = self.members.len();
        self.members
            .values()
            .cycle()
            .skip(usize::from(offset) % count.max(1))
            .take(PAGE_RECORDS.min(count))
            .map(|member| Part::Record(member.record.clone()))
    }

    /// Probes a random dead member, which may run again or have been partitioned, if a probe is due.
    pub(super) fn probe_dead_member(&mut self, now: Nanos, out: &mut Outbox) {
        if now < self.anti_entropy.next_dead_probe_at {
            return;
        }
        let jitter = (self.rng.unit() * DEAD_PROBE_INTERVAL as f64) as Nanos;
        self.anti_entropy.next_dead_probe_at = now + DEAD_PROBE_INTERVAL / 2 + jitter;
        self.members
            .retain(|_, member| member.is_live() || now < member.since + DEAD_RETENTION);
        let dead: Vec<MemberRecord> = self
            .members
            .values()
            .filter(|member| member.record.state == MemberState::Dead)
            .map(|member| member.record.clone())
            .collect();
        if dead.is_empty() {
            return;
        }
        let record = dead[self.random_index(dead.len())].clone();
        let seq = self.probing.next_seq();
        let target = record.name.clone();
        out.send(
            record.addr,
            vec![Part::Ping { seq, target }, Part::Record(record)],
        );
    }

    /// Requests a page from each seed that is not known as a member, if contact is due.
    pub(super) fn contact_seeds(&mut self, now: Nanos, out: &mut Outbox) {
        if now < self.anti_entropy.next_seed_at {
            return;
        }
        let isolated = self.live_others().next().is_none();
        let interval = if isolated {
            ISOLATED_SEED_INTERVAL
        } else {
            SEED_INTERVAL
        };
        self.anti_entropy.next_seed_at = now + interval;
        let is_known = |seed: &SocketAddr| self.live_others().any(|record| record.addr == *seed);
        for seed in self.seeds.iter().filter(|seed| isolated || !is_known(seed)) {
            out.send(*seed, vec![Part::PageRequest { offset: 0 }]);
        }
    }
}
