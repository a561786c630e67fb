//! The seam below the drivers: time, tasks and connections. The daemon stands on sockets, a world on its own network.
use async_executor::Task;
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use rosewall::types::Nanos;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// What is to be read from a connection just now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Look {
    /// It is open and nothing is there.
    Silent,
    Bytes,
    /// It has ended or broken.
    Ended,
}

/// One connection. Dropping it closes it: with a reset where bytes came that no one has read.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + 'static {
    /// Looks, and takes nothing.
    fn look(&self) -> Look;
    /// Waits until `look` would not find it silent; an error where that cannot be waited for.
    fn readable(&self) -> impl Future<Output = io::Result<()>>;
    /// Ends the sending side; what the other side sends can still be read.
    fn end(&self) -> io::Result<()>;
}

/// Where connections come in.
pub trait Door: 'static {
    type Stream: Stream;
    /// Has the system take in so many connections before they are accepted.
    fn widen(&self, backlog: i32) -> io::Result<()>;
    /// Waits until someone is there.
    fn ready(&self) -> impl Future<Output = io::Result<()>>;
    /// The one who came first; `WouldBlock` where no one is there.
    fn accept(&self) -> io::Result<Self::Stream>;
}

/// Where datagrams go out and come in.
pub trait Mail: 'static {
    /// Sends at once or not at all.
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;
    /// The next one's length, cut to the room there is, and its sender.
    fn receive(&self, bytes: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;
}

pub trait Ground: 'static {
    type Stream: Stream;
    type Mail: Mail;
    type Door: Door<Stream = Self::Stream>;
    /// Unix time at the start, and from there on never back.
    fn now(&self) -> Nanos;
    /// Ends once `now` is `at` or later.
    fn until(&self, at: Nanos) -> impl Future<Output = ()>;
    /// Runs work beside the caller's; dropping the task ends it, with all that it holds.
    fn spawn(&self, work: impl Future<Output = ()> + 'static) -> Task<()>;
    /// Where datagrams come in; `through`: a relay that all go by, each with the other side's address before it.
    fn mail(&self, at: SocketAddr, through: Option<SocketAddr>) -> io::Result<Self::Mail>;
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// A span as whole nanoseconds.
pub fn nanos(span: Duration) -> Nanos {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX / 2)
}

pub async fn pause<G: Ground>(ground: &G, span: Duration) {
    ground.until(ground.now().saturating_add(nanos(span))).await;
}

/// Work that counts as timed out where it takes longer than the limit.
pub async fn within<G: Ground, T>(
    ground: &G,
    limit: Duration,
    work: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let late = async {
        pause(ground, limit).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    work.or(late).await
}
