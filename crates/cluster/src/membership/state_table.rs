//! SWIM's precedence rules between a known and a received record of a member.
use crate::member::MemberState::{self, Alive, Dead, Left, Suspect};

/// Precedence of a received record over the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Precedence {
    /// A later generation, or a higher incarnation of the same generation.
    Newer,
    /// The same generation and incarnation.
    Same,
    /// An earlier generation or incarnation.
    Older,
}

/// Effect of a received record on the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Transition {
    /// The received record replaces the known one.
    Replace,
    /// The received record confirms the suspicion.
    Confirm,
}

struct Row {
    known: &'static [MemberState],
    precedence: Precedence,
    received: &'static [MemberState],
    transition: Transition,
}

/// Combinations that are not listed have no effect.
const TABLE: &[Row] = &[
    Row {
        known: &[Alive, Suspect, Dead, Left],
        precedence: Precedence::Newer,
        received: &[Alive, Suspect, Dead, Left],
        transition: Transition::Replace,
    },
    Row {
        known: &[Alive],
        precedence: Precedence::Same,
        received: &[Suspect, Dead, Left],
        transition: Transition::Replace,
    },
    Row {
        known: &[Suspect],
        precedence: Precedence::Same,
        received: &[Dead, Left],
        transition: Transition::Replace,
    },
    Row {
        known: &[Suspect],
        precedence: Precedence::Same,
        received: &[Suspect],
        transition: Transition::Confirm,
    },
    Row {
        known: &[Dead],
        precedence: Precedence::Same,
        received: &[Left],
        transition: Transition::Replace,
    },
];

/// Returns the effect of a record in the state `received` on a known one in the state `known`.
pub(super) fn transition(
    known: MemberState,
    precedence: Precedence,
    received: MemberState,
) -> Option<Transition> {
    let row = TABLE.iter().find(|row| {
        row.known.contains(&known)
            && row.precedence == precedence
            && row.received.contains(&received)
    });
    row.map(|row| row.transition)
}
