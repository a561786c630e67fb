//! The protocols as state machines that are fed bytes and return typed messages. They use no socket
//! and no clock, do not depend on their callers, and keep no state beyond one connection.
//!
//! - [`http`]: HTTP/1.1 framing, shared by all sides.
//! - [`client`]: requests from clients and the answers to them.
//! - [`worker`]: attempts and health checks sent to workers, and their answers.
//! - [`discovery`]: the endpoint list of the discovery service.
//! - [`peer_load`]: datagrams between dispatchers.
//! - [`names`]: names of classes, tenants, zones and worker types.

pub mod client;
pub mod discovery;
pub mod http;
pub mod names;
pub mod peer_load;
mod wire;
pub mod worker;

#[cfg(test)]
mod tests;
