//! Gossip of loads between dispatchers.
use super::Dispatcher;
use crate::state::{PeerLoadEstimate, RequestClass, Worker};
use crate::types::{Action, Nanos, PeerLoad};

/// What is out is told again where others would take it for this part of a mean job more or less than it is
/// (a fifth and a half did worse), and each 4 s: it counts for 10 s, should two messages be lost.
pub(crate) const PEER_LOAD_TOLERANCE: f64 = 0.3;

pub(crate) const PEER_LOAD_REFRESH: Nanos = 4_000_000_000;

impl Dispatcher {
    /// Tells those who keep to a worker what this dispatcher has out there and how it runs, as far as they
    /// would be wrong: they let go on by themselves what they were told. Guards against what a partial view
    /// costs: each takes for free what another has just filled, and finds out by itself who is slow.
    pub(crate) fn report_load_to_peers(
        &mut self,
        now: Nanos,
        at: usize,
        due: bool,
        silent: bool,
        acts: &mut Vec<Action>,
    ) {
        if !self.exchanges_load {
            return;
        }
        self.refresh_worker_loads(now);
        let worker = &mut self.workers[at];
        let Worker {
            id,
            slots_in_use: out,
            remaining_work: ahead,
            last_sent_load,
            ..
        } = *worker;
        let right = (ahead - last_sent_load.remaining(now, worker.slots).1).abs()
            <= PEER_LOAD_TOLERANCE * self.mean_work;
        if !due && right && (out == 0.0 || now < last_sent_load.at + PEER_LOAD_REFRESH) {
            return;
        }
        worker.last_sent_load = PeerLoadEstimate {
            slots: out,
            work: ahead,
            at: now,
            ..last_sent_load
        };
        let (service_time_factor, jobs) = worker.observed_service_time_factor();
        let known = if jobs > 0.0 {
            PeerLoad::encode_speed(service_time_factor)
        } else {
            PeerLoad::SPEED_UNKNOWN
        };
        let speed_code = if silent {
            PeerLoad::SPEED_SILENT
        } else {
            known
        };
        let load = PeerLoad {
            worker: id,
            half_slots: (2.0 * out).ceil() as u8,
            work: (ahead / 16e6) as u16,
            speed_code,
        };
        let (me, all) = (self.rank, self.dispatchers as usize);
        let place = |s: &RequestClass| {
            Some((
                s.eligible_workers.iter().position(|worker| *worker == at)?,
                s.eligible_workers.len(),
            ))
        };
        let Some((place, n)) = self.classes.iter().find_map(place) else {
            return;
        };
        let m = self.subset_size(n);
        if self.has_fleet_view {
            return acts.extend(
                self.ranked_peers(place, n, m)
                    .map(|to| Action::SendPeerLoad { to, load }),
            );
        }
        let lane = (0..m).rfind(|lane| lane * n / m <= place).unwrap_or(0);
        // By the turns of `select_subset` one of each `len` dispatchers in a row.
        let (from, len) = (lane * n / m, (lane + 1) * n / m - lane * n / m);
        let of = |row: usize| row * len + (place - from + len - lane * row % len) % len;
        let others = (0..=all / len).map(of).filter(|to| *to < all && *to != me);
        acts.extend(others.map(|to| Action::SendPeerLoad {
            to: to as u16,
            load,
        }));
    }
}

#[cfg(test)]
mod tests;
