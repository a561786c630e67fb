//! The simulator's wire, as far as a case needs it: one instance of the decisions, started by the `sim`
//! command of the deploy file.
use crate::dispatcher::{deploy_command, end_with_parent, started};
use crate::record::Record;
use std::io::{self, Read, Write};
use std::process::{Child, Command, Stdio};

/// Codes of events.
pub const CREATE: u8 = 1;
pub const PEERS_KNOWN: u8 = 2;
pub const REQ: u8 = 3;
pub const ATTEMPT_END: u8 = 5;
pub const ON: u8 = 12;
/// Codes of actions.
pub const DECLINE: u8 = 65;
pub const CALL_OUT: u8 = 68;
pub const SURRENDER: u8 = 73;

/// The instance that the events are for.
const INSTANCE: u32 = 3;

/// Fields of a record.
#[derive(Default)]
pub struct Fields(pub Vec<u8>);

impl Fields {
    pub fn add(mut self, bytes: &[u8]) -> Fields {
        self.0.extend_from_slice(bytes);
        self
    }
}

/// An action of a reply: its code and fields.
pub type Action = (u8, Vec<u8>);

pub struct Wire {
    child: Child,
    record: Record,
}

impl Wire {
    pub fn start(record: &Record) -> Result<Wire, String> {
        let mut command = Command::new("/bin/sh");
        end_with_parent(&mut command);
        let child = command
            .arg("-c")
            .arg(deploy_command("sim"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| format!("cannot start the simulator's side: {error}"))?;
        started(child.id());
        Ok(Wire {
            child,
            record: record.clone(),
        })
    }

    /// Time of the wire: it only has to go on, so it is that of the run.
    pub fn clock(&self) -> u64 {
        1_000_000_000_000 + self.record.now().as_nanos() as u64
    }

    /// Sends the events as one batch and returns the actions of the reply.
    pub fn batch(&mut self, clock: u64, events: &[(u8, Fields)]) -> io::Result<Vec<Action>> {
        let mut records = Vec::new();
        let on = (ON, Fields::default().add(&INSTANCE.to_le_bytes()));
        for (code, fields) in std::iter::once(&on).chain(events) {
            records.push(*code);
            records.extend_from_slice(&(fields.0.len() as u32).to_le_bytes());
            records.extend_from_slice(&fields.0);
        }
        let mut batch = Vec::new();
        batch.extend_from_slice(&(12 + records.len() as u32).to_le_bytes());
        batch.extend_from_slice(&clock.to_le_bytes());
        batch.extend_from_slice(&(events.len() as u32 + 1).to_le_bytes());
        batch.extend_from_slice(&records);
        let closed = || io::Error::from(io::ErrorKind::BrokenPipe);
        self.child
            .stdin
            .as_mut()
            .ok_or_else(closed)?
            .write_all(&batch)?;
        let output = self.child.stdout.as_mut().ok_or_else(closed)?;
        let mut head = [0; 8];
        output.read_exact(&mut head)?;
        let count = u32::from_le_bytes([head[0], head[1], head[2], head[3]]);
        let length = u32::from_le_bytes([head[4], head[5], head[6], head[7]]);
        let mut bytes = vec![0; length as usize];
        output.read_exact(&mut bytes)?;
        let mut actions = Vec::new();
        let mut rest = &bytes[..];
        for _ in 0..count {
            let size = u32::from_le_bytes([rest[1], rest[2], rest[3], rest[4]]) as usize;
            actions.push((rest[0], rest[5..5 + size].to_vec()));
            rest = &rest[5 + size..];
        }
        Ok(actions)
    }
}

/// Id of the request that an action names.
pub fn request_of(action: &Action) -> u32 {
    action
        .1
        .get(..4)
        .map_or(0, |id| u32::from_le_bytes([id[0], id[1], id[2], id[3]]))
}

/// Settings as `path=value` lines, from those of a configuration.
pub fn settings_lines(pairs: &[(&str, &str)]) -> Vec<u8> {
    pairs
        .iter()
        .map(|(path, value)| format!("{path}={value}\n"))
        .collect::<String>()
        .into_bytes()
}
