//! The ground of sockets: async-io's reactor under the executor of this thread, and the system's monotonic clock,
//! anchored once to Unix time.
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

pub struct Sockets {
    ex: Rc<LocalExecutor<'static>>,
    base: Instant,
    unix: Nanos,
}

impl Sockets {
    pub fn new(ex: Rc<LocalExecutor<'static>>) -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let unix = u64::try_from(unix.as_nanos()).unwrap_or_default();
        // For tests: a wall clock that is off by so many ms.
        let skew = std::env::var("ROSEWALL_SKEW_MS")
            .ok()
            .and_then(|ms| ms.parse::<i32>().ok())
            .unwrap_or(0);
        let unix = unix.saturating_add_signed(i64::from(skew) * 1_000_000);
        Sockets {
            ex,
            base: Instant::now(),
            unix,
        }
    }
}

impl Runtime for Sockets {
    type Stream = Socket;
    type Listener = SocketListener;
    type DatagramSocket = Datagrams;

    fn now(&self) -> Nanos {
        self.unix + u64::try_from(self.base.elapsed().as_nanos()).unwrap_or(u64::MAX / 2)
    }

    async fn sleep_until(&self, at: Nanos) {
        // The reactor's clock may be a little ahead of what was read here: it is never too early by more.
        Timer::at(self.base + Duration::from_nanos(at.saturating_sub(self.unix).min(u64::MAX / 4)))
            .await;
    }

    fn spawn(&self, work: impl Future<Output = ()> + 'static) -> Task<()> {
        self.ex.spawn(work)
    }

    fn bind_datagram_socket(
        &self,
        at: SocketAddr,
        through: Option<SocketAddr>,
    ) -> io::Result<Datagrams> {
        Ok(Datagrams {
            socket: Async::<UdpSocket>::bind(at)?,
            through,
        })
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<Socket> {
        Socket::new(Async::<TcpStream>::connect(to).await?)
    }
}

pub struct Datagrams {
    socket: Async<UdpSocket>,
    /// A relay, to which the other side's address goes before each datagram, and from which it comes so.
    through: Option<SocketAddr>,
}

/// An IPv4 address and a port, as they stand before a datagram.
const PREFIX: usize = 6;

impl DatagramSocket for Datagrams {
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        let socket = self.socket.get_ref();
        let Some(relay) = self.through else {
            return socket.send_to(bytes, to).map(drop);
        };
        let IpAddr::V4(ip) = to.ip() else {
            return Err(ErrorKind::Unsupported.into());
        };
        let mut whole = Vec::with_capacity(PREFIX + bytes.len());
        whole.extend(ip.octets());
        whole.extend(to.port().to_be_bytes());
        whole.extend(bytes);
        socket.send_to(&whole, relay).map(drop)
    }

    async fn receive(&self, bytes: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        if self.through.is_none() {
            return self.socket.recv_from(bytes).await;
        }
        let mut whole = vec![0; PREFIX + bytes.len()];
        let (length, _) = self.socket.recv_from(&mut whole).await?;
        let Some((&[a, b, c, d, x, y], rest)) = whole[..length].split_first_chunk::<PREFIX>()
        else {
            return Err(ErrorKind::InvalidData.into());
        };
        bytes[..rest.len()].copy_from_slice(rest);
        Ok((
            rest.len(),
            ([a, b, c, d], u16::from_be_bytes([x, y])).into(),
        ))
    }
}

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

pub struct SocketListener(pub Async<TcpListener>);

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
