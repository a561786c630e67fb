//! The runtime that the tasks run on: time, tasks, connections and datagrams. The daemon implements it over sockets, the
//! simulation over a virtual clock and network.
use async_executor::Task;
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use rosewall::types::Nanos;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// What is to be read from a connection now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It is open and nothing is there.
    Idle,
    /// Bytes are there.
    Readable,
    /// It has ended or broken.
    Closed,
}

/// One connection. Dropping it closes it: with a reset where bytes arrived that were not read.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + 'static {
    /// Its readiness; reads nothing.
    fn readiness(&self) -> Readiness;
    /// Waits until its readiness is not [`Readiness::Idle`]; an error where that cannot be waited for.
    fn readable(&self) -> impl Future<Output = io::Result<()>>;
    /// Ends the sending side; what the peer sends can still be read.
    fn shutdown_write(&self) -> io::Result<()>;
}

/// Where connections come in.
pub trait Listener: 'static {
    /// The connections.
    type Stream: Stream;
    /// Sets how many connections the system accepts ahead of this program.
    fn set_backlog(&self, backlog: i32) -> io::Result<()>;
    /// Waits until a connection can be accepted.
    fn wait_ready(&self) -> impl Future<Output = io::Result<()>>;
    /// The oldest connection that waits; `WouldBlock` where there is none.
    fn accept(&self) -> io::Result<Self::Stream>;
}

/// Where datagrams go out and come in.
pub trait DatagramSocket: 'static {
    /// Sends at once or not at all.
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;
    /// The length of the next datagram, cut to the buffer's, and its sender.
    fn receive(&self, bytes: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;
}

/// Time, tasks and the network.
pub trait Runtime: 'static {
    /// Connections.
    type Stream: Stream;
    /// Sockets for datagrams.
    type DatagramSocket: DatagramSocket;
    /// Listeners for connections.
    type Listener: Listener<Stream = Self::Stream>;
    /// Unix time at the start, and monotonic from there on.
    fn now(&self) -> Nanos;
    /// Ends once `now` is `at` or later.
    fn sleep_until(&self, at: Nanos) -> impl Future<Output = ()>;
    /// Runs a task concurrently; dropping the handle cancels it and drops all that it owns.
    fn spawn(&self, work: impl Future<Output = ()> + 'static) -> Task<()>;
    /// A socket that receives at `address`. Datagrams go through `relay`, where there is one, each with the other side's
    /// address before it.
    fn bind_datagram_socket(
        &self,
        address: SocketAddr,
        relay: Option<SocketAddr>,
    ) -> io::Result<Self::DatagramSocket>;
    /// Opens a connection.
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// A duration as whole nanoseconds.
pub fn nanos(duration: Duration) -> Nanos {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX / 2)
}

/// Sleeps for a time.
pub async fn sleep<R: Runtime>(runtime: &R, duration: Duration) {
    runtime
        .sleep_until(runtime.now().saturating_add(nanos(duration)))
        .await;
}

/// Fails with `TimedOut` where the work takes longer than the limit.
pub async fn with_timeout<R: Runtime, T>(
    runtime: &R,
    limit: Duration,
    work: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let timeout = async {
        sleep(runtime, limit).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    work.or(timeout).await
}
