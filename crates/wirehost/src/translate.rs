//! The wire's words to ours and back. No name of the wire is known outside this file.
use crate::codec::{Fault, Fields, Reply};
use rosewall::types::{
    Action, Ended, Event, Listed, Outcome, Probed, Report, Scope, Standing, Txn, WorkerId,
};
use std::collections::BTreeMap;

/// What a record of a batch asks of the host.
pub enum Incoming {
    Switch(u32),
    Create { seed: u64, settings: BTreeMap<String, String> },
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
            let text =
                std::str::from_utf8(f.take(length)?).map_err(|_| "settings are not UTF-8".to_string())?;
            return Ok(Incoming::Create { seed, settings: settings(text)? });
        }
        10 => return Ok(Incoming::Stop),
        2 => list(&mut f)?,
        3 => Event::Arrived(txn(&mut f)?),
        4 => Event::StreamBegun { txn: f.u32()? },
        5 => ended(&mut f)?,
        6 => Event::Lapsed { txn: f.u32()? },
        7 => Event::Due { token: f.u64()? },
        8 => probed(&mut f)?,
        11 => match note(&mut f)? {
            Some(event) => event,
            None => return Ok(Incoming::Unknown),
        },
        _ => return Ok(Incoming::Unknown),
    };
    Ok(Incoming::For(event))
}

fn worker(f: &mut Fields<'_>) -> Result<WorkerId, Fault> {
    let (addr, port) = f.address()?;
    Ok(WorkerId { addr, port })
}

fn list(f: &mut Fields<'_>) -> Result<Event, Fault> {
    let _version = f.u64()?;
    let scope = match f.u8()? {
        0 => Scope::Changes,
        1 => Scope::Whole,
        2 => Scope::Kept,
        3 => Scope::Failed,
        other => return Err(format!("unknown scope {other} of a list")),
    };
    let count = f.u32()?;
    let mut entries = Vec::new();
    for _ in 0..count {
        let standing = match f.u8()? {
            1 => Standing::Ready,
            2 => Standing::Draining,
            0 => Standing::Gone,
            other => return Err(format!("unknown availability {other} of a worker")),
        };
        let (zone, kind, size, started, group) = (f.u16()?, f.u8()?, f.f32()?, f.u64()?, f.u16()?);
        entries.push(Listed { worker: worker(f)?, standing, zone, kind, size, started, group });
    }
    Ok(Event::List { scope, entries })
}

const VALID_HINT: u16 = 1;

fn txn(f: &mut Fields<'_>) -> Result<Txn, Fault> {
    let (id, hint, scheme, _entity) = (f.u32()?, f.u64()?, f.u8()?, f.u64()?);
    let (party, expiry, bits, slots) = (f.u16()?, f.u64()?, f.u16()?, f.f32()?);
    let memory = if f.is_empty() { 0.0 } else { f.f32()? };
    let hint = (bits & VALID_HINT != 0 && hint > 0).then_some(hint);
    Ok(Txn { id, scheme, party, hint, slots, memory, expiry })
}

fn outcome(code: u16) -> Result<Outcome, Fault> {
    Ok(match code {
        0 => Outcome::Settled,
        13 => Outcome::Error,
        8 => Outcome::Full,
        4 => Outcome::TimeOut,
        14 => Outcome::NoConnection,
        10 => Outcome::Broken,
        1 => Outcome::Withdrawn,
        9 => Outcome::Moot,
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
    let (txn, leg, _worker) = (f.u32()?, f.u8()?, f.address()?);
    let (outcome, _latency, complete) = (outcome(f.u16()?)?, f.u64()?, f.u8()? != 0);
    if !f.is_empty() {
        let _note = f.u8()?;
    }
    Ok(Event::Ended(Ended { txn, leg, outcome, complete, report: report(f)? }))
}

fn probed(f: &mut Fields<'_>) -> Result<Event, Fault> {
    let (worker, _took, outcome) = (worker(f)?, f.u64()?, outcome(f.u16()?)?);
    Ok(Event::Probed(Probed { worker, outcome, report: report(f)? }))
}

/// News of a posting; that it has started is all that is used.
fn note(f: &mut Fields<'_>) -> Result<Option<Event>, Fault> {
    let (txn, _worker, leg, _share) = (f.u32()?, f.address()?, f.u8()?, f.f32()?);
    Ok((f.u8()? == 1).then_some(Event::Started { txn, leg }))
}

/// Wire path to our name, for single values.
const NAMES: &[(&str, &str)] = &[
    ("Me", "me"),
    ("Siblings", "dispatchers"),
    ("MyZone", "zone"),
    ("RegistryMode", "list.mode"),
    ("BeyondShareValue", "beyond_share"),
    ("ValueBasis", "value.by"),
    ("QuantumNs", "tick"),
    ("Bounds.Probes", "probe.allowed"),
    ("Bounds.SecondCopies", "posting.copies"),
    ("Bounds.MaxPostings", "posting.most"),
    ("Bounds.RetryAfter", "come_back.allowed"),
    ("Bounds.MaxRetryAfterNs", "come_back.most"),
    ("Contract.AskWithinNs", "list.ask_within"),
    ("Contract.ColdFrom", "cold.from"),
    ("Contract.ColdNs", "cold.time"),
    ("Contract.FallMultiple", "fall.multiple"),
    ("Contract.FallNs", "fall.window"),
    ("FamilyInfo.TellsStart", "tells_start"),
    ("Prices.CrossZone", "price.zone"),
    ("Prices.Probe", "price.probe"),
    ("Prices.Waste", "price.waste"),
    ("Schemes.count", "scheme.count"),
    ("Parties.count", "party.count"),
];

/// The last part of a path below `Schemes.N` or `Parties.N`, likewise.
const PART_NAMES: &[(&str, &str)] = &[
    ("SlaTimeNs", "sla"),
    ("AimStretch", "stretch"),
    ("ExpiryNs", "expiry"),
    ("Idempotency", "effect"),
    ("Group", "group"),
    ("WindowNs", "window"),
    ("Value", "value"),
    ("TardyValue", "late_value"),
    ("QuotaPerS", "quota"),
    ("Portion", "share"),
];

/// Lists with one value a scheme.
const BY_SCHEME: &[(&str, &str)] =
    &[("FamilyInfo.ClassStretch", "stretch"), ("FamilyInfo.ClassKind", "kind")];

/// Words that a value may hold.
const VALUES: &[(&str, &str)] = &[
    ("by_key", "referenced"),
    ("once", "once-only"),
    ("on_request", "asked"),
    ("concurrent", "inflight"),
    ("depth", "waiting"),
    ("load_share", "busy"),
    ("err_ps", "errors"),
];

fn find<'a>(table: &[(&str, &'a str)], word: &str) -> Option<&'a str> {
    table.iter().find(|(theirs, _)| *theirs == word).map(|(_, ours)| *ours)
}

/// The settings as a plain map under our names; what has no name here is left out.
fn settings(text: &str) -> Result<BTreeMap<String, String>, Fault> {
    let mut map = BTreeMap::new();
    let mut report_words = BTreeMap::new();
    for line in text.lines().filter(|line| !line.is_empty()) {
        let (path, value) =
            line.split_once('=').ok_or_else(|| format!("setting without a value: {line:?}"))?;
        let ours = find(VALUES, value).unwrap_or(value).to_string();
        if let Some(name) = find(NAMES, path) {
            map.insert(name.to_string(), ours);
        } else if let Some(name) = find(BY_SCHEME, path) {
            for (at, one) in value.split(',').enumerate() {
                map.entry(format!("scheme.{at}.{name}")).or_insert_with(|| one.to_string());
            }
        } else if let Some((prefix, part)) = path.rsplit_once('.')
            && let Some(name) = find(PART_NAMES, part)
        {
            let (list, at) = prefix.split_once('.').unwrap_or((prefix, ""));
            match list {
                "Schemes" => map.insert(format!("scheme.{at}.{name}"), ours),
                "Parties" => map.insert(format!("party.{at}.{name}"), ours),
                _ => None,
            };
        } else if let Some(field) = path.strip_prefix("FamilyInfo.Report") {
            report_words.insert(field.to_lowercase(), value.replace('_', "-"));
        } else if path == "Report.Fields" {
            let words = value.split(',').map(|word| find(VALUES, word).unwrap_or(word));
            map.insert("report.fields".into(), words.collect::<Vec<_>>().join(","));
        }
    }
    if let Some(fields) = map.get_mut("report.fields") {
        let words = fields.split(',').map(|word| report_words.get(word).map_or(word, String::as_str));
        *fields = words.collect::<Vec<_>>().join(",");
    }
    Ok(map)
}

pub fn switch(instance: u32, reply: &mut Reply) {
    reply.record(77, &[&instance.to_le_bytes()]);
}

pub fn outgoing(action: &Action, reply: &mut Reply) {
    match action {
        Action::Post { txn, worker } => {
            // No time-out of its own: until the client gives up.
            let (port, within) = (worker.port.to_le_bytes(), 0_u64.to_le_bytes());
            reply.record(68, &[&txn.to_le_bytes(), &worker.addr, &port, &within]);
        }
        Action::Probe { worker } => reply.record(75, &[&worker.addr, &worker.port.to_le_bytes()]),
        Action::Decline { txn, come_back } => {
            reply.record(65, &[&txn.to_le_bytes(), &come_back.to_le_bytes()]);
        }
        Action::Reverse { txn } => reply.record(73, &[&txn.to_le_bytes()]),
        Action::Follow => reply.record(66, &[&[1]]),
        Action::Timer { at, token } => reply.record(74, &[&at.to_le_bytes(), &token.to_le_bytes()]),
        Action::Say(text) => {
            let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
            reply.record(67, &[&(bytes.len() as u16).to_le_bytes(), bytes]);
        }
    }
}
