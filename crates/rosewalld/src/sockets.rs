//! Runtime over sockets: async-io's reactor, an executor of one thread, and the system's monotonic
//! clock, anchored to Unix time at program start.
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncWrite};
use rosewall::types::Nanos;
use rosewall_runtime::traits::{DatagramSocket, Listener, Readiness, Runtime, Stream};
use std::io::{self, ErrorKind};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Environment variable, for tests only: offset added to the wall clock, in milliseconds.
const CLOCK_SKEW_VARIABLE: &str = "ROSEWALL_SKEW_MS";

/// Runtime over sockets and the system clock.
pub struct Sockets {
    executor: Rc<LocalExecutor<'static>>,
    started: Instant,
    /// Unix time at `started`, with the offset from [`CLOCK_SKEW_VARIABLE`].
    started_unix: Nanos,
}

impl Sockets {
    /// Creates a runtime that spawns its tasks on `executor`.
    pub fn new(executor: Rc<LocalExecutor<'static>>) -> Self {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let unix_time = u64::try_from(unix_time.as_nanos()).unwrap_or_default();
        let started_unix = unix_time.saturating_add_signed(clock_skew());
        Sockets {
            executor,
            started: Instant::now(),
            started_unix,
        }
    }
}

/// Returns the offset of the wall clock in nanoseconds; 0 if it is unset or unreadable.
fn clock_skew() -> i64 {
    let skew_ms = std::env::var(CLOCK_SKEW_VARIABLE)
        .ok()
        .and_then(|ms| ms.parse::<i32>().ok())
        .unwrap_or(0);
    i64::from(skew_ms) * 1_000_000
}

impl Runtime for Sockets {
    type Stream = Socket;
    type Listener = SocketListener;
    type DatagramSocket = Datagrams;

    fn now(&self) -> Nanos {
        let elapsed = self.started.elapsed().as_nanos();
        self.started_unix + u64::try_from(elapsed).unwrap_or(u64::MAX / 2)
    }

    async fn sleep_until(&self, at: Nanos) {
        let since_start = at.saturating_sub(self.started_unix).min(u64::MAX / 4);
        Timer::at(self.started + Duration::from_nanos(since_start)).await;
    }

    fn spawn(&self, work: impl Future<Output = ()> + 'static) -> Task<()> {
        self.executor.spawn(work)
    }

    fn bind_datagram_socket(
        &self,
        address: SocketAddr,
        relay: Option<SocketAddr>,
    ) -> io::Result<Datagrams> {
        Ok(Datagrams {
            socket: Async::<UdpSocket>::bind(address)?,
            relay,
        })
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<Socket> {
        Socket::new(Async::<TcpStream>::connect(to).await?)
    }
}

/// UDP socket that sends and receives datagrams, directly or through a relay.
pub struct Datagrams {
    socket: Async<UdpSocket>,
    /// Relay that forwards all datagrams; `None` for direct exchange. Each relayed datagram is
    /// prefixed with the address of the remote side, in both directions.
    relay: Option<SocketAddr>,
}

/// Length of the prefix of a relayed datagram: an IPv4 address and a port.
const RELAY_PREFIX_BYTES: usize = 6;

impl DatagramSocket for Datagrams {
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        let socket = self.socket.get_ref();
        let Some(relay) = self.relay else {
            return socket.send_to(bytes, to).map(drop);
        };
        let IpAddr::V4(ip) = to.ip() else {
            return Err(ErrorKind::Unsupported.into());
        };
        let mut datagram = Vec::with_capacity(RELAY_PREFIX_BYTES + bytes.len());
        datagram.extend(ip.octets());
        datagram.extend(to.port().to_be_bytes());
        datagram.extend(bytes);
        socket.send_to(&datagram, relay).map(drop)
    }

    async fn receive(&self, bytes: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        if self.relay.is_none() {
            return self.socket.recv_from(bytes).await;
        }
        let mut datagram = vec![0; RELAY_PREFIX_BYTES + bytes.len()];
        let (length, _) = self.socket.recv_from(&mut datagram).await?;
        let Some((prefix, payload)) = datagram[..length].split_first_chunk::<RELAY_PREFIX_BYTES>()
        else {
            return Err(ErrorKind::InvalidData.into());
        };
        let &[a, b, c, d, port_high, port_low] = prefix;
        let sender = ([a, b, c, d], u16::from_be_bytes([port_high, port_low])).into();
        bytes[..payload.len()].copy_from_slice(payload);
        Ok((payload.len(), sender))
    }
}

/// TCP connection with Nagle's algorithm disabled.
pub struct Socket(Async<TcpStream>);

impl Socket {
    fn new(stream: Async<TcpStream>) -> io::Result<Self> {
        stream.get_ref().set_nodelay(true)?;
        Ok(Socket(stream))
    }
}

impl Stream for Socket {
    fn readiness(&self) -> Readiness {
        match self.0.get_ref().peek(&mut [0]) {
            Ok(1) => Readiness::Readable,
            Err(error) if error.kind() == ErrorKind::WouldBlock => Readiness::Idle,
            _ => Readiness::Closed,
        }
    }

    async fn readable(&self) -> io::Result<()> {
        self.0.readable().await
    }

    fn shutdown_write(&self) -> io::Result<()> {
        self.0.get_ref().shutdown(Shutdown::Write)
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_close(cx)
    }
}

/// TCP listener for client connections.
pub struct SocketListener(Async<TcpListener>);

impl SocketListener {
    /// Binds to an address and listens on it.
    ///
    /// # Errors
    /// Returns the system's error if the address cannot be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).and_then(Async::new)?;
        Ok(SocketListener(listener))
    }

    /// Returns the bound address, with the port that the system chose for port 0.
    ///
    /// # Errors
    /// Returns the system's error if the address cannot be determined.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.get_ref().local_addr()
    }
}

impl Listener for SocketListener {
    type Stream = Socket;

    fn set_backlog(&self, backlog: i32) -> io::Result<()> {
        Ok(rustix::net::listen(self.0.get_ref(), backlog)?)
    }

    async fn wait_ready(&self) -> io::Result<()> {
        self.0.readable().await
    }

    fn accept(&self) -> io::Result<Socket> {
        let (stream, _) = self.0.get_ref().accept()?;
        Socket::new(Async::new(stream)?)
    }
}
