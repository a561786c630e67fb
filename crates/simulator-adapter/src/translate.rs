//! The wire's words to ours and back. No name of the wire is known outside this file, but the settings'.
use crate::codec::{Fault, Fields, Reply};
use rosewall::types::{
    Action, AttemptEnded, Endpoint, EndpointState, Event, HealthChecked, ListScope, Outcome,
    PeerLoad, Report, Request, WorkerId,
};
use rosewall_settings::{Map, ours};

/// What a record of a batch asks of the host.
pub enum Incoming {
    Switch(u32),
    Create { seed: u64, settings: Map },
    Stop,
    For(Event),
    Unknown,
}

pub fn incoming(code: u8, mut f: Fields<'_>) -> Result<Incoming, Fault> {
    let event = match code {
        12 => return Ok(Incoming::Switch(f.u32()?)),
        1 => {
            let seed = f.u64()?;
            let length = f.u32()? as usize;
            let text = std::str::from_utf8(f.take(length)?)
                .map_err(|_| "settings are not UTF-8".to_string())?;
            return Ok(Incoming::Create {
                seed,
                settings: settings(text)?,
            });
        }
        10 => return Ok(Incoming::Stop),
        2 => list(&mut f)?,
        3 => Event::RequestArrived(request(&mut f)?),
        4 => Event::StreamStarted {
            request_id: f.u32()?,
        },
        5 => ended(&mut f)?,
        6 => Event::ClientGone {
            request_id: f.u32()?,
        },
        7 => Event::TimerFired { token: f.u64()? },
        8 => probed(&mut f)?,
        9 => match shared(&mut f)? {
            Some(event) => event,
            None => return Ok(Incoming::Unknown),
        },
        11 => match note(&mut f)? {
            Some(event) => event,
            None => return Ok(Incoming::Unknown),
        },
        _ => return Ok(Incoming::Unknown),
    };
    Ok(Incoming::For(event))
}

/// The settings come as one path=value pair a line.
fn settings(text: &str) -> Result<Map, Fault> {
    let lines = text.lines().filter(|line| !line.is_empty());
    let pairs = lines.map(|line| {
        line.split_once('=')
            .ok_or_else(|| format!("setting without a value: {line:?}"))
    });
    Ok(ours(pairs.collect::<Result<Vec<_>, _>>()?))
}

fn worker(f: &mut Fields<'_>) -> Result<WorkerId, Fault> {
    let (addr, port) = f.address()?;
    Ok(WorkerId { addr, port })
}

fn list(f: &mut Fields<'_>) -> Result<Event, Fault> {
    let _version = f.u64()?;
    let scope = match f.u8()? {
        0 => ListScope::Delta,
        1 => ListScope::Snapshot,
        2 => ListScope::Cached,
        3 => ListScope::Failed,
        other => return Err(format!("unknown scope {other} of a list")),
    };
    let count = f.u32()?;
    let mut endpoints = Vec::new();
    for _ in 0..count {
        let state = match f.u8()? {
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            0 => EndpointState::Removed,
            other => return Err(format!("unknown availability {other} of a worker")),
        };
        let (zone, worker_type, size, started, group) =
            (f.u16()?, f.u8()?, f.f32()?, f.u64()?, f.u16()?);
        endpoints.push(Endpoint {
            worker: worker(f)?,
            state,
            zone,
            worker_type,
            size,
            started,
            group,
        });
    }
    Ok(Event::EndpointList { scope, endpoints })
}

const VALID_HINT: u16 = 1;

fn request(f: &mut Fields<'_>) -> Result<Request, Fault> {
    let (id, hint, class, _entity) = (f.u32()?, f.u64()?, f.u8()?, f.u64()?);
    let (tenant, deadline, bits, slots) = (f.u16()?, f.u64()?, f.u16()?, f.f32()?);
    let memory = if f.is_empty() { 0.0 } else { f.f32()? };
    let hint = (bits & VALID_HINT != 0 && hint > 0).then_some(hint);
    Ok(Request {
        id,
        class,
        tenant,
        hint,
        slots,
        memory,
        deadline,
    })
}

fn outcome(code: u16) -> Result<Outcome, Fault> {
    Ok(match code {
        0 => Outcome::Succeeded,
        13 => Outcome::WorkerError,
        8 => Outcome::AtCapacity,
        4 => Outcome::TimedOut,
        14 => Outcome::ConnectFailed,
        10 => Outcome::ConnectionLost,
        1 => Outcome::Cancelled,
        9 => Outcome::NotSent,
        other => return Err(format!("unknown outcome {other}")),
    })
}

/// A report may be absent altogether, which is the same as an empty one.
fn report(f: &mut Fields<'_>) -> Result<Report, Fault> {
    let mut report = Report::default();
    let count = if f.is_empty() { 0 } else { f.u8()? };
    for at in 0..usize::from(count) {
        let value = f.f32()?;
        if at < report.values.len() {
            report.values[at] = value;
            report.count = at + 1;
        }
    }
    Ok(report)
}

fn ended(f: &mut Fields<'_>) -> Result<Event, Fault> {
    let (request_id, attempt_index, _worker) = (f.u32()?, f.u8()?, f.address()?);
    let (outcome, _latency, complete) = (outcome(f.u16()?)?, f.u64()?, f.u8()? != 0);
    if !f.is_empty() {
        let _note = f.u8()?;
    }
    Ok(Event::AttemptEnded(AttemptEnded {
        request_id,
        attempt_index,
        outcome,
        complete,
        report: report(f)?,
    }))
}

fn probed(f: &mut Fields<'_>) -> Result<Event, Fault> {
    let (worker, _took, outcome) = (worker(f)?, f.u64()?, outcome(f.u16()?)?);
    Ok(Event::HealthChecked(HealthChecked {
        worker,
        outcome,
        report: report(f)?,
    }))
}

/// What dispatchers tell each other: a worker, half seats and work out at it, and how it runs.
const SHARE: usize = 10;

/// Anything of another length is not ours: from another version, it is passed over.
fn shared(f: &mut Fields<'_>) -> Result<Option<Event>, Fault> {
    let (from, length) = (f.u16()?, f.u16()?);
    if usize::from(length) != SHARE {
        return Ok(None);
    }
    let load = PeerLoad {
        worker: worker(f)?,
        half_slots: f.u8()?,
        work_units: f.u16()?,
        speed_code: f.u8()?,
    };
    Ok(Some(Event::PeerLoad { from, load }))
}

/// News of a posting; that it has started is all that is used.
fn note(f: &mut Fields<'_>) -> Result<Option<Event>, Fault> {
    let (request_id, _worker, attempt_index, _share) = (f.u32()?, f.address()?, f.u8()?, f.f32()?);
    Ok((f.u8()? == 1).then_some(Event::AttemptStarted {
        request_id,
        attempt_index,
    }))
}

pub fn switch(instance: u32, reply: &mut Reply) {
    reply.record(77, &[&instance.to_le_bytes()]);
}

pub fn outgoing(action: &Action, reply: &mut Reply) {
    match action {
        Action::SendAttempt { request_id, worker } => {
            // No time-out of its own: until the client gives up.
            let (port, within) = (worker.port.to_le_bytes(), 0_u64.to_le_bytes());
            reply.record(
                68,
                &[&request_id.to_le_bytes(), &worker.addr, &port, &within],
            );
        }
        Action::CheckHealth { worker } => {
            reply.record(75, &[&worker.addr, &worker.port.to_le_bytes()])
        }
        Action::Reject {
            request_id,
            retry_after,
        } => {
            reply.record(65, &[&request_id.to_le_bytes(), &retry_after.to_le_bytes()]);
        }
        Action::Fail { request_id } => reply.record(73, &[&request_id.to_le_bytes()]),
        Action::WatchEndpoints => reply.record(66, &[&[1]]),
        Action::SendPeerLoad {
            to,
            load:
                PeerLoad {
                    worker,
                    half_slots,
                    work_units: work,
                    speed_code,
                },
        } => {
            let (to, length) = (to.to_le_bytes(), (SHARE as u16).to_le_bytes());
            let port = worker.port.to_le_bytes();
            reply.record(
                71,
                &[
                    &to,
                    &length,
                    &worker.addr,
                    &port,
                    &[*half_slots],
                    &work.to_le_bytes(),
                    &[*speed_code],
                ],
            );
        }
        // The simulator's dispatchers are no members of anything: nothing is asked for or given.
        Action::RequestWarmUpGrant { .. } | Action::SetWarmUpBudget { .. } => {}
        Action::SetTimer { at, token } => {
            reply.record(74, &[&at.to_le_bytes(), &token.to_le_bytes()])
        }
        Action::Log(text) => {
            let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
            reply.record(67, &[&(bytes.len() as u16).to_le_bytes(), bytes]);
        }
    }
}
