//! Datagrams between processes go through here: each comes with the address that it is for before it, and goes on with
//! the address that it came from. So every directed pair can lose, delay, repeat, reorder and be cut.
use crate::error::RigError;
use crate::scale::map::{Cut, Ways as Distances, zone};
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use rosewall::pcg::Pcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
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
    /// How far zones lie apart, and two regions that are cut from each other, where that is played.
    distances: Option<Distances>,
    parted: Option<Cut>,
    carried: u64,
    bytes: u64,
    lost: u64,
    /// Datagrams and bytes by the number of the sender and of the receiver.
    sent: HashMap<usize, (u64, u64)>,
    got: HashMap<usize, (u64, u64)>,
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
        let socket = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0)).map_err(RigError::Socket)?;
        let address = socket.get_ref().local_addr().map_err(RigError::Socket)?;
        let relay = Relay {
            address,
            ways: Arc::default(),
            over: Arc::default(),
        };
        let shared = relay.clone();
        thread::spawn(move || async_io::block_on(shared.carry(&socket, seed)));
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

    /// Zones lie so far apart, beside what else happens on the way.
    pub fn distances(&self, distances: Distances) {
        self.with(|ways| ways.distances = Some(distances));
    }

    pub fn part(&self, cut: Option<Cut>) {
        self.with(|ways| ways.parted = cut);
    }

    /// Datagrams and bytes that one has sent, and that were carried to it.
    pub fn of(&self, number: usize) -> ((u64, u64), (u64, u64)) {
        let of =
            |counts: &HashMap<usize, (u64, u64)>| counts.get(&number).copied().unwrap_or_default();
        self.with(|ways| (of(&ways.sent), of(&ways.got)))
    }

    /// Datagrams carried and lost, and bytes carried.
    pub fn counts(&self) -> (u64, u64, u64) {
        self.with(|ways| (ways.carried, ways.lost, ways.bytes))
    }

    async fn carry(&self, socket: &Async<UdpSocket>, seed: u64) {
        let mut chance = Pcg::new(seed);
        let mut late: BinaryHeap<Late> = BinaryHeap::new();
        let (mut bytes, mut serial) = ([0; 2048], 0);
        while !self.over.load(Ordering::Relaxed) {
            while late
                .peek()
                .is_some_and(|Reverse((at, ..))| *at <= Instant::now())
            {
                if let Some(Reverse((_, _, to, bytes))) = late.pop() {
                    let _ = socket.get_ref().send_to(&bytes, to);
                }
            }
            let soon = Instant::now() + Duration::from_millis(20);
            let next = late.peek().map_or(soon, |Reverse((at, ..))| soon.min(*at));
            // An error is an answer that no one was there; the next datagram is as good as before.
            let came = async { socket.recv_from(&mut bytes).await.ok() };
            let due = async {
                Timer::at(next).await;
                None
            };
            let Some((length, from)) = came.or(due).await else {
                continue;
            };
            let Some(to) = read(&bytes[..length]) else {
                continue;
            };
            write(from, &mut bytes);
            let way = self.with(|ways| {
                let pair = (ways.numbers.get(&from), ways.numbers.get(&to));
                let pair = pair.0.copied().zip(pair.1.copied());
                let way = pair
                    .and_then(|pair| ways.of.get(&pair))
                    .copied()
                    .unwrap_or(ways.usual);
                let zones = pair.map(|(from, to)| (zone(from), zone(to)));
                let parted = zones
                    .zip(ways.parted)
                    .is_some_and(|((from, to), cut)| cut.parts(from, to));
                let lost = way.cut || parted || chance.unit() < way.loss;
                let size = length as u64 - PREFIX as u64;
                let count = |counts: &mut (u64, u64)| *counts = (counts.0 + 1, counts.1 + size);
                if let Some((from, to)) = pair {
                    count(ways.sent.entry(from).or_default());
                    if !lost {
                        count(ways.got.entry(to).or_default());
                    }
                }
                ways.lost += u64::from(lost);
                ways.carried += u64::from(!lost);
                ways.bytes += if lost { 0 } else { size };
                let far = zones
                    .zip(ways.distances)
                    .map(|((from, to), far)| far.between(from, to));
                (!lost).then_some((way, far.unwrap_or_default()))
            });
            let Some((way, far)) = way else { continue };
            for _ in 0..1 + u64::from(chance.unit() < way.twice) {
                let wait = way.delay_ms as f64 + chance.unit() * way.jitter_ms as f64;
                let wait = far + Duration::from_secs_f64(wait / 1e3);
                serial += 1;
                if wait > Duration::ZERO {
                    late.push(Reverse((
                        Instant::now() + wait,
                        serial,
                        to,
                        bytes[..length].to_vec(),
                    )));
                } else {
                    let _ = socket.get_ref().send_to(&bytes[..length], to);
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
