//! A link between two hosts: the segments in transit in each direction, and the received bytes that
//! are not read yet.
use super::HostId;
use super::stream::BUFFER_BYTES;
use crate::kernel::Owner;
use rosewall::types::Nanos;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Waker;

/// Number of transfers in a log of one direction. Attempts are checked when they are read, so only
/// recent transfers are looked up.
const TRANSFER_LOG_LEN: usize = 256;

/// A waker, and the owner of its task.
pub(super) type OwnedWaker = (Owner, Waker);

pub(super) enum Segment {
    Bytes(Vec<u8>),
    End,
    Reset,
    /// The first segment of the connecting side.
    Connect,
    /// Whether the connection was accepted into a listener's backlog.
    ConnectResult(bool),
}

/// A number of bytes that were written, or arrived, at one time.
struct Transfer {
    /// The total number of bytes up to and including this transfer.
    end: u64,
    at: Nanos,
}

/// The last transfers of one direction.
#[derive(Default)]
struct TransferLog(VecDeque<Transfer>);

impl TransferLog {
    fn add(&mut self, at: Nanos, end: u64) {
        self.0.push_back(Transfer { end, at });
        if self.0.len() > TRANSFER_LOG_LEN {
            self.0.pop_front();
        }
    }

    /// Returns the time of the transfer of the byte at this offset, or 0 if there was none yet.
    fn time_of(&self, offset: u64) -> Nanos {
        let index = self.0.partition_point(|transfer| transfer.end <= offset);
        self.0.get(index).map_or(0, |transfer| transfer.at)
    }
}

/// Byte counters of one direction, for the checker; they outlive the link.
#[derive(Default)]
pub struct DirectionCounters {
    written: Cell<u64>,
    arrived: Cell<u64>,
    read: Cell<u64>,
    writes: RefCell<TransferLog>,
    arrivals: RefCell<TransferLog>,
}

impl DirectionCounters {
    /// Returns the number of bytes written so far.
    pub fn bytes_written(&self) -> u64 {
        self.written.get()
    }

    /// Returns the number of bytes read so far.
    pub fn bytes_read(&self) -> u64 {
        self.read.get()
    }

    /// Returns the time at which the byte at this offset was written, or 0 if it was not written
    /// yet. The result is correct only for bytes of the last 256 writes.
    pub fn written_at(&self, offset: u64) -> Nanos {
        self.writes.borrow().time_of(offset)
    }

    /// Returns the time at which the byte at this offset reached the other host, or 0 if it has not
    /// yet. The result is correct only for bytes of the last 256 segments.
    pub fn arrived_at(&self, offset: u64) -> Nanos {
        self.arrivals.borrow().time_of(offset)
    }

    pub(super) fn count_write(&self, at: Nanos, count: usize) {
        let end = self.written.get() + count as u64;
        self.written.set(end);
        self.writes.borrow_mut().add(at, end);
    }

    fn count_arrival(&self, at: Nanos, count: usize) {
        let end = self.arrived.get() + count as u64;
        self.arrived.set(end);
        self.arrivals.borrow_mut().add(at, end);
    }

    pub(super) fn count_read(&self, count: usize) {
        self.read.set(self.read.get() + count as u64);
    }
}

#[derive(Default)]
pub(super) struct Direction {
    in_transit: VecDeque<(Nanos, Segment)>,
    in_transit_bytes: usize,
    pub received: VecDeque<u8>,
    /// Whether the writer has closed this direction.
    pub write_closed: bool,
    /// Whether the end of this direction has reached the reader.
    pub end_received: bool,
    pub reader: Option<Waker>,
    pub writer: Option<Waker>,
    pub counters: Rc<DirectionCounters>,
}

impl Direction {
    /// Puts a segment in transit and returns its arrival time: `at`, or the arrival time of the
    /// previous segment if that is later.
    pub fn push(&mut self, at: Nanos, segment: Segment) -> Nanos {
        let last = self.in_transit.back().map_or(0, |(at, _)| *at);
        let at = at.max(last);
        if let Segment::Bytes(bytes) = &segment {
            self.in_transit_bytes += bytes.len();
        }
        self.in_transit.push_back((at, segment));
        at
    }

    pub fn pop(&mut self) -> Option<Segment> {
        let (_, segment) = self.in_transit.pop_front()?;
        if let Segment::Bytes(bytes) = &segment {
            self.in_transit_bytes -= bytes.len();
        }
        Some(segment)
    }

    /// Returns the number of bytes written and not read yet.
    pub fn unread_bytes(&self) -> usize {
        self.in_transit_bytes + self.received.len()
    }
}

/// The effects of the arrival of a segment.
#[derive(Default)]
pub(super) struct Arrival {
    pub wakers: Vec<OwnedWaker>,
    /// A segment to send back over the link.
    pub reply: Option<Segment>,
}

impl Arrival {
    fn waking(owner: Owner, wakers: impl IntoIterator<Item = Waker>) -> Self {
        Arrival {
            wakers: wakers.into_iter().map(|waker| (owner, waker)).collect(),
            reply: None,
        }
    }
}

pub(super) struct Link {
    pub hosts: [HostId; 2],
    pub directions: [Direction; 2],
    /// Whether each side is open.
    pub open: [bool; 2],
    /// Whether a reset has reached each side.
    pub broken: [bool; 2],
    /// The result of the connect, once it has reached the connecting side.
    pub established: Option<bool>,
    pub connecting: Option<Waker>,
    /// Whether side 1 is in the backlog of its listener.
    pub in_backlog: bool,
    pub listener: SocketAddr,
    /// Maximum number of written and unread bytes per direction.
    pub buffer_bytes: usize,
}

impl Link {
    pub fn connecting(hosts: [HostId; 2], listener: SocketAddr) -> Self {
        Link {
            hosts,
            directions: Default::default(),
            open: [true, false],
            broken: [false; 2],
            established: None,
            connecting: None,
            in_backlog: false,
            listener,
            buffer_bytes: BUFFER_BYTES,
        }
    }

    /// Returns whether neither side is open and nothing is in transit.
    pub fn is_done(&self) -> bool {
        let empty = |direction: &Direction| direction.in_transit.is_empty();
        self.open == [false; 2] && self.directions.iter().all(empty)
    }

    pub fn enter_backlog(&mut self) {
        self.open[1] = true;
        self.in_backlog = true;
    }

    /// Removes a side from the backlog; returns whether it was there.
    pub fn remove_from_backlog(&mut self, side: usize) -> bool {
        side == 1 && std::mem::take(&mut self.in_backlog)
    }

    /// Returns the segment that a side sends on close: a reset if received bytes are unread, as TCP
    /// does.
    pub fn closing_segment(&mut self, side: usize) -> Option<Segment> {
        let unread = !self.directions[1 - side].received.is_empty();
        let was_write_closed = std::mem::replace(&mut self.directions[side].write_closed, true);
        if self.broken[side] {
            None
        } else if unread {
            Some(Segment::Reset)
        } else {
            (!was_write_closed).then_some(Segment::End)
        }
    }

    pub fn on_bytes(
        &mut self,
        now: Nanos,
        direction: usize,
        bytes: Vec<u8>,
        owners: [Owner; 2],
    ) -> Arrival {
        let receiver = 1 - direction;
        if !self.open[receiver] {
            return Arrival {
                wakers: Vec::new(),
                reply: Some(Segment::Reset),
            };
        }
        let direction = &mut self.directions[direction];
        direction.counters.count_arrival(now, bytes.len());
        direction.received.extend(bytes);
        Arrival::waking(owners[receiver], direction.reader.take())
    }

    pub fn on_end(&mut self, direction: usize, owners: [Owner; 2]) -> Arrival {
        let receiver = 1 - direction;
        let direction = &mut self.directions[direction];
        direction.end_received = true;
        Arrival::waking(owners[receiver], direction.reader.take())
    }

    pub fn on_reset(
        &mut self,
        direction: usize,
        owners: [Owner; 2],
        discard_unread: bool,
    ) -> Arrival {
        let receiver = 1 - direction;
        self.broken[receiver] = true;
        if discard_unread {
            self.directions[direction].received.clear();
        }
        let reader = self.directions[direction].reader.take();
        let writer = self.directions[receiver].writer.take();
        let wakers = reader
            .into_iter()
            .chain(writer)
            .chain(self.connecting.take());
        Arrival::waking(owners[receiver], wakers)
    }

    pub fn on_connect_result(&mut self, established: bool, owner: Owner) -> Arrival {
        self.established = Some(established);
        Arrival::waking(owner, self.connecting.take())
    }
}
