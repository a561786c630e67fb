//! The dispatcher on sockets: `ground` is what its drivers stand on, `life` its start, signals, log and end. A library, so
//! that the rig can run many dispatchers of the same text in one process.
pub mod life;
pub mod sockets;
