//! rosewall: decides which worker gets which request. See `policy` for the decisions and how to call them.
mod joint;
pub mod mutation;
pub mod pcg;
pub mod policy;
mod start_delays;
mod state;
pub mod types;
mod zones;

pub use state::{Map, pick};
