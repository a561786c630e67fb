//! Derivation of the fleet view and of log lines from the membership.
use super::{Cluster, Effect, LogLine};
use crate::error::ClusterError;
use crate::member::Name;
use crate::membership::Change;
use crate::ranks::{RankClaim, assign_ranks};
use crate::time::MILLISECOND;
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::{FleetPosition, Nanos};

/// The minimum time between two updates of the view, which combines changes in quick succession.
const VIEW_INTERVAL: Nanos = 20 * MILLISECOND;
/// The time between two updates while this member has not yet claimed its rank.
const UNCLAIMED_VIEW_INTERVAL: Nanos = 5 * VIEW_INTERVAL;

impl Cluster {
    /// Recomputes the fleet view, and notifies the dispatch decisions if it has changed.
    pub(super) fn update_fleet_view(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        self.next_view_at = now + VIEW_INTERVAL;
        let position = if self.membership.is_standby() || !self.membership.has_had_peers() {
            self.members_by_rank.clear();
            self.view_is_stale = false;
            None
        } else {
            Some(self.rank_members(now))
        };
        if position == self.position {
            return;
        }
        self.position = position;
        effects.push(Effect::FleetView(position));
        if let Some(FleetPosition { rank, dispatchers }) = position {
            let digest = self.membership.digest();
            effects.push(Effect::Log(LogLine::Info(format!(
                "cluster view rank={rank} members={dispatchers} digest={digest:08x}"
            ))));
        }
    }

    /// Ranks the running members, and claims this member's rank once it is stable.
    fn rank_members(&mut self, now: Nanos) -> FleetPosition {
        let claims: Vec<RankClaim> = self
            .membership
            .view()
            .into_iter()
            .map(|record| RankClaim {
                name: record.name.clone(),
                claimed_rank: record.claimed_rank,
            })
            .collect();
        let ranks = assign_ranks(&claims);
        let own_name = self.membership.own_record().name.clone();
        let own_index = claims.iter().position(|claim| claim.name == own_name);
        let rank = ranks[own_index.unwrap_or(0)];
        self.members_by_rank = vec![own_name; claims.len()];
        for (claim, rank) in claims.iter().zip(&ranks) {
            if let Some(name) = self.members_by_rank.get_mut(usize::from(*rank)) {
                *name = claim.name.clone();
            }
        }
        self.membership.claim_stable_rank(now, rank);
        // The view is updated again until the rank is claimed.
        self.view_is_stale = self.membership.own_record().claimed_rank != rank;
        if self.view_is_stale {
            self.next_view_at = now + UNCLAIMED_VIEW_INTERVAL;
        }
        self.load_receiver
            .retain_members(|name| claims.iter().any(|claim| claim.name == *name));
        FleetPosition {
            rank: if is_active(Mutation::WrongRank) {
                rank + 1
            } else {
                rank
            },
            dispatchers: claims.len() as u16,
        }
    }
}

/// Returns the log line for a change of the membership.
pub(super) fn log_line(change: Change, own_name: &Name) -> LogLine {
    let info = |name: &Name, what: &str| LogLine::Info(format!("cluster member={name} {what}"));
    match change {
        Change::Joined(name) => info(&name, "came"),
        Change::Suspected(name) => info(&name, "suspected"),
        Change::Refuted(name) => info(&name, "refuted"),
        Change::Died(name) => info(&name, "dead"),
        Change::Left(name) => info(&name, "left"),
        Change::DuplicateName(other) => {
            let name = own_name.to_string();
            LogLine::Error(ClusterError::DuplicateName { name, other }.line())
        }
        Change::DuplicateNameGone => info(own_name, "is a member again"),
    }
}
