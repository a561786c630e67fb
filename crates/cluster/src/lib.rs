//! What the dispatchers of a fleet are to each other, as state machines: nothing here does I/O, reads a clock or chooses a
//! worker.
//!
//! | module | what it decides |
//! | --- | --- |
//! | [`cluster`] | puts the machines together for one process |
//! | [`membership`] | which members run (SWIM with Lifeguard) |
//! | `ranks` | the rank of each member |
//! | `lease` | which member may issue warm-up grants |
//! | [`grants`] | what is granted for a warming worker, and which grants still count |
//! | [`peer_load`] | how load reports are batched and judged |
//! | [`register`] | how the quorum agrees on the fleet's settings (CASPaxos; not yet used by the dispatcher) |
//! | [`datagram`], [`member`] | the format of datagrams and of what is known of a member |
//! | [`config`], [`error`] | the cluster file of an operator, and what can be wrong |
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
