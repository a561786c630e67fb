//! A worker: cores, a queue in the order of coming, a cold start, and all that can go wrong with one.
use crate::core::{Chance, Core, MS, SECOND, by};
use crate::http::{Inbox, Message};
use crate::judge::{At, From};
use crate::net::{Net, VDoor, VStream};
use crate::scenario;
use async_channel::{Receiver, Sender};
use futures_lite::{AsyncWriteExt, FutureExt};
use rosewall::types::Nanos;
use rosewall_runtime::traits::{Listener, Readiness, Stream};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

/// Something that lasts until a moment, and how much of it.
#[derive(Clone, Copy, Default)]
pub struct Spell {
    pub until: Nanos,
    pub share: f64,
}

impl Spell {
    fn holds(&self, core: &Core) -> bool {
        core.now() < self.until && (self.share >= 1.0 || core.draw(|chance| chance.is(self.share)))
    }
}

#[derive(Default)]
pub struct Troubles {
    pub stalled: Nanos,
    pub slow: Spell,
    pub errors: Spell,
    pub swallows: Spell,
    pub full: Spell,
    pub odd: Spell,
    pub fails: Spell,
    pub fails_scheme: usize,
}

/// One process of a worker, from its birth to its death.
pub struct Process {
    pub core: Rc<Core>,
    pub host: usize,
    pub spec: scenario::Worker,
    pub machine: usize,
    pub dial: SocketAddr,
    /// Unix time, 0 for one that has been up for long.
    pub born: Nanos,
    idle: Nanos,
    pub troubles: RefCell<Troubles>,
    pub draining: Cell<bool>,
    pub returns: Cell<bool>,
    running: Cell<usize>,
    queue: RefCell<VecDeque<Sender<()>>>,
    made: Cell<u64>,
    /// Dropped as the process dies; all its tasks end by that.
    life: RefCell<Option<Sender<()>>>,
    end: Receiver<()>,
    /// Told where it falls over.
    fallen: Sender<usize>,
}

/// Who waits for an end of the connection: one that is closed by the other side.
async fn closed(stream: &VStream) {
    loop {
        if stream.readable().await.is_err() || stream.readiness() == Readiness::Closed {
            return;
        }
        // What is there to read is a next request, ahead of its time; it waits.
        std::future::pending::<()>().await;
    }
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
const UNSTARTED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";

fn line(id: &str, state: &str, more: &str) -> String {
    format!("{{\"id\":\"{id}\",\"from\":\"w\",\"state\":\"{state}\"{more}}}\n")
}

impl Process {
    /// Starts one that listens at `dial`.
    pub fn start(
        core: &Rc<Core>,
        host: usize,
        scenario: &scenario::Scenario,
        dial: SocketAddr,
        born: Nanos,
        fallen: Sender<usize>,
    ) -> Rc<Process> {
        let machine = core.net.borrow_mut().machine(0);
        let (life, end) = async_channel::bounded(1);
        let spec = scenario.worker[host].clone();
        if born > 0 {
            core.judge
                .borrow_mut()
                .born(host, born, spec.slots as f64 * spec.speed);
        }
        let idle = (scenario.limits.idle_ms as f64 * MS as f64 * spec.keeps) as Nanos;
        let process = Rc::new(Process {
            core: core.clone(),
            host,
            spec,
            machine,
            dial,
            born,
            idle,
            troubles: RefCell::default(),
            draining: Cell::new(false),
            returns: Cell::new(false),
            running: Cell::new(0),
            queue: RefCell::default(),
            made: Cell::new(0),
            life: RefCell::new(Some(life)),
            end,
            fallen,
        });
        let door = Net::listen(core, machine, dial, scenario.net.backlog);
        process.clone().spawn(process.clone().accept(door));
        process
    }

    fn spawn(self: Rc<Self>, work: impl Future<Output = ()> + 'static) {
        let end = self.end.clone();
        let ended = async move {
            let _ = end.recv().await;
        };
        self.core.spawn(work.or(ended));
    }

    pub fn alive(&self) -> bool {
        self.life.borrow().is_some()
    }

    /// The process is no more: its connections break, and what it ran is lost.
    pub fn die(&self) {
        Net::kill(&self.core, self.machine);
        self.life.borrow_mut().take();
        self.core.mark(0);
    }

    /// What waits has not started and is handed back.
    pub fn hand_back(&self) {
        self.returns.set(true);
        self.queue.borrow_mut().clear();
        self.core.mark(0);
    }

    async fn accept(self: Rc<Self>, door: VDoor) {
        loop {
            let _ = door.wait_ready().await;
            self.unstalled().await;
            loop {
                match door.accept() {
                    Ok(stream) => self.clone().spawn(self.clone().serve(stream)),
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break,
                    // The process is no more.
                    Err(_) => return,
                }
            }
        }
    }

    async fn unstalled(&self) {
        loop {
            let until = self.troubles.borrow().stalled;
            if self.core.now() >= until {
                return;
            }
            self.core.until(0, until).await;
        }
    }

    async fn serve(self: Rc<Self>, mut stream: VStream) {
        let mut inbox = Inbox::default();
        loop {
            let idle_until = self.core.now() + self.idle.max(MS);
            let early = self.troubles.borrow().odd.holds(&self.core)
                && self.core.draw(|chance| chance.is(0.05));
            if early {
                // Answers before it has all, and is gone.
                let _ = by(&self.core, idle_until, stream.readable()).await;
                let _ = stream.write_all(UNSTARTED.as_bytes()).await;
                return;
            }
            let Some(Ok(Some(message))) =
                by(&self.core, idle_until, inbox.message(&mut stream, false)).await
            else {
                return;
            };
            self.unstalled().await;
            let keeps = match message.target.as_str() {
                "/healthz" | "/load" => {
                    let text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                    stream.write_all(text.as_bytes()).await.is_ok()
                }
                _ => self.posting(&mut stream, &message).await.unwrap_or(false),
            };
            if !keeps {
                return;
            }
        }
    }

    /// Takes one posting; none where its connection broke, else whether that is kept.
    async fn posting(self: &Rc<Self>, stream: &mut VStream, message: &Message) -> Option<bool> {
        let core = &self.core;
        let id = message.field("request-id").unwrap_or_default().to_string();
        let txn = usize::from_str_radix(&id, 16).ok();
        let half = stream.received();
        let (first, last) = (
            half.written_at(message.from),
            half.written_at(message.to - 1),
        );
        let from = From {
            machine: stream.peer(),
            first,
            last,
        };
        let at = At {
            host: self.host,
            zone: self.spec.zone,
            cell: self.spec.cell,
        };
        core.note(
            "arrived",
            txn.unwrap_or(usize::MAX) as u64,
            self.host as u64,
            || {
                format!(
                    "txn {id} at worker {}, by dispatcher machine {}",
                    self.host, from.machine
                )
            },
        );
        let attempt = core
            .judge
            .borrow_mut()
            .arrived(core.now(), &from, txn, &at)?;
        let txn = txn?;
        let (scheme, work) = {
            let judge = core.judge.borrow();
            (judge.txns[txn].scheme, judge.txns[txn].work)
        };
        let falls = core.judge.borrow_mut().loads(
            core.now(),
            from.machine,
            self.host,
            self.born,
            work as f64,
        );
        if falls {
            core.note("falls", self.host as u64, 0, || {
                format!("worker {} over", self.host)
            });
            let _ = self.fallen.try_send(self.host);
        }
        let job = Job {
            process: self.clone(),
            txn,
            attempt,
            id,
            work,
        };
        let (full, errs, fails, swallows, odd) = {
            let troubles = self.troubles.borrow();
            (
                troubles.full.holds(core) || (self.draining.get() && self.returns.get()),
                troubles.errors.holds(core),
                scheme == troubles.fails_scheme && troubles.fails.holds(core),
                troubles.swallows.holds(core),
                troubles.odd.holds(core),
            )
        };
        if full {
            return job.turn_away(stream, UNSTARTED).await;
        }
        if swallows {
            if core.draw(|chance| chance.is(0.5)) {
                job.runs();
            }
            closed(stream).await;
            return None;
        }
        if errs || fails {
            job.runs();
            let text = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
            return stream.write_all(text.as_bytes()).await.ok().map(|()| true);
        }
        if odd {
            return job.oddly(stream).await;
        }
        job.in_turn(stream).await
    }

    /// Frees a slot for whoever waits first.
    fn free(&self) {
        self.running.set(self.running.get() - 1);
        loop {
            let next = self.queue.borrow_mut().pop_front();
            let Some(next) = next else { return };
            if next.try_send(()).is_ok() {
                self.running.set(self.running.get() + 1);
                return;
            }
        }
    }
}

struct Job {
    process: Rc<Process>,
    txn: usize,
    attempt: usize,
    id: String,
    work: Nanos,
}

/// A slot in use; given back when dropped.
struct Seat(Rc<Process>);

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.free();
    }
}

impl Job {
    fn core(&self) -> &Rc<Core> {
        &self.process.core
    }

    fn runs(&self) {
        let core = self.core();
        core.note("runs", self.txn as u64, self.process.host as u64, || {
            format!("txn {} at worker {}", self.id, self.process.host)
        });
        core.judge.borrow_mut().runs(core.now(), self.txn);
    }

    /// A result that the judge knows.
    fn result(&self) -> String {
        let process = &self.process;
        process.made.set(process.made.get() + 1);
        let number = (process.machine as u64) << 32 | process.made.get();
        self.core().judge.borrow_mut().made(self.txn, number);
        format!("made {} {number}", self.txn)
    }

    fn done(&self) -> String {
        line(
            &self.id,
            "done",
            &format!(",\"result\":\"{}\"", self.result()),
        )
    }

    async fn turn_away(&self, stream: &mut VStream, text: &str) -> Option<bool> {
        let sent = stream.sent();
        let end = sent.wrote.get() + text.len() as u64;
        self.core()
            .judge
            .borrow_mut()
            .turned_away(self.txn, self.attempt, end, sent);
        stream.write_all(text.as_bytes()).await.ok().map(|()| true)
    }

    /// The job waits its turn, runs and is done; its connection may end meanwhile.
    async fn in_turn(&self, stream: &mut VStream) -> Option<bool> {
        let (core, process) = (self.core(), &self.process);
        if process.running.get() >= process.spec.slots {
            if process.queue.borrow().len() >= process.spec.queue {
                return self.turn_away(stream, UNSTARTED).await;
            }
            let (go, turn) = async_channel::bounded(1);
            process.queue.borrow_mut().push_back(go);
            let left = async {
                closed(stream).await;
                None
            };
            let came = async { Some(turn.recv().await.is_ok()) };
            match came.or(left).await {
                Some(true) => {}
                Some(false) => return self.handed_back(stream).await,
                // Its client is gone; no cancel stops work, but some workers look before they begin.
                None if process.spec.drops_left => {
                    // It may have been given its turn in this very instant.
                    drop(turn);
                    return None;
                }
                None => {
                    if turn.recv().await.is_err() {
                        return None;
                    }
                }
            }
        } else {
            process.running.set(process.running.get() + 1);
        }
        let seat = Seat(process.clone());
        process.unstalled().await;
        self.runs();
        let text = format!("{CHUNKED}{}", chunk(&line(&self.id, "started", "")));
        let mut open = stream.write_all(text.as_bytes()).await.is_ok();
        let warmth = core.judge.borrow().warmth(core.now(), process.born);
        let slow = process.troubles.borrow().slow;
        let slow = if core.now() < slow.until {
            slow.share.max(0.01)
        } else {
            1.0
        };
        let span = (self.work as f64 / process.spec.speed / warmth * slow) as Nanos;
        core.sleep(span).await;
        process.unstalled().await;
        drop(seat);
        let text = format!("{}0\r\n\r\n", chunk(&self.done()));
        open &= stream.write_all(text.as_bytes()).await.is_ok();
        open.then_some(true)
    }

    async fn handed_back(&self, stream: &mut VStream) -> Option<bool> {
        if !self.process.alive() {
            return None;
        }
        let line = chunk(&line(&self.id, "returned", ""));
        self.turn_away(stream, &format!("{CHUNKED}{line}0\r\n\r\n"))
            .await
    }

    /// Every line of the protocol's table, and what is on none.
    async fn oddly(&self, stream: &mut VStream) -> Option<bool> {
        let core = self.core().clone();
        let kind = core.draw(|chance| chance.below(0, 24));
        core.note("oddly", self.txn as u64, kind, || {
            format!("txn {} is answered in way {kind}", self.id)
        });
        let may_run = |job: &Job| {
            if core.draw(|chance| chance.is(0.5)) {
                job.runs();
            }
        };
        let id = &self.id;
        let started = format!("{CHUNKED}{}", chunk(&line(id, "started", "")));
        let head = |status: &str| format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        let one = |state: &str| format!("{CHUNKED}{}0\r\n\r\n", chunk(&line(id, state, "")));
        let mut kept = true;
        let text = match kind {
            0 => return self.handed_back(stream).await,
            1 => return self.turn_away(stream, UNSTARTED).await,
            2 => {
                let text = UNSTARTED.replace("503 Service Unavailable", "504 Gateway Timeout");
                return self.turn_away(stream, &text).await;
            }
            3 => {
                may_run(self);
                head("500 Internal Server Error")
            }
            4 => {
                may_run(self);
                one("failed")
            }
            5 => {
                may_run(self);
                one("lost")
            }
            6 => {
                may_run(self);
                format!(
                    "{CHUNKED}{}0\r\n\r\n",
                    chunk(&line("ffffffff", "done", ",\"result\":\"x\""))
                )
            }
            7 => {
                may_run(self);
                format!("{CHUNKED}{}0\r\n\r\n", chunk("{\"id\":\n"))
            }
            8 => {
                // Lines that never end, until the other side has had enough.
                may_run(self);
                let _ = stream.write_all(started.as_bytes()).await;
                loop {
                    let more = chunk(&line(id, "running", ",\"share\":0.5"));
                    if stream.write_all(more.as_bytes()).await.is_err() {
                        return None;
                    }
                    core.sleep(20 * MS).await;
                }
            }
            9 => {
                // A head that never ends.
                may_run(self);
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n").await;
                loop {
                    if stream
                        .write_all(b"X-More: and more and more and more\r\n")
                        .await
                        .is_err()
                    {
                        return None;
                    }
                    core.sleep(MS).await;
                }
            }
            10 => {
                may_run(self);
                let _ = stream.write_all(CHUNKED.as_bytes()).await;
                for _ in 0..20 {
                    let part = "x".repeat(8192);
                    stream.write_all(chunk(&part).as_bytes()).await.ok()?;
                }
                return Some(false);
            }
            11 | 12 => {
                self.runs();
                stream.write_all(started.as_bytes()).await.ok()?;
                if kind == 12 {
                    closed(stream).await;
                } else {
                    core.sleep(5 * MS).await;
                }
                return None;
            }
            13 | 14 => {
                may_run(self);
                return None;
            }
            15 => {
                kept = false;
                "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                    .to_string()
            }
            16 => {
                self.runs();
                kept = false;
                let head = CHUNKED.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
                format!("{head}{}0\r\n\r\n", chunk(&self.done()))
            }
            17 => {
                self.runs();
                kept = false;
                format!(
                    "HTTP/1.1 200 OK\r\n\r\n{}{}",
                    line(id, "started", ""),
                    self.done()
                )
            }
            18 => {
                self.runs();
                let interim = "HTTP/1.1 102 Processing\r\n\r\n";
                format!("{interim}{started}{}0\r\n\r\n", chunk(&self.done()))
            }
            19 => {
                self.runs();
                format!("{started}{0}{0}0\r\n\r\n", chunk(&self.done()))
            }
            20 => {
                self.runs();
                one("done")
            }
            21 => {
                may_run(self);
                head("503 Service Unavailable")
            }
            22 => {
                self.runs();
                format!("{started}{}0\r\n\r\nand more", chunk(&self.done()))
            }
            _ => {
                // Done, but the end of the body is late by more than anyone waits.
                self.runs();
                let text = format!("{started}{}", chunk(&self.done()));
                stream.write_all(text.as_bytes()).await.ok()?;
                core.sleep(SECOND).await;
                return None;
            }
        };
        stream.write_all(text.as_bytes()).await.ok()?;
        if kind == 18 && core.draw(|chance: &mut Chance| chance.is(0.5)) {
            core.sleep(MS).await;
        }
        Some(kept)
    }
}
