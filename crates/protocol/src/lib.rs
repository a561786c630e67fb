//! What is spoken: state machines that are fed bytes and know no socket, no clock and nothing of who drives them.
//! `http` is the framing that all sides share; `client`, `worker` and `discovery` are one side each,
//! `talk` is what dispatchers tell each other.
pub mod client;
pub mod discovery;
pub mod http;
pub mod peer_load;
pub mod worker;

#[cfg(test)]
mod cuts_tests;
#[cfg(test)]
mod tests;
