//! Decoder of datagrams from untrusted bytes.
use super::{
    Datagram, DecodeError, ISSUES_GRANTS_BIT, MAGIC, MAX_DATAGRAM_BYTES, Part, VERSION, tag,
};
use crate::member::{MemberRecord, MemberState, Name, is_name};
use rosewall::types::{PeerLoad, WorkerId};
use std::net::SocketAddr;

/// Decodes a datagram of the cluster with the name hash `cluster`.
///
/// # Errors
///
/// A [`DecodeError`] with the first reason to drop the datagram.
pub fn decode(cluster: u32, bytes: &[u8]) -> Result<Datagram, DecodeError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DecodeError::Length);
    }
    let mut reader = Reader(bytes);
    if reader.array() != Some(MAGIC) {
        return Err(DecodeError::Magic);
    }
    let version = reader.u8().ok_or(DecodeError::Length)?;
    if version != VERSION {
        return Err(DecodeError::Version(version));
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

    fn u64(&mut self) -> Option<u64> {
        self.array().map(u64::from_be_bytes)
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
        let name = self.name()?;
        let addr = self.addr()?;
        let generation = self.u64()?;
        let incarnation = self.u32()?;
        let state_byte = self.u8()?;
        let state = match state_byte & !ISSUES_GRANTS_BIT {
            0 => MemberState::Alive,
            1 => MemberState::Suspect,
            2 => MemberState::Dead,
            3 => MemberState::Left,
            _ => return None,
        };
        Some(MemberRecord {
            name,
            addr,
            generation,
            incarnation,
            state,
            claimed_rank: self.u16()?,
            issues_grants: state_byte & ISSUES_GRANTS_BIT != 0,
            suspected_by: self.u32()?,
        })
    }

    fn peer_load(&mut self) -> Option<PeerLoad> {
        Some(PeerLoad {
            worker: self.worker()?,
            half_slots: self.u8()?,
            work_units: self.u16()?,
            speed_code: self.u8()?,
        })
    }

    /// Decodes one part; the inner `None` stands for an unknown tag.
    fn part(&mut self) -> Option<Option<Part>> {
        let tag = self.u8()?;
        let length = usize::from(self.u8()?);
        let mut body = Reader(self.take(length)?);
        let part = match tag {
            tag::PING => Part::Ping {
                seq: body.u32()?,
                target: body.name()?,
            },
            tag::ACK => Part::Ack { seq: body.u32()? },
            tag::NACK => Part::Nack { seq: body.u32()? },
            tag::INDIRECT_PING => Part::IndirectPing {
                seq: body.u32()?,
                target: body.name()?,
                addr: body.addr()?,
            },
            tag::RECORD => Part::Record(body.record()?),
            tag::DIGEST => Part::Digest {
                hash: body.u32()?,
                count: body.u16()?,
            },
            tag::PAGE_REQUEST => Part::PageRequest {
                offset: body.u16()?,
            },
            tag::LEASE_REQUEST => Part::LeaseRequest { seq: body.u32()? },
            tag::LEASE_VOTE => Part::LeaseVote {
                seq: body.u32()?,
                granted: body.u8()? == 1,
            },
            tag::GRANT_REQUEST => Part::GrantRequest {
                seq: body.u32()?,
                worker: body.worker()?,
                work_ms: body.u32()?,
            },
            tag::GRANT => Part::Grant {
                seq: body.u32()?,
                worker: body.worker()?,
                work_ms: body.u32()?,
                validity_ms: body.u16()?,
            },
            tag::PEER_LOAD => Part::PeerLoad {
                load: body.peer_load()?,
                age: body.u8()?,
            },
            _ => return Some(None),
        };
        Some(Some(part))
    }
}
