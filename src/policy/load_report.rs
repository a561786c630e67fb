//! Load at the workers: by their reports and by this dispatcher's own attempts.
use super::Dispatcher;
use crate::state::{ActiveRequest, Attempt};
use crate::time::{SECOND, decay};
use crate::types::{Nanos, Report};

impl Dispatcher {
    pub(crate) fn read_report(&mut self, now: Nanos, at: usize, report: Report) {
        // No worker holds so many; what is not a number, or below none, counts as not reported.
        let sane = |value: &f32| (0.0..1e4).contains(value);
        let values = &report.values[..report.count.min(report.values.len())];
        self.invalid_report_values += values.iter().filter(|value| !sane(value)).count() as u64;
        let value = |at: Option<usize>| {
            values
                .get(at?)
                .filter(|value| sane(value))
                .map(|v| f64::from(*v))
        };
        let [free, inflight] = self.report_positions.map(value);
        if free.is_none() && inflight.is_none() {
            return;
        }
        self.refresh_worker_loads(now);
        // Free slots come with noise, of which the most seen would be the worst: a fifth of the way each.
        let (worker_type, slots) = (self.workers[at].worker_type, self.workers[at].slots);
        if let Some(free) = free.filter(|free| *free > slots + 0.25) {
            self.raise_slots(worker_type, slots + 0.2 * (free - slots));
        }
        let worker = &mut self.workers[at];
        let by_slots = free.map(|free| worker.slots - free - worker.slots_running);
        worker.other_slots = inflight
            .map(|all| all - worker.slots_in_use)
            .or(by_slots)
            .unwrap_or(0.0)
            .max(0.0);
        // Reports are late: a lone dispatcher would take its own newest jobs for others'.
        worker.other_slots *= if self.exchanges_load {
            0.0
        } else {
            self.unobserved_share
        };
        worker.other_slots_at = now;
        self.mean_other_slots += 0.1 * (worker.other_slots - self.mean_other_slots);
    }

    /// Workers of one kind have as many seats as any of them was seen to fill.
    pub(crate) fn raise_slots(&mut self, worker_type: u8, seen: f64) {
        for worker in self
            .workers
            .iter_mut()
            .filter(|worker| worker.worker_type == worker_type && worker.slots < seen)
        {
            worker.slots = seen;
        }
    }

    /// A request settled at a worker: its kind has seats for the jobs that ran there together, as far as that is sure, for a
    /// quarter of their time at least and for twice it at most. Guards against a cold worker pushed over where starts are told
    /// sooner than the ends before them, and by jobs that were lost or never began.
    pub(crate) fn learn_slots(&mut self, now: Nanos, settled: usize, at: usize) {
        let worker = &self.workers[at];
        let sure = |key: usize, active: &ActiveRequest, attempt: &Attempt| {
            let Some(from) = attempt.started_at.filter(|from| {
                attempt.worker == at && attempt.in_flight && *from >= worker.started_at
            }) else {
                return false;
            };
            let (age, run) = (
                (now - from) as f64,
                active.service_time * worker.service_time_factor,
            );
            key == settled || (0.25 * run..=2.0 * run).contains(&age)
        };
        let slots_running = self.requests.iter().filter(|(key, active)| {
            active.attempts[..active.attempts_sent]
                .iter()
                .any(|attempt| sure(*key, active, attempt))
        });
        let slots_running = slots_running
            .map(|(_, active)| f64::from(active.request.slots))
            .sum();
        self.raise_slots(worker.worker_type, slots_running);
    }

    /// Brings up to date what follows from the attempts out and from the clock.
    pub(crate) fn refresh_worker_loads(&mut self, now: Nanos) {
        for at in self.workers_in_use.drain(..) {
            let worker = &mut self.workers[at];
            (
                worker.slots_in_use,
                worker.slots_running,
                worker.remaining_work,
                worker.overruns,
            ) = (0.0, 0.0, 0.0, (0.0, 0.0));
        }
        for (_, active) in &self.requests {
            for attempt in active.attempts[..active.attempts_sent]
                .iter()
                .filter(|attempt| attempt.in_flight)
            {
                self.workers_in_use.push(attempt.worker);
                let worker = &mut self.workers[attempt.worker];
                // Guards against a worker that lost one job and is then taken for full until that expires.
                if worker.was_overtaken(attempt) {
                    continue;
                }
                let age = now.saturating_sub(attempt.started_at.unwrap_or(now)) as f64;
                worker.slots_in_use += active.slots_required;
                // A job past its hint has, as such sizes go, about a third of its age still to run.
                worker.remaining_work += active.slots_required
                    * (active.service_time * worker.service_time_factor - age).max(0.3 * age);
                if let Some(started) = attempt.started_at {
                    let over = (age / active.service_time.max(1e6)).min(10.0);
                    // Hints are rough: one that runs long tells little alone, many do, where others tell theirs.
                    if self.exchanges_load && over > worker.own_service_time_factor {
                        worker.overruns = (worker.overruns.0 + over, worker.overruns.1 + 1.0);
                    }
                    // What an earlier process ran is lost. Guards against taking its jobs for more seats.
                    let lives = started >= worker.started_at;
                    worker.slots_running += if lives {
                        f64::from(active.request.slots)
                    } else {
                        0.0
                    };
                } else {
                    let delay = attempt.delay(now);
                    if delay > decay(worker.start_delay, worker.start_delay_at, now, SECOND) {
                        (worker.start_delay, worker.start_delay_at) = (delay, now);
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
