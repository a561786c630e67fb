//! The client side: one task accepts connections, and one serves each of them.
mod accept;
mod connection;

pub use accept::accept_connections;
pub(crate) use connection::DISCARD_READ_BYTES;

use std::time::Duration;

/// Pause before the next attempt to find a slot, and after a failed accept.
const RETRY_PAUSE: Duration = Duration::from_millis(5);
