//! The fleet's settings as one replicated register: CASPaxos (Rystsov 2018), a variant of Paxos
//! (Lamport 1998) on one value in which each change is a function of the previous value.
//!
//! A change names the version that it is based on; it gets the next version or is refused. A document
//! that more than half of the replicas accept under one ballot is chosen: it survives the loss of any
//! minority and a restart of all replicas, and no other document ever has its version.
//!
//! No message is answered before the state that the answer depends on is persisted: the state machine
//! requests a write with [`Effect::Persist`] and replies only after the driver reports its success.
//! Inputs are messages and timeouts; the driver transfers documents and writes files.
//!
//! - `types`: ballots, documents, messages, outcomes, effects
//! - `proposer`: changes, rounds and majorities
//! - `acceptor`: promises, accepted values and writes
//! - `learner`: chosen documents
mod acceptor;
mod learner;
mod proposer;
mod types;

pub use types::{
    AcceptedValue, Ballot, Digest, Document, DocumentId, Effect, MAX_DOCUMENT_BYTES, Message,
    Outcome, PersistentState, ReplicaId,
};

use crate::time::MILLISECOND;
use rosewall::mutation::{Mutation, is_active};
use rosewall::pcg::Pcg;
use rosewall::types::Nanos;
use std::rc::Rc;
use types::{PendingWrite, Proposal};

/// A replica that has accepted a document without learning that it is chosen starts a round to resolve
/// this after this delay plus a random part of up to the same length.
const RESOLVE_DELAY: Nanos = 1_000 * MILLISECOND;

/// The state machine of one replica: proposer, acceptor and learner.
#[derive(Clone, Debug)]
pub struct Register {
    id: ReplicaId,
    replica_count: u8,
    /// The state on disk once all pending writes have succeeded.
    persistent: PersistentState,
    /// The document that this replica applies; it is persisted.
    applied: Rc<Document>,
    proposal: Option<Proposal>,
    /// The highest round in any own or received ballot.
    highest_round: u64,
    last_serial: u64,
    pending_writes: Vec<PendingWrite>,
    resolve_at: Nanos,
    rng: Pcg,
    /// The number of failed writes.
    pub failed_writes: u64,
    /// The number of messages and fetched documents that were dropped as malformed.
    pub malformed: u64,
}

impl Register {
    /// Returns a replica that starts now with the state that it has persisted.
    pub fn new(
        id: ReplicaId,
        replica_count: u8,
        mut persistent: PersistentState,
        now: Nanos,
        seed: u64,
    ) -> Self {
        if is_active(Mutation::RegressAfterRestart) {
            persistent.committed = Rc::default();
        }
        if is_active(Mutation::ForgetBallotPromise) {
            persistent.promised = Ballot::default();
        }
        let mut register = Register {
            id,
            replica_count,
            applied: persistent.committed.clone(),
            highest_round: persistent.promised.round,
            persistent,
            proposal: None,
            last_serial: 0,
            pending_writes: Vec::new(),
            resolve_at: now,
            rng: Pcg::new(seed),
            failed_writes: 0,
            malformed: 0,
        };
        register.resolve_at = register.with_jitter(now, RESOLVE_DELAY);
        register
    }

    /// Returns the document that this replica applies.
    pub fn committed(&self) -> &Rc<Document> {
        &self.applied
    }

    /// Returns the identified document, if this replica has it, for a replica that fetches it.
    pub fn document(&self, id: &DocumentId) -> Option<&Rc<Document>> {
        let accepted = self.persistent.accepted.iter().map(|value| &value.document);
        accepted
            .chain([&self.persistent.committed])
            .find(|document| document.version == id.version && document.digest() == id.digest)
    }

    /// Returns the time at which [`Register::handle_timeout`] is to be called next, if any.
    pub fn next_timeout(&self) -> Option<Nanos> {
        match &self.proposal {
            Some(proposal) => Some(proposal.retry_at),
            None => self.has_unconfirmed().then_some(self.resolve_at),
        }
    }

    /// Handles a message from another replica.
    pub fn handle_message(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        if from >= self.replica_count || is_malformed(from, &message) {
            self.malformed += 1;
            return;
        }
        match message {
            Message::Prepare { ballot } => {
                self.highest_round = self.highest_round.max(ballot.round);
                self.handle_prepare(from, ballot, effects);
            }
            Message::Accept { ballot, document } => {
                self.highest_round = self.highest_round.max(ballot.round);
                self.resolve_at = self.with_jitter(now, RESOLVE_DELAY);
                self.handle_accept(from, ballot, document, effects);
            }
            // The next round of this replica is higher.
            Message::Preempted { promised, .. } => {
                self.highest_round = self.highest_round.max(promised.round);
            }
            Message::Promise { ballot, accepted } => {
                self.handle_promise(from, ballot, accepted, effects);
            }
            Message::Accepted { ballot } => self.handle_accepted(from, ballot, effects),
            Message::Chosen(id) => self.handle_chosen(id, effects),
        }
    }

    /// Whether this replica has accepted a document without learning that it is chosen.
    fn has_unconfirmed(&self) -> bool {
        let accepted = self.persistent.accepted.as_ref();
        accepted.is_some_and(|value| value.document.version > self.persistent.committed.version)
    }

    /// Returns a random time from one to two spans after `now`, so that two proposers do not preempt
    /// each other forever.
    fn with_jitter(&mut self, now: Nanos, span: Nanos) -> Nanos {
        now + span + (self.rng.unit() * span as f64) as Nanos
    }

    fn broadcast(&self, message: &Message, effects: &mut Vec<Effect>) {
        let others = (0..self.replica_count).filter(|to| *to != self.id);
        effects.extend(others.map(|to| Effect::Send {
            to,
            message: message.clone(),
        }));
    }
}

/// Whether a message has another proposer's ballot, or a document above [`MAX_DOCUMENT_BYTES`].
fn is_malformed(from: ReplicaId, message: &Message) -> bool {
    match message {
        Message::Prepare { ballot } => ballot.replica != from,
        Message::Accept { ballot, document } => {
            ballot.replica != from || document.text.len() > MAX_DOCUMENT_BYTES
        }
        _ => false,
    }
}

#[cfg(test)]
mod test_replicas;
#[cfg(test)]
mod tests;
