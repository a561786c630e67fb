//! Datagrams on the virtual network: lost, late, doubled and cut by direction, as the scenario has it.
use crate::core::{Core, Event};
use rosewall::types::Nanos;
use rosewall_runtime::traits::DatagramSocket;
use std::collections::{BTreeMap, VecDeque};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// What a socket's buffer holds of them, about.
const WAITING: usize = 200;

/// What happens to datagrams when nothing else is wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ways {
    pub loss: f64,
    pub twice: f64,
    pub latency: (Nanos, Nanos),
}

struct Desk {
    machine: usize,
    waiting: VecDeque<(Vec<u8>, SocketAddr)>,
    waker: Option<Waker>,
}

#[derive(Default)]
pub struct Post {
    pub ways: Ways,
    desks: BTreeMap<SocketAddr, Desk>,
    /// Until when an address hears nothing, is heard by no one, or is on the other side of a split.
    pub deaf: BTreeMap<SocketAddr, Nanos>,
    pub mute: BTreeMap<SocketAddr, Nanos>,
    pub apart: BTreeMap<SocketAddr, Nanos>,
}

impl Post {
    fn passes(&self, now: Nanos, from: &SocketAddr, to: &SocketAddr) -> bool {
        let is = |map: &BTreeMap<SocketAddr, Nanos>, at: &SocketAddr| {
            map.get(at).is_some_and(|until| now < *until)
        };
        !is(&self.deaf, to) && !is(&self.mute, from) && is(&self.apart, from) == is(&self.apart, to)
    }
}

pub struct VMail {
    core: Rc<Core>,
    at: SocketAddr,
    machine: usize,
}

impl VMail {
    /// Whoever was at the address before is there no longer.
    pub fn new(core: &Rc<Core>, machine: usize, at: SocketAddr) -> Self {
        let desk = Desk {
            machine,
            waiting: VecDeque::new(),
            waker: None,
        };
        core.post.borrow_mut().desks.insert(at, desk);
        VMail {
            core: core.clone(),
            at,
            machine,
        }
    }
}

impl Drop for VMail {
    fn drop(&mut self) {
        let mut post = self.core.post.borrow_mut();
        if post
            .desks
            .get(&self.at)
            .is_some_and(|desk| desk.machine == self.machine)
        {
            post.desks.remove(&self.at);
        }
    }
}

impl DatagramSocket for VMail {
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<()> {
        let core = &self.core;
        let ways = core.post.borrow().ways;
        if !core.post.borrow().passes(core.now(), &self.at, &to)
            || core.draw(|chance| chance.is(ways.loss))
        {
            return Ok(());
        }
        for _ in 0..1 + u8::from(core.draw(|chance| chance.is(ways.twice))) {
            let late = core.draw(|chance| chance.below(ways.latency.0, ways.latency.1 + 1));
            let event = Event::Datagram {
                to,
                from: self.at,
                bytes: bytes.to_vec(),
            };
            core.at(core.now() + late, 0, event);
        }
        Ok(())
    }

    async fn receive(&self, bytes: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        poll_fn(|cx| {
            let mut post = self.core.post.borrow_mut();
            let desk = post
                .desks
                .get_mut(&self.at)
                .filter(|desk| desk.machine == self.machine);
            let Some(desk) = desk else {
                return Poll::Pending;
            };
            let Some((got, from)) = desk.waiting.pop_front() else {
                desk.waker = Some(cx.waker().clone());
                return Poll::Pending;
            };
            let length = got.len().min(bytes.len());
            bytes[..length].copy_from_slice(&got[..length]);
            Poll::Ready(Ok((length, from)))
        })
        .await
    }
}

/// A datagram arrives, if someone is there.
pub fn deliver(core: &Rc<Core>, to: SocketAddr, from: SocketAddr, bytes: Vec<u8>) {
    let woken = {
        let mut post = core.post.borrow_mut();
        let Some(desk) = post.desks.get_mut(&to) else {
            return;
        };
        if desk.waiting.len() < WAITING {
            desk.waiting.push_back((bytes, from));
        }
        desk.waker.take().map(|waker| (desk.machine, waker))
    };
    if let Some((machine, waker)) = woken {
        core.mark(machine);
        waker.wake();
    }
}
