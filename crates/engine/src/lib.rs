//! One dispatcher as state machines without I/O: nothing here awaits, reads a clock or opens anything.
//!
//! [`engine`] turns inputs into effects around the decisions. [`pool`] and [`limits`] decide which connection is reused and
//! which client may connect; [`config`] reads what the operators configure.

/// For [`invariant!`].
pub use log;

mod invariant;

pub mod config;
pub mod counters;
pub mod endpoints;
pub mod engine;
pub mod limits;
pub mod pool;
pub mod rate_limit;
