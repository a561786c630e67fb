//! Load of the workers, from their own reports and from this dispatcher's attempts in flight.
use super::Dispatcher;
use crate::state::{ActiveRequest, Attempt, Overruns, Worker};
use crate::time::{SECOND, decay};
use crate::types::{Action, Nanos, Report};

#[cfg(test)]
mod tests;

/// Exclusive upper bound of valid values in load reports. No worker has as many slots or requests.
const REPORT_VALUE_LIMIT: f32 = 1e4;

/// Minimum excess of reported free slots over the known slots for the report to count.
const FREE_SLOTS_TOLERANCE: f64 = 0.25;

/// Fraction of the excess by which a report raises the known slots. Reports are noisy, and their
/// maximum would be the noisiest.
const FREE_SLOTS_WEIGHT: f64 = 0.2;

/// Weight of one report in the mean number of slots that other dispatchers use.
const OTHER_SLOTS_WEIGHT: f64 = 0.1;

/// Ages at which a started request is known to be running, in multiples of its expected service
/// time.
const KNOWN_RUNNING_AGE: std::ops::RangeInclusive<f64> = 0.25..=2.0;

/// Minimum remaining time of a request that has exceeded its expected service time, as a fraction
/// of its age.
const OVERRUN_REMAINING_FRACTION: f64 = 0.3;

/// Lower bound of the expected service time in the calculation of overruns, in nanoseconds.
const MIN_SERVICE_TIME: f64 = 1e6;

/// Upper bound of the service-time factor of an overrun.
const MAX_OVERRUN: f64 = 10.0;

impl Worker {
    /// Adds an attempt in flight to the load. If `counts_overruns`, an attempt that exceeds its
    /// expected service time counts as an overrun.
    fn add_attempt_load(
        &mut self,
        now: Nanos,
        active: &ActiveRequest,
        attempt: &Attempt,
        counts_overruns: bool,
    ) {
        // A lost attempt would make the worker appear at capacity until its deadline.
        if self.was_overtaken(attempt) {
            return;
        }
        let service_time = active.demand.service_time;
        let slots = active.demand.slots_required;
        let age = now.saturating_sub(attempt.started_at.unwrap_or(now)) as f64;
        self.slots_in_use += slots;
        self.remaining_work += slots
            * (service_time * self.service_time_factor - age).max(OVERRUN_REMAINING_FRACTION * age);
        let Some(started_at) = attempt.started_at else {
            let delay = attempt.unexplained_delay(now);
            if delay > decay(self.start_delay, self.start_delay_at, now, SECOND) {
                self.set_start_delay(now, delay);
            }
            return;
        };
        let factor = (age / service_time.max(MIN_SERVICE_TIME)).min(MAX_OVERRUN);
        if counts_overruns && factor > self.own_service_time_factor {
            self.overruns.sum += factor;
            self.overruns.count += 1.0;
        }
        // Requests that an earlier process of the worker had started are lost.
        if started_at >= self.started_at {
            self.slots_running += f64::from(active.request.slots);
        }
    }
}

impl Dispatcher {
    /// Recomputes the load at the workers from the attempts in flight.
    pub(super) fn refresh_worker_loads(&mut self, now: Nanos) {
        for index in self.workers_in_use.drain(..) {
            let worker = &mut self.workers[index];
            worker.slots_in_use = 0.0;
            worker.slots_running = 0.0;
            worker.remaining_work = 0.0;
            worker.overruns = Overruns::default();
        }
        // Hints are rough: overruns count only if several dispatchers exchange their observations.
        let counts_overruns = self.exchanges_load;
        for (_, active) in &self.requests {
            for attempt in active.attempts().iter().filter(|attempt| attempt.in_flight) {
                self.workers_in_use.push(attempt.worker);
                let worker = &mut self.workers[attempt.worker];
                worker.add_attempt_load(now, active, attempt, counts_overruns);
            }
        }
    }

    /// Updates the estimates from a worker's load report.
    pub(super) fn on_load_report(&mut self, now: Nanos, worker_index: usize, report: Report) {
        let is_valid = |value: &f32| (0.0..REPORT_VALUE_LIMIT).contains(value);
        let values = &report.values[..report.count.min(report.values.len())];
        self.invalid_report_values += values.iter().filter(|value| !is_valid(value)).count() as u64;
        let value = |position: Option<usize>| {
            values
                .get(position?)
                .filter(|value| is_valid(value))
                .map(|value| f64::from(*value))
        };
        let free_slots = value(self.settings.report_fields.free_slots);
        let in_flight = value(self.settings.report_fields.in_flight);
        if free_slots.is_none() && in_flight.is_none() {
            return;
        }
        self.refresh_worker_loads(now);
        if let Some(free_slots) = free_slots {
            self.observe_free_slots(worker_index, free_slots);
        }
        let worker = &mut self.workers[worker_index];
        let by_free_slots = free_slots.map(|free| worker.slots - free - worker.slots_running);
        worker.other_slots = in_flight
            .map(|in_flight| in_flight - worker.slots_in_use)
            .or(by_free_slots)
            .unwrap_or(0.0)
            .max(0.0);
        // With load exchange, the peers' own reports are more recent. A single dispatcher would
        // count its own newest requests as load of others.
        worker.other_slots *= if self.exchanges_load {
            0.0
        } else {
            self.unobserved_fraction
        };
        worker.other_slots_at = now;
        self.mean_other_slots += OTHER_SLOTS_WEIGHT * (worker.other_slots - self.mean_other_slots);
    }

    fn observe_free_slots(&mut self, worker_index: usize, free_slots: f64) {
        let worker = &self.workers[worker_index];
        let worker_type = worker.worker_type;
        let slots = worker.slots;
        if free_slots > slots + FREE_SLOTS_TOLERANCE {
            self.raise_slots(
                worker_type,
                slots + FREE_SLOTS_WEIGHT * (free_slots - slots),
            );
        }
    }

    /// Raises the slots of all workers of a type to the number observed at one of them.
    fn raise_slots(&mut self, worker_type: u8, slots: f64) {
        for worker in self
            .workers
            .iter_mut()
            .filter(|worker| worker.worker_type == worker_type && worker.slots < slots)
        {
            worker.slots = slots;
        }
    }

    /// Updates the slots of a worker's type from a request that has just completed and the requests
    /// known to have run beside it. A start may be reported before the end that freed its slot, and
    /// lost requests do not end.
    pub(super) fn observe_slots(&mut self, now: Nanos, completed_key: usize, worker_index: usize) {
        let worker = &self.workers[worker_index];
        let known_to_have_run = |key: usize, active: &ActiveRequest, attempt: &Attempt| {
            let started_at = attempt.started_at.filter(|started_at| {
                attempt.worker == worker_index
                    && attempt.in_flight
                    && *started_at >= worker.started_at
            });
            let Some(started_at) = started_at else {
                return false;
            };
            let age = (now - started_at) as f64;
            let service_time = active.demand.service_time * worker.service_time_factor;
            let earliest = KNOWN_RUNNING_AGE.start() * service_time;
            let latest = KNOWN_RUNNING_AGE.end() * service_time;
            key == completed_key || (earliest..=latest).contains(&age)
        };
        let slots_running = self
            .requests
            .iter()
            .filter(|(key, active)| {
                active
                    .attempts()
                    .iter()
                    .any(|attempt| known_to_have_run(*key, active, attempt))
            })
            .map(|(_, active)| f64::from(active.request.slots))
            .sum();
        self.raise_slots(worker.worker_type, slots_running);
    }

    /// Logs the number of invalid values in load reports since the last call, if any.
    pub(super) fn log_invalid_reports(&mut self, actions: &mut Vec<Action>) {
        let count = std::mem::take(&mut self.invalid_report_values);
        if count > 0 {
            actions.push(Action::Log(format!(
                "{count} invalid values in load reports"
            )));
        }
    }
}
