//! Membership views of dispatchers, read from their logs. No rule depends on them.
use super::Testbed;

/// Membership view that a dispatcher has logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipView {
    /// Rank of the dispatcher, from 0.
    pub rank: usize,
    /// Number of members, including the dispatcher.
    pub members: usize,
}

/// Returns the number after `key=` in a log line.
fn number_in(line: &str, key: &str) -> Option<usize> {
    let mut pairs = line.split(' ').filter_map(|word| word.split_once('='));
    pairs.find(|(name, _)| *name == key)?.1.parse().ok()
}

impl Testbed {
    /// Returns the newest view in the log of a dispatcher, or `None` if it is not running or has logged none.
    pub fn membership_view(&self, number: usize) -> Option<MembershipView> {
        let lines = self.process(number)?.lines();
        let line = lines.iter().rfind(|line| line.contains("cluster view "))?;
        Some(MembershipView {
            rank: number_in(line, "rank")?,
            members: number_in(line, "members")?,
        })
    }

    /// Returns whether the view of each of these dispatchers has just as many members as there are numbers, and their
    /// ranks are 0, 1, 2 and so on, each once.
    pub fn members_agree(&self, numbers: &[usize]) -> bool {
        let mut ranks: Vec<usize> = Vec::new();
        for number in numbers {
            match self.membership_view(*number) {
                Some(view) if view.members == numbers.len() => ranks.push(view.rank),
                _ => return false,
            }
        }
        ranks.sort_unstable();
        ranks.into_iter().eq(0..numbers.len())
    }
}
