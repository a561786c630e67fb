//! A testbed for clusters: many processes of the real program on loopback, with simulated clients, workers and
//! discovery, a relay for datagrams between dispatchers, and faults. The checker of the rules reads only what workers
//! and clients recorded. The daemon does not link this crate.

pub mod checker;
pub mod error;
pub mod process;
pub mod relay;
pub mod scale;
pub mod scenario;
pub mod stubs;
pub mod testbed;
pub mod worker;
