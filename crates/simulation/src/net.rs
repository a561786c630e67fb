//! The virtual network: machines, doors, links. Bytes take their time, come in pieces, and stop, break or vanish as
//! faults have it. A link has two halves; half 0 carries what the side that connected writes.
use crate::core::{Core, Event, Owner};
use futures_lite::{AsyncRead, AsyncWrite};
use rosewall::types::Nanos;
use rosewall_runtime::traits::{Listener, Readiness, Stream};
use rustc_hash::FxHashMap;
use slab::Slab;
use std::cell::Cell;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

/// What one half holds that was written and not read yet: as much as a small socket buffer.
const ROOM: usize = 32 * 1024;

#[derive(Default)]
enum Part {
    Bytes(Vec<u8>),
    #[default]
    End,
    Reset,
    /// The connecting side's first packet: the other side's machine takes it in.
    Call,
    /// It was taken in, or there was no one.
    Answer(bool),
}

/// What the judge sees of one half, also after its link is gone.
#[derive(Default)]
pub struct Half {
    /// How many bytes were written and read so far.
    pub wrote: Cell<u64>,
    pub read: Cell<u64>,
    /// Up to which byte, written by when: one entry a write.
    log: std::cell::RefCell<VecDeque<(u64, Nanos)>>,
}

impl Half {
    /// When the byte at this place was written.
    pub fn written_at(&self, place: u64) -> Nanos {
        let log = self.log.borrow();
        let at = log.partition_point(|(end, _)| *end <= place);
        log.get(at).map_or(0, |(_, at)| *at)
    }

    fn write(&self, now: Nanos, count: usize) {
        self.wrote.set(self.wrote.get() + count as u64);
        let mut log = self.log.borrow_mut();
        log.push_back((self.wrote.get(), now));
        // Postings are judged as they arrive, so only what is under way is looked up.
        if log.len() > 256 {
            log.pop_front();
        }
    }
}

#[derive(Default)]
struct Flow {
    flying: VecDeque<(Nanos, Part)>,
    flying_bytes: usize,
    here: VecDeque<u8>,
    /// The writer has ended, and its end has arrived.
    ending: bool,
    ended: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
    half: Rc<Half>,
}

struct Link {
    machines: [usize; 2],
    flows: [Flow; 2],
    /// Whether each side still holds its end, and whether it was told of a break.
    open: [bool; 2],
    broken: [bool; 2],
    /// Whether the connecting side knows that it is up, or that it will not be.
    up: Option<bool>,
    connecting: Option<Waker>,
    /// A side that the kernel keeps in a backlog, not yet accepted.
    waiting: bool,
    port: SocketAddr,
}

pub struct Machine {
    pub owner: Owner,
    /// Cut off or vanished: what goes to it or comes from it is lost.
    pub silent: bool,
    /// Connections that a process here holds now, and the most it ever held.
    pub open: usize,
    pub most: usize,
}

#[derive(Default)]
struct Entry {
    machine: usize,
    queue: VecDeque<usize>,
    backlog: usize,
    waker: Option<Waker>,
}

/// How this network behaves when nothing is wrong.
#[derive(Clone, Copy, Debug)]
pub struct Ways {
    /// The time that a packet takes, from and to.
    pub latency: (Nanos, Nanos),
    /// How often a write or read takes only a part of what it could.
    pub split: f64,
    /// Whether a reset takes with it what has come and was not read.
    pub harsh: bool,
}

pub struct Net {
    ways: Ways,
    pub machines: Vec<Machine>,
    links: Slab<Link>,
    doors: FxHashMap<SocketAddr, Entry>,
}

impl Net {
    pub fn new(ways: Ways) -> Self {
        Net {
            ways,
            machines: Vec::new(),
            links: Slab::new(),
            doors: FxHashMap::default(),
        }
    }

    pub fn machine(&mut self, owner: Owner) -> usize {
        self.machines.push(Machine {
            owner,
            silent: false,
            open: 0,
            most: 0,
        });
        self.machines.len() - 1
    }

    /// Links that are not forgotten, for the end of a world.
    pub fn links(&self) -> usize {
        self.links.len()
    }

    /// Opens a door; what stood there before is gone.
    pub fn listen(core: &Rc<Core>, machine: usize, at: SocketAddr, backlog: usize) -> VDoor {
        let mut net = core.net.borrow_mut();
        net.doors.insert(
            at,
            Entry {
                machine,
                backlog,
                ..Entry::default()
            },
        );
        VDoor {
            core: core.clone(),
            at,
            machine,
        }
    }

    fn send(core: &Rc<Core>, link: usize, half: usize, part: Part) {
        let (low, high) = core.net.borrow().ways.latency;
        let latency = core.draw(|chance| chance.below(low, high + 1)).max(1);
        let mut net = core.net.borrow_mut();
        let Some(known) = net.links.get_mut(link) else {
            return;
        };
        let flow = &mut known.flows[half];
        let last = flow.flying.back().map_or(0, |(at, _)| *at);
        let at = (core.now() + latency).max(last);
        if let Part::Bytes(bytes) = &part {
            flow.flying_bytes += bytes.len();
        }
        flow.flying.push_back((at, part));
        let owner = net.machines[net.links[link].machines[1 - half]].owner;
        drop(net);
        core.at(at, owner, Event::Deliver { link, half });
    }

    /// The first part on its way through a half arrives.
    pub fn deliver(core: &Rc<Core>, link: usize, half: usize) {
        let mut wakers = Vec::new();
        let mut replies = Vec::new();
        {
            let mut net = core.net.borrow_mut();
            let net = &mut *net;
            let Some(known) = net.links.get_mut(link) else {
                return;
            };
            let Some((_, part)) = known.flows[half].flying.pop_front() else {
                return;
            };
            let (to, from) = (1 - half, half);
            if let Part::Bytes(bytes) = &part {
                known.flows[half].flying_bytes -= bytes.len();
            }
            // Who answers a call is whoever listens as it comes.
            if let (Part::Call, Some(door)) = (&part, net.doors.get(&known.port)) {
                known.machines[1] = door.machine;
            }
            let owners = known.machines.map(|machine| net.machines[machine].owner);
            let lost = known
                .machines
                .iter()
                .any(|machine| net.machines[*machine].silent);
            if !lost {
                match part {
                    Part::Bytes(bytes) if known.open[to] => {
                        known.flows[half].here.extend(bytes);
                        wakers.extend(
                            known.flows[half]
                                .reader
                                .take()
                                .map(|waker| (owners[to], waker)),
                        );
                    }
                    // There is no one left to read it.
                    Part::Bytes(_) => replies.push((to, Part::Reset)),
                    Part::End => {
                        known.flows[half].ended = true;
                        wakers.extend(
                            known.flows[half]
                                .reader
                                .take()
                                .map(|waker| (owners[to], waker)),
                        );
                    }
                    Part::Reset => {
                        known.broken[to] = true;
                        if net.ways.harsh {
                            known.flows[half].here.clear();
                        }
                        wakers.extend(
                            known.flows[from]
                                .reader
                                .take()
                                .map(|waker| (owners[to], waker)),
                        );
                        wakers.extend(
                            known.flows[to]
                                .writer
                                .take()
                                .map(|waker| (owners[to], waker)),
                        );
                        wakers.extend(known.connecting.take().map(|waker| (owners[to], waker)));
                    }
                    Part::Call => match net.doors.get_mut(&known.port) {
                        Some(door) if door.queue.len() < door.backlog => {
                            (known.open[1], known.waiting) = (true, true);
                            door.queue.push_back(link);
                            wakers.extend(door.waker.take().map(|waker| (owners[1], waker)));
                            replies.push((1, Part::Answer(true)));
                        }
                        // A full backlog says nothing: the call is as good as lost.
                        Some(_) => {}
                        None => replies.push((1, Part::Answer(false))),
                    },
                    Part::Answer(up) => {
                        known.up = Some(up);
                        wakers.extend(known.connecting.take().map(|waker| (owners[0], waker)));
                    }
                }
            }
        }
        replies
            .into_iter()
            .for_each(|(half, part)| Net::send(core, link, half, part));
        for (owner, waker) in wakers {
            core.mark(owner);
            waker.wake();
        }
        Net::forget(core, link);
    }

    /// A link that no one holds and on which nothing is under way is forgotten.
    fn forget(core: &Rc<Core>, link: usize) {
        let mut net = core.net.borrow_mut();
        let over = net.links.get(link).is_some_and(|known| {
            known.open == [false; 2] && known.flows.iter().all(|flow| flow.flying.is_empty())
        });
        if over {
            net.links.remove(link);
        }
    }

    /// A side lets go of its end.
    fn close(core: &Rc<Core>, link: usize, side: usize) {
        let part = {
            let mut net = core.net.borrow_mut();
            let Some(known) = net.links.get_mut(link) else {
                return;
            };
            if !std::mem::take(&mut known.open[side]) {
                return;
            }
            let machine = known.machines[side];
            let unread = !known.flows[1 - side].here.is_empty();
            let ending = std::mem::replace(&mut known.flows[side].ending, true);
            let part = match (known.broken[side], unread) {
                (true, _) => None,
                (false, true) => Some(Part::Reset),
                (false, false) => (!ending).then_some(Part::End),
            };
            if side == 0 || !std::mem::take(&mut known.waiting) {
                net.machines[machine].open -= 1;
            }
            part
        };
        if let Some(part) = part {
            Net::send(core, link, side, part);
        }
        Net::forget(core, link);
    }

    /// All connections of a machine break, as its process dies: each other side is told, and its doors close.
    pub fn kill(core: &Rc<Core>, machine: usize) {
        core.net
            .borrow_mut()
            .doors
            .retain(|_, door| door.machine != machine);
        for (link, side) in Net::links_of(core, machine) {
            let mut wakers = Vec::new();
            let tell = {
                let mut net = core.net.borrow_mut();
                let owner = net.machines[machine].owner;
                let Some(known) = net.links.get_mut(link) else {
                    continue;
                };
                let was = std::mem::take(&mut known.open[side]);
                known.broken[side] = true;
                wakers.extend(
                    known.flows[1 - side]
                        .reader
                        .take()
                        .map(|waker| (owner, waker)),
                );
                wakers.extend(known.flows[side].writer.take().map(|waker| (owner, waker)));
                if was && (side == 0 || !std::mem::take(&mut known.waiting)) {
                    net.machines[machine].open -= 1;
                }
                was
            };
            if tell {
                Net::send(core, link, side, Part::Reset);
            }
            for (owner, waker) in wakers {
                core.mark(owner);
                waker.wake();
            }
            Net::forget(core, link);
        }
    }

    /// Links of a machine break without its process ending: `part` of them, as by something on the way.
    pub fn cut(core: &Rc<Core>, machine: usize, part: f64, both: bool) {
        for (link, side) in Net::links_of(core, machine) {
            if core.draw(|chance| chance.is(part)) {
                Net::send(core, link, side, Part::Reset);
                if both {
                    Net::send(core, link, 1 - side, Part::Reset);
                }
            }
        }
    }

    fn links_of(core: &Rc<Core>, machine: usize) -> Vec<(usize, usize)> {
        let net = core.net.borrow();
        let sides = |(link, known): (usize, &Link)| {
            known
                .machines
                .iter()
                .position(|one| *one == machine)
                .map(|side| (link, side))
        };
        net.links.iter().filter_map(sides).collect()
    }

    pub fn silence(core: &Rc<Core>, machine: usize, silent: bool) {
        core.net.borrow_mut().machines[machine].silent = silent;
    }

    /// Calls from one machine to a door.
    pub async fn connect(core: &Rc<Core>, machine: usize, to: SocketAddr) -> io::Result<VStream> {
        let link = {
            let mut net = core.net.borrow_mut();
            let other = net.doors.get(&to).map(|door| door.machine);
            // A machine that is not there answers by itself that no one listens; one that is silent says nothing.
            let other = other.unwrap_or(machine);
            let link = Link {
                machines: [machine, other],
                flows: Default::default(),
                open: [true, false],
                broken: [false; 2],
                up: None,
                connecting: None,
                waiting: false,
                port: to,
            };
            net.machines[machine].open += 1;
            net.machines[machine].most = net.machines[machine].most.max(net.machines[machine].open);
            net.links.insert(link)
        };
        let stream = VStream {
            core: core.clone(),
            link,
            side: 0,
            machine,
        };
        Net::send(core, link, 0, Part::Call);
        let up = std::future::poll_fn(|cx| {
            let mut net = core.net.borrow_mut();
            let Some(known) = net.links.get_mut(link) else {
                return Poll::Ready(false);
            };
            match known.up {
                _ if known.broken[0] => Poll::Ready(false),
                Some(up) => Poll::Ready(up),
                None => {
                    known.connecting = Some(cx.waker().clone());
                    Poll::Pending
                }
            }
        });
        if up.await {
            Ok(stream)
        } else {
            Err(ErrorKind::ConnectionRefused.into())
        }
    }
}

/// One side of a link.
pub struct VStream {
    core: Rc<Core>,
    link: usize,
    side: usize,
    pub machine: usize,
}

impl VStream {
    /// The machine at the other side.
    pub fn peer(&self) -> usize {
        let net = self.core.net.borrow();
        net.links
            .get(self.link)
            .map_or(0, |known| known.machines[1 - self.side])
    }

    /// What this side writes, as the judge sees it.
    pub fn sent(&self) -> Rc<Half> {
        self.flow(self.side)
    }

    /// What this side reads.
    pub fn received(&self) -> Rc<Half> {
        self.flow(1 - self.side)
    }

    fn flow(&self, half: usize) -> Rc<Half> {
        let net = self.core.net.borrow();
        net.links
            .get(self.link)
            .map(|known| known.flows[half].half.clone())
            .unwrap_or_default()
    }

    /// Breaks the connection: the other side is told, and this one finds it broken too.
    pub fn reset(self) {
        {
            let mut net = self.core.net.borrow_mut();
            let Some(known) = net.links.get_mut(self.link) else {
                return;
            };
            if known.broken[self.side] {
                return;
            }
            known.flows[self.side].ending = true;
        }
        Net::send(&self.core, self.link, self.side, Part::Reset);
    }
}

impl Drop for VStream {
    fn drop(&mut self) {
        Net::close(&self.core, self.link, self.side);
    }
}

impl AsyncRead for VStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let split = self.core.net.borrow().ways.split;
        let mut net = self.core.net.borrow_mut();
        let Some(known) = net.links.get_mut(self.link) else {
            return Poll::Ready(Ok(0));
        };
        let flow = &mut known.flows[1 - self.side];
        if flow.here.is_empty() {
            return if known.broken[self.side] {
                Poll::Ready(Err(ErrorKind::ConnectionReset.into()))
            } else if flow.ended {
                Poll::Ready(Ok(0))
            } else {
                flow.reader = Some(cx.waker().clone());
                Poll::Pending
            };
        }
        let mut count = flow.here.len().min(buffer.len());
        if count > 1 && split > 0.0 {
            count = self.core.draw(|chance| match chance.is(split) {
                true => chance.below(1, count as u64 + 1) as usize,
                false => count,
            });
        }
        for (place, byte) in buffer.iter_mut().zip(flow.here.drain(..count)) {
            *place = byte;
        }
        flow.half.read.set(flow.half.read.get() + count as u64);
        let waker = flow.writer.take();
        let owner = net.machines[net.links[self.link].machines[1 - self.side]].owner;
        drop(net);
        if let Some(waker) = waker {
            self.core.mark(owner);
            waker.wake();
        }
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for VStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let split = self.core.net.borrow().ways.split;
        let count = {
            let mut net = self.core.net.borrow_mut();
            let Some(known) = net.links.get_mut(self.link) else {
                return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
            };
            let flow = &mut known.flows[self.side];
            if known.broken[self.side] || flow.ending {
                return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
            }
            let held = flow.flying_bytes + flow.here.len();
            if held >= ROOM {
                flow.writer = Some(cx.waker().clone());
                return Poll::Pending;
            }
            let most = bytes.len().min(ROOM - held);
            let count = match most > 1 && split > 0.0 {
                true => self.core.draw(|chance| match chance.is(split) {
                    true => chance.below(1, most as u64 + 1) as usize,
                    false => most,
                }),
                false => most,
            };
            flow.half.write(self.core.now(), count);
            count
        };
        Net::send(
            &self.core,
            self.link,
            self.side,
            Part::Bytes(bytes[..count].to_vec()),
        );
        Poll::Ready(Ok(count))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(self.shutdown_write())
    }
}

impl Stream for VStream {
    fn readiness(&self) -> Readiness {
        let net = self.core.net.borrow();
        let Some(known) = net.links.get(self.link) else {
            return Readiness::Closed;
        };
        let flow = &known.flows[1 - self.side];
        match (flow.here.is_empty(), known.broken[self.side] || flow.ended) {
            (false, _) => Readiness::Readable,
            (true, true) => Readiness::Closed,
            (true, false) => Readiness::Idle,
        }
    }

    async fn readable(&self) -> io::Result<()> {
        std::future::poll_fn(|cx| {
            if self.readiness() != Readiness::Idle {
                return Poll::Ready(());
            }
            let mut net = self.core.net.borrow_mut();
            if let Some(known) = net.links.get_mut(self.link) {
                known.flows[1 - self.side].reader = Some(cx.waker().clone());
            }
            Poll::Pending
        })
        .await;
        Ok(())
    }

    fn shutdown_write(&self) -> io::Result<()> {
        {
            let mut net = self.core.net.borrow_mut();
            let Some(known) = net.links.get_mut(self.link) else {
                return Err(ErrorKind::NotConnected.into());
            };
            if known.broken[self.side] {
                return Err(ErrorKind::NotConnected.into());
            }
            if std::mem::replace(&mut known.flows[self.side].ending, true) {
                return Ok(());
            }
        }
        Net::send(&self.core, self.link, self.side, Part::End);
        Ok(())
    }
}

/// A listener. Dropping it closes it; who waits in its backlog is reset.
pub struct VDoor {
    core: Rc<Core>,
    at: SocketAddr,
    machine: usize,
}

impl Drop for VDoor {
    fn drop(&mut self) {
        let waiting = {
            let mut net = self.core.net.borrow_mut();
            match net.doors.get(&self.at) {
                Some(door) if door.machine == self.machine => net
                    .doors
                    .remove(&self.at)
                    .map(|door| door.queue)
                    .unwrap_or_default(),
                _ => VecDeque::new(),
            }
        };
        for link in waiting {
            {
                let mut net = self.core.net.borrow_mut();
                let Some(known) = net.links.get_mut(link) else {
                    continue;
                };
                known.open[1] = false;
            }
            Net::send(&self.core, link, 1, Part::Reset);
        }
    }
}

impl Listener for VDoor {
    type Stream = VStream;

    fn set_backlog(&self, backlog: i32) -> io::Result<()> {
        if let Some(door) = self.core.net.borrow_mut().doors.get_mut(&self.at) {
            door.backlog = door.backlog.max(backlog.max(1) as usize);
        }
        Ok(())
    }

    async fn wait_ready(&self) -> io::Result<()> {
        std::future::poll_fn(|cx| {
            let mut net = self.core.net.borrow_mut();
            match net.doors.get_mut(&self.at) {
                Some(door) if door.queue.is_empty() => {
                    door.waker = Some(cx.waker().clone());
                    Poll::Pending
                }
                _ => Poll::Ready(()),
            }
        })
        .await;
        Ok(())
    }

    fn accept(&self) -> io::Result<VStream> {
        let mut net = self.core.net.borrow_mut();
        let net = &mut *net;
        loop {
            let Some(door) = net.doors.get_mut(&self.at) else {
                return Err(ErrorKind::NotConnected.into());
            };
            let Some(link) = door.queue.pop_front() else {
                return Err(ErrorKind::WouldBlock.into());
            };
            let Some(known) = net.links.get_mut(link).filter(|known| known.open[1]) else {
                continue;
            };
            known.waiting = false;
            let machine = &mut net.machines[self.machine];
            machine.open += 1;
            machine.most = machine.most.max(machine.open);
            return Ok(VStream {
                core: self.core.clone(),
                link,
                side: 1,
                machine: self.machine,
            });
        }
    }
}
