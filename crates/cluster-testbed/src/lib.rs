//! Many processes of the real program on loopback, with stand-ins for clients, workers and the list, relays between
//! them, and faults. The judge reads only what workers and clients saw. The daemon does not link this.
pub mod error;
pub mod judge;
pub mod play;
pub mod process;
pub mod relay;
pub mod scale;
pub mod scenario;
pub mod stand;
pub mod worker;
