//! A world on a virtual clock: network, clients, workers, discovery and dispatchers, played from a seed. What runs in
//! the dispatchers is the daemon's own text, drivers and all; the rest are stand-ins, and a judge that keeps its own
//! truth. One seed gives one world, to the last byte.
mod agent;
mod client;
pub mod core;
pub mod draw;
pub mod explore;
mod http;
pub mod judge;
mod mail;
#[cfg(feature = "mutations")]
pub mod mutation;
mod net;
pub mod scenario;
mod worker;
pub mod world;
