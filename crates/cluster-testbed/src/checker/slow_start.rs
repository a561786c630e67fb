//! The slow start rule: limits the work that a worker receives in any window while it warms up.
use super::{Observations, SlowStartUse};
use crate::worker::{ReceivedRequest, Worker};
use std::time::Instant;

/// A window that begins with a request, with the work received as a share of the overload limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct Window {
    pub(super) from: Instant,
    pub(super) share_of_limit: f64,
}

/// Work that a worker received while it warmed up, and the worst window if it is an overload.
pub(super) struct SlowStartFinding {
    pub(super) usage: SlowStartUse,
    pub(super) overload: Option<Window>,
}

/// Returns the window with the largest share of the overload limit.
fn worst_window(
    worker: &Worker,
    started: Instant,
    received: &[&ReceivedRequest],
) -> Option<Window> {
    let slow_start = worker.slow_start;
    let limit_s = |from: Instant| {
        let warm_limit_s =
            slow_start.overload_multiple * worker.slots as f64 * slow_start.window.as_secs_f64();
        warm_limit_s * slow_start.capacity_share(from.saturating_duration_since(started))
    };
    let mut worst: Option<Window> = None;
    for first in received {
        let within = received
            .iter()
            .filter(|request| request.at >= first.at && request.at < first.at + slow_start.window);
        let work_s = within.map(|request| request.work_s).sum::<f64>();
        let share_of_limit = work_s / limit_s(first.at);
        if worst.is_none_or(|worst| share_of_limit > worst.share_of_limit) {
            worst = Some(Window {
                from: first.at,
                share_of_limit,
            });
        }
    }
    worst
}

impl Observations<'_> {
    /// Evaluates the warm-up of a worker; `None` for one that started warm.
    pub(super) fn slow_start(&self, number: usize, worker: &Worker) -> Option<SlowStartFinding> {
        let started = worker.warm_up_started_at?;
        let warm_at = started + worker.slow_start.duration;
        let received = worker.read(|record| record.received.clone());
        let received: Vec<_> = received
            .iter()
            .filter(|request| request.at < warm_at)
            .collect();
        let worst = worst_window(worker, started, &received);
        let work_s = received.iter().map(|request| request.work_s).sum::<f64>();
        let usage = SlowStartUse {
            worker: number,
            requests: received.len(),
            work_s,
            share_of_half: work_s / self.half_allowance_s(worker, started).max(1e-9),
            worst_window: worst.map_or(0.0, |window| window.share_of_limit),
        };
        let overload = worst.filter(|window| window.share_of_limit > 1.0);
        Some(SlowStartFinding { usage, overload })
    }

    /// Returns half of the work in seconds that the rule allows during the warm-up, up to the end of the run.
    fn half_allowance_s(&self, worker: &Worker, started: Instant) -> f64 {
        let slow_start = worker.slow_start;
        let warm_at = started + slow_start.duration;
        let observed_s = self
            .end
            .min(warm_at)
            .saturating_duration_since(started)
            .as_secs_f64();
        let progress = (observed_s / slow_start.duration.as_secs_f64()).min(1.0);
        let mean_share =
            slow_start.initial_share + (1.0 - slow_start.initial_share) * progress / 2.0;
        0.5 * slow_start.overload_multiple * worker.slots as f64 * mean_share * observed_s
    }

    /// Returns the warm-up statistics of each worker that did not start warm.
    pub fn slow_start_usage(&self) -> Vec<SlowStartUse> {
        let workers = self.workers.iter().enumerate();
        workers
            .filter_map(|(number, worker)| self.slow_start(number, worker))
            .map(|finding| finding.usage)
            .collect()
    }
}
