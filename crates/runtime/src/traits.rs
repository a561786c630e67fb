//! Abstract runtime that the tasks run on: time, tasks, connections and datagrams. The daemon
//! implements it over sockets, the simulation over a virtual clock and network.
use async_executor::Task;
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use rosewall::types::Nanos;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// Read readiness of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The connection is open and there are no bytes to read.
    Idle,
    /// There are bytes to read.
    Readable,
    /// The connection was closed by the peer or has failed.
    Closed,
}

/// One connection. Dropping it closes it, with a reset if received bytes were not read.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + 'static {
    /// Returns the readiness without reading anything.
    fn readiness(&self) -> Readiness;
    /// Waits until the readiness is not [`Readiness::Idle`]. Returns an error if waiting is not
    /// possible.
    fn readable(&self) -> impl Future<Output = io::Result<()>>;
    /// Closes the sending side. Bytes from the peer can still be read.
    fn shutdown_write(&self) -> io::Result<()>;
}

/// Socket that accepts connections.
pub trait Listener: 'static {
    /// Type of the accepted connections.
    type Stream: Stream;
    /// Sets the maximum number of connections that wait to be accepted.
    fn set_backlog(&self, backlog: i32) -> io::Result<()>;
    /// Waits until a connection can be accepted.
    fn wait_ready(&self) -> impl Future<Output = io::Result<()>>;
    /// Accepts the connection that has waited longest. Fails with `WouldBlock` if none waits.
    fn accept(&self) -> io::Result<Self::Stream>;
}

/// Socket that sends and receives datagrams.
pub trait DatagramSocket: 'static {
    /// Sends a datagram without waiting, or fails.
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()>;
    /// Waits for the next datagram. Returns its length, truncated to the length of `bytes`, and its
    /// sender.
    fn receive(&self, bytes: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;
}

/// Clock, task spawning and network access.
pub trait Runtime: 'static {
    /// Type of connections.
    type Stream: Stream;
    /// Type of sockets for datagrams.
    type DatagramSocket: DatagramSocket;
    /// Type of listeners for connections.
    type Listener: Listener<Stream = Self::Stream>;
    /// Returns the current time: Unix time at startup, advanced by a monotonic clock from then on.
    fn now(&self) -> Nanos;
    /// Waits until `now` is `at` or later.
    fn sleep_until(&self, at: Nanos) -> impl Future<Output = ()>;
    /// Spawns a concurrent task. Dropping the handle cancels the task and drops everything that it
    /// owns.
    fn spawn(&self, work: impl Future<Output = ()> + 'static) -> Task<()>;
    /// Opens a socket that receives at `address`. With a `relay`, all datagrams pass through it,
    /// each prefixed with the address of the remote side.
    fn bind_datagram_socket(
        &self,
        address: SocketAddr,
        relay: Option<SocketAddr>,
    ) -> io::Result<Self::DatagramSocket>;
    /// Opens a connection to `to`.
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// Converts a duration to whole nanoseconds; one that does not fit becomes `u64::MAX / 2`.
pub fn nanos(duration: Duration) -> Nanos {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX / 2)
}

/// Sleeps for a duration.
pub async fn sleep<R: Runtime>(runtime: &R, duration: Duration) {
    runtime
        .sleep_until(runtime.now().saturating_add(nanos(duration)))
        .await;
}

/// Runs `work`. Fails with `TimedOut` if it takes longer than `limit`.
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
