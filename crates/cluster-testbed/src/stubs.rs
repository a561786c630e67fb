//! Simulated clients, workers and discovery, and the program between them: what the tests of one process use. They panic
//! where a test cannot go on.
mod client;
mod configuration;
mod daemon;
mod discovery;
mod http;
mod worker;

pub use client::{Answer, Client};
pub use configuration::configuration;
pub use daemon::{Daemon, counter_in, folder};
pub use discovery::{Discovery, host};
pub use http::{field, listen, message, request};
pub use worker::{Act, Script, Worker, script, vanished_machine};

use std::time::Duration;

/// Long enough for any machine, and for a watch that may wait 20 s; only a failing test waits this long.
const TIMEOUT: Duration = Duration::from_secs(30);
