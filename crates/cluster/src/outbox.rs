//! Queue of datagrams that are to be sent, before they are encoded.
use crate::datagram::Part;
use std::net::SocketAddr;

/// A datagram that is to be sent; without parts it carries only the header and membership updates.
#[derive(Debug)]
pub struct Outgoing {
    /// The receiver's address.
    pub to: SocketAddr,
    /// The parts that are encoded before membership updates.
    pub parts: Vec<Part>,
}

/// The datagrams that result from one input, in the order in which they are sent.
#[derive(Debug, Default)]
pub struct Outbox(Vec<Outgoing>);

impl Outbox {
    /// Adds a datagram with these parts.
    pub fn send(&mut self, to: SocketAddr, parts: Vec<Part>) {
        self.0.push(Outgoing { to, parts });
    }

    /// Adds a datagram that carries membership updates only.
    pub fn send_updates(&mut self, to: SocketAddr) {
        self.send(to, Vec::new());
    }

    /// Removes and returns all datagrams.
    pub fn take(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.0)
    }
}
