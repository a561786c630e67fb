//! What is in a datagram between dispatchers: a head with the sender's own record, then parts, each with its length, so
//! that a part that is not known is passed over. Numbers are big-endian.
use rosewall::types::{PeerLoad, WorkerId};
use std::net::{Ipv4Addr, SocketAddr};

/// The most bytes of a datagram: what passes every network unbroken, less room for tunnels.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// The most bytes of a name.
pub const MAX_NAME_BYTES: usize = 32;
const MAGIC: [u8; 2] = *b"rC";
const VERSION: u8 = 1;
/// A rank that is not claimed.
pub const NO_RANK: u16 = u16::MAX;

pub type Name = std::rc::Rc<str>;

/// What is held of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    Alive,
    Suspect,
    Dead,
    Left,
}

/// What is known of one member, as it is passed on.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberRecord {
    pub name: Name,
    pub addr: SocketAddr,
    /// Drawn at each start of its process, higher than at the start before.
    pub start: u64,
    /// Raised by itself alone, to refute what is held of it or to tell anew.
    pub incarnation: u32,
    pub state: MemberState,
    /// The rank that it has taken.
    pub claimed_rank: u16,
    /// Whether it gives rights.
    pub issues_grants: bool,
    /// Of a suspicion: by whom, as a hash of the name.
    pub suspected_by: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    /// Whether this name lives.
    Ping {
        seq: u32,
        to: Name,
    },
    Ack {
        seq: u32,
    },
    /// Asked in another's name, and no answer came.
    Nack {
        seq: u32,
    },
    /// Ask this one in my place.
    IndirectPing {
        seq: u32,
        to: Name,
        addr: SocketAddr,
    },
    Record(MemberRecord),
    /// Which members the sender knows as living, as a hash.
    Digest {
        hash: u32,
        count: u16,
    },
    /// Send what you know, from this place on.
    PageRequest {
        from: u16,
    },
    /// Promise not to promise another for the span of a lease.
    LeaseRequest {
        seq: u32,
    },
    LeaseVote {
        seq: u32,
        given: bool,
    },
    /// A right to send so much work (in ms of one seat) to a cold worker.
    GrantRequest {
        seq: u32,
        worker: WorkerId,
        work: u32,
    },
    /// Given, from the moment at which it was asked for, for `lasts` ms; none where `work` is 0.
    Grant {
        seq: u32,
        worker: WorkerId,
        work: u32,
        lasts: u16,
    },
    /// What the sender has out at a worker and how that runs, told so many units of 4 ms ago.
    PeerLoad {
        load: PeerLoad,
        age: u8,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    pub sender: MemberRecord,
    pub parts: Vec<Part>,
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    Length,
    Mark,
    Version(u8),
    /// Of another cluster.
    Cluster,
    Part,
}

/// FNV-1a, 32 bits.
pub fn hash(bytes: &[u8]) -> u32 {
    bytes.iter().fold(0x811c_9dc5, |hash, byte| {
        (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193)
    })
}

#[derive(Default)]
struct Writer(Vec<u8>);

impl Writer {
    fn bytes(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    fn name(&mut self, name: &str) {
        let bytes = &name.as_bytes()[..name.len().min(MAX_NAME_BYTES)];
        self.0.push(bytes.len() as u8);
        self.bytes(bytes);
    }

    fn addr(&mut self, addr: SocketAddr) {
        let ip = match addr.ip() {
            std::net::IpAddr::V4(ip) => ip,
            std::net::IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
        };
        self.bytes(&ip.octets());
        self.bytes(&addr.port().to_be_bytes());
    }

    fn worker(&mut self, worker: WorkerId) {
        self.bytes(&worker.addr);
        self.bytes(&worker.port.to_be_bytes());
    }

    fn record(&mut self, record: &MemberRecord) {
        self.name(&record.name);
        self.addr(record.addr);
        self.bytes(&record.start.to_be_bytes());
        self.bytes(&record.incarnation.to_be_bytes());
        self.0
            .push(record.state as u8 | u8::from(record.issues_grants) << 7);
        self.bytes(&record.claimed_rank.to_be_bytes());
        self.bytes(&record.suspected_by.to_be_bytes());
    }

    fn part(&mut self, part: &Part) {
        let at = self.0.len();
        let tag = match part {
            Part::Ping { .. } => 1,
            Part::Ack { .. } => 2,
            Part::Nack { .. } => 3,
            Part::IndirectPing { .. } => 4,
            Part::Record(_) => 5,
            Part::Digest { .. } => 6,
            Part::PageRequest { .. } => 7,
            Part::LeaseRequest { .. } => 8,
            Part::LeaseVote { .. } => 9,
            Part::GrantRequest { .. } => 10,
            Part::Grant { .. } => 11,
            Part::PeerLoad { .. } => 12,
        };
        self.bytes(&[tag, 0]);
        match part {
            Part::Ping { seq, to } => {
                self.bytes(&seq.to_be_bytes());
                self.name(to);
            }
            Part::Ack { seq } | Part::Nack { seq } | Part::LeaseRequest { seq } => {
                self.bytes(&seq.to_be_bytes())
            }
            Part::IndirectPing { seq, to, addr } => {
                self.bytes(&seq.to_be_bytes());
                self.name(to);
                self.addr(*addr);
            }
            Part::Record(record) => self.record(record),
            Part::Digest { hash, count } => {
                self.bytes(&hash.to_be_bytes());
                self.bytes(&count.to_be_bytes());
            }
            Part::PageRequest { from } => self.bytes(&from.to_be_bytes()),
            Part::LeaseVote { seq, given } => {
                self.bytes(&seq.to_be_bytes());
                self.0.push(u8::from(*given));
            }
            Part::GrantRequest { seq, worker, work } => {
                self.bytes(&seq.to_be_bytes());
                self.worker(*worker);
                self.bytes(&work.to_be_bytes());
            }
            Part::Grant {
                seq,
                worker,
                work,
                lasts,
            } => {
                self.bytes(&seq.to_be_bytes());
                self.worker(*worker);
                self.bytes(&work.to_be_bytes());
                self.bytes(&lasts.to_be_bytes());
            }
            Part::PeerLoad { load, age } => {
                self.worker(load.worker);
                self.0.push(load.half_slots);
                self.bytes(&load.work_units.to_be_bytes());
                self.bytes(&[load.speed_code, *age]);
            }
        }
        let length = self.0.len() - at - 2;
        self.0[at + 1] = length as u8;
    }
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (bytes, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(bytes)
    }

    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.take(N)?.try_into().ok()
    }

    fn u8(&mut self) -> Option<u8> {
        self.array().map(|[byte]| byte)
    }

    fn u16(&mut self) -> Option<u16> {
        self.array().map(u16::from_be_bytes)
    }

    fn u32(&mut self) -> Option<u32> {
        self.array().map(u32::from_be_bytes)
    }

    fn name(&mut self) -> Option<Name> {
        let length = usize::from(self.u8()?);
        let text = std::str::from_utf8(self.take(length)?).ok()?;
        is_name(text).then(|| text.into())
    }

    fn addr(&mut self) -> Option<SocketAddr> {
        let ip: [u8; 4] = self.array()?;
        Some((ip, self.u16()?).into())
    }

    fn worker(&mut self) -> Option<WorkerId> {
        Some(WorkerId {
            addr: self.array()?,
            port: self.u16()?,
        })
    }

    fn record(&mut self) -> Option<MemberRecord> {
        let (name, addr) = (self.name()?, self.addr()?);
        let (start, incarnation) = (self.array().map(u64::from_be_bytes)?, self.u32()?);
        let byte = self.u8()?;
        let state = match byte & 0x7f {
            0 => MemberState::Alive,
            1 => MemberState::Suspect,
            2 => MemberState::Dead,
            3 => MemberState::Left,
            _ => return None,
        };
        let (claimed_rank, suspected_by) = (self.u16()?, self.u32()?);
        Some(MemberRecord {
            name,
            addr,
            start,
            incarnation,
            state,
            claimed_rank,
            issues_grants: byte & 0x80 != 0,
            suspected_by,
        })
    }

    /// One part; an inner `None` where its tag is not known.
    fn part(&mut self) -> Option<Option<Part>> {
        let (tag, length) = (self.u8()?, usize::from(self.u8()?));
        let mut body = Reader(self.take(length)?);
        let seq = |body: &mut Reader| body.u32();
        let part = match tag {
            1 => Part::Ping {
                seq: seq(&mut body)?,
                to: body.name()?,
            },
            2 => Part::Ack {
                seq: seq(&mut body)?,
            },
            3 => Part::Nack {
                seq: seq(&mut body)?,
            },
            4 => Part::IndirectPing {
                seq: seq(&mut body)?,
                to: body.name()?,
                addr: body.addr()?,
            },
            5 => Part::Record(body.record()?),
            6 => Part::Digest {
                hash: body.u32()?,
                count: body.u16()?,
            },
            7 => Part::PageRequest { from: body.u16()? },
            8 => Part::LeaseRequest {
                seq: seq(&mut body)?,
            },
            9 => Part::LeaseVote {
                seq: seq(&mut body)?,
                given: body.u8()? == 1,
            },
            10 => Part::GrantRequest {
                seq: seq(&mut body)?,
                worker: body.worker()?,
                work: body.u32()?,
            },
            11 => {
                let (seq, worker) = (seq(&mut body)?, body.worker()?);
                Part::Grant {
                    seq,
                    worker,
                    work: body.u32()?,
                    lasts: body.u16()?,
                }
            }
            12 => {
                let (worker, half_slots) = (body.worker()?, body.u8()?);
                let load = PeerLoad {
                    worker,
                    half_slots,
                    work_units: body.u16()?,
                    speed_code: body.u8()?,
                };
                Part::PeerLoad {
                    load,
                    age: body.u8()?,
                }
            }
            _ => return Some(None),
        };
        Some(Some(part))
    }
}

/// Whether a word may be a name: letters, digits, point, minus and underline.
pub fn is_name(text: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.bytes().all(plain)
}

/// Writes datagrams of at most [`MAX_DATAGRAM_BYTES`] bytes.
pub struct DatagramEncoder {
    bytes: Writer,
    one: Writer,
}

impl DatagramEncoder {
    pub fn new(cluster: u32, sender: &MemberRecord) -> Self {
        let mut bytes = Writer(Vec::with_capacity(MAX_DATAGRAM_BYTES));
        bytes.bytes(&MAGIC);
        bytes.0.push(VERSION);
        bytes.bytes(&cluster.to_be_bytes());
        bytes.record(sender);
        DatagramEncoder {
            bytes,
            one: Writer::default(),
        }
    }

    /// Adds a part, if there is room for it.
    pub fn add(&mut self, part: &Part) -> bool {
        self.one.0.clear();
        self.one.part(part);
        let fits = self.bytes.0.len() + self.one.0.len() <= MAX_DATAGRAM_BYTES;
        if fits {
            self.bytes.bytes(&self.one.0);
        }
        fits
    }

    pub fn done(self) -> Vec<u8> {
        self.bytes.0
    }
}

/// Reads a datagram of this cluster.
pub fn read(cluster: u32, bytes: &[u8]) -> Result<Datagram, DecodeError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DecodeError::Length);
    }
    let mut reader = Reader(bytes);
    if reader.array() != Some(MAGIC) {
        return Err(DecodeError::Mark);
    }
    match reader.u8().ok_or(DecodeError::Length)? {
        VERSION => {}
        other => return Err(DecodeError::Version(other)),
    }
    if reader.u32().ok_or(DecodeError::Length)? != cluster {
        return Err(DecodeError::Cluster);
    }
    let sender = reader.record().ok_or(DecodeError::Part)?;
    let mut parts = Vec::new();
    while !reader.0.is_empty() {
        parts.extend(reader.part().ok_or(DecodeError::Part)?);
    }
    Ok(Datagram { sender, parts })
}

#[cfg(test)]
pub(crate) mod tests;
