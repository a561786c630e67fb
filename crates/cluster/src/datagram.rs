//! What is in a datagram between dispatchers: a head with the sender's own record, then parts, each with its length, so
//! that a part that is not known is passed over. Numbers are big-endian.
use rosewall::types::{PeerLoad, WorkerId};
use std::net::{Ipv4Addr, SocketAddr};

/// The most bytes of a datagram: what passes every network unbroken, less room for tunnels.
pub const MOST: usize = 1_200;
/// The most bytes of a name.
pub const NAME_MOST: usize = 32;
const MARK: [u8; 2] = *b"rC";
const VERSION: u8 = 1;
/// A rank that is not claimed.
pub const NONE: u16 = u16::MAX;

pub type Name = std::rc::Rc<str>;

/// What is held of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    Alive,
    Suspect,
    Dead,
    Left,
}

/// What is known of one member, as it is passed on.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub name: Name,
    pub addr: SocketAddr,
    /// Drawn at each start of its process, higher than at the start before.
    pub start: u64,
    /// Raised by itself alone, to refute what is held of it or to tell anew.
    pub incarnation: u32,
    pub standing: Standing,
    /// The rank that it has taken.
    pub claim: u16,
    /// Whether it gives rights.
    pub gives: bool,
    /// Of a suspicion: by whom, as a hash of the name.
    pub by: u32,
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
    PingFor {
        seq: u32,
        to: Name,
        addr: SocketAddr,
    },
    Record(Record),
    /// Which members the sender knows as living, as a hash.
    Digest {
        hash: u32,
        count: u16,
    },
    /// Send what you know, from this place on.
    Page {
        from: u16,
    },
    /// Promise not to promise another for the span of a lease.
    Lease {
        seq: u32,
    },
    Promise {
        seq: u32,
        given: bool,
    },
    /// A right to send so much work (in ms of one seat) to a cold worker.
    Want {
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
    pub sender: Record,
    pub parts: Vec<Part>,
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
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
        let bytes = &name.as_bytes()[..name.len().min(NAME_MOST)];
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

    fn record(&mut self, record: &Record) {
        self.name(&record.name);
        self.addr(record.addr);
        self.bytes(&record.start.to_be_bytes());
        self.bytes(&record.incarnation.to_be_bytes());
        self.0
            .push(record.standing as u8 | u8::from(record.gives) << 7);
        self.bytes(&record.claim.to_be_bytes());
        self.bytes(&record.by.to_be_bytes());
    }

    fn part(&mut self, part: &Part) {
        let at = self.0.len();
        let tag = match part {
            Part::Ping { .. } => 1,
            Part::Ack { .. } => 2,
            Part::Nack { .. } => 3,
            Part::PingFor { .. } => 4,
            Part::Record(_) => 5,
            Part::Digest { .. } => 6,
            Part::Page { .. } => 7,
            Part::Lease { .. } => 8,
            Part::Promise { .. } => 9,
            Part::Want { .. } => 10,
            Part::Grant { .. } => 11,
            Part::PeerLoad { .. } => 12,
        };
        self.bytes(&[tag, 0]);
        match part {
            Part::Ping { seq, to } => {
                self.bytes(&seq.to_be_bytes());
                self.name(to);
            }
            Part::Ack { seq } | Part::Nack { seq } | Part::Lease { seq } => {
                self.bytes(&seq.to_be_bytes())
            }
            Part::PingFor { seq, to, addr } => {
                self.bytes(&seq.to_be_bytes());
                self.name(to);
                self.addr(*addr);
            }
            Part::Record(record) => self.record(record),
            Part::Digest { hash, count } => {
                self.bytes(&hash.to_be_bytes());
                self.bytes(&count.to_be_bytes());
            }
            Part::Page { from } => self.bytes(&from.to_be_bytes()),
            Part::Promise { seq, given } => {
                self.bytes(&seq.to_be_bytes());
                self.0.push(u8::from(*given));
            }
            Part::Want { seq, worker, work } => {
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

    fn record(&mut self) -> Option<Record> {
        let (name, addr) = (self.name()?, self.addr()?);
        let (start, incarnation) = (self.array().map(u64::from_be_bytes)?, self.u32()?);
        let byte = self.u8()?;
        let standing = match byte & 0x7f {
            0 => Standing::Alive,
            1 => Standing::Suspect,
            2 => Standing::Dead,
            3 => Standing::Left,
            _ => return None,
        };
        let (claim, by) = (self.u16()?, self.u32()?);
        Some(Record {
            name,
            addr,
            start,
            incarnation,
            standing,
            claim,
            gives: byte & 0x80 != 0,
            by,
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
            4 => Part::PingFor {
                seq: seq(&mut body)?,
                to: body.name()?,
                addr: body.addr()?,
            },
            5 => Part::Record(body.record()?),
            6 => Part::Digest {
                hash: body.u32()?,
                count: body.u16()?,
            },
            7 => Part::Page { from: body.u16()? },
            8 => Part::Lease {
                seq: seq(&mut body)?,
            },
            9 => Part::Promise {
                seq: seq(&mut body)?,
                given: body.u8()? == 1,
            },
            10 => Part::Want {
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
    (1..=NAME_MOST).contains(&text.len()) && text.bytes().all(plain)
}

/// Writes datagrams of at most [`MOST`] bytes.
pub struct Draft {
    bytes: Writer,
    one: Writer,
}

impl Draft {
    pub fn new(cluster: u32, sender: &Record) -> Self {
        let mut bytes = Writer(Vec::with_capacity(MOST));
        bytes.bytes(&MARK);
        bytes.0.push(VERSION);
        bytes.bytes(&cluster.to_be_bytes());
        bytes.record(sender);
        Draft {
            bytes,
            one: Writer::default(),
        }
    }

    /// Adds a part, if there is room for it.
    pub fn add(&mut self, part: &Part) -> bool {
        self.one.0.clear();
        self.one.part(part);
        let fits = self.bytes.0.len() + self.one.0.len() <= MOST;
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
pub fn read(cluster: u32, bytes: &[u8]) -> Result<Datagram, Fault> {
    if bytes.len() > MOST {
        return Err(Fault::Length);
    }
    let mut reader = Reader(bytes);
    if reader.array() != Some(MARK) {
        return Err(Fault::Mark);
    }
    match reader.u8().ok_or(Fault::Length)? {
        VERSION => {}
        other => return Err(Fault::Version(other)),
    }
    if reader.u32().ok_or(Fault::Length)? != cluster {
        return Err(Fault::Cluster);
    }
    let sender = reader.record().ok_or(Fault::Part)?;
    let mut parts = Vec::new();
    while !reader.0.is_empty() {
        parts.extend(reader.part().ok_or(Fault::Part)?);
    }
    Ok(Datagram { sender, parts })
}
