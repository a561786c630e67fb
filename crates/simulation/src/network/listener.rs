//! Listeners of the virtual network and their backlogs.
use super::link::{OwnedWaker, Segment};
use super::stream::VirtualStream;
use super::{HostId, LinkSide, Network};
use crate::kernel::Owner;
use rosewall_runtime::traits::Listener;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Poll, Waker};

pub(super) struct ListenerState {
    pub host: HostId,
    /// Links that wait to be accepted, by key.
    queue: VecDeque<usize>,
    backlog: usize,
    waker: Option<Waker>,
}

impl ListenerState {
    pub fn new(host: HostId, backlog: usize) -> Self {
        ListenerState {
            host,
            queue: VecDeque::new(),
            backlog,
            waker: None,
        }
    }

    pub fn has_capacity(&self) -> bool {
        self.queue.len() < self.backlog
    }

    /// Queues a link; returns the tasks to wake.
    pub fn push(&mut self, link: usize, owner: Owner) -> Vec<OwnedWaker> {
        self.queue.push_back(link);
        self.waker
            .take()
            .map(|waker| (owner, waker))
            .into_iter()
            .collect()
    }
}

/// A listener at one address. Dropping it closes it and resets the connections in its backlog.
pub struct VirtualListener {
    network: Rc<Network>,
    host: HostId,
    address: SocketAddr,
}

impl VirtualListener {
    pub(super) fn new(network: &Rc<Network>, host: HostId, address: SocketAddr) -> Self {
        VirtualListener {
            network: network.clone(),
            host,
            address,
        }
    }

    fn take_queue(&self) -> VecDeque<usize> {
        let mut state = self.network.state.borrow_mut();
        // Another process may have replaced this listener at the address.
        match state.listeners.get(&self.address) {
            Some(listener) if listener.host == self.host => state
                .listeners
                .remove(&self.address)
                .map(|listener| listener.queue)
                .unwrap_or_default(),
            _ => VecDeque::new(),
        }
    }
}

impl Drop for VirtualListener {
    fn drop(&mut self) {
        for link in self.take_queue() {
            match self.network.state.borrow_mut().links.get_mut(link) {
                Some(entry) => entry.open[1] = false,
                None => continue,
            }
            self.network.send(link, 1, Segment::Reset);
        }
    }
}

impl Listener for VirtualListener {
    type Stream = VirtualStream;

    fn set_backlog(&self, backlog: i32) -> io::Result<()> {
        let mut state = self.network.state.borrow_mut();
        if let Some(listener) = state.listeners.get_mut(&self.address) {
            listener.backlog = listener.backlog.max(backlog.max(1) as usize);
        }
        Ok(())
    }

    async fn wait_ready(&self) -> io::Result<()> {
        std::future::poll_fn(|cx| {
            let mut state = self.network.state.borrow_mut();
            match state.listeners.get_mut(&self.address) {
                Some(listener) if listener.queue.is_empty() => {
                    listener.waker = Some(cx.waker().clone());
                    Poll::Pending
                }
                _ => Poll::Ready(()),
            }
        })
        .await;
        Ok(())
    }

    fn accept(&self) -> io::Result<VirtualStream> {
        let mut state = self.network.state.borrow_mut();
        let state = &mut *state;
        loop {
            let Some(listener) = state.listeners.get_mut(&self.address) else {
                return Err(ErrorKind::NotConnected.into());
            };
            let Some(link) = listener.queue.pop_front() else {
                return Err(ErrorKind::WouldBlock.into());
            };
            let Some(entry) = state.links.get_mut(link).filter(|entry| entry.open[1]) else {
                continue;
            };
            entry.in_backlog = false;
            let writer = entry.directions[0].writer.take();
            let owner = state.hosts[entry.hosts[0]].owner;
            state.hosts[self.host].connection_opened();
            // More bytes fit now.
            if let Some(writer) = writer {
                self.network.kernel.wake(owner, writer);
            }
            return Ok(VirtualStream::new(
                &self.network,
                LinkSide { link, side: 1 },
            ));
        }
    }
}
