//! The values that replicas store, exchange and answer with.
use rosewall::types::Nanos;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The longest document, in bytes: a thousand times what the largest known settings take.
pub const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;

/// A replica's place in the list of replicas.
pub type ReplicaId = u8;

/// SHA-256 of a document's version and text.
pub type Digest = [u8; 32];

/// The settings of a fleet as they were submitted, with their version; version 0 is none yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Document {
    /// Its version.
    pub version: u64,
    /// The submitted text.
    pub text: String,
}

impl Document {
    /// The digest of version and text.
    pub fn digest(&self) -> Digest {
        use sha2::Digest as _;
        let mut hasher = sha2::Sha256::new();
        hasher.update(self.version.to_be_bytes());
        hasher.update(self.text.as_bytes());
        hasher.finalize().into()
    }

    /// What identifies it.
    pub fn id(&self) -> DocumentId {
        DocumentId {
            version: self.version,
            digest: self.digest(),
        }
    }
}

/// Identifies a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DocumentId {
    /// Its version.
    pub version: u64,
    /// Its digest.
    pub digest: Digest,
}

/// A ballot; no two replicas ever begin the same, and all are in one order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// The round.
    pub round: u64,
    /// The proposer.
    #[serde(rename = "by")]
    pub replica: ReplicaId,
}

/// A document that an acceptor has accepted, and under which ballot.
/// It is stored as a pair.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(Ballot, Rc<Document>)", into = "(Ballot, Rc<Document>)")]
pub struct AcceptedValue {
    /// The ballot.
    pub ballot: Ballot,
    /// The document.
    pub document: Rc<Document>,
}

impl From<(Ballot, Rc<Document>)> for AcceptedValue {
    fn from((ballot, document): (Ballot, Rc<Document>)) -> Self {
        AcceptedValue { ballot, document }
    }
}

impl From<AcceptedValue> for (Ballot, Rc<Document>) {
    fn from(accepted: AcceptedValue) -> Self {
        (accepted.ballot, accepted.document)
    }
}

/// What a replica has on its disk, complete at each moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PersistentState {
    /// No lower ballot is accepted any more.
    pub promised: Ballot,
    /// The document that was accepted last.
    pub accepted: Option<AcceptedValue>,
    /// The newest document that is known to be chosen; the replica applies it.
    #[serde(rename = "in_force")]
    pub committed: Rc<Document>,
}

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    /// Paxos' phase 1a.
    Prepare {
        /// The proposer's ballot.
        ballot: Ballot,
    },
    /// Phase 1b.
    Promise {
        /// That of the Prepare.
        ballot: Ballot,
        /// What the acceptor has accepted before.
        accepted: Option<AcceptedValue>,
    },
    /// Answers a Prepare or an Accept below a promise.
    Preempted {
        /// That of the message.
        ballot: Ballot,
        /// The acceptor's promise.
        promised: Ballot,
    },
    /// Phase 2a.
    Accept {
        /// The proposer's ballot.
        ballot: Ballot,
        /// The proposed document.
        document: Rc<Document>,
    },
    /// Phase 2b.
    Accepted {
        /// That of the Accept.
        ballot: Ballot,
    },
    /// The document is chosen; a replica that lacks it fetches it.
    Chosen(DocumentId),
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It was chosen, and will be applied by all replicas.
    Accepted {
        /// The version that it has.
        version: u64,
    },
    /// Another change was chosen in between.
    Conflict {
        /// The version that the change is based on.
        based_on: u64,
        /// The version that is chosen.
        current: u64,
    },
    /// Too few replicas answered: it may or may not have been accepted.
    Unknown,
    /// Another change is in progress at this replica.
    Busy,
    /// The document is longer than [`MAX_DOCUMENT_BYTES`].
    TooLarge {
        /// Its length.
        bytes: usize,
    },
}

/// Something that the driver of a replica is to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Send a message.
    Send {
        /// To whom.
        to: ReplicaId,
        /// The message.
        message: Message,
    },
    /// Write the state to a temporary file, sync and rename it, then report the result of the write with the serial.
    Persist {
        /// The number of the write.
        serial: u64,
        /// The state.
        state: PersistentState,
    },
    /// The change that was proposed at this replica has ended.
    Completed(Outcome),
    /// Apply this document, which is on the disk.
    Committed(Rc<Document>),
    /// Fetch a document that was chosen and that this replica lacks.
    Fetch(DocumentId),
}

/// What follows a write, once the disk has it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum AfterPersist {
    Reply { to: ReplicaId, message: Message },
    Commit(Rc<Document>),
}

/// A write whose result is not known yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingWrite {
    pub serial: u64,
    pub after: AfterPersist,
}

/// A set of replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ReplicaSet(u8);

impl ReplicaSet {
    pub fn insert(&mut self, replica: ReplicaId) {
        self.0 |= 1 << replica;
    }

    pub fn len(self) -> u32 {
        self.0.count_ones()
    }
}

/// What a proposer does with the register.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Operation {
    /// Replaces the document of this version.
    Put { based_on: u64, text: Rc<str> },
    /// Only finds out what is chosen.
    Resolve,
}

impl Operation {
    pub fn is_put(&self) -> bool {
        matches!(self, Operation::Put { .. })
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Phase {
    Preparing,
    /// With the proposed document, and how the change ends once that is chosen.
    Accepting {
        document: Rc<Document>,
        outcome: Outcome,
    },
}

/// The current round of this replica as proposer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Proposal {
    pub operation: Operation,
    pub ballot: Ballot,
    pub phase: Phase,
    /// Who has answered in this phase.
    pub responders: ReplicaSet,
    /// Of what the responders have accepted before, that with the highest ballot.
    pub highest_accepted: Option<AcceptedValue>,
    /// When a round with a higher ballot begins.
    pub retry_at: Nanos,
    /// When the change is abandoned.
    pub deadline: Nanos,
}
