//! The proposer: executes one change at a time in rounds of two phases.
use super::types::{Operation, Phase, Proposal, ReplicaSet};
use super::{
    AcceptedValue, Ballot, Document, Effect, MAX_DOCUMENT_BYTES, Message, Outcome, RESOLVE_DELAY,
    Register, ReplicaId,
};
use crate::time::MILLISECOND;
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::Nanos;
use std::rc::Rc;

/// A round that has not ended is restarted after this time plus a random part of up to the same length.
/// It covers several round trips between distant regions and the writes of two disks.
const ROUND_TIMEOUT: Nanos = 400 * MILLISECOND;
/// A change that has not reached a majority is abandoned after this time.
const PROPOSAL_TIMEOUT: Nanos = 10_000 * MILLISECOND;

/// The document to propose in the second phase.
struct Choice {
    document: Rc<Document>,
    /// The result of the change once the document is chosen.
    outcome: Outcome,
}

impl Register {
    /// Proposes to replace the document of version `based_on` by `text`; [`Effect::Completed`] reports
    /// the result.
    pub fn propose(&mut self, now: Nanos, based_on: u64, text: &str, effects: &mut Vec<Effect>) {
        let is_busy = |proposal: &Proposal| proposal.operation.is_put();
        if self.proposal.as_ref().is_some_and(is_busy) {
            return effects.push(Effect::Completed(Outcome::Busy));
        }
        if text.len() > MAX_DOCUMENT_BYTES {
            let bytes = text.len();
            return effects.push(Effect::Completed(Outcome::TooLarge { bytes }));
        }
        let text = text.into();
        let operation = Operation::Put { based_on, text };
        self.start_round(now, operation, now + PROPOSAL_TIMEOUT, effects);
    }

    /// Performs all actions that are due.
    pub fn handle_timeout(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        match &self.proposal {
            Some(proposal) if now >= proposal.deadline => {
                if proposal.operation.is_put() {
                    effects.push(Effect::Completed(Outcome::Unknown));
                }
                self.proposal = None;
            }
            Some(proposal) if now >= proposal.retry_at => {
                let (operation, deadline) = (proposal.operation.clone(), proposal.deadline);
                self.start_round(now, operation, deadline, effects);
            }
            None if self.has_unconfirmed() && now >= self.resolve_at => {
                self.resolve_at = self.with_jitter(now, RESOLVE_DELAY);
                self.start_round(now, Operation::Resolve, now + PROPOSAL_TIMEOUT, effects);
            }
            _ => {}
        }
    }

    fn start_round(
        &mut self,
        now: Nanos,
        operation: Operation,
        deadline: Nanos,
        effects: &mut Vec<Effect>,
    ) {
        self.highest_round += 1;
        let ballot = Ballot {
            round: self.highest_round,
            replica: self.id,
        };
        self.proposal = Some(Proposal {
            operation,
            ballot,
            phase: Phase::Preparing,
            responders: ReplicaSet::default(),
            highest_accepted: None,
            retry_at: self.with_jitter(now, ROUND_TIMEOUT),
            deadline,
        });
        self.broadcast(&Message::Prepare { ballot }, effects);
        self.handle_prepare(self.id, ballot, effects);
    }

    /// Proposes a document once a majority has promised.
    pub(super) fn handle_promise(
        &mut self,
        from: ReplicaId,
        ballot: Ballot,
        accepted: Option<AcceptedValue>,
        effects: &mut Vec<Effect>,
    ) {
        let replica_count = self.replica_count;
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        if proposal.ballot != ballot || proposal.phase != Phase::Preparing {
            return;
        }
        proposal.responders.insert(from);
        if !is_active(Mutation::IgnoreAcceptedValue) {
            let before = proposal.highest_accepted.take();
            let values = before.into_iter().chain(accepted);
            proposal.highest_accepted = values.max_by_key(|value| value.ballot);
        }
        if !is_majority(proposal.responders, replica_count) {
            return;
        }
        let current = match &proposal.highest_accepted {
            Some(value) => value.document.clone(),
            None if is_active(Mutation::IgnoreAcceptedValue) => self.persistent.committed.clone(),
            None => Rc::default(),
        };
        let Choice { document, outcome } = choose(&proposal.operation, current);
        proposal.responders = ReplicaSet::default();
        proposal.phase = Phase::Accepting {
            document: document.clone(),
            outcome,
        };
        let message = Message::Accept {
            ballot,
            document: document.clone(),
        };
        self.broadcast(&message, effects);
        self.handle_accept(self.id, ballot, document, effects);
    }

    /// Commits the proposed document once a majority has accepted it.
    pub(super) fn handle_accepted(
        &mut self,
        from: ReplicaId,
        ballot: Ballot,
        effects: &mut Vec<Effect>,
    ) {
        let replica_count = self.replica_count;
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        let Phase::Accepting { document, outcome } = &proposal.phase else {
            return;
        };
        if proposal.ballot != ballot {
            return;
        }
        proposal.responders.insert(from);
        if !is_majority(proposal.responders, replica_count) {
            return;
        }
        let (document, outcome) = (document.clone(), outcome.clone());
        let is_put = proposal.operation.is_put();
        self.proposal = None;
        let id = document.id();
        self.commit(document, effects);
        self.broadcast(&Message::Chosen(id), effects);
        if is_put {
            effects.push(Effect::Completed(outcome));
        }
    }
}

fn is_majority(responders: ReplicaSet, replica_count: u8) -> bool {
    let half = u32::from(replica_count) / 2;
    if is_active(Mutation::MiscountMajority) {
        responders.len() >= half
    } else {
        responders.len() > half
    }
}

/// Applies an operation to the current document, the newest one known to a majority.
fn choose(operation: &Operation, current: Rc<Document>) -> Choice {
    let version = current.version;
    match operation {
        Operation::Resolve => Choice {
            document: current,
            outcome: Outcome::Unknown,
        },
        // The proposed document itself, which some acceptors accepted in an earlier round.
        Operation::Put { based_on, text } if version == based_on + 1 && current.text == **text => {
            Choice {
                document: current,
                outcome: Outcome::Accepted { version },
            }
        }
        Operation::Put { based_on, text }
            if version == *based_on || is_active(Mutation::ReuseVersion) =>
        {
            let version = based_on + 1;
            let text = text.to_string();
            Choice {
                document: Rc::new(Document { version, text }),
                outcome: Outcome::Accepted { version },
            }
        }
        Operation::Put { based_on, .. } => Choice {
            document: current,
            outcome: Outcome::Conflict {
                based_on: *based_on,
                current: version,
            },
        },
    }
}
