//! Worker selection: which worker gets a request.
use super::Dispatcher;
use super::subset::{MAX_DISPATCHERS_PER_WORKER, MIN_DISPATCHERS_PER_WORKER};
use crate::mutation::{Mutation, is_active};
use crate::start_delays::Congestion;
use crate::state::ActiveRequest;
use crate::state::Idempotency::IdempotentWithKey;
use crate::types::Nanos;

/// What passing over all lanes costs where most share a worker, in mean waits: one of eight costs a fifth.
pub(crate) const SUBSET_DISTANCE_COST: f64 = 1.6;

impl Dispatcher {
    /// The worker for a request, and how long it would wait there: its lane's, or the nearest id neighbour that
    /// can start it soon enough; failing that, the one with the least to wait.
    pub(crate) fn select_worker(
        &mut self,
        now: Nanos,
        key: usize,
        mine: usize,
    ) -> Option<(usize, f64, f64)> {
        self.refresh_worker_loads(now);
        let active = &self.requests[key];
        let ActiveRequest {
            request,
            idempotency,
            warm_up_work: most,
            slots_required,
            first_uncertain_attempt: doubt,
            ..
        } = *active;
        let class = &self.classes[usize::from(request.class)];
        // Where a repeat is bound to a group, its workers may be any in the list.
        let bound = doubt.filter(|_| {
            idempotency == IdempotentWithKey && !is_active(Mutation::IgnoreRetryWindow)
        });
        let (subset, mean) = (
            if bound.is_some() {
                &class.eligible_workers
            } else {
                &class.subset
            },
            class.mean(),
        );
        let Congestion { delay, late } = self.start_delays.congestion(now, self.rarity);
        let fleet = self.unobserved_share * delay;
        // Guards against lanes that hold all sizes once the whole fleet has queues of which each sees little.
        let unknown = ((self.dispatchers_per_worker - MIN_DISPATCHERS_PER_WORKER)
            / (MAX_DISPATCHERS_PER_WORKER - MIN_DISPATCHERS_PER_WORKER))
            .clamp(0.0, 1.0);
        let each_lane = SUBSET_DISTANCE_COST * unknown * fleet / subset.len().max(1) as f64;
        let (mut least, mut best) = (f64::INFINITY, None);
        self.missing_grant_for = None;
        for step in 0..2 * subset.len() {
            let far = step.div_ceil(2);
            let lane = if step % 2 == 1 {
                mine.checked_add(far)
            } else {
                mine.checked_sub(far)
            };
            let Some(&at) = lane.and_then(|lane| subset.get(lane)) else {
                continue;
            };
            if let Some((first, since)) = bound {
                let (a, b) = (&self.workers[first], &self.workers[at]);
                let drops = match class.group.as_str() {
                    "all" => true,
                    "zone" => a.zone == b.zone,
                    _ => a.group == b.group,
                };
                if !drops || now >= since + class.window {
                    continue;
                }
            }
            let worker = &self.workers[at];
            // One's part of the seats, which a job as large may have alone, less what others told of.
            let (sharing, all) = (
                if self.exchanges_load {
                    1.0
                } else {
                    self.dispatchers
                },
                worker.slots.round(),
            );
            let (part, told) = ((all / sharing).max(1.0), worker.peer_load(now).0);
            let seat = worker.slots_in_use + told + slots_required.min(part) <= part;
            let doubt = worker.failure_score_for(
                now,
                self.mean_failure_score,
                usize::from(request.class),
                idempotency,
            );
            let cold = self.warmth(worker, now) < 1.0;
            if cold
                && self.warm_up_allowance(worker, now) < most
                && !is_active(Mutation::IgnoreSlowStart)
            {
                self.missing_grant_for = self.missing_grant_for.or(seat.then_some(at));
                continue;
            }
            let room = active
                .time_to_spare(now, worker.service_time_factor)
                .max(1.0);
            // Who is sent to by turns and within a budget is not as busy as the rest.
            let others = if cold {
                (0.0, 0.0)
            } else {
                (fleet * room, self.mean_other_slots)
            };
            let wait = worker.wait(now, slots_required, mean, others);
            let strain = wait / room + self.zone_delays.part(worker.zone, room);
            // Taken when there is a seat for it in this dispatcher's part, the worker is not distrusted, and
            // it would start about at once: a twentieth of the room before the SLA time is within error.
            if seat && doubt < 0.25 && strain < 0.05 {
                return Some((at, wait, wait / room));
            }
            // Own jobs in flight, and their work, weigh again: what others see and do is alike. A job that
            // fails loses all, one that waits out its room a part. And it failed there before.
            let failed = active.attempts[..active.attempts_sent]
                .iter()
                .any(|attempt| attempt.worker == at);
            let held = (worker.remaining_work / room + worker.slots_in_use) / worker.slots;
            let apart = if bound.is_some() {
                0.0
            } else {
                each_lane * far as f64
            };
            let cost = strain + held + doubt + f64::from(failed) + apart;
            if cost < least {
                // Turned away is by the queue: that a worker is slow shortens its room, but is no overload,
                // and counts only as far as starts are late.
                let service_time_factor =
                    1.0 + (worker.service_time_factor - 1.0) * (3.0 * late).min(1.0);
                (least, best) = (
                    cost,
                    Some((
                        at,
                        wait,
                        wait / active.time_to_spare(now, service_time_factor).max(1.0),
                    )),
                );
            }
        }
        best
    }
}

#[cfg(test)]
mod tests;
