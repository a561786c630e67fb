//! What is known of one member, as it is stored and passed on.
use std::net::SocketAddr;

/// The longest name of a member, in bytes.
pub const MAX_NAME_BYTES: usize = 32;
/// The claimed rank of a member that has claimed none.
pub const NO_RANK: u16 = u16::MAX;

/// A member's name.
pub type Name = std::rc::Rc<str>;

/// Whether a text may be a name: ASCII letters, digits, `.`, `-` and `_`.
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

/// FNV-1a with 32 bits.
pub fn fnv1a(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193)
    })
}

/// One run of the process of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessId {
    /// The member's name.
    pub name: Name,
    /// The generation of the run, as in [`MemberRecord::generation`].
    pub generation: u64,
}

/// SWIM's states of a member; of two states of one incarnation the greater wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer and may still refute that.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It said that it stops.
    Left,
}

impl MemberState {
    /// Whether the member counts as running: alive or suspect.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// What is known of one member, as it is passed on.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberRecord {
    /// Its name, unique in the cluster.
    pub name: Name,
    /// Where it receives datagrams.
    pub addr: SocketAddr,
    /// Drawn at each start of its process, higher than at the start before.
    pub generation: u64,
    /// Raised by the member alone, to refute a suspicion or to announce a change.
    pub incarnation: u32,
    /// Its state in this incarnation.
    pub state: MemberState,
    /// The rank that it has claimed, or [`NO_RANK`].
    pub claimed_rank: u16,
    /// Whether it holds the lease and issues warm-up grants.
    pub issues_grants: bool,
    /// Of a suspicion: the hash of the name of who suspects.
    pub suspected_by: u32,
}

impl MemberRecord {
    /// The run of the process that the record is of.
    pub fn process(&self) -> ProcessId {
        ProcessId {
            name: self.name.clone(),
            generation: self.generation,
        }
    }

    /// The same record with the member suspected by the named one.
    pub(crate) fn with_suspicion_by(&self, accuser: &str) -> MemberRecord {
        MemberRecord {
            state: MemberState::Suspect,
            suspected_by: fnv1a(accuser.as_bytes()),
            ..self.clone()
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
