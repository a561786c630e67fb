//! Exchange of load reports with other dispatchers whose addresses are configured.
use crate::traits::{DatagramSocket, Runtime};
use futures_lite::future::yield_now;
use rosewall::types::{Nanos, PeerLoad};
use rosewall_engine::counters::Counters;
use rosewall_engine::rate_limit::RateLimiter;
use rosewall_protocol::peer_load::{DATAGRAM_LENGTH, ReceivedLoad, decode, encode};
use std::cell::RefCell;
use std::net::SocketAddr;

/// Maximum rate of datagrams in each direction; excess datagrams are dropped and counted. Ten times
/// the rate of the busiest dispatcher in a fleet of a hundred.
const MAX_DATAGRAMS_PER_SECOND: u64 = 5_000;

/// Socket, peers and rate limit of one dispatcher.
pub struct PeerLoadExchange<S> {
    socket: S,
    /// Rank of this dispatcher: its index in `peers`.
    own_rank: u16,
    /// Addresses of all dispatchers, in the order of their ranks.
    peers: Vec<SocketAddr>,
    send_limit: RefCell<RateLimiter>,
}

impl<S: DatagramSocket> PeerLoadExchange<S> {
    /// Creates an exchange over `socket`. `own_rank` is the index of this dispatcher in `peers`.
    pub fn new(socket: S, own_rank: u16, peers: Vec<SocketAddr>) -> Self {
        PeerLoadExchange {
            socket,
            own_rank,
            peers,
            send_limit: RefCell::new(RateLimiter::new(MAX_DATAGRAMS_PER_SECOND)),
        }
    }

    /// Sends a report to the dispatcher with rank `to`. A report that cannot be sent is dropped, as
    /// any datagram may be lost.
    pub fn send(&self, now: Nanos, counters: &Counters, to: u16, load: &PeerLoad) {
        let Some(peer) = self.peers.get(usize::from(to)) else {
            return counters.peer_loads_not_sent.add();
        };
        let is_allowed = self.send_limit.borrow_mut().try_acquire(now);
        let datagram = encode(self.own_rank, load);
        if is_allowed && self.socket.send(&datagram, *peer).is_ok() {
            counters.peer_loads_sent.add();
        } else {
            counters.peer_loads_not_sent.add();
        }
    }

    /// Receives until the task is dropped and calls `on_load` with the rank of the sender and the
    /// load of each report.
    pub async fn receive<R: Runtime>(
        &self,
        runtime: &R,
        counters: &Counters,
        on_load: impl Fn(u16, PeerLoad),
    ) {
        let mut receive_limit = RateLimiter::new(MAX_DATAGRAMS_PER_SECOND);
        // One byte more than a datagram has, so that a longer one is recognised.
        let mut bytes = [0; DATAGRAM_LENGTH + 1];
        loop {
            let received = self.socket.receive(&mut bytes).await;
            let received = received
                .ok()
                .filter(|_| receive_limit.try_acquire(runtime.now()));
            let load = received
                .and_then(|(length, from)| decode(&bytes[..length], from, &self.peers).ok());
            match load {
                Some(ReceivedLoad { sender, load }) => {
                    counters.peer_loads_received.add();
                    on_load(sender, load);
                }
                None => counters.peer_loads_dropped.add(),
            }
            // A flood of datagrams must not block other tasks.
            yield_now().await;
        }
    }
}
