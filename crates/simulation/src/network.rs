//! The virtual network: hosts, listeners and links. Segments have a random latency, and reads and
//! writes may be partial; faults reset links and make hosts unreachable. A link has two sides and
//! two directions: side 0 is the connecting one, and direction 0 carries the bytes that it writes.
mod datagram;
mod late_connection;
mod link;
mod listener;
mod stream;

use crate::fault_interval::FaultInterval;
use crate::kernel::{Event, Kernel, Owner};
pub use datagram::{DatagramConditions, VirtualDatagramSocket};
pub use late_connection::random_connection_delay;
pub use link::DirectionCounters;
use link::{Arrival, Link, Segment};
use listener::ListenerState;
pub use listener::VirtualListener;
use rosewall::types::Nanos;
use rustc_hash::FxHashMap;
use slab::Slab;
use std::cell::RefCell;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
pub use stream::VirtualStream;

/// The number of a host; the host of a dispatcher has the same number as its [`Owner`].
pub type HostId = usize;

struct Host {
    owner: Owner,
    /// Whether all segments to and from this host are lost.
    unreachable: bool,
    /// When and for how many connections the host confirms a connect late.
    late_connections: FaultInterval,
    /// Time until which a connection that is not accepted yet holds only a few bytes.
    small_window_until: Nanos,
    /// Number of open connections.
    open: usize,
    /// The highest value of `open` since the last reset of the peak.
    peak: usize,
}

impl Host {
    fn connection_opened(&mut self) {
        self.open += 1;
        self.peak = self.peak.max(self.open);
    }
}

/// Behaviour of connections while no fault is active.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    /// The minimum latency of a segment.
    pub min_latency: Nanos,
    /// The maximum latency of a segment, inclusive.
    pub max_latency: Nanos,
    /// The fraction of reads and writes, 0 to 1, that may transfer fewer bytes than possible.
    pub partial_io: f64,
    /// Whether a reset discards bytes that were received and not yet read.
    pub reset_discards_unread: bool,
}

/// The sides of a link to which a reset is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResetScope {
    /// The peer only, as when the host itself resets the connection.
    OtherSide,
    /// Both sides, as when a device between them resets the connection.
    BothSides,
}

/// One side of a link.
#[derive(Clone, Copy)]
struct LinkSide {
    link: usize,
    side: usize,
}

struct State {
    conditions: NetworkConditions,
    hosts: Vec<Host>,
    links: Slab<Link>,
    listeners: FxHashMap<SocketAddr, ListenerState>,
}

/// All hosts, and the links, listeners and datagram sockets between them.
pub struct Network {
    kernel: Rc<Kernel>,
    state: RefCell<State>,
    datagrams: RefCell<datagram::DatagramNetwork>,
}

impl Network {
    /// Creates a network without hosts, on which no datagram is lost or delayed.
    pub fn new(kernel: &Rc<Kernel>, conditions: NetworkConditions) -> Rc<Self> {
        Rc::new(Network {
            kernel: kernel.clone(),
            state: RefCell::new(State {
                conditions,
                hosts: Vec::new(),
                links: Slab::new(),
                listeners: FxHashMap::default(),
            }),
            datagrams: RefCell::default(),
        })
    }

    /// Adds a host of the environment.
    pub fn add_host(&self) -> HostId {
        let mut state = self.state.borrow_mut();
        state.hosts.push(Host {
            owner: crate::kernel::ENVIRONMENT,
            unreachable: false,
            late_connections: FaultInterval::default(),
            small_window_until: 0,
            open: 0,
            peak: 0,
        });
        state.hosts.len() - 1
    }

    /// Adds the host of a dispatcher, which is its own owner.
    pub fn add_dispatcher_host(&self) -> HostId {
        let host = self.add_host();
        self.state.borrow_mut().hosts[host].owner = host;
        host
    }

    /// Returns the number of open connections of a host.
    pub fn open_connections(&self, host: HostId) -> usize {
        self.state.borrow().hosts[host].open
    }

    /// Returns the highest number of connections that a host had open at once since the peak was
    /// last reset.
    pub fn peak_connections(&self, host: HostId) -> usize {
        self.state.borrow().hosts[host].peak
    }

    /// Resets the peak number of connections of a host to 0.
    pub fn reset_peak_connections(&self, host: HostId) {
        self.state.borrow_mut().hosts[host].peak = 0;
    }

    /// Sets whether all segments to and from a host are lost.
    pub fn set_unreachable(&self, host: HostId, unreachable: bool) {
        self.state.borrow_mut().hosts[host].unreachable = unreachable;
    }

    /// Listens at an address; replaces an earlier listener there.
    pub fn listen(
        self: &Rc<Self>,
        host: HostId,
        address: SocketAddr,
        backlog: usize,
    ) -> VirtualListener {
        self.state
            .borrow_mut()
            .listeners
            .insert(address, ListenerState::new(host, backlog));
        VirtualListener::new(self, host, address)
    }

    /// Connects from a host to an address.
    ///
    /// # Errors
    ///
    /// `ConnectionRefused` if no listener is bound to the address, or the connection is reset
    /// before it is established.
    pub async fn connect(
        self: &Rc<Self>,
        host: HostId,
        to: SocketAddr,
    ) -> io::Result<VirtualStream> {
        let link = {
            let mut state = self.state.borrow_mut();
            let listening = state.listeners.get(&to).map(|listener| listener.host);
            // Without a listener the refusal comes from the connecting host; an unreachable host
            // sends no reply.
            let other = listening.unwrap_or(host);
            state.hosts[host].connection_opened();
            state.links.insert(Link::connecting([host, other], to))
        };
        let stream = VirtualStream::new(self, LinkSide { link, side: 0 });
        self.send(link, 0, Segment::Connect);
        let established = std::future::poll_fn(|cx| {
            let mut state = self.state.borrow_mut();
            let Some(entry) = state.links.get_mut(link) else {
                return Poll::Ready(false);
            };
            match entry.established {
                _ if entry.broken[0] => Poll::Ready(false),
                Some(established) => Poll::Ready(established),
                None => {
                    entry.connecting = Some(cx.waker().clone());
                    Poll::Pending
                }
            }
        });
        if established.await {
            Ok(stream)
        } else {
            Err(ErrorKind::ConnectionRefused.into())
        }
    }

    /// Delivers the next segment in transit in one direction of a link.
    pub fn deliver(&self, link: usize, direction: usize) {
        let now = self.kernel.now();
        let arrival = self.state.borrow_mut().receive_next(now, link, direction);
        let Some(Arrival { wakers, reply }) = arrival else {
            return;
        };
        if let Some(segment) = reply {
            let delay = self.connection_delay(link, &segment);
            self.send_after(delay, link, 1 - direction, segment);
        }
        for (owner, waker) in wakers {
            self.kernel.wake(owner, waker);
        }
        self.remove_if_done(link);
    }

    /// Ends the process of a host: closes its listeners and resets its connections.
    pub fn kill_host(&self, host: HostId) {
        self.state
            .borrow_mut()
            .listeners
            .retain(|_, listener| listener.host != host);
        for LinkSide { link, side } in self.links_of(host) {
            let Some((was_open, wakers)) = self.state.borrow_mut().detach_side(link, side, host)
            else {
                continue;
            };
            if was_open {
                self.send(link, side, Segment::Reset);
            }
            for (owner, waker) in wakers {
                self.kernel.wake(owner, waker);
            }
            self.remove_if_done(link);
        }
    }

    /// Resets each link of a host with probability `share`; its process continues.
    pub fn reset_links(&self, host: HostId, share: f64, scope: ResetScope) {
        for LinkSide { link, side } in self.links_of(host) {
            if self.kernel.random(|rng| rng.chance(share)) {
                self.send(link, side, Segment::Reset);
                if scope == ResetScope::BothSides {
                    self.send(link, 1 - side, Segment::Reset);
                }
            }
        }
    }

    fn links_of(&self, host: HostId) -> Vec<LinkSide> {
        let state = self.state.borrow();
        let side_at_host = |(link, entry): (usize, &Link)| {
            entry
                .hosts
                .iter()
                .position(|one| *one == host)
                .map(|side| LinkSide { link, side })
        };
        state.links.iter().filter_map(side_at_host).collect()
    }

    fn send(&self, link: usize, direction: usize, segment: Segment) {
        self.send_after(0, link, direction, segment);
    }

    fn send_after(&self, delay: Nanos, link: usize, direction: usize, segment: Segment) {
        let NetworkConditions {
            min_latency,
            max_latency,
            ..
        } = self.state.borrow().conditions;
        let latency = self
            .kernel
            .random(|rng| rng.range(min_latency, max_latency + 1))
            .max(1);
        let mut state = self.state.borrow_mut();
        let Some(entry) = state.links.get_mut(link) else {
            return;
        };
        let at = entry.directions[direction].push(self.kernel.now() + delay + latency, segment);
        let receiver = entry.hosts[1 - direction];
        let owner = state.hosts[receiver].owner;
        drop(state);
        self.kernel
            .schedule(at, owner, Event::Deliver { link, direction });
    }

    /// Removes a link that neither side has open and on which nothing is in transit.
    fn remove_if_done(&self, link: usize) {
        let mut state = self.state.borrow_mut();
        if state.links.get(link).is_some_and(Link::is_done) {
            state.links.remove(link);
        }
    }

    /// Closes one side of a link.
    fn close(&self, LinkSide { link, side }: LinkSide) {
        let segment = {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            let Some(entry) = state.links.get_mut(link) else {
                return;
            };
            if !std::mem::take(&mut entry.open[side]) {
                return;
            }
            let host = entry.hosts[side];
            if !entry.remove_from_backlog(side) {
                state.hosts[host].open -= 1;
            }
            entry.closing_segment(side)
        };
        if let Some(segment) = segment {
            self.send(link, side, segment);
        }
        self.remove_if_done(link);
    }
}

impl State {
    /// Applies the next segment in transit; returns `None` if the link or the segment no longer
    /// exists.
    fn receive_next(&mut self, now: Nanos, link: usize, direction: usize) -> Option<Arrival> {
        let entry = self.links.get_mut(link)?;
        let segment = entry.directions[direction].pop()?;
        // The accepting host is the one that listens when the connect arrives.
        if let (Segment::Connect, Some(listener)) = (&segment, self.listeners.get(&entry.listener))
        {
            entry.hosts[1] = listener.host;
        }
        let owners = entry.hosts.map(|host| self.hosts[host].owner);
        let lost = entry.hosts.iter().any(|host| self.hosts[*host].unreachable);
        if lost {
            return Some(Arrival::default());
        }
        Some(match segment {
            Segment::Bytes(bytes) => entry.on_bytes(now, direction, bytes, owners),
            Segment::End => entry.on_end(direction, owners),
            Segment::Reset => {
                entry.on_reset(direction, owners, self.conditions.reset_discards_unread)
            }
            Segment::Connect => match self.listeners.get_mut(&entry.listener) {
                Some(listener) if listener.has_capacity() => {
                    entry.enter_backlog();
                    Arrival {
                        wakers: listener.push(link, owners[1]),
                        reply: Some(Segment::ConnectResult(true)),
                    }
                }
                // A full backlog sends no reply, as if the connect were lost.
                Some(_) => Arrival::default(),
                None => Arrival {
                    wakers: Vec::new(),
                    reply: Some(Segment::ConnectResult(false)),
                },
            },
            Segment::ConnectResult(established) => entry.on_connect_result(established, owners[0]),
        })
    }

    /// Closes one side of a link when its process ends; returns whether it was open, and the tasks
    /// to wake.
    fn detach_side(
        &mut self,
        link: usize,
        side: usize,
        host: HostId,
    ) -> Option<(bool, Vec<link::OwnedWaker>)> {
        let owner = self.hosts[host].owner;
        let entry = self.links.get_mut(link)?;
        let was_open = std::mem::take(&mut entry.open[side]);
        entry.broken[side] = true;
        let reader = entry.directions[1 - side].reader.take();
        let writer = entry.directions[side].writer.take();
        if was_open && !entry.remove_from_backlog(side) {
            self.hosts[host].open -= 1;
        }
        let wakers = reader.into_iter().chain(writer);
        Some((was_open, wakers.map(|waker| (owner, waker)).collect()))
    }
}
