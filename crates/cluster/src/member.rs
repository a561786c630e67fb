//! The record of one member, as it is stored and disseminated.
use std::net::SocketAddr;

/// The maximum length of a member's name, in bytes.
pub const MAX_NAME_BYTES: usize = 32;
/// The claimed rank of a member that has not claimed one.
pub const NO_RANK: u16 = u16::MAX;

/// The name of a member, which [`is_name`] accepts.
pub type Name = std::rc::Rc<str>;

/// Whether a text is a valid name: 1 to [`MAX_NAME_BYTES`] ASCII letters, digits, `.`, `-` or `_`.
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

/// Returns the 32-bit FNV-1a hash.
pub fn fnv1a(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193)
    })
}

/// Identifies one process of a member: its name and the generation of the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessId {
    /// The member's name.
    pub name: Name,
    /// The generation of the process, as in [`MemberRecord::generation`].
    pub generation: u64,
}

/// SWIM's states of a member. Of two states of one incarnation the greater takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe and may still refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member announced that it leaves.
    Left,
}

impl MemberState {
    /// Whether the member counts as running: alive or suspect.
    pub fn is_live(self) -> bool {
        matches!(self, MemberState::Alive | MemberState::Suspect)
    }
}

/// The record of one member, as it is disseminated.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberRecord {
    /// The member's name, unique in the cluster.
    pub name: Name,
    /// The address at which the member receives datagrams.
    pub addr: SocketAddr,
    /// Generated at each start of the member's process, higher than at the previous start.
    pub generation: u64,
    /// Incremented only by the member itself, to refute a suspicion or to announce a change.
    pub incarnation: u32,
    /// The member's state in this incarnation.
    pub state: MemberState,
    /// The rank that the member has claimed, or [`NO_RANK`].
    pub claimed_rank: u16,
    /// Whether the member holds the lease and issues warm-up grants.
    pub issues_grants: bool,
    /// In a suspicion, the FNV-1a hash of the name of the member that suspects; otherwise not
    /// significant.
    pub suspected_by: u32,
}

impl MemberRecord {
    /// Returns the process that the record describes.
    pub fn process(&self) -> ProcessId {
        ProcessId {
            name: self.name.clone(),
            generation: self.generation,
        }
    }

    /// Returns the same record with the state suspect, on suspicion by the named member.
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
