//! Clients: those that ask as the protocol has it, and those that do not.
use crate::core::{Chance, Core, MS, SECOND, by};
use crate::http::Inbox;
use crate::judge::SLACK;
use crate::net::{Net, VStream};
use crate::scenario::{Badness, Effect, Load, Scenario};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use rosewall::types::Nanos;
use rosewall_runtime::traits::{Readiness, Stream};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// How long a client tries to connect.
const CONNECT_WITHIN: Nanos = 200 * MS;
/// How much longer than the rule allows a client listens, to see how late an answer is.
const LISTENS: Nanos = 20 * MS;

/// A kept connection and what came on it.
struct Line {
    stream: VStream,
    inbox: Inbox,
}

pub struct Clients {
    pub core: Rc<Core>,
    pub scenario: Rc<Scenario>,
    /// Where each dispatcher listens.
    doors: Vec<SocketAddr>,
    machine: usize,
    kept: RefCell<Vec<Vec<Line>>>,
}

/// One request as a client means it.
#[derive(Clone, Copy)]
struct Wish {
    scheme: usize,
    work: Nanos,
    within: Nanos,
    leave: Option<Nanos>,
    hint: Option<Nanos>,
}

/// How it ended for the client.
#[derive(Clone, Copy, PartialEq)]
enum Ended {
    Served,
    Declined,
    Failed,
    Unreached,
    Left,
}

impl Clients {
    pub fn new(core: &Rc<Core>, scenario: &Rc<Scenario>, doors: Vec<SocketAddr>) -> Rc<Self> {
        let machine = core.net.borrow_mut().machine(0);
        let kept = RefCell::new(doors.iter().map(|_| Vec::new()).collect());
        Rc::new(Clients {
            core: core.clone(),
            scenario: scenario.clone(),
            doors,
            machine,
            kept,
        })
    }

    /// Starts all that the scenario has of clients; `start` is the world's.
    pub fn start(self: &Rc<Self>, start: Nanos) {
        let scenario = self.scenario.clone();
        for (at, load) in scenario.load.iter().enumerate() {
            let chance = Chance::new(scenario.seed, 1000 + at as u64);
            self.core
                .spawn(self.clone().load(load.clone(), start, chance));
        }
        for one in scenario.txn.iter().cloned() {
            let clients = self.clone();
            self.core.spawn(async move {
                clients.core.until(0, start + ms(one.at_ms)).await;
                let expiry = clients.scenario.scheme[one.scheme].expiry_ms as f64;
                let within = ms(one.within_ms.unwrap_or(expiry));
                let leave = one.leave_ms.map(ms);
                let wish = Wish {
                    scheme: one.scheme,
                    work: ms(one.work_ms),
                    within,
                    leave,
                    hint: None,
                };
                clients.ask(one.dispatcher, wish).await;
            });
        }
        for (at, bad) in scenario.bad.iter().cloned().enumerate() {
            for one in 0..bad.count {
                let clients = self.clone();
                let chance = Chance::new(scenario.seed, 100_000 + (at * 1000 + one) as u64);
                self.core.spawn(async move {
                    clients.core.until(0, start + ms(bad.at_ms)).await;
                    let _ = clients.misbehave(bad.kind, bad.dispatcher, chance).await;
                });
            }
        }
    }

    /// All go home.
    pub fn leave(&self) {
        self.kept.borrow_mut().iter_mut().for_each(Vec::clear);
    }

    async fn load(self: Rc<Self>, load: Load, start: Nanos, mut chance: Chance) {
        let until = start
            + load
                .until_ms
                .unwrap_or(self.scenario.length_ms)
                .min(self.scenario.length_ms)
                * MS;
        self.core.until(0, start + load.from_ms * MS).await;
        loop {
            self.core.sleep(chance.gap(load.rate)).await;
            if self.core.now() >= until {
                return;
            }
            let [low, high] = load.work_ms;
            // Log-uniform: sizes spread over their whole range.
            let work = ms(low * (high / low).powf(chance.unit()));
            let within = self.scenario.scheme[load.scheme].expiry_ms * MS;
            let leave = chance.is(load.leave).then(|| chance.below(1, within));
            let hint = load
                .hints
                .then(|| (work as f64 * (0.8 + 0.4 * chance.unit())) as Nanos);
            let first = chance.below(0, self.doors.len() as u64) as usize;
            let wish = Wish {
                scheme: load.scheme,
                work,
                within,
                leave,
                hint,
            };
            self.core.spawn(self.clone().insist(
                first,
                wish,
                load.retries,
                Chance::new(chance.below(0, u32::MAX.into()), 7),
            ));
        }
    }

    /// Asks, and asks again where that does no harm and some tries are left.
    async fn insist(self: Rc<Self>, mut at: usize, wish: Wish, retries: usize, mut chance: Chance) {
        for left in (0..=retries).rev() {
            let ended = self.ask(at, wish).await;
            let again = match ended {
                Ended::Served | Ended::Left => false,
                Ended::Declined | Ended::Unreached => true,
                Ended::Failed => self.scenario.scheme[wish.scheme].effect == Effect::Repeatable,
            };
            if !again || left == 0 {
                return;
            }
            // The front deals out connections anew.
            at = chance.below(0, self.doors.len() as u64) as usize;
            self.core.sleep(chance.below(0, 150 * MS)).await;
        }
    }

    async fn line(&self, at: usize) -> Option<Line> {
        if let Some(line) = self.kept.borrow_mut()[at].pop()
            && line.stream.readiness() == Readiness::Idle
        {
            return Some(line);
        }
        self.call(at).await.map(|stream| Line {
            stream,
            inbox: Inbox::default(),
        })
    }

    async fn call(&self, at: usize) -> Option<VStream> {
        let connect = Net::connect(&self.core, self.machine, self.doors[at]);
        by(&self.core, self.core.now() + CONNECT_WITHIN, connect)
            .await?
            .ok()
    }

    fn text(&self, txn: usize, wish: &Wish, body: &str) -> String {
        let hint = wish
            .hint
            .map(|hint| format!("Work-Hint: {}\r\n", hint / 1000))
            .unwrap_or_default();
        format!(
            "POST /api/do HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {txn:08x}\r\nRequest-Class: s{}\r\n\
             Tenant: t\r\nRequest-Timeout: {:.3}\r\n{hint}Content-Length: {}\r\n\r\n{body}",
            wish.scheme,
            wish.within as f64 / 1e9,
            body.len()
        )
    }

    fn asks(&self, wish: &Wish, bad: Option<&'static str>) -> usize {
        self.core
            .judge
            .borrow_mut()
            .asks(wish.scheme, wish.work, bad)
    }

    /// One request to one dispatcher.
    async fn ask(&self, at: usize, wish: Wish) -> Ended {
        let core = &self.core;
        let txn = self.asks(&wish, None);
        core.note("asks", txn as u64, at as u64, || {
            format!("txn {txn:08x} of scheme {} at dispatcher {at}", wish.scheme)
        });
        let body = "x".repeat(core.draw(|chance| {
            if chance.is(0.02) {
                40_000
            } else {
                chance.below(0, 600) as usize
            }
        }));
        let text = self.text(txn, &wish, &body);
        // Once more over a new connection, where the dispatcher has closed a kept one before it read any of this.
        for fresh in [false, true] {
            let line = if fresh {
                self.call(at).await.map(|stream| Line {
                    stream,
                    inbox: Inbox::default(),
                })
            } else {
                self.line(at).await
            };
            let Some(mut line) = line else { break };
            let (sent, machine) = (line.stream.sent(), line.stream.peer());
            let from = sent.wrote.get();
            let wrote = line.stream.write_all(text.as_bytes()).await.is_ok();
            let now = core.now();
            let expiry = now + wish.within;
            if wrote {
                core.judge.borrow_mut().sent(now, txn, machine, expiry);
            }
            let leaves = async {
                match wish.leave {
                    Some(span) => core.until(0, now + span).await,
                    None => core.until(0, expiry + SLACK + LISTENS).await,
                }
                None
            };
            let answer = async { Some(line.inbox.message(&mut line.stream, true).await) };
            match answer.or(leaves).await {
                Some(Ok(Some(message))) => {
                    core.note("answered", txn as u64, message.status.into(), || {
                        format!("txn {txn:08x} with {}", message.status)
                    });
                    core.judge.borrow_mut().answered(
                        core.now(),
                        txn,
                        message.status,
                        &message.body,
                    );
                    if !message.closes() {
                        self.kept.borrow_mut()[at].push(line);
                    }
                    return match message.status {
                        200 => Ended::Served,
                        429 | 503 => Ended::Declined,
                        _ => Ended::Failed,
                    };
                }
                Some(_) => {
                    let unread = sent.read.get() <= from;
                    if unread && from > 0 && !fresh {
                        core.note("crossed", txn as u64, 0, || {
                            format!("txn {txn:08x} by a close; sent once more")
                        });
                        continue;
                    }
                    core.note("lost", txn as u64, 0, || {
                        format!("txn {txn:08x}: its connection ended")
                    });
                    core.judge
                        .borrow_mut()
                        .lost(core.now(), txn, "its connection ended");
                    return Ended::Failed;
                }
                None if wish.leave.is_some() => {
                    core.note("left", txn as u64, 0, || {
                        format!("the client of txn {txn:08x}")
                    });
                    core.judge.borrow_mut().left(core.now(), txn);
                    if core.draw(|chance| chance.is(0.3)) {
                        line.stream.reset();
                    }
                    return Ended::Left;
                }
                None => {
                    core.note("unanswered", txn as u64, 0, || {
                        format!("txn {txn:08x} to its end")
                    });
                    core.judge
                        .borrow_mut()
                        .lost(core.now(), txn, "nothing came before its expiry");
                    return Ended::Failed;
                }
            }
        }
        core.judge.borrow_mut().excuse(core.now(), txn);
        Ended::Unreached
    }

    /// Reads until the connection ends, or for some seconds; then it is closed.
    async fn linger(&self, mut stream: VStream) {
        let mut buffer = [0; 1024];
        let until = self.core.now() + 4 * SECOND;
        let reads = async { while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {} };
        let _ = by(&self.core, until, reads).await;
    }

    async fn misbehave(&self, kind: Badness, at: usize, mut chance: Chance) -> Option<()> {
        let core = &self.core;
        let mut stream = self.call(at).await?;
        core.note("misbehaves", kind as u64, at as u64, || {
            format!("a client at dispatcher {at}: {kind:?}")
        });
        let scheme = chance.below(0, self.scenario.scheme.len() as u64) as usize;
        let wish = Wish {
            scheme,
            work: 5 * MS,
            within: 500 * MS,
            leave: None,
            hint: None,
        };
        let bad = |why| self.asks(&wish, Some(why));
        let whole = |txn| self.text(txn, &wish, "body");
        match kind {
            Badness::Silent => {}
            Badness::Garbage => {
                let bytes: Vec<u8> = (0..chance.below(1, 3000))
                    .map(|_| chance.below(0, 256) as u8)
                    .collect();
                stream.write_all(&bytes).await.ok()?;
            }
            Badness::HalfHead | Badness::HalfBody => {
                let text = whole(bad("it never came whole"));
                let head = text.len() - 4;
                let end = if kind == Badness::HalfHead {
                    chance.below(1, head as u64 - 2) as usize
                } else {
                    head + 2
                };
                stream.write_all(&text.as_bytes()[..end]).await.ok()?;
            }
            Badness::Trickle => {
                let text = whole(bad("it trickled for longer than allowed"));
                for byte in text.as_bytes() {
                    stream.write_all(&[*byte]).await.ok()?;
                    core.sleep(100 * MS).await;
                    if stream.readiness() != Readiness::Idle {
                        break;
                    }
                }
            }
            Badness::HugeHead => {
                let text = whole(bad("its head is too large"));
                let more = format!("X-More: {}\r\nTenant", "m".repeat(20_000));
                stream
                    .write_all(text.replacen("Tenant", &more, 1).as_bytes())
                    .await
                    .ok()?;
            }
            Badness::HugeBody => {
                let text = self.text(bad("its body is too large"), &wish, &"b".repeat(70_000));
                stream.write_all(text.as_bytes()).await.ok()?;
            }
            Badness::EndlessChunks => {
                let text = whole(bad("its body never ends")).replace(
                    "Content-Length: 4\r\n\r\nbody",
                    "Transfer-Encoding: chunked\r\n\r\n",
                );
                stream.write_all(text.as_bytes()).await.ok()?;
                for _ in 0..400 {
                    stream.write_all(b"100\r\n").await.ok()?;
                    stream.write_all(&[b'c'; 256]).await.ok()?;
                    stream.write_all(b"\r\n").await.ok()?;
                }
            }
            Badness::NoId => {
                let text = whole(bad("it has no id"));
                let from = text.find("Request-Id")?;
                let end = from + text[from..].find("\r\n")? + 2;
                stream
                    .write_all(format!("{}{}", &text[..from], &text[end..]).as_bytes())
                    .await
                    .ok()?;
            }
            Badness::UnknownScheme => {
                let text = whole(bad("its scheme is unknown"));
                stream
                    .write_all(
                        text.replace("Request-Class: s", "Request-Class: no-")
                            .as_bytes(),
                    )
                    .await
                    .ok()?;
            }
            Badness::TwoLengths => {
                let text = whole(bad("it has two lengths"));
                let two = "Content-Length: 4\r\nContent-Length: 0\r\n\r\n";
                stream
                    .write_all(text.replace("Content-Length: 4\r\n\r\n", two).as_bytes())
                    .await
                    .ok()?;
            }
            Badness::LengthAndChunks => {
                let text = whole(bad("it has a length and a coding"));
                let two = "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n";
                stream
                    .write_all(text.replace("Content-Length: 4\r\n\r\n", two).as_bytes())
                    .await
                    .ok()?;
            }
            Badness::BareLineFeeds => {
                let text = whole(bad("its lines end in bare line feeds")).replace("\r\n", "\n");
                stream.write_all(text.as_bytes()).await.ok()?;
                stream.write_all(b"\r\n\r\n").await.ok()?;
            }
            Badness::SameId => self.twice(at, stream, scheme).await?,
            Badness::HalfClose => {
                // It says that it has left, and still reads.
                let txn = self.asks(&wish, None);
                stream.write_all(whole(txn).as_bytes()).await.ok()?;
                core.judge
                    .borrow_mut()
                    .sent(core.now(), txn, stream.peer(), Nanos::MAX);
                stream.shutdown_write().ok()?;
                core.judge.borrow_mut().left(core.now(), txn);
                self.linger(stream).await;
            }
            Badness::Unread => {
                // Many ahead of their turn, and no answer is ever read.
                for _ in 0..chance.below(2, 30) {
                    let txn = self.asks(&wish, None);
                    if stream.write_all(whole(txn).as_bytes()).await.is_err() {
                        break;
                    }
                    let mut judge = core.judge.borrow_mut();
                    judge.sent(core.now(), txn, stream.peer(), Nanos::MAX);
                    judge.forgo(txn);
                }
                core.sleep(3 * SECOND).await;
            }
            Badness::OldVersion => {
                let txn = self.asks(&wish, None);
                let text = whole(txn).replace("HTTP/1.1", "HTTP/1.0");
                stream.write_all(text.as_bytes()).await.ok()?;
                core.judge.borrow_mut().sent(
                    core.now(),
                    txn,
                    stream.peer(),
                    core.now() + wish.within,
                );
                let mut inbox = Inbox::default();
                let until = core.now() + wish.within + SLACK + LISTENS;
                match by(core, until, inbox.message(&mut stream, true)).await {
                    Some(Ok(Some(message))) => {
                        core.judge.borrow_mut().answered(
                            core.now(),
                            txn,
                            message.status,
                            &message.body,
                        );
                    }
                    _ => core.judge.borrow_mut().lost(core.now(), txn, "in HTTP/1.0"),
                }
            }
        }
        Some(())
    }

    /// The id of a request in hand, once more over another connection.
    async fn twice(&self, at: usize, mut stream: VStream, scheme: usize) -> Option<()> {
        let core = &self.core;
        let within = self.scenario.scheme[scheme].expiry_ms.min(900) * MS;
        let wish = Wish {
            scheme,
            work: 400 * MS,
            within,
            leave: None,
            hint: Some(400 * MS),
        };
        let txn = self.asks(&wish, None);
        let text = self.text(txn, &wish, "first");
        let other = self.call(at).await;
        stream.write_all(text.as_bytes()).await.ok()?;
        let machine = stream.peer();
        core.judge
            .borrow_mut()
            .sent(core.now(), txn, machine, core.now() + within);
        core.judge.borrow_mut().doubles(txn);
        let until = core.now() + within + SLACK + LISTENS;
        let again = async {
            core.sleep(4 * MS).await;
            let mut other = other?;
            other.write_all(text.as_bytes()).await.ok()?;
            let message = Inbox::default().message(&mut other, true).await.ok()??;
            core.note("again", txn as u64, message.status.into(), || {
                format!("the second of txn {txn:08x} with {}", message.status)
            });
            if message.status == 200 {
                core.judge.borrow_mut().blame_double(core.now(), txn);
            }
            Some(())
        };
        let mut inbox = Inbox::default();
        let first = async {
            match by(core, until, inbox.message(&mut stream, true)).await {
                Some(Ok(Some(message))) => {
                    core.note("answered", txn as u64, message.status.into(), || {
                        format!("txn {txn:08x} with {}, whose id came twice", message.status)
                    });
                    core.judge.borrow_mut().answered(
                        core.now(),
                        txn,
                        message.status,
                        &message.body,
                    );
                }
                _ => core
                    .judge
                    .borrow_mut()
                    .lost(core.now(), txn, "whose id came twice"),
            }
        };
        futures_lite::future::zip(first, by(core, until, again)).await;
        Some(())
    }
}

/// A span in milliseconds, as whole nanoseconds.
pub fn ms(span: f64) -> Nanos {
    (span * MS as f64) as Nanos
}
