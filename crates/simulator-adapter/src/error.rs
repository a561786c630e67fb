//! Errors of the adapter: input, output, frames, records and settings.
use rosewall::SettingsError;
use std::io;
use thiserror::Error;

/// Fault that ends the adapter. The message names the record at fault where there is one.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("cannot read standard input: {0}")]
    Read(#[source] io::Error),
    /// Standard output cannot be written.
    #[error("cannot write standard output: {0}")]
    Write(#[source] io::Error),
    /// The input ended inside the length of a frame.
    #[error("input ended inside a frame's length")]
    TruncatedLength,
    /// The input ended inside a frame.
    #[error("input ended inside a frame: {read} of {length} bytes")]
    TruncatedFrame {
        /// Number of bytes received.
        read: usize,
        /// Length of the frame in bytes, as given ahead of it.
        length: u32,
    },
    /// A batch is too short for its header and the number of records named there.
    #[error("{0}")]
    Batch(#[from] FieldError),
    /// A record cannot be read.
    #[error("record with code {code}: {source}")]
    Record {
        /// Record code, one of [`crate::codes::event`].
        code: u8,
        /// Error in its fields.
        source: RecordError,
    },
    /// A record addresses an instance, but no earlier record of the batch names one.
    #[error("{record} before any instance was named")]
    NoInstance {
        /// Kind of the record, with its article.
        record: &'static str,
    },
    /// An event addresses an instance that has not been started or has been stopped.
    #[error("an event for instance {instance}, which is not running")]
    UnknownInstance {
        /// Instance number assigned by the simulator.
        instance: u32,
    },
    /// A dispatcher cannot start with the settings of its start record.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// Field that extends past the end of its record or batch.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
#[error("a field of {length} bytes extends {excess} bytes past the end of the data")]
pub struct FieldError {
    /// Length of the field in bytes.
    pub length: usize,
    /// Number of bytes of the field past the end.
    pub excess: usize,
}

/// Error in the fields of a record.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum RecordError {
    /// A field extends past the end of the record.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The settings are not UTF-8.
    #[error("settings are not UTF-8")]
    SettingsEncoding,
    /// A line of the settings contains no `=`.
    #[error("setting without a value: expected PATH=VALUE, got {line:?}")]
    SettingWithoutValue {
        /// Text of the line.
        line: String,
    },
    /// A code is not defined by the protocol.
    #[error("unknown {kind} {code}")]
    UnknownCode {
        /// Kind of the code, such as `outcome`.
        kind: &'static str,
        /// Value of the code.
        code: u16,
    },
}
