//! Encoder of datagrams.
use super::{ISSUES_GRANTS_BIT, MAGIC, MAX_DATAGRAM_BYTES, Part, VERSION, tag};
use crate::member::{MAX_NAME_BYTES, MemberRecord};
use rosewall::types::WorkerId;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Encodes one datagram of at most [`MAX_DATAGRAM_BYTES`].
pub struct DatagramEncoder {
    datagram: Writer,
    /// Scratch space for the part that is being added.
    part: Writer,
}

impl DatagramEncoder {
    /// Starts a datagram with its header; `cluster` is the hash of the cluster's name.
    pub fn new(cluster: u32, sender: &MemberRecord) -> Self {
        let mut datagram = Writer(Vec::with_capacity(MAX_DATAGRAM_BYTES));
        datagram.bytes(&MAGIC);
        datagram.u8(VERSION);
        datagram.u32(cluster);
        datagram.record(sender);
        DatagramEncoder {
            datagram,
            part: Writer::default(),
        }
    }

    /// Adds a part. If it does not fit, returns false and leaves the datagram unchanged.
    pub fn push(&mut self, part: &Part) -> bool {
        self.part.0.clear();
        self.part.part(part);
        let fits = self.datagram.0.len() + self.part.0.len() <= MAX_DATAGRAM_BYTES;
        if fits {
            self.datagram.bytes(&self.part.0);
        }
        fits
    }

    /// Returns the bytes of the datagram.
    pub fn finish(self) -> Vec<u8> {
        self.datagram.0
    }
}

#[derive(Default)]
struct Writer(Vec<u8>);

impl Writer {
    fn bytes(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    fn u8(&mut self, number: u8) {
        self.0.push(number);
    }

    fn u16(&mut self, number: u16) {
        self.bytes(&number.to_be_bytes());
    }

    fn u32(&mut self, number: u32) {
        self.bytes(&number.to_be_bytes());
    }

    fn u64(&mut self, number: u64) {
        self.bytes(&number.to_be_bytes());
    }

    fn name(&mut self, name: &str) {
        let bytes = &name.as_bytes()[..name.len().min(MAX_NAME_BYTES)];
        self.u8(bytes.len() as u8);
        self.bytes(bytes);
    }

    fn addr(&mut self, addr: SocketAddr) {
        let ip = match addr.ip() {
            IpAddr::V4(ip) => ip,
            IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
        };
        self.bytes(&ip.octets());
        self.u16(addr.port());
    }

    fn worker(&mut self, worker: WorkerId) {
        self.bytes(&worker.addr);
        self.u16(worker.port);
    }

    fn record(&mut self, record: &MemberRecord) {
        let issues_grants = if record.issues_grants {
            ISSUES_GRANTS_BIT
        } else {
            0
        };
        self.name(&record.name);
        self.addr(record.addr);
        self.u64(record.generation);
        self.u32(record.incarnation);
        self.u8(record.state as u8 | issues_grants);
        self.u16(record.claimed_rank);
        self.u32(record.suspected_by);
    }

    /// Writes the tag, the length of the body and the body.
    fn part(&mut self, part: &Part) {
        let start = self.0.len();
        self.bytes(&[tag_of(part), 0]);
        self.body(part);
        let length = self.0.len() - start - 2;
        self.0[start + 1] = length as u8;
    }

    fn body(&mut self, part: &Part) {
        match part {
            Part::Ping { seq, target } => {
                self.u32(*seq);
                self.name(target);
            }
            Part::Ack { seq } | Part::Nack { seq } | Part::LeaseRequest { seq } => self.u32(*seq),
            Part::IndirectPing { seq, target, addr } => {
                self.u32(*seq);
                self.name(target);
                self.addr(*addr);
            }
            Part::Record(record) => self.record(record),
            Part::Digest { hash, count } => {
                self.u32(*hash);
                self.u16(*count);
            }
            Part::PageRequest { offset } => self.u16(*offset),
            Part::LeaseVote { seq, granted } => {
                self.u32(*seq);
                self.u8(u8::from(*granted));
            }
            Part::GrantRequest {
                seq,
                worker,
                work_ms,
            } => {
                self.u32(*seq);
                self.worker(*worker);
                self.u32(*work_ms);
            }
            Part::Grant {
                seq,
                worker,
                work_ms,
                validity_ms,
            } => {
                self.u32(*seq);
                self.worker(*worker);
                self.u32(*work_ms);
                self.u16(*validity_ms);
            }
            Part::PeerLoad { load, age } => {
                self.worker(load.worker);
                self.u8(load.half_slots);
                self.u16(load.work_units);
                self.bytes(&[load.speed_code, *age]);
            }
        }
    }
}

fn tag_of(part: &Part) -> u8 {
    match part {
        Part::Ping { .. } => tag::PING,
        Part::Ack { .. } => tag::ACK,
        Part::Nack { .. } => tag::NACK,
        Part::IndirectPing { .. } => tag::INDIRECT_PING,
        Part::Record(_) => tag::RECORD,
        Part::Digest { .. } => tag::DIGEST,
        Part::PageRequest { .. } => tag::PAGE_REQUEST,
        Part::LeaseRequest { .. } => tag::LEASE_REQUEST,
        Part::LeaseVote { .. } => tag::LEASE_VOTE,
        Part::GrantRequest { .. } => tag::GRANT_REQUEST,
        Part::Grant { .. } => tag::GRANT,
        Part::PeerLoad { .. } => tag::PEER_LOAD,
    }
}
