//! The dispatcher on sockets. It is a library, so that the testbed can run many dispatchers in one process.
//!
//! - [`daemon`]: start, signals and end of the program.
//! - [`config_file`]: reading the configuration.
//! - [`sockets`]: the runtime of `rosewall-runtime` over sockets and the system's clock.
//! - [`logger`]: the log on standard error.

pub mod config_file;
pub mod daemon;
pub mod logger;
pub mod sockets;
