//! A testbed for clusters: many processes of rosewalld on loopback, with simulated clients, workers and discovery, a
//! relay for datagrams between dispatchers, and injected faults. The checker reads only what workers and clients
//! recorded, no state of the program under test. The daemon does not link this crate.

pub mod checker;
pub mod error;
pub mod pressure;
pub mod process;
pub mod relay;
pub mod scale;
pub mod scenario;
pub mod stubs;
pub mod testbed;
pub mod worker;
