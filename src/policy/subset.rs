//! Subset selection: determines the workers that this dispatcher uses, and the other dispatchers
//! that use a worker.
//!
//! The eligible workers of a class are divided by id into as many parts as the subset has positions.
//! A dispatcher uses one worker of each part, so a worker serves about the same interval of sizes
//! for all dispatchers.
use super::Dispatcher;
use crate::types::{FleetPosition, Nanos};

#[cfg(test)]
mod tests;

/// Maximum number of dispatchers that use one worker, without load exchange. Each still sends enough
/// requests to estimate the worker's load.
pub(super) const MAX_DISPATCHERS_PER_WORKER: f64 = 12.0;

/// Minimum number of dispatchers that use one worker, if there are as many. Each sends enough
/// requests to estimate the worker's queue.
pub(super) const MIN_DISPATCHERS_PER_WORKER: f64 = 4.0;

/// Size of a subset between these bounds. Enough workers to even out uneven traffic.
const SUBSET_SIZE: f64 = 8.0;

impl Dispatcher {
    /// Sets the rank of this dispatcher and the number of running dispatchers. Without a position,
    /// the values of the settings apply.
    pub(super) fn set_fleet_position(&mut self, now: Nanos, position: Option<FleetPosition>) {
        let configured = FleetPosition {
            rank: self.settings.rank as u16,
            dispatchers: self.settings.dispatchers as u16,
        };
        let FleetPosition { rank, dispatchers } = position.unwrap_or(configured);
        self.rank = usize::from(rank);
        self.dispatchers = f64::from(dispatchers).max(1.0);
        self.unobserved_fraction = 1.0 - 1.0 / self.dispatchers;
        self.has_fleet_view |= position.is_some();
        self.select_subsets(now);
    }

    /// Returns the number of dispatchers that determines subset sizes. With a fleet view it is rounded
    /// up to a power of two, so that most changes of the fleet leave all subsets unchanged.
    fn nominal_dispatchers(&self) -> f64 {
        if self.has_fleet_view {
            self.dispatchers.log2().ceil().exp2()
        } else {
            self.dispatchers
        }
    }

    /// Returns the number of workers that this dispatcher uses out of `eligible` ones.
    pub(super) fn subset_size(&self, eligible: usize) -> usize {
        let workers_per_dispatcher = eligible as f64 / self.nominal_dispatchers();
        let max_size = if self.exchanges_load {
            f64::INFINITY
        } else {
            MAX_DISPATCHERS_PER_WORKER * workers_per_dispatcher
        };
        let size = SUBSET_SIZE
            .max(MIN_DISPATCHERS_PER_WORKER * workers_per_dispatcher)
            .min(max_size);
        (size.ceil() as usize).min(eligible)
    }

    /// Selects the subset of each class.
    pub(super) fn select_subsets(&mut self, now: Nanos) {
        self.dispatchers_per_worker = 1.0;
        for class_index in 0..self.classes.len() {
            let eligible = &self.classes[class_index].eligible_workers;
            let size = self.subset_size(eligible.len());
            let per_worker = self.dispatchers * size as f64 / (eligible.len() as f64).max(1.0);
            let subset = if self.has_fleet_view {
                self.ranked_subset(now, eligible, size)
            } else {
                self.configured_subset(now, eligible, size)
            };
            self.classes[class_index].subset = subset;
            self.dispatchers_per_worker = f64::max(self.dispatchers_per_worker, per_worker);
        }
    }

    /// Returns the subset by the configured rank, for dispatchers without a fleet view.
    fn configured_subset(&self, now: Nanos, eligible: &[usize], size: usize) -> Vec<usize> {
        let count = eligible.len();
        (0..size)
            .map(|part| {
                let workers = &eligible[part * count / size..(part + 1) * count / size];
                self.configured_worker(now, workers, part)
            })
            .collect()
    }

    /// Returns the worker of one part. An unreachable worker is replaced by another one of the part
    /// that is reachable, a different one for each block of dispatchers. A warming worker never
    /// replaces another, as its allowance is divided between its regular dispatchers.
    fn configured_worker(&self, now: Nanos, workers: &[usize], part: usize) -> usize {
        let count = workers.len();
        let block = self.rank / count;
        let regular = (self.rank + part * block) % count;
        let replacement = |step: usize| (regular + 1 + (block + step) % (count - 1)) % count;
        let replacements = (0..count - 1)
            .map(|step| workers[replacement(step)])
            .filter(|worker| self.is_warm(now, *worker));
        std::iter::once(workers[regular])
            .chain(replacements)
            .find(|worker| !self.workers[*worker].is_unreachable(now))
            .unwrap_or(workers[regular])
    }

    /// Returns the subset by rank, for dispatchers with a fleet view. The worker of a part advances
    /// from one rank to the next, so that the numbers of dispatchers of any two workers differ by at
    /// most 1, and the subset does not depend on the ranks of others. An unreachable worker is
    /// replaced by the next reachable one that is warm.
    fn ranked_subset(&self, now: Nanos, eligible: &[usize], size: usize) -> Vec<usize> {
        let count = eligible.len();
        let is_reachable = |position: usize| !self.workers[eligible[position]].is_unreachable(now);
        let mut positions: Vec<usize> = (0..size)
            .map(|part| (part * count + self.rank * size % count) / size)
            .collect();
        for part in 0..size {
            if is_reachable(positions[part]) {
                continue;
            }
            let replacement = (1..count)
                .map(|step| (positions[part] + step) % count)
                .find(|position| {
                    is_reachable(*position)
                        && self.is_warm(now, eligible[*position])
                        && !positions.contains(position)
                });
            positions[part] = replacement.unwrap_or(positions[part]);
        }
        positions.sort_unstable();
        positions
            .into_iter()
            .map(|position| eligible[position])
            .collect()
    }

    /// Returns the ranks of the other dispatchers that use the eligible worker at a position, by
    /// [`Self::ranked_subset`].
    pub(super) fn ranked_peers(
        &self,
        position: usize,
        eligible: usize,
        size: usize,
    ) -> impl Iterator<Item = u16> {
        let own_rank = self.rank;
        let uses = move |rank: usize| {
            (rank * size % eligible + eligible - position * size % eligible) % eligible < size
        };
        (0..self.dispatchers as usize)
            .filter(move |rank| *rank != own_rank && uses(*rank))
            .map(|rank| rank as u16)
    }

    /// Returns the ranks of the other dispatchers that use the eligible worker at a position, by
    /// [`Self::configured_worker`]: one of each block of dispatchers.
    pub(super) fn configured_peers(
        &self,
        position: usize,
        eligible: usize,
        size: usize,
    ) -> impl Iterator<Item = u16> {
        let own_rank = self.rank;
        let dispatchers = self.dispatchers as usize;
        let part = (0..size)
            .rfind(|part| part * eligible / size <= position)
            .unwrap_or(0);
        let start = part * eligible / size;
        let count = (part + 1) * eligible / size - start;
        let in_block = move |block: usize| {
            block * count + (position - start + count - part * block % count) % count
        };
        (0..=dispatchers / count)
            .map(in_block)
            .filter(move |rank| *rank < dispatchers && *rank != own_rank)
            .map(|rank| rank as u16)
    }

    fn is_warm(&self, now: Nanos, worker: usize) -> bool {
        self.slow_start_factor(&self.workers[worker], now) >= 1.0
    }
}
