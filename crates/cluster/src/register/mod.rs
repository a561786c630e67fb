//! The fleet's settings as one register that the keepers hold, each on its disk: CASPaxos (Rystsov 2018), Paxos (Lamport 1998) on
//! one value that is changed by a function of the one before. A change names the version that it is based on and gives the next
//! one, or is refused. What more than half of the keepers hold under one ballot is chosen: it outlives any minority of them and a
//! restart of all, and no other document ever has its version.
//! Nothing is answered before the disk has what the answer rests on: the machine says `Store`, is told `stored`, and only
//! then sends. It is fed messages and moments; paging documents and opening files are its caller's.
use rosewall::mutation::{Mutation, is_active};
use rosewall::pcg::Pcg;
use rosewall::types::Nanos;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

const MS: Nanos = 1_000_000;
/// A round that has not come to its end is begun anew after this and up to as much again: several ways there and back between
/// far regions, and two disks, so that two who put at once do not overtake each other for ever.
const ROUND_TIMEOUT: Nanos = 400 * MS;
/// A change that has found no majority by then is given up on: whether it was accepted is not known, and is asked for.
const PROPOSAL_TIMEOUT: Nanos = 10_000 * MS;
/// A keeper that holds what it does not know to be chosen asks after this and up to as much again.
const SETTLE_DELAY: Nanos = 1_000 * MS;
/// The most bytes of a document: a thousand times what the largest known settings take.
pub const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;

/// A keeper's place in the list of keepers.
pub type ReplicaId = u8;

/// SHA-256 of a document's version and text.
pub type Digest = [u8; 32];

/// The settings of a fleet, as they were handed in, under their number; 0 is none yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Document {
    pub version: u64,
    pub text: String,
}

impl Document {
    pub fn digest(&self) -> Digest {
        use sha2::Digest as _;
        let mut sum = sha2::Sha256::new();
        sum.update(self.version.to_be_bytes());
        sum.update(self.text.as_bytes());
        sum.finalize().into()
    }
}

/// Rounds in one order: no two keepers ever begin the same.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    pub round: u64,
    pub by: ReplicaId,
}

/// What a keeper has on its disk, whole, at each moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PersistentState {
    /// No ballot below this is taken any more.
    pub promised: Ballot,
    pub accepted: Option<(Ballot, Rc<Document>)>,
    /// The newest that is known to be chosen: by this one acts.
    #[serde(rename = "in_force")]
    pub committed: Rc<Document>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    Prepare {
        ballot: Ballot,
    },
    Promise {
        ballot: Ballot,
        accepted: Option<(Ballot, Rc<Document>)>,
    },
    /// A higher ballot was promised.
    Preempted {
        ballot: Ballot,
        by: Ballot,
    },
    Accept {
        ballot: Ballot,
        document: Rc<Document>,
    },
    Accepted {
        ballot: Ballot,
    },
    /// Chosen; whoever has not this document fetches it.
    Chosen {
        version: u64,
        digest: Digest,
    },
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It has this version, and will be taken up everywhere.
    Accepted {
        version: u64,
    },
    /// Another came between.
    Conflict {
        based_on: u64,
        now: u64,
    },
    /// Too few keepers answered: it may or may not have been accepted.
    Unknown,
    /// One at a time is carried.
    Busy,
    TooLarge {
        bytes: usize,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    Send {
        to: ReplicaId,
        message: Message,
    },
    /// To be written beside, synced and renamed; then `stored` is called with the serial.
    Store {
        serial: u64,
        record: PersistentState,
    },
    /// The change that was put has ended.
    Completed(Outcome),
    /// This keeper acts by this document, which is on its disk.
    Committed(Rc<Document>),
    /// A newer one was chosen, and this keeper has not got it.
    Fetch {
        version: u64,
        digest: Digest,
    },
}

/// What is to be done with the register.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Change {
    Put {
        based_on: u64,
        text: Rc<str>,
    },
    /// Only finds out what is chosen.
    Settle,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Preparing,
    /// The document that is proposed, and how the change ends once that is chosen.
    Accepting {
        document: Rc<Document>,
        outcome: Outcome,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proposal {
    change: Change,
    ballot: Ballot,
    phase: Phase,
    /// Who has answered in this phase, a bit each.
    responders: u8,
    highest_accepted: Option<(Ballot, Rc<Document>)>,
    retry_at: Nanos,
    deadline: Nanos,
}

/// What follows once the disk has what it rests on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum AfterPersist {
    Reply(ReplicaId, Message),
    Commit(Rc<Document>),
}

#[derive(Clone, Debug)]
pub struct Register {
    id: ReplicaId,
    replica_count: u8,
    /// What the disk has once all that was said to be stored is.
    stored: PersistentState,
    applied: Rc<Document>,
    proposal: Option<Proposal>,
    /// The highest round seen anywhere.
    round: u64,
    serial: u64,
    /// What waits for the disk to have this serial or a later one.
    waiting: Vec<(u64, AfterPersist)>,
    settle_at: Nanos,
    rng: Pcg,
    /// Writes that failed; messages that made no sense.
    pub failed_writes: u64,
    pub malformed: u64,
}

#[cfg(test)]
impl Register {
    /// All that what it does next follows from, but for chance.
    pub fn state(&self) -> impl std::hash::Hash + use<> {
        let proposal = self.proposal.clone().map(|proposal| Proposal {
            retry_at: 0,
            deadline: 0,
            ..proposal
        });
        let (stored, applied, waiting) = (
            self.stored.clone(),
            self.applied.clone(),
            self.waiting.clone(),
        );
        (stored, applied, proposal, self.round, waiting)
    }
}

impl Register {
    /// A keeper as it starts, with what its disk held.
    pub fn new(
        id: ReplicaId,
        replica_count: u8,
        stored: PersistentState,
        now: Nanos,
        seed: u64,
    ) -> Self {
        let mut stored = stored;
        if is_active(Mutation::RegressAfterRestart) {
            stored.committed = Rc::default();
        }
        if is_active(Mutation::ForgetBallotPromise) {
            stored.promised = Ballot::default();
        }
        let round = stored.promised.round;
        let (proposal, waiting, rng) = (None, Vec::new(), Pcg::new(seed));
        let applied = stored.committed.clone();
        let mut new = Register {
            id,
            replica_count,
            stored,
            applied,
            proposal,
            round,
            serial: 0,
            waiting,
            settle_at: now,
            rng,
            failed_writes: 0,
            malformed: 0,
        };
        new.settle_at = new.jittered(now, SETTLE_DELAY);
        new
    }

    /// By which document this keeper acts: it is on its disk.
    pub fn committed(&self) -> &Rc<Document> {
        &self.applied
    }

    /// A document that it has, by its number and digest, for whoever fetches it.
    pub fn document(&self, version: u64, digest: &Digest) -> Option<&Rc<Document>> {
        let held = self.stored.accepted.iter().map(|(_, document)| document);
        let mut all = held.chain([&self.stored.committed]);
        all.find(|document| document.version == version && document.digest() == *digest)
    }

    fn jittered(&mut self, now: Nanos, span: Nanos) -> Nanos {
        now + span + (self.rng.unit() * span as f64) as Nanos
    }

    /// Whether it holds what it does not know to be chosen.
    fn has_unconfirmed(&self) -> bool {
        self.stored
            .accepted
            .as_ref()
            .is_some_and(|(_, document)| document.version > self.stored.committed.version)
    }

    pub fn next_timeout(&self) -> Option<Nanos> {
        let settles = (self.proposal.is_none() && self.has_unconfirmed()).then_some(self.settle_at);
        self.proposal
            .as_ref()
            .map(|proposal| proposal.retry_at)
            .into_iter()
            .chain(settles)
            .min()
    }

    pub fn handle_timeout(&mut self, now: Nanos, effects: &mut Vec<Effect>) {
        match &self.proposal {
            Some(proposal) if now >= proposal.deadline => {
                let proposal = self.proposal.take();
                if matches!(
                    proposal,
                    Some(Proposal {
                        change: Change::Put { .. },
                        ..
                    })
                ) {
                    effects.push(Effect::Completed(Outcome::Unknown));
                }
            }
            Some(proposal) if now >= proposal.retry_at => {
                let (change, deadline) = (proposal.change.clone(), proposal.deadline);
                self.start_round(now, change, deadline, effects);
            }
            None if self.has_unconfirmed() && now >= self.settle_at => {
                self.settle_at = self.jittered(now, SETTLE_DELAY);
                self.start_round(now, Change::Settle, now + PROPOSAL_TIMEOUT, effects);
            }
            _ => {}
        }
    }

    /// A change is handed in at this keeper.
    pub fn propose(&mut self, now: Nanos, based_on: u64, text: &str, effects: &mut Vec<Effect>) {
        let propose = matches!(
            self.proposal,
            Some(Proposal {
                change: Change::Put { .. },
                ..
            })
        );
        if propose || text.len() > MAX_DOCUMENT_BYTES {
            let outcome = if propose {
                Outcome::Busy
            } else {
                Outcome::TooLarge { bytes: text.len() }
            };
            effects.push(Effect::Completed(outcome));
            return;
        }
        self.start_round(
            now,
            Change::Put {
                based_on,
                text: text.into(),
            },
            now + PROPOSAL_TIMEOUT,
            effects,
        );
    }

    fn start_round(
        &mut self,
        now: Nanos,
        change: Change,
        deadline: Nanos,
        effects: &mut Vec<Effect>,
    ) {
        self.round += 1;
        let ballot = Ballot {
            round: self.round,
            by: self.id,
        };
        let retry_at = self.jittered(now, ROUND_TIMEOUT);
        let (phase, highest_accepted) = (Phase::Preparing, None);
        self.proposal = Some(Proposal {
            change,
            ballot,
            phase,
            responders: 0,
            highest_accepted,
            retry_at,
            deadline,
        });
        self.send_all(&Message::Prepare { ballot }, effects);
        self.prepare(self.id, ballot, effects);
    }

    fn send_all(&self, message: &Message, effects: &mut Vec<Effect>) {
        let others = (0..self.replica_count).filter(|to| *to != self.id);
        effects.extend(others.map(|to| Effect::Send {
            to,
            message: message.clone(),
        }));
    }

    /// Has the disk take what is held now; the rest follows it.
    fn store(&mut self, after: AfterPersist, effects: &mut Vec<Effect>) {
        self.serial += 1;
        effects.push(Effect::Store {
            serial: self.serial,
            record: self.stored.clone(),
        });
        self.waiting.push((self.serial, after));
        if is_active(Mutation::ReplyBeforePersist) {
            self.run_persisted(0, self.serial, effects);
        }
    }

    /// The disk has this record, or could not take it. Then nothing is answered, and what was to be acted by is not: whoever
    /// asked tries another, or again.
    pub fn handle_persisted(
        &mut self,
        now: Nanos,
        serial: u64,
        succeeded: bool,
        effects: &mut Vec<Effect>,
    ) {
        if succeeded {
            return self.run_persisted(now, serial, effects);
        }
        self.failed_writes += 1;
        self.waiting
            .retain(|(serial_needed, _)| *serial_needed != serial);
        let commits = |(_, after): &(u64, AfterPersist)| matches!(after, AfterPersist::Commit(_));
        if !self.waiting.iter().any(commits) {
            self.stored.committed = self.applied.clone();
        }
    }

    fn run_persisted(&mut self, now: Nanos, serial: u64, effects: &mut Vec<Effect>) {
        let ready: Vec<(u64, AfterPersist)> = self
            .waiting
            .extract_if(.., |(serial_needed, _)| *serial_needed <= serial)
            .collect();
        for (_, after) in ready {
            match after {
                AfterPersist::Reply(to, message) if to == self.id => {
                    self.handle_message(now, to, message, effects)
                }
                AfterPersist::Reply(to, message) => effects.push(Effect::Send { to, message }),
                AfterPersist::Commit(document) => {
                    self.applied = document.clone();
                    effects.push(Effect::Committed(document));
                }
            }
        }
    }

    fn prepare(&mut self, from: ReplicaId, ballot: Ballot, effects: &mut Vec<Effect>) {
        if ballot <= self.stored.promised {
            return self.reject_ballot(from, ballot, effects);
        }
        self.stored.promised = ballot;
        let accepted = self.stored.accepted.clone();
        self.store(
            AfterPersist::Reply(from, Message::Promise { ballot, accepted }),
            effects,
        );
    }

    fn accept(
        &mut self,
        from: ReplicaId,
        ballot: Ballot,
        document: Rc<Document>,
        effects: &mut Vec<Effect>,
    ) {
        if ballot < self.stored.promised && !is_active(Mutation::AcceptBelowPromise) {
            return self.reject_ballot(from, ballot, effects);
        }
        self.stored.promised = self.stored.promised.max(ballot);
        self.stored.accepted = Some((ballot, document));
        self.store(
            AfterPersist::Reply(from, Message::Accepted { ballot }),
            effects,
        );
    }

    fn reject_ballot(&self, to: ReplicaId, ballot: Ballot, effects: &mut Vec<Effect>) {
        let by = self.stored.promised;
        if to != self.id {
            effects.push(Effect::Send {
                to,
                message: Message::Preempted { ballot, by },
            });
        }
    }

    /// One message from a keeper.
    pub fn handle_message(
        &mut self,
        now: Nanos,
        from: ReplicaId,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        if from >= self.replica_count {
            self.malformed += 1;
            return;
        }
        match message {
            Message::Prepare { ballot } | Message::Accept { ballot, .. } if ballot.by != from => {
                self.malformed += 1
            }
            Message::Accept { document, .. } if document.text.len() > MAX_DOCUMENT_BYTES => {
                self.malformed += 1
            }
            Message::Prepare { ballot } => {
                self.round = self.round.max(ballot.round);
                self.prepare(from, ballot, effects);
            }
            Message::Accept { ballot, document } => {
                self.round = self.round.max(ballot.round);
                self.settle_at = self.jittered(now, SETTLE_DELAY);
                self.accept(from, ballot, document, effects);
            }
            // The next round goes above it.
            Message::Preempted { by, .. } => self.round = self.round.max(by.round),
            Message::Promise { ballot, accepted } => self.promised(from, ballot, accepted, effects),
            Message::Accepted { ballot } => self.accepted(from, ballot, effects),
            Message::Chosen { version, digest } => self.chosen(version, digest, effects),
        }
    }

    fn is_majority(&self, responders: u8) -> bool {
        let most = u32::from(self.replica_count) / 2;
        if is_active(Mutation::MiscountMajority) {
            responders.count_ones() >= most
        } else {
            responders.count_ones() > most
        }
    }

    fn promised(
        &mut self,
        from: ReplicaId,
        ballot: Ballot,
        accepted: Option<(Ballot, Rc<Document>)>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(proposal) = self
            .proposal
            .as_mut()
            .filter(|p| p.ballot == ballot && p.phase == Phase::Preparing)
        else {
            return;
        };
        proposal.responders |= 1 << from;
        if !is_active(Mutation::IgnoreAcceptedValue) {
            let highest_accepted = proposal.highest_accepted.take().into_iter().chain(accepted);
            proposal.highest_accepted = highest_accepted.max_by_key(|(ballot, _)| *ballot);
        }
        let responders = proposal.responders;
        if !self.is_majority(responders) {
            return;
        }
        let Some(proposal) = &mut self.proposal else {
            return;
        };
        let before = proposal
            .highest_accepted
            .as_ref()
            .map(|(_, document)| document.clone());
        let before = before.unwrap_or_else(|| {
            if is_active(Mutation::IgnoreAcceptedValue) {
                self.stored.committed.clone()
            } else {
                Rc::default()
            }
        });
        let (document, outcome) = match &proposal.change {
            Change::Settle => (before, Outcome::Unknown),
            // Its own, which an earlier round left with some: it stands.
            Change::Put { based_on, text }
                if before.version == *based_on + 1 && before.text == **text =>
            {
                let version = before.version;
                (before, Outcome::Accepted { version })
            }
            Change::Put { based_on, text }
                if before.version == *based_on || is_active(Mutation::ReuseVersion) =>
            {
                let version = based_on + 1;
                (
                    Rc::new(Document {
                        version,
                        text: text.to_string(),
                    }),
                    Outcome::Accepted { version },
                )
            }
            Change::Put { based_on, .. } => {
                let outcome = Outcome::Conflict {
                    based_on: *based_on,
                    now: before.version,
                };
                (before, outcome)
            }
        };
        (proposal.responders, proposal.phase) = (
            0,
            Phase::Accepting {
                document: document.clone(),
                outcome,
            },
        );
        self.send_all(
            &Message::Accept {
                ballot,
                document: document.clone(),
            },
            effects,
        );
        self.accept(self.id, ballot, document, effects);
    }

    fn accepted(&mut self, from: ReplicaId, ballot: Ballot, effects: &mut Vec<Effect>) {
        let Some(proposal) = self
            .proposal
            .as_mut()
            .filter(|proposal| proposal.ballot == ballot)
        else {
            return;
        };
        if !matches!(proposal.phase, Phase::Accepting { .. }) {
            return;
        }
        proposal.responders |= 1 << from;
        let responders = proposal.responders;
        if !self.is_majority(responders) {
            return;
        }
        let Some(Proposal {
            change,
            phase: Phase::Accepting { document, outcome },
            ..
        }) = self.proposal.take()
        else {
            return;
        };
        self.commit(document.clone(), effects);
        let (version, digest) = (document.version, document.digest());
        self.send_all(&Message::Chosen { version, digest }, effects);
        if matches!(change, Change::Put { .. }) {
            effects.push(Effect::Completed(outcome));
        }
    }

    /// Another says that this was chosen.
    fn chosen(&mut self, version: u64, digest: Digest, effects: &mut Vec<Effect>) {
        if version <= self.stored.committed.version {
            return;
        }
        let held = self
            .stored
            .accepted
            .as_ref()
            .map(|(_, document)| document.clone());
        let same = |document: &Rc<Document>| {
            document.version == version
                && (document.digest() == digest || is_active(Mutation::SkipDigestCheck))
        };
        match held.filter(same) {
            Some(document) => self.commit(document, effects),
            None => effects.push(Effect::Fetch { version, digest }),
        }
    }

    /// A document that was fetched because it was chosen; false where it is not that one.
    pub fn fetched(
        &mut self,
        wanted: (u64, Digest),
        document: Document,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let whole = (document.version, document.digest()) == wanted;
        if !whole && !is_active(Mutation::ApplyPartialDocument) {
            self.malformed += 1;
            return false;
        }
        self.commit(Rc::new(document), effects);
        true
    }

    /// Acts by a document from here on, unless it has a newer one: never goes back.
    fn commit(&mut self, document: Rc<Document>, effects: &mut Vec<Effect>) {
        if document.version <= self.stored.committed.version
            && !is_active(Mutation::ApplyOlderDocument)
        {
            return;
        }
        self.stored.committed = document.clone();
        self.store(AfterPersist::Commit(document), effects);
    }
}

#[cfg(test)]
mod tests;
