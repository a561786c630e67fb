//! Byte layout of frames and records, independent of their meaning.
use crate::error::{AdapterError, FieldError};
use std::io::{self, Read, Write};

/// Cursor over the fields in the bytes of a batch or record.
pub struct Fields<'a> {
    bytes: &'a [u8],
}

impl<'a> Fields<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Self { bytes }
    }

    /// Returns whether all fields have been read.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Reads a field of `length` bytes.
    pub fn bytes(&mut self, length: usize) -> Result<&'a [u8], FieldError> {
        let (field, rest) = self.bytes.split_at_checked(length).ok_or(FieldError {
            length,
            excess: length.saturating_sub(self.bytes.len()),
        })?;
        self.bytes = rest;
        Ok(field)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], FieldError> {
        let mut out = [0; N];
        out.copy_from_slice(self.bytes(N)?);
        Ok(out)
    }

    pub fn u8(&mut self) -> Result<u8, FieldError> {
        Ok(self.array::<1>()?[0])
    }

    pub fn u16(&mut self) -> Result<u16, FieldError> {
        self.array().map(u16::from_le_bytes)
    }

    pub fn u32(&mut self) -> Result<u32, FieldError> {
        self.array().map(u32::from_le_bytes)
    }

    pub fn u64(&mut self) -> Result<u64, FieldError> {
        self.array().map(u64::from_le_bytes)
    }

    pub fn f32(&mut self) -> Result<f32, FieldError> {
        self.array().map(f32::from_le_bytes)
    }

    /// Reads an IPv4 address and a port.
    pub fn address(&mut self) -> Result<([u8; 4], u16), FieldError> {
        Ok((self.array()?, self.u16()?))
    }

    /// Reads one record and returns its code and its fields.
    pub fn record(&mut self) -> Result<(u8, Fields<'a>), AdapterError> {
        let code = self.u8()?;
        let length = self.u32()?;
        let fields = self
            .bytes(length as usize)
            .map_err(|source| AdapterError::Record {
                code,
                source: source.into(),
            })?;
        Ok((code, Fields::new(fields)))
    }
}

/// Reads one batch into `buffer`. Returns `false` if the input ends before the first byte of a
/// batch.
pub fn read_batch(input: &mut impl Read, buffer: &mut Vec<u8>) -> Result<bool, AdapterError> {
    let Some(length) = read_length(input)? else {
        return Ok(false);
    };
    buffer.clear();
    // The length is untrusted, so the buffer grows with the bytes received and is not reserved in
    // advance.
    let read = input
        .take(length.into())
        .read_to_end(buffer)
        .map_err(AdapterError::Read)?;
    if read < length as usize {
        return Err(AdapterError::TruncatedFrame { read, length });
    }
    Ok(true)
}

/// Reads the length of the next frame. Returns `None` at the end of the input.
fn read_length(input: &mut impl Read) -> Result<Option<u32>, AdapterError> {
    let mut bytes = [0; 4];
    let mut read = 0;
    while read < bytes.len() {
        match input.read(&mut bytes[read..]) {
            Ok(0) if read == 0 => return Ok(None),
            Ok(0) => return Err(AdapterError::TruncatedLength),
            Ok(count) => read += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(AdapterError::Read(error)),
        }
    }
    Ok(Some(u32::from_le_bytes(bytes)))
}

/// Length in bytes of a reply's header: the number of records and the length of the remaining
/// bytes.
const HEADER_LENGTH: usize = 8;

/// Reply under construction. Its buffer is reused for the next reply.
pub struct Reply {
    bytes: Vec<u8>,
    records: u32,
}

impl Reply {
    pub fn new() -> Self {
        Self {
            bytes: vec![0; HEADER_LENGTH],
            records: 0,
        }
    }

    pub fn clear(&mut self) {
        self.bytes.truncate(HEADER_LENGTH);
        self.records = 0;
    }

    /// Adds a record whose fields are the concatenated `parts`.
    pub fn record(&mut self, code: u8, parts: &[&[u8]]) {
        let length: usize = parts.iter().map(|part| part.len()).sum();
        self.bytes.push(code);
        self.bytes.extend_from_slice(&(length as u32).to_le_bytes());
        for part in parts {
            self.bytes.extend_from_slice(part);
        }
        self.records += 1;
    }

    pub fn write(&mut self, output: &mut impl Write) -> Result<(), AdapterError> {
        let length = (self.bytes.len() - HEADER_LENGTH) as u32;
        self.bytes[..4].copy_from_slice(&self.records.to_le_bytes());
        self.bytes[4..HEADER_LENGTH].copy_from_slice(&length.to_le_bytes());
        output
            .write_all(&self.bytes)
            .and_then(|()| output.flush())
            .map_err(AdapterError::Write)
    }
}
