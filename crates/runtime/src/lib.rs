//! Asynchronous tasks of one dispatcher. They do the I/O and the waiting for the state machines of
//! `rosewall-protocol` and `rosewall-engine`, and contain no policy. They use only the abstract
//! runtime of [`traits`], so the same code runs over sockets and over a simulated network.
//!
//! - [`node`]: startup, reload and shutdown of one dispatcher.
//! - [`context`]: state shared by all tasks.
//! - [`engine`]: the task that owns the engine.
//! - [`event`]: events that the other tasks send to that task.
//! - [`client`], [`worker`], [`discovery`]: tasks for each kind of connection.
//! - [`cluster`], [`peer_load`]: datagrams between dispatchers.

pub mod client;
pub mod cluster;
pub mod context;
pub mod discovery;
pub mod engine;
pub mod event;
pub mod node;
pub mod peer_load;
pub mod traits;
pub mod worker;
