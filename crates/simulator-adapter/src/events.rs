//! Decoding of the records of a batch into events.
use crate::codec::Fields;
use crate::codes::{PEER_LOAD_LENGTH, event};
use crate::error::{FieldError, RecordError};
use rosewall::types::{
    AttemptEnded, Endpoint, EndpointState, Event, HealthChecked, ListScope, Outcome, PeerLoad,
    Report, Request, WorkerId,
};
use rosewall_settings::{SettingsMap, parse_settings};

/// Flag of a request: its work hint is valid.
const VALID_HINT: u16 = 1;

/// Progress code of an attempt that has started.
const PROGRESS_STARTED: u8 = 1;

/// Decoded record of a batch.
pub enum Incoming {
    /// Names the instance that the following records address.
    Instance(u32),
    /// Starts the instance.
    Start {
        /// Seed of the instance's random numbers.
        seed: u64,
        /// Settings of the instance, under their internal names.
        settings: SettingsMap,
    },
    /// Stops the instance.
    Stop,
    /// Event for the instance.
    Event(Event),
    /// Record of another protocol version, or without relevance to the policy.
    Ignored,
}

/// Decodes one record.
pub fn read(code: u8, mut fields: Fields<'_>) -> Result<Incoming, RecordError> {
    let fields = &mut fields;
    let event = match code {
        event::INSTANCE => return Ok(Incoming::Instance(fields.u32()?)),
        event::START => return start(fields),
        event::STOP => return Ok(Incoming::Stop),
        event::ENDPOINT_LIST => endpoint_list(fields)?,
        event::REQUEST => Event::RequestArrived(request(fields)?),
        event::STREAM_STARTED => Event::StreamStarted {
            request_id: fields.u32()?,
        },
        event::ATTEMPT_ENDED => attempt_ended(fields)?,
        event::CLIENT_DISCONNECTED => Event::ClientDisconnected {
            request_id: fields.u32()?,
        },
        event::TIMER_FIRED => Event::TimerFired {
            token: fields.u64()?,
        },
        event::HEALTH_CHECKED => health_checked(fields)?,
        event::PEER_MESSAGE => return Ok(optional(peer_load(fields)?)),
        event::ATTEMPT_PROGRESS => return Ok(optional(attempt_started(fields)?)),
        _ => return Ok(Incoming::Ignored),
    };
    Ok(Incoming::Event(event))
}

fn optional(event: Option<Event>) -> Incoming {
    event.map_or(Incoming::Ignored, Incoming::Event)
}

fn start(fields: &mut Fields<'_>) -> Result<Incoming, RecordError> {
    let seed = fields.u64()?;
    let length = fields.u32()? as usize;
    let text =
        std::str::from_utf8(fields.bytes(length)?).map_err(|_| RecordError::SettingsEncoding)?;
    let settings = settings(text)?;
    Ok(Incoming::Start { seed, settings })
}

/// Parses settings given as one `PATH=VALUE` pair per line.
fn settings(text: &str) -> Result<SettingsMap, RecordError> {
    let pairs = text
        .lines()
        .filter(|line| !line.is_empty())
        .map(|line| {
            line.split_once('=')
                .ok_or_else(|| RecordError::SettingWithoutValue {
                    line: line.to_string(),
                })
        })
        .collect::<Result<Vec<_>, _>>()?;
    Ok(parse_settings(pairs))
}

fn worker(fields: &mut Fields<'_>) -> Result<WorkerId, FieldError> {
    let (addr, port) = fields.address()?;
    Ok(WorkerId { addr, port })
}

fn endpoint_list(fields: &mut Fields<'_>) -> Result<Event, RecordError> {
    let _version = fields.u64()?;
    let scope = match fields.u8()? {
        0 => ListScope::Delta,
        1 => ListScope::Snapshot,
        2 => ListScope::Cached,
        3 => ListScope::Failed,
        other => return Err(unknown("list scope", other.into())),
    };
    let count = fields.u32()?;
    // No capacity is reserved, since the count is untrusted input.
    let mut endpoints = Vec::new();
    for _ in 0..count {
        endpoints.push(endpoint(fields)?);
    }
    Ok(Event::EndpointList { scope, endpoints })
}

fn endpoint(fields: &mut Fields<'_>) -> Result<Endpoint, RecordError> {
    let state = match fields.u8()? {
        0 => EndpointState::Removed,
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        other => return Err(unknown("endpoint state", other.into())),
    };
    let zone = fields.u16()?;
    let worker_type = fields.u8()?;
    let size = fields.f32()?;
    let started = fields.u64()?;
    let group = fields.u16()?;
    Ok(Endpoint {
        worker: worker(fields)?,
        state,
        zone,
        worker_type,
        size,
        started,
        group,
    })
}

fn request(fields: &mut Fields<'_>) -> Result<Request, FieldError> {
    let id = fields.u32()?;
    let hint = fields.u64()?;
    let class = fields.u8()?;
    let _entity = fields.u64()?;
    let tenant = fields.u16()?;
    let deadline = fields.u64()?;
    let bits = fields.u16()?;
    let slots = fields.f32()?;
    let memory = if fields.is_empty() {
        0.0
    } else {
        fields.f32()?
    };
    Ok(Request {
        id,
        class,
        tenant,
        hint: (bits & VALID_HINT != 0 && hint > 0).then_some(hint),
        slots,
        memory,
        deadline,
    })
}

fn outcome(code: u16) -> Result<Outcome, RecordError> {
    Ok(match code {
        0 => Outcome::Succeeded,
        1 => Outcome::Cancelled,
        4 => Outcome::TimedOut,
        8 => Outcome::AtCapacity,
        9 => Outcome::NotSent,
        10 => Outcome::ConnectionLost,
        13 => Outcome::WorkerError,
        14 => Outcome::ConnectFailed,
        other => return Err(unknown("outcome", other)),
    })
}

/// Decodes a load report. An absent report is the same as an empty one.
fn report(fields: &mut Fields<'_>) -> Result<Report, FieldError> {
    let mut report = Report::default();
    let count = if fields.is_empty() { 0 } else { fields.u8()? };
    for index in 0..usize::from(count) {
        let value = fields.f32()?;
        if let Some(slot) = report.values.get_mut(index) {
            *slot = value;
            report.count = index + 1;
        }
    }
    Ok(report)
}

fn attempt_ended(fields: &mut Fields<'_>) -> Result<Event, RecordError> {
    let request_id = fields.u32()?;
    let attempt_index = fields.u8()?;
    let _worker = fields.address()?;
    let outcome = outcome(fields.u16()?)?;
    let _latency = fields.u64()?;
    let complete = fields.u8()? != 0;
    if !fields.is_empty() {
        let _note = fields.u8()?;
    }
    Ok(Event::AttemptEnded(AttemptEnded {
        request_id,
        attempt_index,
        outcome,
        complete,
        report: report(fields)?,
    }))
}

fn health_checked(fields: &mut Fields<'_>) -> Result<Event, RecordError> {
    let worker = worker(fields)?;
    let _latency = fields.u64()?;
    let outcome = outcome(fields.u16()?)?;
    Ok(Event::HealthChecked(HealthChecked {
        worker,
        outcome,
        report: report(fields)?,
    }))
}

/// Decodes a message from a peer. Returns `None` for a message of another length, which comes from
/// another version.
fn peer_load(fields: &mut Fields<'_>) -> Result<Option<Event>, FieldError> {
    let from = fields.u16()?;
    if fields.u16()? != PEER_LOAD_LENGTH {
        return Ok(None);
    }
    let load = PeerLoad {
        worker: worker(fields)?,
        half_slots: fields.u8()?,
        work_units: fields.u16()?,
        speed_code: fields.u8()?,
    };
    Ok(Some(Event::PeerLoad { from, load }))
}

/// Decodes the progress of an attempt. Returns `None` unless the attempt has started.
fn attempt_started(fields: &mut Fields<'_>) -> Result<Option<Event>, FieldError> {
    let request_id = fields.u32()?;
    let _worker = fields.address()?;
    let attempt_index = fields.u8()?;
    let _completed_part = fields.f32()?;
    let has_started = fields.u8()? == PROGRESS_STARTED;
    Ok(has_started.then_some(Event::AttemptStarted {
        request_id,
        attempt_index,
    }))
}

fn unknown(kind: &'static str, code: u16) -> RecordError {
    RecordError::UnknownCode { kind, code }
}
