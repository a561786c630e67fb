//! Subset selection: which workers this dispatcher uses.
use super::Dispatcher;
use crate::types::{FleetPosition, Nanos};

/// Each dispatcher keeps to so many workers that at most twelve share each: few enough to hear of them and
/// reuse connections, enough that uneven traffic evens out.
pub(crate) const MAX_DISPATCHERS_PER_WORKER: f64 = 12.0;

/// So few share a worker at least, where there are that many; each then sees enough of it to know its queue.
pub(crate) const MIN_DISPATCHERS_PER_WORKER: f64 = 4.0;

impl Dispatcher {
    /// Into how many stretches so many workers are cut, for each dispatcher to keep to one of each. Eight, as
    /// long as four to twelve share a worker: fewer lanes are heard of more often, and by more the chance of
    /// who sends how much evens out. Those who tell each other hear from however many share.
    pub(crate) fn subset_size(&self, n: usize) -> usize {
        let each = n as f64 / self.octave_dispatchers();
        let most = if self.exchanges_load {
            f64::INFINITY
        } else {
            MAX_DISPATCHERS_PER_WORKER * each
        };
        (8.0_f64
            .max(MIN_DISPATCHERS_PER_WORKER * each)
            .min(most)
            .ceil() as usize)
            .min(n)
    }

    /// Which workers each class's lanes are: one of each stretch of ids, by turns over the dispatchers.
    pub(crate) fn select_subset(&mut self, now: Nanos) {
        self.dispatchers_per_worker = 1.0;
        for at in 0..self.classes.len() {
            let (me, all) = (self.rank, &self.classes[at].eligible_workers);
            let n = all.len();
            let m = self.subset_size(n);
            let pick = |lane: usize| {
                let among = &all[lane * n / m..(lane + 1) * n / m];
                let (len, block) = (among.len(), me / among.len());
                let turn = (me + lane * block) % len;
                // In place of one that takes no connection another of its stretch, each block of dispatchers
                // its own, but none that is cold: its turns count on who keeps to it. Guards against lanes
                // that lead nowhere for as long as no one tells that their workers are gone.
                let other = |step: usize| (turn + 1 + (block + step) % (len - 1)) % len;
                let others = (0..len - 1).map(|step| among[other(step)]);
                let warm = others.filter(|at| self.warmth(&self.workers[*at], now) >= 1.0);
                let mut all = std::iter::once(among[turn]).chain(warm);
                all.find(|at| !self.workers[*at].is_unreachable(now))
                    .unwrap_or(among[turn])
            };
            let subset = if self.has_fleet_view {
                self.ranked_subset(now, all, m)
            } else {
                (0..m).map(pick).collect()
            };
            self.classes[at].subset = subset;
            self.dispatchers_per_worker = f64::max(
                self.dispatchers_per_worker,
                self.dispatchers * m as f64 / (n as f64).max(1.0),
            );
        }
    }

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
}

#[cfg(test)]
mod tests;
