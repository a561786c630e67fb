//! The drivers: what reads, writes and waits for the machines of `rosewall-protocol` and `rosewall-engine`. They stand on
//! one seam, `runtime`, and so run the same over sockets and over a virtual network. `node` puts one dispatcher
//! together; nothing here decides.
pub mod client;
pub mod cluster;
pub mod context;
pub mod discovery;
pub mod engine;
pub mod node;
pub mod peer_load;
pub mod traits;
pub mod worker;
