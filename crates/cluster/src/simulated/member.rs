//! One member of a simulated cluster.
use crate::cluster::{Cluster, Effect, LogLine};
use crate::config::ClusterConfig;
use rosewall::types::{FleetPosition, Nanos, WorkerId};
use std::net::SocketAddr;

/// The capacity of the socket buffer of a paused member, in datagrams.
const SOCKET_BUFFER_DATAGRAMS: usize = 200;

/// A notification to the dispatch decisions of a member, or a logged error.
#[derive(Clone, Debug, PartialEq)]
pub enum Observed {
    /// A change of the fleet view.
    FleetView(Option<FleetPosition>),
    /// An accepted warm-up grant.
    WarmUpGranted {
        /// The warming worker.
        worker: WorkerId,
        /// The granted work, in ns of one concurrency slot.
        work: Nanos,
        /// The time on the member's clock at which the grant expires.
        until: Nanos,
    },
    /// A log line with an error.
    Error(String),
}

/// One running member.
pub struct SimulatedMember {
    /// The state machine under test.
    pub cluster: Cluster,
    pub(super) config: ClusterConfig,
    /// The time of its clock at the start of the simulation, in ns.
    clock_offset: f64,
    /// The rate of its clock relative to the virtual clock.
    clock_rate: f64,
    pub(super) paused_until: Option<Nanos>,
    /// Datagrams that arrived during a pause, with their senders.
    buffered: Vec<(SocketAddr, Vec<u8>)>,
    /// Observations, with their virtual times.
    pub observed: Vec<(Nanos, Observed)>,
    /// The number of bytes sent since the start.
    pub sent_bytes: u64,
    /// The number of datagrams sent since the start.
    pub sent_datagrams: u64,
}

impl SimulatedMember {
    pub(super) fn new(
        cluster: Cluster,
        config: ClusterConfig,
        clock_offset: f64,
        clock_rate: f64,
    ) -> Self {
        SimulatedMember {
            cluster,
            config,
            clock_offset,
            clock_rate,
            paused_until: None,
            buffered: Vec::new(),
            observed: Vec::new(),
            sent_bytes: 0,
            sent_datagrams: 0,
        }
    }

    /// Converts a virtual time to the time on this member's clock.
    pub fn local_time(&self, now: Nanos) -> Nanos {
        (self.clock_offset + now as f64 * self.clock_rate) as Nanos
    }

    pub(super) fn is_paused(&self, now: Nanos) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }

    /// Buffers a datagram that arrives during a pause, unless the buffer is full.
    pub(super) fn buffer(&mut self, from: SocketAddr, bytes: Vec<u8>) {
        if self.buffered.len() < SOCKET_BUFFER_DATAGRAMS {
            self.buffered.push((from, bytes));
        }
    }

    /// Ends a pause; returns the buffered datagrams.
    pub(super) fn resume(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        self.paused_until = None;
        std::mem::take(&mut self.buffered)
    }

    pub(super) fn count_sent(&mut self, bytes: usize) {
        self.sent_bytes += bytes as u64;
        self.sent_datagrams += 1;
    }

    pub(super) fn observe(&mut self, now: Nanos, effect: Effect) {
        let observed = match effect {
            Effect::FleetView(position) => Observed::FleetView(position),
            Effect::WarmUpGranted {
                worker,
                work,
                until,
            } => Observed::WarmUpGranted {
                worker,
                work,
                until,
            },
            Effect::Log(LogLine::Error(text)) => Observed::Error(text),
            Effect::Send { .. } | Effect::PeerLoad { .. } | Effect::Log(LogLine::Info(_)) => return,
        };
        self.observed.push((now, observed));
    }

    /// Returns the virtual time until the member's next timeout.
    pub(super) fn wait_until_timeout(&self, now: Nanos) -> Nanos {
        let next_timeout = self.cluster.next_timeout();
        let wait = next_timeout.saturating_sub(self.local_time(now)) as f64 / self.clock_rate;
        wait as Nanos
    }
}
