//! The fleet's settings as one replicated register: CASPaxos (Rystsov 2018), which is Paxos (Lamport 1998) on one value that is
//! changed by a function of the value before.
//!
//! A change names the version that it is based on; it gets the next version or is refused. What more than half of the replicas
//! accept under one ballot is chosen: it outlives any minority of them and a restart of all, and no other document ever has its
//! version.
//!
//! Nothing is answered before the disk has what the answer rests on: the machine asks for a write with [`Effect::Persist`], is
//! notified of its result, and only then replies. It is fed messages and timeouts; transferring documents and writing files is up
//! to its driver.
//!
//! - `types`: ballots, documents, messages, effects
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

/// A replica that has accepted what it does not know to be chosen finds out after this and up to as much again.
const RESOLVE_DELAY: Nanos = 1_000 * MILLISECOND;

/// One replica: proposer, acceptor and learner.
#[derive(Clone, Debug)]
pub struct Register {
    id: ReplicaId,
    replica_count: u8,
    /// What the disk has once all pending writes have succeeded.
    persistent: PersistentState,
    /// The document that this replica applies; it is on the disk.
    applied: Rc<Document>,
    proposal: Option<Proposal>,
    /// The highest round seen anywhere.
    highest_round: u64,
    last_serial: u64,
    pending_writes: Vec<PendingWrite>,
    resolve_at: Nanos,
    rng: Pcg,
    /// How many writes failed.
    pub failed_writes: u64,
    /// How many messages and documents were dropped as malformed.
    pub malformed: u64,
}

impl Register {
    /// A replica that starts now with what its disk has.
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

    /// The document that this replica applies.
    pub fn committed(&self) -> &Rc<Document> {
        &self.applied
    }

    /// A document that this replica has, for one that fetches it.
    pub fn document(&self, id: &DocumentId) -> Option<&Rc<Document>> {
        let accepted = self.persistent.accepted.iter().map(|value| &value.document);
        accepted
            .chain([&self.persistent.committed])
            .find(|document| document.version == id.version && document.digest() == id.digest)
    }

    /// When [`Register::handle_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Option<Nanos> {
        match &self.proposal {
            Some(proposal) => Some(proposal.retry_at),
            None => self.has_unconfirmed().then_some(self.resolve_at),
        }
    }

    /// Handles a message of another replica.
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
            // The next round is above it.
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

    /// Whether it has accepted a document that it does not know to be chosen.
    fn has_unconfirmed(&self) -> bool {
        let accepted = self.persistent.accepted.as_ref();
        accepted.is_some_and(|value| value.document.version > self.persistent.committed.version)
    }

    /// A random moment from one to two spans after now, so that two proposers do not preempt each other for ever.
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

/// Whether a message uses another proposer's ballot, or carries a document that is too long.
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
