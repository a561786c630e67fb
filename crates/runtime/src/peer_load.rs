//! Carries what dispatchers tell each other, where the configuration gives addresses for it.
use crate::traits::{DatagramSocket, Runtime};
use futures_lite::future::yield_now;
use rosewall::types::{Nanos, PeerLoad};
use rosewall_engine::counters::Counters;
use rosewall_engine::rate_limit::RateLimiter;
use rosewall_protocol::peer_load::{DATAGRAM_LENGTH, ReceivedLoad, decode, encode};
use std::cell::RefCell;
use std::net::SocketAddr;

/// Datagrams a second, each way: ten times what the busiest of a hundred dispatchers sent in simulated days. What is
/// beyond it is dropped and counted.
const A_SECOND: u64 = 5_000;

pub struct PeerLoadExchange<M> {
    socket: M,
    me: u16,
    peers: Vec<SocketAddr>,
    out: RefCell<RateLimiter>,
}

impl<M: DatagramSocket> PeerLoadExchange<M> {
    pub fn new(socket: M, me: u16, peers: Vec<SocketAddr>) -> Self {
        PeerLoadExchange {
            socket,
            me,
            peers,
            out: RefCell::new(RateLimiter::new(A_SECOND)),
        }
    }

    /// To one peer. What cannot be sent is lost, as any datagram may be.
    pub fn tell(&self, now: Nanos, counters: &Counters, to: u16, load: &PeerLoad) {
        let Some(peer) = self.peers.get(usize::from(to)) else {
            return counters.peer_loads_not_sent.add();
        };
        let allowed = self.out.borrow_mut().try_acquire(now);
        if allowed && self.socket.send(&encode(self.me, load), *peer).is_ok() {
            counters.peer_loads_sent.add();
        } else {
            counters.peer_loads_not_sent.add();
        }
    }

    /// Hears for ever; each line goes to `heard` with its teller.
    pub async fn hear<R: Runtime>(
        &self,
        runtime: &R,
        counters: &Counters,
        heard: impl Fn(u16, PeerLoad),
    ) {
        let (mut rate_limit, mut bytes) = (RateLimiter::new(A_SECOND), [0; DATAGRAM_LENGTH + 1]);
        loop {
            let came = self.socket.receive(&mut bytes).await;
            let line = came.ok().filter(|_| rate_limit.try_acquire(runtime.now()));
            match line
                .and_then(|(length, sender)| decode(&bytes[..length], sender, &self.peers).ok())
            {
                Some(ReceivedLoad { sender: from, load }) => {
                    counters.peer_loads_received.add();
                    heard(from, load);
                }
                None => counters.peer_loads_dropped.add(),
            }
            // Guards against a flood of them that leaves no one else a turn.
            yield_now().await;
        }
    }
}
