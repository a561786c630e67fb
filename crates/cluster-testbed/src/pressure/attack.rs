//! Many misbehaving clients, and what they have done.
use super::misbehaving_client::MisbehavingClient;
use super::misbehaviour::Misbehaviour;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Stack of each client's thread: their buffers are on the heap or small.
const STACK_BYTES: usize = 256 * 1024;

/// When a client closed its connection. Ids of its requests are this prefix, a hyphen and a number.
#[derive(Clone, Debug)]
pub(super) struct Departure {
    pub id_prefix: String,
    /// Time since the start of the run.
    pub at: Duration,
    /// Time from which the ids may be sent again.
    pub sent_again_at: Duration,
}

/// What misbehaving clients did.
#[derive(Debug, Default)]
pub(super) struct Record {
    pub requests: usize,
    pub departures: Vec<Departure>,
}

/// Target and time of the misbehaviour.
#[derive(Clone, Debug)]
pub(super) struct Attack {
    pub address: String,
    pub until: Instant,
    pub started_at: Instant,
    pub seed: u64,
}

pub(super) struct MisbehavingClients(Vec<JoinHandle<Record>>);

impl MisbehavingClients {
    pub fn start(
        misbehaviour: Misbehaviour,
        connections: usize,
        attack: &Attack,
    ) -> MisbehavingClients {
        let start = |index: usize| {
            let client = MisbehavingClient::new(attack, index);
            thread::Builder::new()
                .stack_size(STACK_BYTES)
                .spawn(move || client.run(misbehaviour))
                .unwrap()
        };
        MisbehavingClients((0..connections).map(start).collect())
    }

    pub fn join(self) -> Record {
        let mut all = Record::default();
        for client in self.0 {
            let record = client.join().unwrap();
            all.requests += record.requests;
            all.departures.extend(record.departures);
        }
        all
    }
}
