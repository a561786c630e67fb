//! The thread of the relay, which receives datagrams and forwards them after their delay.
use super::Shared;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use rosewall::pcg::Pcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Bytes of the address prefix of a datagram: an IPv4 address and a port.
const ADDRESS_PREFIX_LENGTH: usize = 6;
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Interval between checks whether the relay has been stopped.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);

fn read_prefix(datagram: &[u8]) -> Option<SocketAddr> {
    let [a, b, c, d, high, low] = *datagram.first_chunk::<ADDRESS_PREFIX_LENGTH>()?;
    let port = u16::from_be_bytes([high, low]);
    Some((Ipv4Addr::new(a, b, c, d), port).into())
}

fn write_prefix(address: SocketAddr, datagram: &mut [u8]) {
    let prefix = datagram.first_chunk_mut::<ADDRESS_PREFIX_LENGTH>();
    if let (IpAddr::V4(ip), Some(prefix)) = (address.ip(), prefix) {
        let [a, b, c, d] = ip.octets();
        let [high, low] = address.port().to_be_bytes();
        *prefix = [a, b, c, d, high, low];
    }
}

/// A delayed datagram, ordered by due time, then by arrival.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Delayed {
    due: Instant,
    serial: u64,
    to: SocketAddr,
    bytes: Vec<u8>,
}

pub(super) struct Forwarder {
    socket: Async<UdpSocket>,
    shared: Arc<Shared>,
    rng: Pcg,
    delayed: BinaryHeap<Reverse<Delayed>>,
    next_serial: u64,
    buffer: [u8; MAX_DATAGRAM_BYTES],
}

impl Forwarder {
    pub(super) fn new(socket: Async<UdpSocket>, shared: Arc<Shared>, seed: u64) -> Self {
        Forwarder {
            socket,
            shared,
            rng: Pcg::new(seed),
            delayed: BinaryHeap::new(),
            next_serial: 1,
            buffer: [0; MAX_DATAGRAM_BYTES],
        }
    }

    pub(super) async fn run(mut self) {
        while !self.shared.stopped.load(Ordering::Relaxed) {
            self.send_due();
            if let Some((length, from)) = self.receive_until_due().await {
                self.forward(length, from);
            }
        }
    }

    fn send_due(&mut self) {
        while self
            .delayed
            .peek()
            .is_some_and(|Reverse(next)| next.due <= Instant::now())
        {
            if let Some(Reverse(datagram)) = self.delayed.pop() {
                self.send(&datagram.bytes, datagram.to);
            }
        }
    }

    /// Sends a datagram. Datagrams may be lost, so a socket error counts as one more loss.
    fn send(&self, bytes: &[u8], to: SocketAddr) {
        let _ = self.socket.get_ref().send_to(bytes, to);
    }

    /// Receives a datagram; `None` once the next delayed one is due or the stop flag is to be checked.
    async fn receive_until_due(&mut self) -> Option<(usize, SocketAddr)> {
        let stop_check = Instant::now() + STOP_CHECK_INTERVAL;
        let wake = self
            .delayed
            .peek()
            .map_or(stop_check, |Reverse(next)| stop_check.min(next.due));
        // An error means that an earlier datagram had no receiver; the socket stays usable.
        let received = async { self.socket.recv_from(&mut self.buffer).await.ok() };
        let timeout = async {
            Timer::at(wake).await;
            None
        };
        received.or(timeout).await
    }

    fn forward(&mut self, length: usize, from: SocketAddr) {
        let Some(to) = read_prefix(&self.buffer[..length]) else {
            return;
        };
        write_prefix(from, &mut self.buffer);
        let payload = (length - ADDRESS_PREFIX_LENGTH) as u64;
        let rng = &mut self.rng;
        let forwarding = self
            .shared
            .with_links(|links| links.on_datagram(from, to, payload, rng));
        let Some(forwarding) = forwarding else { return };
        let conditions = forwarding.conditions;
        let copies = 1 + u64::from(self.rng.unit() < conditions.duplicate);
        for _ in 0..copies {
            let delay_ms =
                conditions.delay_ms as f64 + self.rng.unit() * conditions.jitter_ms as f64;
            let delay = forwarding.zone_latency + Duration::from_secs_f64(delay_ms / 1e3);
            self.send_after(delay, length, to);
        }
    }

    fn send_after(&mut self, delay: Duration, length: usize, to: SocketAddr) {
        let serial = self.next_serial;
        self.next_serial += 1;
        if delay.is_zero() {
            self.send(&self.buffer[..length], to);
            return;
        }
        self.delayed.push(Reverse(Delayed {
            due: Instant::now() + delay,
            serial,
            to,
            bytes: self.buffer[..length].to_vec(),
        }));
    }
}
