//! Dispatcher daemon over TCP and UDP sockets. A library as well as a program, so that the testbed
//! can run many dispatchers in one process.
//!
//! - [`daemon`]: program start, signal handling and shutdown.
//! - [`config_file`]: loading of the configuration file.
//! - [`sockets`]: the traits of `rosewall-runtime` over sockets and the system clock.
//! - [`logger`]: logging to standard error.

pub mod config_file;
pub mod daemon;
pub mod logger;
pub mod sockets;
