//! SWIM's rules on which of two records of a member wins.
use crate::member::MemberState::{self, Alive, Dead, Left, Suspect};

/// How a received record relates to the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Precedence {
    /// Of a later generation, or of a higher incarnation of the same.
    Newer,
    /// Of the same incarnation.
    Same,
    /// Of an earlier one.
    Older,
}

/// What a received record changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Transition {
    /// It replaces the known record.
    Replace,
    /// It confirms the suspicion.
    Confirm,
}

struct Row {
    known: &'static [MemberState],
    precedence: Precedence,
    received: &'static [MemberState],
    transition: Transition,
}

/// What is not listed changes nothing.
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

/// What a record with the state `received` changes at one with the state `known`.
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
