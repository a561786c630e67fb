//! Simulated clients, workers and discovery, and the program between them: what the tests of one process use. They panic
//! where a test cannot go on.
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

/// Long enough for any machine, and for a watch that may wait 20 s; only a failing test waits this long.
const TIMEOUT: Duration = Duration::from_secs(30);
