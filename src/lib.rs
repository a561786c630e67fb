//! rosewall decides which worker gets which request. It performs no I/O and reads no clock.
//!
//! See [`policy`] for the decisions and how to call them, and [`types`] for their events and actions.
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
