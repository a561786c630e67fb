//! Slow start: how much work a warming worker gets.
use super::Dispatcher;
use super::subset::MAX_DISPATCHERS_PER_WORKER;
use crate::state::Worker;
use crate::timers::token;
use crate::types::{Action, EndpointState, Nanos, WorkerId};

/// Of what a cold worker bears, in any window: what is given out, what those who have met others keep between them, and
/// what those keep who never heard of any. Given and kept make 0.65, under the two thirds that those told of a start may
/// send whoever else sends; given and the last 0.95: also where none of them has met another, it bears the sum.
pub(crate) const GRANTED_SHARE: f64 = 0.5;

pub(crate) const KEPT: f64 = 0.15;

pub(crate) const RESERVED_SHARE_WITHOUT_VIEW: f64 = 0.45;

/// So many hold what is kept of one worker: a part of it must hold a job.
pub(crate) const RESERVING_DISPATCHERS: f64 = 2.0;

/// How long a request waits for a right: ten times the way there and back inside a data centre.
pub(crate) const GRANT_WAIT: Nanos = 5_000_000;

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
    pub(crate) fn update_fleet_estimates(&mut self, now: Nanos) {
        let ready = || {
            self.workers
                .iter()
                .filter(|worker| worker.state == EndpointState::Ready)
        };
        self.mean_failure_score = ready()
            .map(|w| w.failure_score.now(now, Worker::FAILURE_HALF_LIFE))
            .sum::<f64>()
            / ready().count().max(1) as f64;
        // Full capacity by what is known of the fleet: seats at their pace for their size, the least fourth
        // of the warm where there are some. Guards against a figure that falls with their number, as of many
        // one is slow, and against a mean of large and small.
        let some = ready().any(|w| self.warmth(w, now) >= 1.0);
        let full = ready().filter(|w| !some || self.warmth(w, now) >= 1.0);
        // And none is taken to be faster than hints say, as the cold one may be the slow one. Only its own
        // jobs tell of it here: a kind's mean for all not yet seen left cold workers idle.
        let service_time_factor = |w: &Worker| {
            if w.factor_samples > 0.0 {
                w.service_time_factor.max(1.0)
            } else {
                1.0
            }
        };
        let mut units: Vec<f64> = full
            .map(|w| w.slots / service_time_factor(w) / w.size)
            .collect();
        units.sort_unstable_by(f64::total_cmp);
        self.capacity_per_size = units
            .get(units.len().saturating_sub(1) / 4)
            .copied()
            .unwrap_or(0.0);
    }

    /// The part of its full capacity that a worker surely has: the settings' slowest way up.
    pub(crate) fn warmth(&self, worker: &Worker, now: Nanos) -> f64 {
        if worker.started_at == 0 {
            return 1.0;
        }
        let (age, from) = (
            now.saturating_sub(worker.started_at) as f64,
            self.says("slow_start.from"),
        );
        (from + (1.0 - from) * age / self.says("slow_start.duration").max(1.0)).min(1.0)
    }

    /// What one dispatcher may send to a cold worker in any window, and for how many of those that keep to it
    /// this one stands: none where it is not its turn. All clocks are one, and numbers next to each other
    /// take different workers of a stretch. Guards against parts in which no job fits.
    pub(crate) fn warm_up_turn(&self, worker: &Worker, now: Nanos) -> (f64, f64) {
        if self.uses_warm_up_grants {
            return self.reserved_allowance(worker, now);
        }
        let (warmth, window) = (
            self.warmth(worker, now),
            self.says("overload.window").max(1.0),
        );
        // Half of what is allowed: a third may come from those not told of its start, the rest is for hints.
        let most = 0.5
            * self.says("overload.multiple")
            * self.capacity_per_size
            * worker.size
            * warmth
            * window;
        let turns = if self.exchanges_load {
            self.dispatchers_per_worker.ceil()
        } else {
            MAX_DISPATCHERS_PER_WORKER
        }
        .min(self.dispatchers);
        // Two have a turn at once, and more as it warms, as one has few requests in a window; the part of each
        // stays what it is at the start. All count alike, by what the list and the settings tell.
        let at_once = (2.0 * warmth / self.says("slow_start.from").max(0.01))
            .floor()
            .clamp(1.0, turns);
        let place = (self.says("me") * turns / self.dispatchers) as u64;
        let [a, b, c, d] = worker.id.addr.map(u64::from);
        let of = a + b + c + d + u64::from(worker.id.port);
        // A turn lasts four windows, of which the first is a rest: those before may have filled it.
        let at = now / window as u64 + of;
        let mine = !at.is_multiple_of(4) && (at / 4 + of + place) % (turns as u64) < at_once as u64;
        (most / at_once, if mine { turns / at_once } else { 0.0 })
    }

    /// What this dispatcher may still send to a cold worker now.
    pub(crate) fn warm_up_allowance(&self, worker: &Worker, now: Nanos) -> f64 {
        let (most, part) = self.warm_up_turn(worker, now);
        let from = now.saturating_sub(self.says("overload.window") as Nanos);
        let recent_work = worker
            .recent_work
            .iter()
            .filter(|(at, _)| *at >= from)
            .map(|(_, work)| work);
        let own = if part > 0.0 {
            most - recent_work.sum::<f64>()
        } else {
            0.0
        };
        if self.uses_warm_up_grants {
            own.max(0.0) + worker.unused_grants(now)
        } else {
            own
        }
    }

    pub(crate) fn add_warm_up_grant(&mut self, worker: WorkerId, work: Nanos, until: Nanos) {
        if let Some(&at) = self.worker_indices.get(&worker) {
            let rights = &mut self.workers[at].warm_up_grants;
            let place = rights.partition_point(|(end, _)| *end <= until);
            rights.insert(place, (until, work as f64));
        }
    }

    /// What a cold worker bears in any window that has begun by now: by what it could do at the window's start.
    pub(crate) fn warm_up_capacity(&self, worker: &Worker, now: Nanos) -> f64 {
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

#[cfg(test)]
mod tests;
