//! Coordination between the dispatchers of a fleet, as state machines: nothing here does I/O, reads
//! a clock or chooses a worker.
//!
//! | module | responsible for |
//! | --- | --- |
//! | [`cluster`] | the state of one process in the cluster, composed of the other state machines |
//! | [`membership`] | failure detection and the set of running members (SWIM with Lifeguard) |
//! | `ranks` | the rank of each member |
//! | `lease` | the lease that permits one member to issue warm-up grants |
//! | [`grants`] | issuing and accepting warm-up grants |
//! | [`peer_load`] | batching of load reports, and checks of received ones |
//! | [`register`] | agreement of the quorum on the fleet's settings (CASPaxos; not yet used by the dispatcher) |
//! | [`datagram`], [`member`] | the datagram format and the record of a member |
//! | [`config`], [`error`] | the cluster file and the errors reported to operators |
//! | `simulated` | many members on a virtual clock and network, for tests |
pub mod cluster;
pub mod config;
pub mod datagram;
pub mod error;
pub mod grants;
mod lease;
pub mod member;
pub mod membership;
mod outbox;
pub mod peer_load;
mod quota;
mod ranks;
pub mod register;
#[cfg(test)]
mod simulated;
mod time;
