//! Datagrams that are to be sent, before they are encoded.
use crate::datagram::Part;
use std::net::SocketAddr;

/// A datagram that is to be sent; without parts it carries the header and membership updates only.
#[derive(Debug)]
pub struct Outgoing {
    /// Where it goes.
    pub to: SocketAddr,
    /// What it is sent for.
    pub parts: Vec<Part>,
}

/// The datagrams that one input leads to, in the order in which they are sent.
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

    /// Takes all datagrams out.
    pub fn take(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.0)
    }
}
