//! What one dispatcher holds and what it makes of what it is told, without I/O: nothing here awaits, reads a clock
//! or opens anything. `hub` is the machine in the middle; `pool` and `budget` say which connection is used again
//! and who may still come in; `given` is what the operators hand over.
/// For `must!`.
pub use log;

pub mod budget;
pub mod counters;
pub mod given;
pub mod hub;
pub mod pace;
pub mod pool;
pub mod workers;

#[cfg(test)]
mod given_tests;
#[cfg(test)]
mod hub_tests;
#[cfg(test)]
mod tests;
