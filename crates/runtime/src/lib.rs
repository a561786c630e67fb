//! The drivers: what reads, writes and waits for the machines of `rosewall-protocol` and `rosewall-engine`. They stand on
//! one seam, `ground`, and so run the same over sockets and over a virtual network. `node` puts one dispatcher
//! together; nothing here decides.
pub mod client;
pub mod discovery;
pub mod ground;
pub mod hub;
pub mod members;
pub mod node;
pub mod shared;
pub mod talk;
pub mod worker;
