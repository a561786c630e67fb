//! The discovery side: one task makes the calls that the engine's [`DiscoveryClient`] decides on,
//! and passes the endpoint lists to the engine.
//!
//! [`DiscoveryClient`]: rosewall_engine::discovery::DiscoveryClient
mod call;
mod follow;

pub use follow::{FollowedList, follow};
