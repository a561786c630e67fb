//! Values that replicas store and exchange, and the results that they return.
use rosewall::types::Nanos;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The maximum length of a document's text, in bytes: a thousand times the largest known settings.
pub const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;

/// The index of a replica in the list of replicas.
pub type ReplicaId = u8;

/// The SHA-256 hash of a document's version and text.
pub type Digest = [u8; 32];

/// The settings of a fleet as submitted, with their version. Version 0 is the initial empty document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Document {
    /// The version, incremented by 1 with each accepted change.
    pub version: u64,
    /// The text as submitted.
    pub text: String,
}

impl Document {
    /// Returns the digest of version and text.
    pub fn digest(&self) -> Digest {
        use sha2::Digest as _;
        let mut hasher = sha2::Sha256::new();
        hasher.update(self.version.to_be_bytes());
        hasher.update(self.text.as_bytes());
        hasher.finalize().into()
    }

    /// Returns the identifier of this document.
    pub fn id(&self) -> DocumentId {
        DocumentId {
            version: self.version,
            digest: self.digest(),
        }
    }
}

/// Identifies a document by version and content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DocumentId {
    /// The version of the document.
    pub version: u64,
    /// The digest of the document.
    pub digest: Digest,
}

/// A ballot. Ballots of different replicas differ, and all ballots are totally ordered.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// The round, which orders ballots first.
    pub round: u64,
    /// The proposer, which orders ballots of the same round.
    #[serde(rename = "by")]
    pub replica: ReplicaId,
}

/// A document that an acceptor has accepted, with the ballot of its acceptance.
///
/// The serialized form is a pair.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(Ballot, Rc<Document>)", into = "(Ballot, Rc<Document>)")]
pub struct AcceptedValue {
    /// The ballot under which the document was accepted.
    pub ballot: Ballot,
    /// The accepted document.
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

/// The state that a replica persists. It is replaced atomically, so the disk always has a complete one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PersistentState {
    /// The highest promised ballot; lower ballots are not accepted.
    pub promised: Ballot,
    /// The last accepted document, if any.
    pub accepted: Option<AcceptedValue>,
    /// The newest document known to be chosen, which the replica applies.
    #[serde(rename = "in_force")]
    pub committed: Rc<Document>,
}

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    /// Phase 1a of Paxos: requests a promise.
    Prepare {
        /// The proposer's ballot.
        ballot: Ballot,
    },
    /// Phase 1b of Paxos: promises to accept no lower ballot.
    Promise {
        /// The ballot of the Prepare.
        ballot: Ballot,
        /// The last document that the acceptor accepted, if any.
        accepted: Option<AcceptedValue>,
    },
    /// Rejects a Prepare or an Accept whose ballot is too low for the acceptor's promise.
    Preempted {
        /// The ballot of the rejected message.
        ballot: Ballot,
        /// The ballot that the acceptor has promised.
        promised: Ballot,
    },
    /// Phase 2a of Paxos: proposes a document.
    Accept {
        /// The proposer's ballot.
        ballot: Ballot,
        /// The proposed document.
        document: Rc<Document>,
    },
    /// Phase 2b of Paxos: accepts the proposed document.
    Accepted {
        /// The ballot of the Accept.
        ballot: Ballot,
    },
    /// Announces that the document is chosen; a replica that lacks it fetches it.
    Chosen(DocumentId),
}

/// The result of a proposed change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The change was chosen and will be applied by all replicas.
    Accepted {
        /// The version of the new document.
        version: u64,
    },
    /// The change was refused, since it is not based on the current version.
    Conflict {
        /// The version that the change is based on.
        based_on: u64,
        /// The version that is currently chosen.
        current: u64,
    },
    /// Too few replicas answered in time: the change may or may not be chosen.
    Unknown,
    /// Another change is in progress at this replica.
    Busy,
    /// The document is longer than [`MAX_DOCUMENT_BYTES`].
    TooLarge {
        /// The length of the document, in bytes.
        bytes: usize,
    },
}

/// An action for the driver of a replica to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Send a message.
    Send {
        /// The receiver.
        to: ReplicaId,
        /// The message to send.
        message: Message,
    },
    /// Write the state to a temporary file, sync and rename it, then report the result with
    /// [`Register::handle_write_result`](super::Register::handle_write_result).
    Persist {
        /// The number of the write, to be reported with its result.
        serial: u64,
        /// The state to write.
        state: PersistentState,
    },
    /// The change that was proposed at this replica has ended.
    Completed(Outcome),
    /// Apply this document, which is persisted.
    Committed(Rc<Document>),
    /// Fetch a chosen document that this replica lacks from another replica.
    Fetch(DocumentId),
}

/// The action that follows a successful write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum AfterPersist {
    Reply { to: ReplicaId, message: Message },
    Commit(Rc<Document>),
}

/// A write whose result is not yet reported.
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

/// The change that a proposer makes to the register.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Operation {
    /// Replaces the document of the version `based_on`.
    Put { based_on: u64, text: Rc<str> },
    /// Proposes the current document unchanged, which determines whether it is chosen.
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
    /// The document is proposed; `outcome` is the result of the change once it is chosen.
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
    /// The replicas that have answered in this phase.
    pub responders: ReplicaSet,
    /// Of the documents that the responders have accepted, the one with the highest ballot.
    pub highest_accepted: Option<AcceptedValue>,
    /// The time at which a round with a higher ballot starts.
    pub retry_at: Nanos,
    /// The time at which the change is abandoned.
    pub deadline: Nanos,
}
