//! Datagrams between processes go through here: each comes with the address that it is for before it, and goes on with
//! the address that it came from. So every directed pair can lose, delay, repeat, reorder and be cut.
use crate::error::RigError;
use rosewall::pcg::Pcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::ErrorKind;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What happens to each datagram of a directed pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Way {
    /// The part that is lost, and the part that comes twice.
    pub loss: f64,
    pub twice: f64,
    /// Those that come late wait this long and up to `jitter_ms` more, which also changes their order.
    pub delay_ms: u64,
    pub jitter_ms: u64,
    pub cut: bool,
}

#[derive(Default)]
struct Ways {
    usual: Way,
    /// By the numbers of sender and receiver.
    of: HashMap<(usize, usize), Way>,
    numbers: HashMap<SocketAddr, usize>,
    carried: u64,
    bytes: u64,
    lost: u64,
}

#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    ways: Arc<Mutex<Ways>>,
    over: Arc<AtomicBool>,
}

/// What waits: until when, in the order of coming, for whom.
type Late = Reverse<(Instant, u64, SocketAddr, Vec<u8>)>;

/// An address as it stands before a datagram.
pub const PREFIX: usize = 6;

fn read(bytes: &[u8]) -> Option<SocketAddr> {
    let [a, b, c, d, x, y] = *bytes.first_chunk::<PREFIX>()?;
    Some((Ipv4Addr::new(a, b, c, d), u16::from_be_bytes([x, y])).into())
}

fn write(address: SocketAddr, bytes: &mut [u8]) {
    if let (IpAddr::V4(ip), Some(room)) = (address.ip(), bytes.first_chunk_mut::<PREFIX>()) {
        let ([a, b, c, d], [x, y]) = (ip.octets(), address.port().to_be_bytes());
        *room = [a, b, c, d, x, y];
    }
}

impl Relay {
    pub fn start(seed: u64) -> Result<Relay, RigError> {
        let socket = UdpSocket::bind("127.0.0.1:0").map_err(RigError::Socket)?;
        let address = socket.local_addr().map_err(RigError::Socket)?;
        let relay = Relay { address, ways: Arc::default(), over: Arc::default() };
        let shared = relay.clone();
        thread::spawn(move || shared.carry(&socket, seed));
        Ok(relay)
    }

    fn with<T>(&self, act: impl FnOnce(&mut Ways) -> T) -> T {
        act(&mut self.ways.lock().unwrap_or_else(|held| held.into_inner()))
    }

    /// Who sends from where.
    pub fn number(&self, address: SocketAddr, number: usize) {
        self.with(|ways| ways.numbers.insert(address, number));
    }

    pub fn usual(&self, way: Way) {
        self.with(|ways| ways.usual = way);
    }

    pub fn set(&self, from: usize, to: usize, way: Option<Way>) {
        self.with(|ways| match way {
            Some(way) => drop(ways.of.insert((from, to), way)),
            None => drop(ways.of.remove(&(from, to))),
        });
    }

    /// All pairs as usual again.
    pub fn heal(&self) {
        self.with(|ways| ways.of.clear());
    }

    /// Datagrams carried and lost, and bytes carried.
    pub fn counts(&self) -> (u64, u64, u64) {
        self.with(|ways| (ways.carried, ways.lost, ways.bytes))
    }

    fn carry(&self, socket: &UdpSocket, seed: u64) {
        let mut chance = Pcg::new(seed);
        let mut late: BinaryHeap<Late> = BinaryHeap::new();
        let (mut bytes, mut serial) = ([0; 2048], 0);
        while !self.over.load(Ordering::Relaxed) {
            while late.peek().is_some_and(|Reverse((at, ..))| *at <= Instant::now()) {
                if let Some(Reverse((_, _, to, bytes))) = late.pop() {
                    let _ = socket.send_to(&bytes, to);
                }
            }
            let next = late.peek().map_or(Duration::from_millis(20), |Reverse((at, ..))| {
                at.saturating_duration_since(Instant::now()).max(Duration::from_micros(200))
            });
            let _ = socket.set_read_timeout(Some(next.min(Duration::from_millis(20))));
            let (length, from) = match socket.recv_from(&mut bytes) {
                Ok(got) => got,
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
                // An answer that no one was there; the next datagram is as good as before.
                Err(_) => continue,
            };
            let Some(to) = read(&bytes[..length]) else { continue };
            write(from, &mut bytes);
            let way = self.with(|ways| {
                let pair = (ways.numbers.get(&from), ways.numbers.get(&to));
                let pair = pair.0.copied().zip(pair.1.copied());
                let way = pair.and_then(|pair| ways.of.get(&pair)).copied().unwrap_or(ways.usual);
                let lost = way.cut || chance.unit() < way.loss;
                ways.lost += u64::from(lost);
                ways.carried += u64::from(!lost);
                ways.bytes += if lost { 0 } else { length as u64 - PREFIX as u64 };
                (!lost).then_some(way)
            });
            let Some(way) = way else { continue };
            for _ in 0..1 + u64::from(chance.unit() < way.twice) {
                let wait = way.delay_ms as f64 + chance.unit() * way.jitter_ms as f64;
                serial += 1;
                if wait > 0.0 {
                    let at = Instant::now() + Duration::from_secs_f64(wait / 1e3);
                    late.push(Reverse((at, serial, to, bytes[..length].to_vec())));
                } else {
                    let _ = socket.send_to(&bytes[..length], to);
                }
            }
        }
    }
}

/// Ends the relay's thread with whoever started it.
pub struct Ends(pub Relay);

impl Drop for Ends {
    fn drop(&mut self) {
        self.0.over.store(true, Ordering::Relaxed);
    }
}
