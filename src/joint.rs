//! What the decisions make of being one of many that know each other: their place among those that run, and whole rights
//! to send to cold workers. No right comes from counting who runs, nor from clocks being one. A worker's joint budget has
//! two parts. One is given out by one dispatcher at a time, whoever asks (`rosewall-cluster`). The other is divided by the
//! numbers of the settings, for good: it is what is left to those whom no message reaches.
use crate::policy::Dispatcher;
use crate::state::{Worker, token};
use crate::types::{Action, EndpointState, FleetPosition, Nanos, WorkerId};

#[cfg(test)]
mod tests;

/// Of what a cold worker bears, in any window: what is given out, what those who have met others keep between them, and
/// what those keep who never heard of any. Given and kept make 0.65, under the two thirds that those told of a start may
/// send whoever else sends; given and the last 0.95: also where none of them has met another, it bears the sum.
const GRANTED_SHARE: f64 = 0.5;
const KEPT: f64 = 0.15;
const RESERVED_SHARE_WITHOUT_VIEW: f64 = 0.45;
/// So many hold what is kept of one worker: a part of it must hold a job.
const RESERVING_DISPATCHERS: f64 = 2.0;
/// How long a request waits for a right: ten times the way there and back inside a data centre.
const GRANT_WAIT: Nanos = 5_000_000;

impl Worker {
    /// What its rights still allow.
    pub(crate) fn unused_grants(&self, now: Nanos) -> f64 {
        self.warm_up_grants
            .iter()
            .filter(|(until, _)| now < *until)
            .map(|(_, work)| work)
            .sum()
    }

    /// Takes work out of the rights, those first that end first; what they do not cover is left.
    pub(crate) fn consume_grants(&mut self, now: Nanos, mut work: f64) -> f64 {
        self.warm_up_grants
            .retain(|(until, left)| now < *until && *left > 0.0);
        for (_, left) in &mut self.warm_up_grants {
            let used = left.min(work);
            (*left, work) = (*left - used, work - used);
        }
        work
    }
}

impl Dispatcher {
    /// Its place among those that run, in place of the settings'.
    pub(crate) fn set_fleet_position(&mut self, now: Nanos, position: Option<FleetPosition>) {
        let configured = FleetPosition {
            rank: self.says("me") as u16,
            dispatchers: self.configured_dispatchers as u16,
        };
        let FleetPosition { rank, dispatchers } = position.unwrap_or(configured);
        self.rank = usize::from(rank);
        self.dispatchers = f64::from(dispatchers).max(1.0);
        self.unobserved_share = 1.0 - 1.0 / self.dispatchers;
        self.has_fleet_view |= position.is_some();
        self.select_subset(now);
    }

    /// For how many dispatchers workers are shared out: where they come and go the same for a whole octave, as a hand of
    /// another size at each would move all lanes.
    pub(crate) fn octave_dispatchers(&self) -> f64 {
        if self.has_fleet_view {
            self.dispatchers.log2().ceil().exp2()
        } else {
            self.dispatchers
        }
    }

    /// The workers that this one keeps to, where dispatchers come and go: one of each `m`th part of the ids, so that a
    /// worker is the same lane, and gets the same sizes, whoever sends; which one of a part moves on by a lane's width from one
    /// place to the next. So on each way round every worker is kept to once more: the keepers of two differ by one at most,
    /// whoever runs, and one's lanes follow from its own place alone. In place of one that takes no connection the next
    /// beyond it that is warm.
    pub(crate) fn ranked_subset(&self, now: Nanos, all: &[usize], m: usize) -> Vec<usize> {
        let n = all.len();
        let place = |lane: usize| (lane * n + self.rank * m % n) / m;
        let sound = |place: usize| !self.workers[all[place]].is_unreachable(now);
        let warm = |place: usize| self.warmth(&self.workers[all[place]], now) >= 1.0;
        let mut active: Vec<usize> = (0..m).map(place).collect();
        for lane in 0..m {
            if !sound(active[lane]) {
                let mut others = (1..n).map(|step| (active[lane] + step) % n);
                let other =
                    others.find(|place| sound(*place) && warm(*place) && !active.contains(place));
                active[lane] = other.unwrap_or(active[lane]);
            }
        }
        active.sort_unstable();
        active.into_iter().map(|place| all[place]).collect()
    }

    /// The other dispatchers that keep to the worker at a place.
    pub(crate) fn ranked_peers(
        &self,
        place: usize,
        n: usize,
        m: usize,
    ) -> impl Iterator<Item = u16> {
        let (me, all) = (self.rank, self.dispatchers as usize);
        let keeps = move |to: usize| (to * m % n + n - place * m % n) % n < m;
        (0..all)
            .filter(move |to| *to != me && keeps(*to))
            .map(|to| to as u16)
    }

    pub(crate) fn add_warm_up_grant(&mut self, worker: WorkerId, work: Nanos, until: Nanos) {
        if let Some(&at) = self.worker_indices.get(&worker) {
            let rights = &mut self.workers[at].warm_up_grants;
            let place = rights.partition_point(|(end, _)| *end <= until);
            rights.insert(place, (until, work as f64));
        }
    }

    /// What a cold worker bears in any window that has begun by now: by what it could do at the window's start.
    fn warm_up_capacity(&self, worker: &Worker, now: Nanos) -> f64 {
        let window = self.says("overload.window").max(1.0);
        let warmth = self.warmth(worker, now.saturating_sub(window as Nanos));
        self.says("overload.multiple") * self.capacity_per_size * worker.size * warmth * window
    }

    /// What this one may send a cold worker in any window without asking, and for how many it stands there: the two whose
    /// numbers come first after the worker's own have it, as long as it is cold.
    pub(crate) fn reserved_allowance(&self, worker: &Worker, now: Nanos) -> (f64, f64) {
        let part = if self.has_fleet_view {
            KEPT
        } else {
            RESERVED_SHARE_WITHOUT_VIEW
        };
        let holders = RESERVING_DISPATCHERS.min(self.configured_dispatchers);
        let [a, b, c, d] = worker.id.addr.map(u64::from);
        let of = a + b + c + d + u64::from(worker.id.port);
        let (me, slots) = (self.says("me") as u64, self.configured_dispatchers as u64);
        let mine = me < slots && (me + slots - of % slots) % slots < holders as u64;
        // What a process before this one sent may still count.
        let fresh_peer_loads = now < self.started_at + self.says("overload.window") as Nanos;
        (
            part * self.warm_up_capacity(worker, now) / holders,
            if mine && !fresh_peer_loads {
                self.configured_dispatchers / holders
            } else {
                0.0
            },
        )
    }

    /// Whether a request waits for a right to a cold worker that it would have gone to. Once, and not for long: where none
    /// comes, as all are given or no one answers, it goes on as if there were none. Guards against rights that come when
    /// their request has gone elsewhere, which were half of all.
    pub(crate) fn waits_for_grant(
        &mut self,
        now: Nanos,
        key: usize,
        acts: &mut Vec<Action>,
    ) -> bool {
        let active = &mut self.requests[key];
        let Some(at) = self.missing_grant_for.filter(|_| {
            self.uses_warm_up_grants
                && self.has_fleet_view
                && !active.grant_requested
                && active.attempts_sent == 0
        }) else {
            return false;
        };
        active.grant_requested = true;
        acts.push(Action::RequestWarmUpGrant {
            worker: self.workers[at].id,
            work: active.warm_up_work as Nanos,
        });
        acts.push(Action::SetTimer {
            at: now + GRANT_WAIT,
            token: token(active.request.id, 0),
        });
        true
    }

    /// Says what all together may be given for each cold worker; 0 for one that has just become warm.
    pub(crate) fn update_warm_up_budgets(&self, now: Nanos, acts: &mut Vec<Action>) {
        let window = self.says("overload.window") as Nanos;
        for worker in self.workers.iter().filter(|_| self.uses_warm_up_grants) {
            let cold = worker.state == EndpointState::Ready && self.warmth(worker, now) < 1.0;
            let lately =
                worker.started_at + self.says("slow_start.duration") as Nanos + 5_000_000_000 > now;
            if cold || (worker.started_at > 0 && lately) {
                let work = if cold {
                    GRANTED_SHARE * self.warm_up_capacity(worker, now)
                } else {
                    0.0
                };
                acts.push(Action::SetWarmUpBudget {
                    worker: worker.id,
                    work: work as Nanos,
                    window,
                });
            }
        }
    }
}
