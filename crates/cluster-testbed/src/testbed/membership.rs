//! Which members dispatchers know, by their own logs. No rule depends on it.
use super::Testbed;

/// What a dispatcher says of its cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipView {
    /// Its own rank.
    pub rank: usize,
    /// How many members it knows, itself included.
    pub members: usize,
}

/// The number after `key=` in a log line.
fn number_in(line: &str, key: &str) -> Option<usize> {
    let mut pairs = line.split(' ').filter_map(|word| word.split_once('='));
    pairs.find(|(name, _)| *name == key)?.1.parse().ok()
}

impl Testbed {
    /// The newest view in the log of a dispatcher.
    pub fn membership_view(&self, number: usize) -> Option<MembershipView> {
        let lines = self.process(number)?.lines();
        let line = lines.iter().rfind(|line| line.contains("cluster view "))?;
        Some(MembershipView {
            rank: number_in(line, "rank")?,
            members: number_in(line, "members")?,
        })
    }

    /// Whether these dispatchers know just each other, each with a rank of its own.
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
