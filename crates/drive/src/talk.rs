//! Carries what dispatchers tell each other, where the configuration gives addresses for it.
use crate::ground::{Ground, Mail};
use crate::shared::{News, Shared};
use futures_lite::future::yield_now;
use rosewall::types::Share;
use rosewall_node::pace::Pace;
use rosewall_wire::talk::{LENGTH, datagram, read};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Datagrams a second, each way: ten times what the busiest of a hundred dispatchers sent in simulated days. What is
/// beyond it is dropped and counted.
const A_SECOND: u64 = 5_000;

pub struct Talk<M> {
    mail: M,
    me: u16,
    peers: Vec<SocketAddr>,
    out: RefCell<Pace>,
}

impl<M: Mail> Talk<M> {
    pub fn new(mail: M, me: u16, peers: Vec<SocketAddr>) -> Self {
        Talk { mail, me, peers, out: RefCell::new(Pace::new(A_SECOND)) }
    }
}

/// To one peer. What cannot be sent is lost, as any datagram may be.
pub fn tell<G: Ground>(shared: &Shared<G>, to: u16, share: &Share) {
    let counters = &shared.counters;
    let Some(talk) = &shared.talk else { return counters.told_lost.add() };
    let Some(peer) = talk.peers.get(usize::from(to)) else { return counters.told_lost.add() };
    let allowed = talk.out.borrow_mut().allows(shared.ground.now());
    if allowed && talk.mail.send(&datagram(talk.me, share), *peer).is_ok() {
        counters.told.add();
    } else {
        counters.told_lost.add();
    }
}

pub async fn hear<G: Ground>(shared: Rc<Shared<G>>) {
    let (mut pace, mut bytes) = (Pace::new(A_SECOND), [0; LENGTH + 1]);
    while let Some(talk) = &shared.talk {
        let heard = talk.mail.receive(&mut bytes).await;
        let line = heard.ok().filter(|_| pace.allows(shared.ground.now()));
        match line.and_then(|(length, sender)| read(&bytes[..length], sender, &talk.peers).ok()) {
            Some((from, share)) => {
                shared.counters.heard.add();
                shared.tell(News::Shared { from, share });
            }
            None => shared.counters.heard_dropped.add(),
        }
        // Guards against a flood of them that leaves no one else a turn.
        yield_now().await;
    }
}
