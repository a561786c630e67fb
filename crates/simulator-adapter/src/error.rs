//! What can go wrong between the simulator and the decisions.
use rosewall::SettingsError;
use std::io;
use thiserror::Error;

/// A fault that ends the adapter. The message says where in the input it stands.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("cannot read: {0}")]
    Read(#[source] io::Error),
    /// Standard output cannot be written.
    #[error("cannot write: {0}")]
    Write(#[source] io::Error),
    /// The input ended inside the length of a frame.
    #[error("input ended inside a frame's length")]
    TruncatedLength,
    /// The input ended inside a frame.
    #[error("input ended inside a frame: {read} of {length} bytes")]
    TruncatedFrame {
        /// The bytes that were there.
        read: usize,
        /// The bytes that the frame's length names.
        length: u32,
    },
    /// A batch does not hold what its header says.
    #[error("{0}")]
    Batch(#[from] FieldError),
    /// A record cannot be read.
    #[error("record of code {code}: {source}")]
    Record {
        /// The record's code.
        code: u8,
        /// What is wrong with it.
        source: RecordError,
    },
    /// A record needs an instance, but none was named before it.
    #[error("{record} before any instance was named")]
    NoInstance {
        /// What the record is.
        record: &'static str,
    },
    /// An event is meant for an instance that has not been started, or was stopped.
    #[error("an event for instance {instance}, which does not run")]
    UnknownInstance {
        /// The number of the instance.
        instance: u32,
    },
    /// A dispatcher cannot start with the settings of its record.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// A field that reaches beyond its record or frame.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
#[error("a field of {length} bytes overruns its end by {excess}")]
pub struct FieldError {
    /// The length of the field.
    pub length: usize,
    /// By how many bytes it reaches beyond the end.
    pub excess: usize,
}

/// A record whose fields cannot be understood.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum RecordError {
    /// A field reaches beyond the record.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The settings are not text.
    #[error("settings are not UTF-8")]
    SettingsEncoding,
    /// A line of the settings holds no `=`.
    #[error("setting without a value: {line:?}")]
    SettingWithoutValue {
        /// The line.
        line: String,
    },
    /// A code that the protocol does not define.
    #[error("unknown {kind} {code}")]
    UnknownCode {
        /// What the code stands for.
        kind: &'static str,
        /// The code.
        code: u16,
    },
}
