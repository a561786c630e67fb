//! Discovery: one agent beside each dispatcher, which learns of changes late and tells them as the protocol has it,
//! or falls silent, lies for a while, goes back to an older list, or moves.
use crate::core::{Core, MS};
use crate::http::Inbox;
use crate::net::{Net, VDoor, VStream};
use async_channel::Sender;
use futures_lite::{AsyncWriteExt, FutureExt};
use rosewall::types::{EndpointState, Nanos};
use rosewall_runtime::traits::Listener;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// What a list says of one worker.
#[derive(Clone, Debug)]
pub struct Line {
    pub standing: EndpointState,
    pub dial: SocketAddr,
    pub born: Nanos,
    pub zone: usize,
    pub cell: usize,
}

#[derive(Clone, Default)]
struct Known {
    seq: u64,
    lines: Vec<Option<Line>>,
    /// The version at which each line changed last.
    changed: Vec<u64>,
}

pub struct Agent {
    core: Rc<Core>,
    /// Which machine the dispatcher beside it is now.
    pub beside: Cell<usize>,
    known: RefCell<Known>,
    /// What was known when, for going back.
    past: RefCell<Vec<(Nanos, Known)>>,
    /// Of each line, the change that was applied last.
    order: RefCell<Vec<u64>>,
    /// Shown instead, until a moment.
    back: RefCell<Option<(Nanos, Known)>>,
    pub garbled: Cell<Nanos>,
    pub late: Cell<(Nanos, Nanos)>,
    lacks: RefCell<(Nanos, Vec<usize>)>,
    /// By address: silent until then.
    silent: RefCell<[Nanos; 2]>,
    pub addresses: [SocketAddr; 2],
    waiting: RefCell<Vec<Sender<()>>>,
    /// How often it has forgotten its open calls.
    forgot: Cell<u32>,
}

impl Agent {
    pub fn start(core: &Rc<Core>, addresses: [SocketAddr; 2], lines: Vec<Line>) -> Rc<Agent> {
        let count = lines.len();
        let known = Known {
            seq: 1,
            lines: lines.into_iter().map(Some).collect(),
            changed: vec![1; count],
        };
        let agent = Rc::new(Agent {
            core: core.clone(),
            beside: Cell::new(0),
            past: RefCell::new(vec![(0, known.clone())]),
            known: RefCell::new(known),
            order: RefCell::new(vec![0; count]),
            back: RefCell::default(),
            garbled: Cell::new(0),
            late: Cell::new((0, 0)),
            lacks: RefCell::default(),
            silent: RefCell::default(),
            addresses,
            waiting: RefCell::default(),
            forgot: Cell::new(0),
        });
        for (at, address) in addresses.into_iter().enumerate() {
            let machine = core.net.borrow_mut().machine(0);
            let door = Net::listen(core, machine, address, 64);
            core.spawn(agent.clone().accept(door, at));
        }
        agent
    }

    /// A change reaches the agent; an older one than it has does nothing.
    pub fn apply(&self, host: usize, line: Line, order: u64) {
        {
            let mut orders = self.order.borrow_mut();
            if orders[host] >= order {
                return;
            }
            orders[host] = order;
            let mut known = self.known.borrow_mut();
            known.seq += 1;
            known.changed[host] = known.seq;
            known.lines[host] = Some(line);
            self.past
                .borrow_mut()
                .push((self.core.now(), known.clone()));
        }
        self.stir();
    }

    /// Whoever waits for news looks again.
    pub fn stir(&self) {
        for waiting in self.waiting.borrow_mut().drain(..) {
            let _ = waiting.try_send(());
        }
        self.core.mark(0);
    }

    pub fn silence(&self, address: usize, until: Nanos) {
        self.silent.borrow_mut()[address] = until;
    }

    /// Never answers the calls that are open now.
    pub fn forget(&self) {
        self.forgot.set(self.forgot.get() + 1);
        self.stir();
    }

    /// What it has counts as told, whether or not it was asked.
    pub fn counts(&self) {
        self.tell(&self.known.borrow().clone(), None, self.beside.get());
    }

    /// Shows what it knew so long ago, for as long.
    pub fn go_back(self: &Rc<Self>, span: Nanos) {
        let (now, then) = (self.core.now(), self.core.now().saturating_sub(span));
        let past = self.past.borrow();
        let Some((_, known)) = past.iter().rev().find(|(at, _)| *at <= then) else {
            return;
        };
        *self.back.borrow_mut() = Some((now + span, known.clone()));
        self.stir_at(now + span);
    }

    /// Leaves these workers out, for a time.
    pub fn lack(self: &Rc<Self>, hosts: Vec<usize>, until: Nanos) {
        *self.lacks.borrow_mut() = (until, hosts);
        self.known.borrow_mut().seq += 1;
        self.stir_at(until);
    }

    fn stir_at(self: &Rc<Self>, at: Nanos) {
        self.stir();
        let agent = self.clone();
        self.core.spawn(async move {
            agent.core.until(0, at).await;
            // A change of its own, so that what was shown wrongly is told anew.
            agent.known.borrow_mut().seq += 1;
            agent.stir();
        });
    }

    fn shown(&self) -> (Known, bool) {
        let now = self.core.now();
        if let Some((_, known)) = self
            .back
            .borrow()
            .as_ref()
            .filter(|(until, _)| now < *until)
        {
            return (known.clone(), true);
        }
        let mut known = self.known.borrow().clone();
        let lacks = self.lacks.borrow();
        let lying = now < lacks.0;
        if lying {
            lacks.1.iter().for_each(|host| known.lines[*host] = None);
        }
        (known, lying)
    }

    /// The list as it stands, in the form that a dispatcher is started with; it counts as told.
    pub fn list(&self, machine: usize) -> String {
        let (known, _) = self.shown();
        self.tell(&known, None, machine);
        text(&known, None)
    }

    fn tell(&self, known: &Known, since: Option<u64>, machine: usize) {
        let now = self.core.now();
        let mut judge = self.core.judge.borrow_mut();
        for (host, line) in known.lines.iter().enumerate() {
            if since.is_some_and(|since| known.changed[host] <= since) {
                continue;
            }
            let gone = line
                .as_ref()
                .is_none_or(|line| line.standing == EndpointState::Removed);
            // A whole list does not name who is gone: that tells only those who knew of it.
            if since.is_none() && gone && !judge.named(machine).contains(&host) {
                continue;
            }
            let (standing, born) = line.as_ref().map_or((EndpointState::Removed, 0), |line| {
                (line.standing, line.born)
            });
            judge.told(now, machine, host, standing, born, known.seq);
        }
        self.core.note("told", machine as u64, known.seq, || {
            format!(
                "dispatcher machine {machine} of list {} since {since:?}",
                known.seq
            )
        });
    }

    async fn accept(self: Rc<Self>, door: VDoor, address: usize) {
        loop {
            let _ = door.wait_ready().await;
            while let Ok(stream) = door.accept() {
                self.core.spawn(self.clone().serve(stream, address));
            }
        }
    }

    async fn serve(self: Rc<Self>, mut stream: VStream, address: usize) {
        let mut inbox = Inbox::default();
        while let Ok(Some(message)) = inbox.message(&mut stream, false).await {
            let number = |name: &str| {
                let query = message
                    .target
                    .split_once('?')
                    .map_or("", |(_, query)| query);
                let found = query
                    .split('&')
                    .filter_map(|pair| pair.split_once('='))
                    .find(|(key, _)| *key == name);
                found.and_then(|(_, value)| value.parse::<u64>().ok())
            };
            let since = number("index");
            let until = self.core.now() + number("wait").unwrap_or(0).min(60_000) * MS;
            // Only an agent that is not silent says anything.
            let forgot = self.forgot.get();
            loop {
                if self.forgot.get() != forgot {
                    // The call stays open and is never answered.
                    let _ = inbox.message(&mut stream, false).await;
                    return;
                }
                let silent = self.silent.borrow()[address];
                let (known, _) = self.shown();
                let news = since != Some(known.seq);
                if self.core.now() < silent {
                    self.core.until(0, silent).await;
                } else if news || self.core.now() >= until {
                    break;
                } else {
                    let (stir, stirred) = async_channel::bounded(1);
                    self.waiting.borrow_mut().push(stir);
                    let stirred = async {
                        let _ = stirred.recv().await;
                    };
                    stirred.or(self.core.until(0, until)).await;
                }
            }
            let (known, lying) = self.shown();
            let machine = stream.peer();
            let garbled = self.core.now() < self.garbled.get();
            // Whole where it was asked for, where it lies, or where its numbers do not go on from what is known.
            let whole = lying || since.is_none_or(|since| since > known.seq);
            let whole = whole || self.core.draw(|chance| chance.is(0.2));
            let since = if whole { None } else { since };
            let body = if garbled {
                "{\"seq\":9,\"whole\":true,\"hosts\":[{}]}".into()
            } else {
                text(&known, since)
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if stream.write_all((head + &body).as_bytes()).await.is_err() {
                return;
            }
            if !garbled {
                self.tell(&known, since, machine);
            }
        }
    }
}

fn text(known: &Known, since: Option<u64>) -> String {
    let changed = |host: &usize| since.is_none_or(|since| known.changed[*host] > since);
    let entry = |host: usize| {
        let line = known.lines[host].as_ref()?;
        let health = match line.standing {
            EndpointState::Ready => "ready",
            EndpointState::Draining => "draining",
            EndpointState::Removed => "gone",
        };
        // A whole list names none that is gone.
        if since.is_none() && line.standing == EndpointState::Removed {
            return None;
        }
        Some(
            json!({"host": format!("w{host:03}"), "dial": line.dial.to_string(),
            "site": format!("z{}", line.zone), "class": "k", "block": line.cell, "health": health, "share": 1.0,
            "born_ms": line.born / MS}),
        )
    };
    let hosts: Vec<_> = (0..known.lines.len())
        .filter(changed)
        .filter_map(entry)
        .collect();
    json!({"seq": known.seq, "whole": since.is_none(), "hosts": hosts}).to_string()
}
