//! The hub joins decisions, txns and connections. It alone calls `handle`; what follows from an action waits
//! in a queue for its turn.
use crate::kept::pool::Conn;
use crate::kept::shared::{News, Shared};
use crate::kept::workers::Workers;
use crate::must;
use crate::wire::client::{Answer, Request};
use crate::wire::discovery::Listing;
use crate::wire::worker::{self, Told};
use crate::wire::worker_io::{self, Errand};
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use futures_lite::FutureExt;
use rosewall::policy::Dispatcher;
use rosewall::types::{Action, Ended, Event, Nanos, Outcome, Probed, Report, Scope, Txn, TxnId, WorkerId};
use rustc_hash::{FxHashMap, FxHashSet};
use slab::Slab;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// How much earlier than the client's own the expiry lies that the decisions know. Measured on one core each, a
/// txn's way in and its answer's way out took up to 0.6 and 0.4 ms (99 of 100); a core shared with a few others adds
/// their turns, of 3 to 4 ms each.
const MARGIN: Nanos = 20_000_000;
/// How many ids of txns that were posted and are over are remembered: about 1 MB, and minutes of one dispatcher's
/// traffic, longer than any client waits.
const REMEMBERED: usize = 8192;
/// How long after an expiry its answer must have been decided: the decisions look at held txns each 25 ms.
const OWED_FOR: Nanos = 30_000_000;

struct Held {
    txn: TxnId,
    request: Request,
    expiry: Nanos,
    /// Where the answer goes, as long as it is owed.
    reply: Option<Sender<Answer>>,
    /// The postings, those that are out with their task; dropping that closes the connection.
    legs: Vec<Option<Task<()>>>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Decisions(u64),
    Expiry(TxnId),
    Owed(TxnId),
    Reap,
}

pub struct Hub {
    pub shared: Rc<Shared>,
    pub ex: Rc<LocalExecutor<'static>>,
    pub news: Receiver<News>,
    pub dispatcher: Dispatcher,
    /// Where leave is given to follow the list.
    pub leave: Option<Sender<()>>,
    pub connect_within: Nanos,
    pub state: State,
}

#[derive(Default)]
pub struct State {
    workers: Workers,
    txns: Slab<Held>,
    places: FxHashMap<TxnId, usize>,
    /// The ids of the txns in hand and of those over, the latter also in the order of their ends.
    ids: FxHashSet<Rc<str>>,
    over: VecDeque<Rc<str>>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    timers: BinaryHeap<Reverse<(Nanos, u64, Due)>>,
    armed: u64,
    /// Once it is to stop: the moment by which all must be answered.
    stop_by: Option<Nanos>,
}

impl Hub {
    /// Serves for ever; the caller ends it.
    pub async fn run(mut self) {
        loop {
            while let Ok(news) = self.news.try_recv() {
                self.take(news);
            }
            let now = self.shared.clock.now();
            match self.state.timers.peek() {
                Some(Reverse((at, ..))) if *at <= now => {
                    if let Some(Reverse((_, _, due))) = self.state.timers.pop() {
                        self.due(now, due);
                    }
                }
                next => {
                    let until = next.map(|Reverse((at, ..))| self.shared.clock.instant(*at));
                    let timer = async {
                        match until {
                            Some(at) => Timer::at(at).await,
                            None => Timer::never().await,
                        };
                        None
                    };
                    let heard = async { self.news.recv().await.ok() };
                    if let Some(news) = heard.or(timer).await {
                        self.take(news);
                    }
                }
            }
        }
    }

    fn arm(&mut self, at: Nanos, due: Due) {
        self.state.armed += 1;
        self.state.timers.push(Reverse((at, self.state.armed, due)));
    }

    fn take(&mut self, news: News) {
        match news {
            News::Arrived { txn, at, request, reply } => self.arrived(txn, at, request, reply),
            News::Left(txn) => {
                if let Some(held) = self.held(txn)
                    && held.reply.take().is_some()
                {
                    self.shared.counters.clients_left.add();
                    self.decide(Event::Lapsed { txn });
                    self.settle_up(txn);
                }
            }
            News::Told { txn, leg, told } => self.told(txn, leg, told),
            News::Spare { worker, conn } => self.spare(worker, conn),
            News::Probed(probed) => self.decide(Event::Probed(probed)),
            News::List(listing) => {
                let scope = if listing.whole { Scope::Whole } else { Scope::Changes };
                self.list(scope, listing);
            }
            News::ListFailed => self.decide(Event::List { scope: Scope::Failed, entries: Vec::new() }),
            News::Stop(by) => self.stop(by),
        }
    }

    /// The list as it was kept, before anything else.
    pub fn kept(&mut self, listing: Listing) {
        self.list(Scope::Kept, listing);
    }

    fn list(&mut self, scope: Scope, listing: Listing) {
        let known = scope != Scope::Kept || !listing.hosts.is_empty();
        let (entries, void, clashing) = self.state.workers.take(listing);
        // Connections to a process that is no more are not used again.
        void.into_iter().for_each(|worker| self.shared.pool.borrow_mut().drop_worker(worker));
        self.shared.counters.hosts_clashing.more(clashing);
        self.shared.ready.set(self.shared.ready.get() || known);
        self.decide(Event::List { scope, entries });
    }

    fn spare(&mut self, worker: WorkerId, conn: Conn) {
        let known = self.state.workers.reach(worker).is_some_and(|(_, dial)| dial == conn.dial);
        if known {
            let until = self.shared.pool.borrow_mut().put(self.shared.clock.now(), worker, conn);
            self.arm(until, Due::Reap);
        }
    }

    fn held(&mut self, txn: TxnId) -> Option<&mut Held> {
        let place = *self.state.places.get(&txn)?;
        self.state.txns.get_mut(place)
    }

    fn arrived(&mut self, txn: TxnId, at: Nanos, request: Request, reply: Sender<Answer>) {
        // Guards against the id of another client's request: posted again it would run twice.
        if !self.state.ids.insert(request.id.as_str().into()) {
            return self.give(&reply, Answer::Known);
        }
        self.shared.counters.requests.add();
        let expiry = (at + request.within).saturating_sub(MARGIN);
        let expiry = self.state.stop_by.map_or(expiry, |by| expiry.min(by));
        let Request { scheme, party, hint, slots, memory, .. } = request;
        let place =
            self.state.txns.insert(Held { txn, request, expiry, reply: Some(reply), legs: Vec::new() });
        self.state.places.insert(txn, place);
        self.arm(expiry, Due::Expiry(txn));
        self.decide(Event::Arrived(Txn { id: txn, scheme, party, hint, slots, memory, expiry }));
    }

    fn is_out(&mut self, txn: TxnId, leg: u8) -> bool {
        self.held(txn).is_some_and(|held| matches!(held.legs.get(usize::from(leg)), Some(Some(_))))
    }

    fn told(&mut self, txn: TxnId, leg: u8, told: Told) {
        // A posting that was ended here may have told something just before.
        if !self.is_out(txn, leg) {
            return;
        }
        match told {
            Told::Started => {
                self.shared.counters.started.add();
                self.decide(Event::Started { txn, leg });
            }
            Told::Settled(result) => {
                if !self.answer(txn, Answer::Settled(result)) {
                    self.shared.counters.settled_late.add();
                }
                self.end(txn, leg, Outcome::Settled);
            }
            Told::Ended(outcome) => self.end(txn, leg, outcome),
        }
    }

    /// A posting is over: the decisions are told.
    fn end(&mut self, txn: TxnId, leg: u8, outcome: Outcome) {
        let counters = &self.shared.counters;
        match outcome {
            Outcome::Settled => counters.ended_settled.add(),
            Outcome::Error => counters.ended_error.add(),
            Outcome::Unfit => counters.ended_unfit.add(),
            Outcome::Full => counters.ended_full.add(),
            Outcome::TimeOut => counters.ended_timeout.add(),
            Outcome::NoConnection => counters.ended_unconnected.add(),
            Outcome::Broken | Outcome::Withdrawn => counters.ended_broken.add(),
            Outcome::Moot => counters.ended_moot.add(),
        }
        let Some(held) = self.held(txn) else { return };
        let complete = held.reply.is_none();
        if let Some(task) = held.legs.get_mut(usize::from(leg)).and_then(Option::take) {
            // At its end the task still reads what frees its connection; at the expiry it goes, with that.
            if outcome == Outcome::TimeOut { drop(task) } else { task.detach() }
        }
        self.decide(Event::Ended(Ended { txn, leg, outcome, complete, report: Report::default() }));
        self.settle_up(txn);
    }

    /// Forgets a txn that is answered and has nothing out.
    fn settle_up(&mut self, txn: TxnId) {
        let Some(place) = self.state.places.get(&txn).copied() else { return };
        let over = |held: &Held| held.reply.is_none() && held.legs.iter().all(Option::is_none);
        if self.state.txns.get(place).is_some_and(over) {
            self.state.places.remove(&txn);
            let held = self.state.txns.remove(place);
            if held.legs.is_empty() {
                self.state.ids.remove(held.request.id.as_str());
            } else {
                self.state.over.extend(self.state.ids.get(held.request.id.as_str()).cloned());
            }
            if self.state.over.len() > REMEMBERED
                && let Some(id) = self.state.over.pop_front()
            {
                self.state.ids.remove(&id);
            }
        }
    }

    /// Gives the final answer, if it is still owed.
    fn answer(&mut self, txn: TxnId, answer: Answer) -> bool {
        let Some(reply) = self.held(txn).and_then(|held| held.reply.take()) else { return false };
        self.give(&reply, answer);
        true
    }

    /// Counts an answer and sends it.
    fn give(&self, reply: &Sender<Answer>, answer: Answer) {
        let counters = &self.shared.counters;
        match answer {
            Answer::Settled(_) => counters.settled.add(),
            Answer::Declined { .. } => counters.declined.add(),
            Answer::Reversed => counters.reversed.add(),
            Answer::Known => counters.requests_known.add(),
        }
        let _ = reply.try_send(answer);
    }

    fn due(&mut self, now: Nanos, due: Due) {
        match due {
            Due::Decisions(token) => self.decide(Event::Due { token }),
            Due::Reap => self.shared.pool.borrow_mut().reap(now),
            Due::Expiry(txn) => {
                let Some(held) = self.held(txn) else { return };
                if held.expiry > now {
                    return;
                }
                for leg in 0..held.legs.len() as u8 {
                    if self.is_out(txn, leg) {
                        self.end(txn, leg, Outcome::TimeOut);
                    }
                }
                self.arm(now + OWED_FOR, Due::Owed(txn));
            }
            Due::Owed(txn) => {
                let owed = self.held(txn).is_some_and(|held| held.reply.is_some());
                must!(self.shared.counters, !owed, "every txn is answered at its expiry");
                if owed {
                    self.answer(txn, Answer::Reversed);
                    self.decide(Event::Lapsed { txn });
                    self.settle_up(txn);
                }
            }
        }
    }

    fn stop(&mut self, by: Nanos) {
        self.state.stop_by = Some(by);
        let mut brought = Vec::new();
        for (_, held) in &mut self.state.txns {
            if held.expiry > by {
                held.expiry = by;
                brought.push(held.txn);
            }
        }
        brought.into_iter().for_each(|txn| self.arm(by, Due::Expiry(txn)));
        self.decide(Event::Closing { by });
    }

    /// Lets the decisions handle an event and all that follows from it at once.
    fn decide(&mut self, event: Event) {
        self.state.events.push_back(event);
        while let Some(event) = self.state.events.pop_front() {
            let mut actions = std::mem::take(&mut self.state.actions);
            self.dispatcher.handle(self.shared.clock.now(), event, &mut actions);
            actions.drain(..).for_each(|action| self.act(action));
            self.state.actions = actions;
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Post { txn, worker } => self.post(txn, worker),
            Action::Probe { worker } => self.probe(worker),
            Action::Decline { txn, come_back } => self.refuse(txn, Answer::Declined { come_back }),
            Action::Reverse { txn } => self.refuse(txn, Answer::Reversed),
            Action::Follow => {
                if let Some(leave) = &self.leave {
                    let _ = leave.try_send(());
                }
            }
            Action::Timer { at, token } => self.arm(at, Due::Decisions(token)),
            Action::Say(text) => log::info!("{text}"),
        }
    }

    fn refuse(&mut self, txn: TxnId, answer: Answer) {
        let owed = self.answer(txn, answer);
        must!(self.shared.counters, owed, "only a txn that is owed an answer gets one");
        self.settle_up(txn);
    }

    fn post(&mut self, txn: TxnId, worker: WorkerId) {
        let (shared, ex, now) = (self.shared.clone(), self.ex.clone(), self.shared.clock.now());
        let known = self.state.workers.reach(worker).map(|(host, dial)| (host.to_string(), dial));
        let connect_within = self.connect_within;
        let Some(held) = self.held(txn) else { return };
        let (leg, left) = (held.legs.len() as u8, held.expiry.saturating_sub(now));
        let owed = held.reply.is_some() && left > 0;
        must!(shared.counters, held.reply.is_some(), "nothing is posted for a txn that was answered");
        let Some((host, dial)) = known.filter(|_| owed) else {
            held.legs.push(None);
            shared.counters.ended_moot.add();
            let (outcome, report) = (Outcome::Moot, Report::default());
            let ended = Ended { txn, leg, outcome, complete: !owed, report };
            return self.state.events.push_back(Event::Ended(ended));
        };
        shared.counters.postings.add();
        let message =
            worker::posting(&host, &held.request.target, &held.request.id, left, &held.request.body);
        let id = held.request.id.clone();
        let ready = shared.pooled(worker);
        if ready.is_some() {
            shared.counters.posted_again.add()
        } else {
            shared.counters.posted_new.add()
        }
        // Half of what is left at most, so that another worker can still be tried after a vanished one.
        let connect_within = Duration::from_nanos(connect_within.min(left / 2));
        let errand = Errand { txn, leg, worker, dial, id, message, connect_within };
        held.legs.push(Some(ex.spawn(worker_io::post(shared, errand, ready))));
    }

    fn probe(&mut self, worker: WorkerId) {
        self.shared.counters.probes.add();
        let Some((host, dial)) = self.state.workers.reach(worker) else {
            let probed = Probed { worker, outcome: Outcome::NoConnection, report: Report::default() };
            return self.state.events.push_back(Event::Probed(probed));
        };
        // A worker that has not answered in twice the time that a connection may take is as good as silent.
        let limit = Duration::from_nanos(2 * self.connect_within);
        self.ex.spawn(worker_io::sound(self.shared.clone(), worker, dial, host.to_string(), limit)).detach();
    }
}
