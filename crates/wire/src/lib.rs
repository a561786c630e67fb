//! What is spoken: state machines that are fed bytes and know no socket, no clock and nothing of who drives them.
//! `http` is the framing that all sides share; `client`, `worker` and `discovery` are one side each.
pub mod client;
pub mod discovery;
pub mod http;
pub mod worker;

#[cfg(test)]
mod cuts_tests;
#[cfg(test)]
mod tests;
