//! rosewall: decides which worker gets which request. See `policy` for the decisions and how to call them.
mod joint;
pub mod pcg;
pub mod policy;
pub mod sabotage;
mod start_delays;
mod state;
pub mod types;
mod zones;

pub use state::{Map, pick};
