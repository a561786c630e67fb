//! Decision logic of rosewall: selects a worker for each request. Performs no I/O and reads no
//! clock.
//!
//! [`policy`] holds the decisions and describes how to call them; [`types`] defines their events
//! and actions.
pub mod mutation;
pub mod pcg;
pub mod policy;
mod settings;
mod start_delays;
mod state;
mod time;
mod timers;
pub mod types;
mod zones;

pub use settings::{SettingsError, SettingsMap, read_setting};
