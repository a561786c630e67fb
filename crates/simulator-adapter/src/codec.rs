//! Frames and records as bytes. Knows their layout and nothing of their meaning.
use std::io::{self, Read, Write};

pub type Fault = String;

/// Reads fields one after another from a stretch of bytes.
pub struct Fields<'a> {
    bytes: &'a [u8],
}

impl<'a> Fields<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Self { bytes }
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    pub fn take(&mut self, count: usize) -> Result<&'a [u8], Fault> {
        let (head, rest) = self.bytes.split_at_checked(count).ok_or_else(|| {
            format!(
                "a field of {count} bytes overruns its end by {}",
                count - self.bytes.len()
            )
        })?;
        self.bytes = rest;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Fault> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }

    pub fn u8(&mut self) -> Result<u8, Fault> {
        Ok(self.array::<1>()?[0])
    }

    pub fn u16(&mut self) -> Result<u16, Fault> {
        self.array().map(u16::from_le_bytes)
    }

    pub fn u32(&mut self) -> Result<u32, Fault> {
        self.array().map(u32::from_le_bytes)
    }

    pub fn u64(&mut self) -> Result<u64, Fault> {
        self.array().map(u64::from_le_bytes)
    }

    pub fn f32(&mut self) -> Result<f32, Fault> {
        self.array().map(f32::from_le_bytes)
    }

    pub fn address(&mut self) -> Result<([u8; 4], u16), Fault> {
        Ok((self.array()?, self.u16()?))
    }

    /// One record: its code and its fields.
    pub fn record(&mut self) -> Result<(u8, Fields<'a>), Fault> {
        let code = self.u8()?;
        let length = self.u32()?;
        let fields = self
            .take(length as usize)
            .map_err(|fault| format!("record of code {code}: {fault}"))?;
        Ok((code, Fields::new(fields)))
    }
}

/// Reads one batch into `buffer`; false at an end of input that falls between batches.
pub fn read_batch(input: &mut impl Read, buffer: &mut Vec<u8>) -> Result<bool, Fault> {
    let mut length = [0; 4];
    let mut have = 0;
    while have < length.len() {
        match input.read(&mut length[have..]) {
            Ok(0) if have == 0 => return Ok(false),
            Ok(0) => return Err("input ended inside a frame's length".into()),
            Ok(count) => have += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(format!("cannot read: {error}")),
        }
    }
    let length = u32::from_le_bytes(length);
    buffer.clear();
    // `take` keeps a false length from reserving memory that never fills.
    let got = input
        .take(length.into())
        .read_to_end(buffer)
        .map_err(|error| format!("cannot read: {error}"))?;
    if got < length as usize {
        return Err(format!(
            "input ended inside a frame: {got} of {length} bytes"
        ));
    }
    Ok(true)
}

/// A reply under construction; its buffer is used again for the next one.
pub struct Reply {
    bytes: Vec<u8>,
    records: u32,
}

const HEADER: usize = 8;

impl Reply {
    pub fn new() -> Self {
        Self {
            bytes: vec![0; HEADER],
            records: 0,
        }
    }

    pub fn clear(&mut self) {
        self.bytes.truncate(HEADER);
        self.records = 0;
    }

    /// Adds a record from its fields, given as little-endian parts.
    pub fn record(&mut self, code: u8, parts: &[&[u8]]) {
        let length: usize = parts.iter().map(|part| part.len()).sum();
        self.bytes.push(code);
        self.bytes.extend_from_slice(&(length as u32).to_le_bytes());
        for part in parts {
            self.bytes.extend_from_slice(part);
        }
        self.records += 1;
    }

    pub fn write(&mut self, output: &mut impl Write) -> Result<(), Fault> {
        let length = (self.bytes.len() - HEADER) as u32;
        self.bytes[..4].copy_from_slice(&self.records.to_le_bytes());
        self.bytes[4..HEADER].copy_from_slice(&length.to_le_bytes());
        output
            .write_all(&self.bytes)
            .and_then(|()| output.flush())
            .map_err(|e| format!("cannot write: {e}"))
    }
}
