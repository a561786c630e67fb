//! What dispatchers are to each other, as machines: nothing here opens anything, reads a clock or chooses a worker.
//! `members` says who is there, `ranks` which place each has, `lease` who may give rights, `rights` what is given and
//! held, `peer_load` what is told of workers, `register` how keepers agree on the fleet's settings (not used by `node` yet); `node` puts them together for one process, `file` is what operators write.
//! `field` plays many of them on a clock of its own.
pub mod cluster;
pub mod config;
pub mod datagram;
pub mod error;
pub mod grants;
pub mod lease;
pub mod membership;
pub mod peer_load;
pub mod ranks;
pub mod register;
pub mod simulated;
