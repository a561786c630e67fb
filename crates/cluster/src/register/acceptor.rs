//! The acceptor: promises and accepted values, each persisted before the answer is sent.
use super::types::{AfterPersist, PendingWrite};
use super::{AcceptedValue, Ballot, Document, Effect, Message, Register, ReplicaId};
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::Nanos;
use std::rc::Rc;

impl Register {
    /// Handles the result of a write.
    ///
    /// After a failed write nothing is answered and nothing is applied; the proposer needs other
    /// replicas or a later round.
    pub fn handle_write_result(
        &mut self,
        now: Nanos,
        serial: u64,
        succeeded: bool,
        effects: &mut Vec<Effect>,
    ) {
        if succeeded {
            return self.handle_persisted(now, serial, effects);
        }
        self.failed_writes += 1;
        self.pending_writes.retain(|write| write.serial != serial);
        let commits = |write: &PendingWrite| matches!(write.after, AfterPersist::Commit(_));
        if !self.pending_writes.iter().any(commits) {
            self.persistent.committed = self.applied.clone();
        }
    }

    pub(super) fn handle_prepare(
        &mut self,
        from: ReplicaId,
        ballot: Ballot,
        effects: &mut Vec<Effect>,
    ) {
        if ballot <= self.persistent.promised {
            return self.preempt(from, ballot, effects);
        }
        self.persistent.promised = ballot;
        let accepted = self.persistent.accepted.clone();
        self.persist_and_reply(from, Message::Promise { ballot, accepted }, effects);
    }

    pub(super) fn handle_accept(
        &mut self,
        from: ReplicaId,
        ballot: Ballot,
        document: Rc<Document>,
        effects: &mut Vec<Effect>,
    ) {
        if ballot < self.persistent.promised && !is_active(Mutation::AcceptBelowPromise) {
            return self.preempt(from, ballot, effects);
        }
        self.persistent.promised = self.persistent.promised.max(ballot);
        self.persistent.accepted = Some(AcceptedValue { ballot, document });
        self.persist_and_reply(from, Message::Accepted { ballot }, effects);
    }

    /// Requests a write of the current state; `after` is executed once it has succeeded.
    pub(super) fn persist(&mut self, after: AfterPersist, effects: &mut Vec<Effect>) {
        self.last_serial += 1;
        let serial = self.last_serial;
        effects.push(Effect::Persist {
            serial,
            state: self.persistent.clone(),
        });
        self.pending_writes.push(PendingWrite { serial, after });
        if is_active(Mutation::ReplyBeforePersist) {
            self.handle_persisted(0, serial, effects);
        }
    }

    fn persist_and_reply(&mut self, to: ReplicaId, message: Message, effects: &mut Vec<Effect>) {
        self.persist(AfterPersist::Reply { to, message }, effects);
    }

    fn handle_persisted(&mut self, now: Nanos, serial: u64, effects: &mut Vec<Effect>) {
        // A write contains the whole state, so it includes the earlier ones.
        let completed: Vec<PendingWrite> = self
            .pending_writes
            .extract_if(.., |write| write.serial <= serial)
            .collect();
        for write in completed {
            match write.after {
                AfterPersist::Reply { to, message } if to == self.id => {
                    self.handle_message(now, to, message, effects);
                }
                AfterPersist::Reply { to, message } => effects.push(Effect::Send { to, message }),
                AfterPersist::Commit(document) => {
                    self.applied = document.clone();
                    effects.push(Effect::Committed(document));
                }
            }
        }
    }

    fn preempt(&self, to: ReplicaId, ballot: Ballot, effects: &mut Vec<Effect>) {
        if to != self.id {
            let promised = self.persistent.promised;
            let message = Message::Preempted { ballot, promised };
            effects.push(Effect::Send { to, message });
        }
    }
}
