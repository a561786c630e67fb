//! The state of one dispatcher as state machines without I/O: no code here awaits, reads a clock or
//! opens a socket.
//!
//! [`engine`] passes inputs to the policy and turns its actions into effects. [`endpoints`] holds
//! the known workers, [`discovery`] decides when their list is requested. [`pool`] decides which connection is reused, [`limits`] which client may
//! connect. [`config`] reads the configuration file.

/// Re-exported for use by [`invariant!`].
pub use log;

mod invariant;
#[cfg(test)]
mod memory_tests;

pub mod config;
pub mod counters;
pub mod discovery;
pub mod endpoints;
pub mod engine;
pub mod limits;
pub mod pool;
pub mod rate_limit;
