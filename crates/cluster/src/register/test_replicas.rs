//! Replicas with disks and a network under control of the tests, and the invariants checked at each effect.
use super::types::Proposal;
use super::*;
use std::collections::BTreeMap;
use std::hash::Hash;

impl Register {
    /// Returns the state that determines the next steps, without times and random numbers.
    pub fn state(&self) -> impl Hash + use<> {
        let proposal = self.proposal.clone().map(|proposal| Proposal {
            retry_at: 0,
            deadline: 0,
            ..proposal
        });
        (
            self.persistent.clone(),
            self.applied.clone(),
            proposal,
            self.highest_round,
            self.pending_writes.clone(),
        )
    }
}

#[derive(Clone)]
pub(super) struct Write {
    serial: u64,
    state: PersistentState,
}

#[derive(Clone)]
pub(super) struct TestReplica {
    /// The state machine; `None` while the replica does not run.
    pub register: Option<Register>,
    pub disk: PersistentState,
    /// Pending writes, the oldest first.
    pub writes: Vec<Write>,
    /// The highest version that the replica has applied.
    pub applied_version: u64,
}

#[derive(Clone, PartialEq, Eq, Hash)]
pub(super) struct Envelope {
    pub from: ReplicaId,
    pub to: ReplicaId,
    pub message: Message,
}

/// The time at which a write reaches the disk.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Disks {
    Immediate,
    /// On a call of [`TestReplicas::write`].
    Deferred,
}

/// Whether a message stays in the network after its delivery.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Delivery {
    Once,
    /// The message stays and may be delivered again.
    Repeatable,
}

#[derive(Clone)]
pub(super) struct TestReplicas {
    pub now: Nanos,
    pub replicas: Vec<TestReplica>,
    pub network: Vec<Envelope>,
    /// The digest of each version that any replica has committed.
    digests: BTreeMap<u64, Digest>,
    /// The versions of changes with the outcome accepted.
    pub accepted: Vec<u64>,
    pub outcomes: Vec<Outcome>,
    starts: u64,
    disks: Disks,
    seed: u64,
}

type Action<'a> = Box<dyn FnOnce(&mut Register, Nanos, &mut Vec<Effect>) + 'a>;

impl TestReplicas {
    pub fn new(count: usize, seed: u64, disks: Disks) -> Self {
        let replica = TestReplica {
            register: None,
            disk: PersistentState::default(),
            writes: Vec::new(),
            applied_version: 0,
        };
        let mut replicas = TestReplicas {
            now: 0,
            replicas: vec![replica; count],
            network: Vec::new(),
            digests: BTreeMap::new(),
            accepted: Vec::new(),
            outcomes: Vec::new(),
            starts: 0,
            disks,
            seed,
        };
        (0..count).for_each(|index| replicas.start(index));
        replicas
    }

    pub fn start(&mut self, index: usize) {
        self.starts += 1;
        let (count, seed) = (self.replicas.len() as u8, self.seed ^ self.starts << 8);
        let replica = &mut self.replicas[index];
        let register = Register::new(index as u8, count, replica.disk.clone(), self.now, seed);
        let version = register.committed().version;
        assert!(
            version >= replica.applied_version,
            "replica {index} regresses from version {} to {version}",
            replica.applied_version
        );
        replica.register = Some(register);
    }

    /// Stops a replica abruptly; the first `written` of its pending writes reach the disk.
    pub fn crash(&mut self, index: usize, written: usize) {
        let replica = &mut self.replicas[index];
        replica.register = None;
        for write in replica.writes.drain(..).take(written) {
            replica.disk = write.state;
        }
    }

    pub fn with_register(
        &mut self,
        index: usize,
        action: impl FnOnce(&mut Register, Nanos, &mut Vec<Effect>),
    ) {
        self.with_register_boxed(index, Box::new(action));
    }

    /// Boxed, since effects lead to recursive calls.
    fn with_register_boxed(&mut self, index: usize, action: Action<'_>) {
        let mut effects = Vec::new();
        if let Some(register) = &mut self.replicas[index].register {
            action(register, self.now, &mut effects);
        }
        for effect in effects {
            self.execute(index, effect);
        }
    }

    fn execute(&mut self, index: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.network.push(Envelope {
                from: index as u8,
                to,
                message,
            }),
            Effect::Persist { serial, state } => {
                let replica = &mut self.replicas[index];
                replica.writes.push(Write { serial, state });
                if self.disks == Disks::Immediate {
                    self.write(index, true);
                }
            }
            Effect::Completed(outcome) => self.complete(outcome),
            Effect::Committed(document) => self.commit(index, &document),
            Effect::Fetch(id) => self.fetch(index, id),
        }
    }

    /// Asserts that an accepted change is on more than half of the disks.
    fn complete(&mut self, outcome: Outcome) {
        if let Outcome::Accepted { version } = outcome {
            let has_accepted = |replica: &&TestReplica| {
                let accepted = replica.disk.accepted.as_ref();
                accepted.is_some_and(|value| value.document.version >= version)
            };
            let count = self.replicas.iter().filter(has_accepted).count();
            assert!(
                2 * count > self.replicas.len(),
                "version {version} was accepted on {count} disks"
            );
            self.accepted.push(version);
        }
        self.outcomes.push(outcome);
    }

    /// Asserts that a version has one document, that no replica applies an older version, and that each
    /// applies only what is on its disk.
    fn commit(&mut self, index: usize, document: &Document) {
        let (version, digest) = (document.version, document.digest());
        let known = *self.digests.entry(version).or_insert(digest);
        assert_eq!(known, digest, "two documents of version {version}");
        let replica = &mut self.replicas[index];
        assert!(
            version > replica.applied_version,
            "replica {index} regresses from version {} to {version}",
            replica.applied_version
        );
        assert_eq!(
            *replica.disk.committed, *document,
            "replica {index} applies a document that is not on its disk"
        );
        replica.applied_version = version;
    }

    /// Fetches a document from another replica, at times truncated; it is then fetched again when it is
    /// announced again.
    fn fetch(&mut self, index: usize, id: DocumentId) {
        let registers = self
            .replicas
            .iter()
            .filter_map(|replica| replica.register.as_ref());
        let mut found = registers.filter_map(|register| register.document(&id));
        let Some(mut document) = found.next().map(|document| (**document).clone()) else {
            return;
        };
        if document.text.len() % 3 == 1 && self.starts.is_multiple_of(2) {
            document.text.pop();
        }
        self.with_register(index, |register, _, effects| {
            register.handle_fetched(id, document, effects);
        });
    }

    /// Proposes a change of the document that the replica has committed.
    pub fn propose(&mut self, index: usize, text: &str) {
        self.with_register(index, |register, now, effects| {
            let based_on = register.committed().version;
            register.propose(now, based_on, text, effects);
        });
    }

    /// Delivers the `n`th message in the network.
    pub fn deliver(&mut self, n: usize, delivery: Delivery) {
        let envelope = match delivery {
            Delivery::Once => self.network.remove(n),
            Delivery::Repeatable => self.network[n].clone(),
        };
        let Envelope { from, to, message } = envelope;
        self.with_register(usize::from(to), |register, now, effects| {
            register.handle_message(now, from, message, effects);
        });
    }

    pub fn deliver_all(&mut self) {
        while !self.network.is_empty() {
            self.deliver(0, Delivery::Once);
        }
    }

    /// Completes the oldest pending write of a replica.
    pub fn write(&mut self, index: usize, succeeded: bool) {
        if self.replicas[index].writes.is_empty() {
            return;
        }
        let Write { serial, state } = self.replicas[index].writes.remove(0);
        if succeeded {
            self.replicas[index].disk = state;
        }
        self.with_register(index, |register, now, effects| {
            register.handle_write_result(now, serial, succeeded, effects);
        });
    }

    pub fn handle_timeout(&mut self, index: usize) {
        self.with_register(index, |register, now, effects| {
            register.handle_timeout(now, effects);
        });
    }

    /// Starts the stopped replicas and runs all for `ms` milliseconds without faults.
    pub fn run_without_faults(&mut self, ms: u64) {
        for index in 0..self.replicas.len() {
            if self.replicas[index].register.is_none() {
                self.start(index);
            }
        }
        for _ in 0..ms {
            self.now += MILLISECOND;
            for index in 0..self.replicas.len() {
                while !self.replicas[index].writes.is_empty() {
                    self.write(index, true);
                }
                self.handle_timeout(index);
            }
            self.deliver_all();
        }
    }

    /// Performs one random step, which may be a fault.
    pub fn step(&mut self, rng: &mut Pcg, serial: u64) {
        let mut below = |limit: usize| (rng.unit() * limit as f64) as usize;
        let (index, messages) = (below(self.replicas.len()), self.network.len());
        match below(100) {
            0..55 if messages > 0 => {
                let n = below(messages);
                self.deliver(n, Delivery::Once);
            }
            55..59 if messages > 0 => {
                let n = below(messages);
                self.deliver(n, Delivery::Repeatable);
            }
            59..63 if messages > 0 => {
                let n = below(messages);
                self.network.remove(n);
            }
            63..86 => self.write(index, true),
            86..87 => self.write(index, false),
            87..88 => {
                let written = below(self.replicas[index].writes.len() + 1);
                self.crash(index, written);
            }
            88..92 if self.replicas[index].register.is_none() => self.start(index),
            92..95 => self.propose(index, &"x".repeat(1 + serial as usize % 97)),
            _ => {
                self.now += below(300) as u64 * MILLISECOND;
                self.handle_timeout(index);
            }
        }
    }

    /// Returns the document that a running replica applies.
    ///
    /// # Panics
    ///
    /// Panics if the replica does not run.
    pub fn committed(&self, index: usize) -> &Rc<Document> {
        self.register(index).committed()
    }

    pub fn register(&self, index: usize) -> &Register {
        let register = self.replicas[index].register.as_ref();
        register.expect("the replica runs")
    }
}
