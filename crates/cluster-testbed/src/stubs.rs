//! Test stubs of clients, workers and the discovery service, and the daemon process under test. They serve tests of a
//! single daemon, and panic when a test cannot continue.
mod client;
mod configuration;
mod daemon;
mod discovery;
mod http;
mod worker;

pub use client::{Client, Response};
pub use configuration::configuration;
pub use daemon::{Daemon, counter_in};
pub use discovery::{Discovery, endpoint_json};
pub use http::{header_field, listen, read_message, request};
pub use worker::{ResponseQueue, StubResponse, Worker, response_queue, unreachable_address};

use std::time::Duration;

/// Limit on each wait of a stub. Longer than a watch, which may wait 20 s; only a failing test reaches it.
const TIMEOUT: Duration = Duration::from_secs(30);
