//! The seam below the drivers: time, tasks and connections. The daemon stands on sockets, a world on its own network.
use async_executor::Task;
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use rosewall::types::Nanos;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// What is to be read from a connection just now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It is open and nothing is there.
    Idle,
    Readable,
    /// It has ended or broken.
    Closed,
}

/// One connection. Dropping it closes it: with a reset where bytes came that no one has read.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + 'static {
    /// Looks, and takes nothing.
    fn readiness(&self) -> Readiness;
    /// Waits until `look` would not find it silent; an error where that cannot be waited for.
    fn readable(&self) -> impl Future<Output = io::Result<()>>;
    /// Ends the sending side; what the other side sends can still be read.
    fn shutdown_write(&self) -> io::Result<()>;
}

/// Where connections come in.
pub trait Listener: 'static {
    type Stream: Stream;
    /// Has the system take in so many connections before they are accepted.
    fn set_backlog(&self, backlog: i32) -> io::Result<()>;
    /// Waits until someone is there.
    fn wait_ready(&self) -> impl Future<Output = io::Result<()>>;
    /// The one who came first; `WouldBlock` where no one is there.
    fn accept(&self) -> io::Result<Self::Stream>;
}

/// Where datagrams go out and come in.
pub trait DatagramSocket: 'static {
    /// Sends at once or not at all.
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;
    /// The next one's length, cut to the room there is, and its sender.
    fn receive(&self, bytes: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;
}

pub trait Runtime: 'static {
    type Stream: Stream;
    type DatagramSocket: DatagramSocket;
    type Listener: Listener<Stream = Self::Stream>;
    /// Unix time at the start, and from there on never back.
    fn now(&self) -> Nanos;
    /// Ends once `now` is `at` or later.
    fn sleep_until(&self, at: Nanos) -> impl Future<Output = ()>;
    /// Runs work beside the caller's; dropping the task ends it, with all that it holds.
    fn spawn(&self, work: impl Future<Output = ()> + 'static) -> Task<()>;
    /// Where datagrams come in; `through`: a relay that all go by, each with the other side's address before it.
    fn bind_datagram_socket(
        &self,
        at: SocketAddr,
        through: Option<SocketAddr>,
    ) -> io::Result<Self::DatagramSocket>;
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// A span as whole nanoseconds.
pub fn nanos(span: Duration) -> Nanos {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX / 2)
}

pub async fn sleep<R: Runtime>(runtime: &R, span: Duration) {
    runtime
        .sleep_until(runtime.now().saturating_add(nanos(span)))
        .await;
}

/// Work that counts as timed out where it takes longer than the limit.
pub async fn with_timeout<R: Runtime, T>(
    runtime: &R,
    limit: Duration,
    work: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let late = async {
        sleep(runtime, limit).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    work.or(late).await
}
