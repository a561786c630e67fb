//! Datagrams on the virtual network, with the loss, latency, duplication and outages that the
//! scenario defines.
use super::{HostId, Network};
use crate::kernel::{Datagram, ENVIRONMENT, Event};
use rosewall::types::Nanos;
use rosewall_runtime::traits::DatagramSocket;
use std::collections::{BTreeMap, VecDeque};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// The maximum number of datagrams queued at a socket; further ones are dropped. A socket buffer
/// holds about as many.
const MAX_QUEUED: usize = 200;

/// Treatment of datagrams while no fault is active.
#[derive(Clone, Copy, Debug, Default)]
pub struct DatagramConditions {
    /// The fraction of datagrams that is lost, 0 to 1.
    pub loss: f64,
    /// The fraction of datagrams that is delivered twice, 0 to 1.
    pub duplicate: f64,
    /// The minimum latency.
    pub min_latency: Nanos,
    /// The maximum latency, inclusive.
    pub max_latency: Nanos,
}

struct BoundSocket {
    host: HostId,
    queued: VecDeque<Received>,
    waker: Option<Waker>,
}

struct Received {
    bytes: Vec<u8>,
    from: SocketAddr,
}

/// A datagram fault, with the time at which it ends for each affected address.
#[derive(Default)]
struct Outage(BTreeMap<SocketAddr, Nanos>);

impl Outage {
    fn set_until(&mut self, address: SocketAddr, until: Nanos) {
        self.0.insert(address, until);
    }

    fn is_active(&self, now: Nanos, address: SocketAddr) -> bool {
        self.0.get(&address).is_some_and(|until| now < *until)
    }
}

#[derive(Default)]
pub(super) struct DatagramNetwork {
    conditions: DatagramConditions,
    sockets: BTreeMap<SocketAddr, BoundSocket>,
    inbound_dropped: Outage,
    outbound_dropped: Outage,
    /// The addresses on one side of a partition.
    partitioned: Outage,
}

impl DatagramNetwork {
    fn allows(&self, now: Nanos, from: SocketAddr, to: SocketAddr) -> bool {
        !self.inbound_dropped.is_active(now, to)
            && !self.outbound_dropped.is_active(now, from)
            && self.partitioned.is_active(now, from) == self.partitioned.is_active(now, to)
    }
}

impl Network {
    /// Sets the treatment of datagrams while no fault is active.
    pub fn set_datagram_conditions(&self, conditions: DatagramConditions) {
        self.datagrams.borrow_mut().conditions = conditions;
    }

    /// Drops the datagrams to an address until the time `until`.
    pub fn drop_inbound_datagrams(&self, address: SocketAddr, until: Nanos) {
        let mut datagrams = self.datagrams.borrow_mut();
        datagrams.inbound_dropped.set_until(address, until);
    }

    /// Drops the datagrams from an address until the time `until`.
    pub fn drop_outbound_datagrams(&self, address: SocketAddr, until: Nanos) {
        let mut datagrams = self.datagrams.borrow_mut();
        datagrams.outbound_dropped.set_until(address, until);
    }

    /// Drops the datagrams between these addresses and all others until the time `until`.
    pub fn partition_datagrams(&self, addresses: impl Iterator<Item = SocketAddr>, until: Nanos) {
        let mut datagrams = self.datagrams.borrow_mut();
        for address in addresses {
            datagrams.partitioned.set_until(address, until);
        }
    }

    /// Delivers a datagram; drops it if no socket is bound to its address.
    pub fn deliver_datagram(&self, datagram: Datagram) {
        let woken = {
            let mut datagrams = self.datagrams.borrow_mut();
            let Some(socket) = datagrams.sockets.get_mut(&datagram.to) else {
                return;
            };
            if socket.queued.len() < MAX_QUEUED {
                socket.queued.push_back(Received {
                    bytes: datagram.bytes,
                    from: datagram.from,
                });
            }
            socket.waker.take().map(|waker| (socket.host, waker))
        };
        if let Some((host, waker)) = woken {
            self.kernel.wake(host, waker);
        }
    }
}

/// A datagram socket of a dispatcher.
pub struct VirtualDatagramSocket {
    network: Rc<Network>,
    address: SocketAddr,
    host: HostId,
}

impl VirtualDatagramSocket {
    /// Binds a socket to an address; replaces an earlier socket there.
    pub fn bind(network: &Rc<Network>, host: HostId, address: SocketAddr) -> Self {
        let socket = BoundSocket {
            host,
            queued: VecDeque::new(),
            waker: None,
        };
        network
            .datagrams
            .borrow_mut()
            .sockets
            .insert(address, socket);
        VirtualDatagramSocket {
            network: network.clone(),
            address,
            host,
        }
    }
}

impl Drop for VirtualDatagramSocket {
    fn drop(&mut self) {
        let mut datagrams = self.network.datagrams.borrow_mut();
        let bound = datagrams.sockets.get(&self.address);
        if bound.is_some_and(|socket| socket.host == self.host) {
            datagrams.sockets.remove(&self.address);
        }
    }
}

impl DatagramSocket for VirtualDatagramSocket {
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        let kernel = &self.network.kernel;
        let conditions = self.network.datagrams.borrow().conditions;
        let delivered = self
            .network
            .datagrams
            .borrow()
            .allows(kernel.now(), self.address, to);
        if !delivered || kernel.random(|rng| rng.chance(conditions.loss)) {
            return Ok(());
        }
        let duplicated = kernel.random(|rng| rng.chance(conditions.duplicate));
        for _ in 0..1 + u8::from(duplicated) {
            let latency =
                kernel.random(|rng| rng.range(conditions.min_latency, conditions.max_latency + 1));
            let event = Event::Datagram(Datagram {
                to,
                from: self.address,
                bytes: bytes.to_vec(),
            });
            kernel.schedule(kernel.now() + latency, ENVIRONMENT, event);
        }
        Ok(())
    }

    async fn receive(&self, bytes: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        poll_fn(|cx| {
            let mut datagrams = self.network.datagrams.borrow_mut();
            let socket = datagrams
                .sockets
                .get_mut(&self.address)
                .filter(|socket| socket.host == self.host);
            let Some(socket) = socket else {
                return Poll::Pending;
            };
            let Some(received) = socket.queued.pop_front() else {
                socket.waker = Some(cx.waker().clone());
                return Poll::Pending;
            };
            let length = received.bytes.len().min(bytes.len());
            bytes[..length].copy_from_slice(&received.bytes[..length]);
            Poll::Ready(Ok((length, received.from)))
        })
        .await
    }
}
