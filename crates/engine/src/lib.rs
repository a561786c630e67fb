//! What one dispatcher holds and what it makes of what it is told, without I/O: nothing here awaits, reads a clock
//! or opens anything. `engine` is the machine in the middle; `pool` and `limits` say which connection is used again
//! and who may still come in; `config` is what the operators hand over.
/// For `invariant!`.
pub use log;

pub mod config;
pub mod counters;
pub mod endpoints;
pub mod engine;
pub mod limits;
pub mod pool;
pub mod rate_limit;

#[cfg(test)]
mod engine_tests;
#[cfg(test)]
mod tests;
