//! One member of a simulated cluster.
use crate::cluster::{Cluster, Effect, LogLine};
use crate::config::ClusterConfig;
use rosewall::types::{FleetPosition, Nanos, WorkerId};
use std::net::SocketAddr;

/// How many datagrams the socket buffer of a paused member holds.
const SOCKET_BUFFER_DATAGRAMS: usize = 200;

/// What the decisions of a member were notified of, or what was logged.
#[derive(Clone, Debug, PartialEq)]
pub enum Observed {
    /// The fleet view changed.
    FleetView(Option<FleetPosition>),
    /// A warm-up grant.
    WarmUpGranted {
        /// The warming worker.
        worker: WorkerId,
        /// The granted work.
        work: Nanos,
        /// When the grant expires, on the member's clock.
        until: Nanos,
    },
    /// A line of the log that reports an error.
    Error(String),
}

/// One running member.
pub struct SimulatedMember {
    /// Its state machine.
    pub cluster: Cluster,
    pub(super) config: ClusterConfig,
    /// What its clock shows at the start of the simulation.
    clock_offset: f64,
    /// How fast its clock runs.
    clock_rate: f64,
    pub(super) paused_until: Option<Nanos>,
    /// What arrived while it was paused.
    buffered: Vec<(SocketAddr, Vec<u8>)>,
    /// What was observed, with the virtual time.
    pub observed: Vec<(Nanos, Observed)>,
    /// The bytes that it has sent.
    pub sent_bytes: u64,
    /// The datagrams that it has sent.
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

    /// The time on its own clock.
    pub fn local_time(&self, now: Nanos) -> Nanos {
        (self.clock_offset + now as f64 * self.clock_rate) as Nanos
    }

    pub(super) fn is_paused(&self, now: Nanos) -> bool {
        self.paused_until.is_some_and(|until| until > now)
    }

    /// Keeps a datagram that arrives during a pause, if the buffer has space.
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

    /// The virtual time until its next timeout.
    pub(super) fn wait_until_timeout(&self, now: Nanos) -> Nanos {
        let next_timeout = self.cluster.next_timeout();
        let wait = next_timeout.saturating_sub(self.local_time(now)) as f64 / self.clock_rate;
        wait as Nanos
    }
}
