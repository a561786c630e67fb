//! The tasks of one dispatcher: they read, write and wait for the state machines of `rosewall-protocol` and
//! `rosewall-engine`, and decide nothing. They run on the abstract runtime of [`traits`], and so in the same way over
//! sockets and over a simulated network.
//!
//! - [`node`]: one dispatcher, from start to shutdown.
//! - [`context`]: what all tasks share.
//! - [`engine`]: the task that owns the engine.
//! - [`client`], [`worker`], [`discovery`]: the tasks for each kind of connection.
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
