//! The client side: one task accepts connections, and one serves each of them.
mod accept;
mod connection;

pub use accept::accept_connections;

use std::time::Duration;

/// How long to wait before the next look for a descriptor, and after an accept that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(5);
