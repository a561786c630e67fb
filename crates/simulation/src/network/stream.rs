//! Byte streams over the links of the virtual network.
use super::link::{DirectionCounters, Link, Segment};
use super::{HostId, LinkSide, Network};
use futures_lite::{AsyncRead, AsyncWrite};
use rosewall_runtime::traits::{Readiness, Stream};
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// The maximum number of written and unread bytes per direction: the size of a small socket buffer.
pub(super) const BUFFER_BYTES: usize = 32 * 1024;
/// The same for a connection that waits to be accepted by a host that limits it.
pub(super) const UNACCEPTED_BUFFER_BYTES: usize = 256;

/// One side of a link. Dropping the stream closes that side.
pub struct VirtualStream {
    network: Rc<Network>,
    end: LinkSide,
}

impl VirtualStream {
    pub(super) fn new(network: &Rc<Network>, end: LinkSide) -> Self {
        VirtualStream {
            network: network.clone(),
            end,
        }
    }

    /// Returns the host of the other side, or 0 if the link no longer exists.
    pub fn peer(&self) -> HostId {
        self.link(|link| link.hosts[1 - self.end.side])
            .unwrap_or_default()
    }

    /// Returns the counters of the direction that this side writes.
    pub fn sent(&self) -> Rc<DirectionCounters> {
        self.counters(self.end.side)
    }

    /// Returns the counters of the direction that this side reads.
    pub fn received(&self) -> Rc<DirectionCounters> {
        self.counters(1 - self.end.side)
    }

    /// Sets the number of bytes per direction that the systems of both sides hold.
    pub fn set_buffer_bytes(&self, bytes: usize) {
        let mut state = self.network.state.borrow_mut();
        if let Some(link) = state.links.get_mut(self.end.link) {
            link.buffer_bytes = bytes;
        }
    }

    fn counters(&self, direction: usize) -> Rc<DirectionCounters> {
        self.link(|link| link.directions[direction].counters.clone())
            .unwrap_or_default()
    }

    fn link<T>(&self, read: impl FnOnce(&Link) -> T) -> Option<T> {
        self.network
            .state
            .borrow()
            .links
            .get(self.end.link)
            .map(read)
    }

    /// Sends a reset to the other side.
    pub fn reset(self) {
        {
            let mut state = self.network.state.borrow_mut();
            let Some(link) = state.links.get_mut(self.end.link) else {
                return;
            };
            if link.broken[self.end.side] {
                return;
            }
            link.directions[self.end.side].write_closed = true;
        }
        self.send(Segment::Reset);
    }

    fn send(&self, segment: Segment) {
        self.network.send(self.end.link, self.end.side, segment);
    }

    /// Returns how many of at most `limit` bytes one read or write transfers; the number is random
    /// with probability `partial_io`.
    fn partial(&self, limit: usize, partial_io: f64) -> usize {
        if limit <= 1 || partial_io <= 0.0 {
            return limit;
        }
        self.network.kernel.random(|rng| {
            if rng.chance(partial_io) {
                rng.range(1, limit as u64 + 1) as usize
            } else {
                limit
            }
        })
    }
}

impl Drop for VirtualStream {
    fn drop(&mut self) {
        self.network.close(self.end);
    }
}

impl AsyncRead for VirtualStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let LinkSide { link, side } = self.end;
        let mut state = self.network.state.borrow_mut();
        let partial_io = state.conditions.partial_io;
        let Some(entry) = state.links.get_mut(link) else {
            return Poll::Ready(Ok(0));
        };
        let direction = &mut entry.directions[1 - side];
        if direction.received.is_empty() {
            return if entry.broken[side] {
                Poll::Ready(Err(ErrorKind::ConnectionReset.into()))
            } else if direction.end_received {
                Poll::Ready(Ok(0))
            } else {
                direction.reader = Some(cx.waker().clone());
                Poll::Pending
            };
        }
        let count = self.partial(direction.received.len().min(buffer.len()), partial_io);
        for (target, byte) in buffer.iter_mut().zip(direction.received.drain(..count)) {
            *target = byte;
        }
        direction.counters.count_read(count);
        let waker = direction.writer.take();
        let writer = entry.hosts[1 - side];
        let owner = state.hosts[writer].owner;
        drop(state);
        if let Some(waker) = waker {
            self.network.kernel.wake(owner, waker);
        }
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for VirtualStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let LinkSide { link, side } = self.end;
        let count = {
            let mut state = self.network.state.borrow_mut();
            let partial_io = state.conditions.partial_io;
            let now = self.network.kernel.now();
            let Some(entry) = state.links.get(link) else {
                return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
            };
            let buffer_bytes = state.buffer_bytes(now, entry);
            let Some(entry) = state.links.get_mut(link) else {
                return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
            };
            let broken = entry.broken[side];
            let direction = &mut entry.directions[side];
            if broken || direction.write_closed {
                return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
            }
            let unread = direction.unread_bytes();
            if unread >= buffer_bytes {
                direction.writer = Some(cx.waker().clone());
                return Poll::Pending;
            }
            let count = self.partial(bytes.len().min(buffer_bytes - unread), partial_io);
            direction.counters.count_write(now, count);
            count
        };
        self.send(Segment::Bytes(bytes[..count].to_vec()));
        Poll::Ready(Ok(count))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(self.shutdown_write())
    }
}

impl Stream for VirtualStream {
    fn readiness(&self) -> Readiness {
        self.link(|link| {
            let direction = &link.directions[1 - self.end.side];
            if !direction.received.is_empty() {
                Readiness::Readable
            } else if link.broken[self.end.side] || direction.end_received {
                Readiness::Closed
            } else {
                Readiness::Idle
            }
        })
        .unwrap_or(Readiness::Closed)
    }

    async fn readable(&self) -> io::Result<()> {
        std::future::poll_fn(|cx| {
            if self.readiness() != Readiness::Idle {
                return Poll::Ready(());
            }
            let mut state = self.network.state.borrow_mut();
            if let Some(link) = state.links.get_mut(self.end.link) {
                link.directions[1 - self.end.side].reader = Some(cx.waker().clone());
            }
            Poll::Pending
        })
        .await;
        Ok(())
    }

    fn shutdown_write(&self) -> io::Result<()> {
        {
            let mut state = self.network.state.borrow_mut();
            let link = state
                .links
                .get_mut(self.end.link)
                .filter(|link| !link.broken[self.end.side]);
            let Some(link) = link else {
                return Err(ErrorKind::NotConnected.into());
            };
            if std::mem::replace(&mut link.directions[self.end.side].write_closed, true) {
                return Ok(());
            }
        }
        self.send(Segment::End);
        Ok(())
    }
}
