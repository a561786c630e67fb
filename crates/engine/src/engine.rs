//! The hub joins decisions and requests: what it is told goes in with the moment, what is to be done comes out. It alone
//! calls `handle`; what follows from an action waits in a queue for its turn.
use crate::counters::Counters;
use crate::endpoints::{EndpointAddress, EndpointTable};
use crate::invariant;
use rosewall::mutation::{Mutation, is_active};
use rosewall::policy::Dispatcher;
use rosewall::types::{
    Action, AttemptEnded, EndpointState, Event, FleetPosition, HealthChecked, ListScope, Nanos,
    Outcome, PeerLoad, Report, Request, RequestId, WorkerId,
};
use rosewall_protocol::client::{Answer, ClientRequest};
use rosewall_protocol::discovery::EndpointList;
use rosewall_protocol::worker::{self, AttemptProgress};
use rustc_hash::{FxHashMap, FxHashSet};
use slab::Slab;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// How much earlier than the client's own the deadline lies that the decisions know. Measured on one core each, a
/// request's way in and its answer's way out took up to 0.6 and 0.4 ms (99 of 100); a core shared with a few others adds
/// their turns, of 3 to 4 ms each.
const MARGIN: Nanos = 20_000_000;
/// How many ids of requests that were posted and are over are remembered: about 1 MB, and minutes of one dispatcher's
/// traffic, longer than any client waits.
const REMEMBERED: usize = 8192;
/// How long after an deadline its answer must have been decided: the decisions look at held requests each 25 ms.
const OWED_FOR: Nanos = 30_000_000;

/// What the hub is told.
pub enum Input {
    /// A whole request, read at this moment.
    RequestArrived {
        request_id: RequestId,
        at: Nanos,
        request: ClientRequest,
    },
    /// Its client has closed.
    ClientDisconnected(RequestId),
    AttemptProgress {
        request_id: RequestId,
        attempt_index: u8,
        told: AttemptProgress,
    },
    HealthChecked(HealthChecked),
    /// Another dispatcher, by its number, tells this.
    PeerLoad {
        from: u16,
        load: PeerLoad,
    },
    /// Its place among those that run, if that is known.
    FleetView(Option<FleetPosition>),
    /// A right to send work to a cold worker has come.
    WarmUpGranted {
        worker: WorkerId,
        work: Nanos,
        until: Nanos,
    },
    EndpointList(EndpointList),
    EndpointListFailed,
    /// The program ends: all is to be answered by this moment.
    ShutDown(Nanos),
}

/// Where an attempt goes, and what goes there.
#[derive(Debug)]
pub struct OutboundAttempt {
    pub request_id: RequestId,
    pub attempt_index: u8,
    pub worker: WorkerId,
    pub address: SocketAddr,
    pub id: String,
    pub message: Vec<u8>,
    pub connect_within: Nanos,
}

/// What is to be done, in order.
#[derive(Debug)]
pub enum Effect {
    /// The one final answer of a request goes to its client.
    Answer {
        request_id: RequestId,
        answer: Answer,
    },
    SendAttempt(OutboundAttempt),
    /// Its client has left, or its worker takes nothing new: what was not written to its last byte yet is not sent.
    CancelUnsent {
        request_id: RequestId,
        attempt_index: u8,
    },
    /// The attempt is given up: its connection closes.
    Abort {
        request_id: RequestId,
        attempt_index: u8,
    },
    /// The attempt has ended; whoever carries it may still read what frees its connection.
    Finished {
        request_id: RequestId,
        attempt_index: u8,
    },
    CheckHealth {
        worker: WorkerId,
        address: SocketAddr,
        host: String,
        limit: Nanos,
    },
    /// Idle connections to the worker that do not lead here are not used again.
    EvictIdle {
        worker: WorkerId,
        address: Option<SocketAddr>,
    },
    /// To another dispatcher, by its number.
    SendPeerLoad {
        to: u16,
        load: PeerLoad,
    },
    /// A right to send so much work to a cold worker is wanted.
    RequestWarmUpGrant {
        worker: WorkerId,
        work: Nanos,
    },
    /// What all together may be given for a cold worker in a window.
    SetWarmUpBudget {
        worker: WorkerId,
        work: Nanos,
        window: Nanos,
    },
    /// Leave is given to follow the list.
    WatchEndpoints,
}

struct ActiveRequest {
    request_id: RequestId,
    request: ClientRequest,
    deadline: Nanos,
    /// Whether the final answer is still to come.
    owed: bool,
    /// The postings: the worker of each that is out.
    attempts: Vec<Option<WorkerId>>,
}

impl ActiveRequest {
    /// Calls off the attempts that are out to such workers.
    fn cancel_unsent(&self, to: impl Fn(&WorkerId) -> bool, out: &mut Vec<Effect>) {
        let attempts = self
            .attempts
            .iter()
            .enumerate()
            .filter(|(_, worker)| worker.as_ref().is_some_and(&to));
        out.extend(attempts.map(|(attempt_index, _)| Effect::CancelUnsent {
            request_id: self.request_id,
            attempt_index: attempt_index as u8,
        }));
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Decisions(u64),
    Deadline(RequestId),
    Owed(RequestId),
}

pub struct Engine {
    dispatcher: Dispatcher,
    counters: Rc<Counters>,
    connect_within: Nanos,
    /// Whether a list of workers is known.
    ready: bool,
    workers: EndpointTable,
    requests: Slab<ActiveRequest>,
    places: FxHashMap<RequestId, usize>,
    /// The ids of the requests in hand and of those over, the latter also in the order of their ends.
    ids: FxHashSet<Rc<str>>,
    over: VecDeque<Rc<str>>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    timers: BinaryHeap<Reverse<(Nanos, u64, Due)>>,
    armed: u64,
    /// Once it is to stop: the moment by which all must be answered.
    stop_by: Option<Nanos>,
}

impl Engine {
    pub fn new(
        dispatcher: Dispatcher,
        counters: Rc<Counters>,
        connect_within: Nanos,
        workers: EndpointTable,
    ) -> Self {
        Engine {
            dispatcher,
            counters,
            connect_within,
            ready: false,
            workers,
            requests: Slab::new(),
            places: FxHashMap::default(),
            ids: FxHashSet::default(),
            over: VecDeque::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            timers: BinaryHeap::new(),
            armed: 0,
            stop_by: None,
        }
    }

    /// When to call `due` next.
    pub fn next_timer(&self) -> Option<Nanos> {
        self.timers.peek().map(|Reverse((at, ..))| *at)
    }

    /// Whether a list of workers is known.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Txns in hand: not answered, or with an attempt out.
    pub fn active_request_count(&self) -> usize {
        self.requests.len()
    }

    /// Where a worker is dialled now.
    pub fn address_of(&self, worker: WorkerId) -> Option<SocketAddr> {
        self.workers.address_of(worker).map(|known| known.address)
    }

    fn arm(&mut self, at: Nanos, due: Due) {
        self.armed += 1;
        if is_active(Mutation::DropDeadlineTimer)
            && matches!(due, Due::Deadline(_))
            && self.armed.is_multiple_of(16)
        {
            return;
        }
        self.timers.push(Reverse((at, self.armed, due)));
    }

    pub fn handle(&mut self, now: Nanos, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::RequestArrived {
                request_id,
                at,
                request,
            } => self.arrived(now, request_id, at, request, out),
            Input::ClientDisconnected(_) if is_active(Mutation::IgnoreClientDisconnect) => {}
            Input::ClientDisconnected(request_id) => {
                if let Some(active) = self.active(request_id)
                    && std::mem::take(&mut active.owed)
                {
                    // Guards against work that is begun for someone who has left while a connection was coming up.
                    active.cancel_unsent(|_| true, out);
                    self.counters.clients_disconnected.add();
                    self.decide(now, Event::ClientGone { request_id }, out);
                    self.settle_up(request_id);
                }
            }
            Input::AttemptProgress {
                request_id,
                attempt_index,
                told,
            } => self.told(now, request_id, attempt_index, told, out),
            Input::HealthChecked(probed) => self.decide(now, Event::HealthChecked(probed), out),
            Input::PeerLoad { from, load } => self.decide(now, Event::PeerLoad { from, load }, out),
            Input::FleetView(place) => self.decide(now, Event::FleetView(place), out),
            Input::WarmUpGranted {
                worker,
                work,
                until,
            } => {
                self.decide(
                    now,
                    Event::WarmUpGranted {
                        worker,
                        work,
                        until,
                    },
                    out,
                );
            }
            Input::EndpointList(list) => {
                let scope = if list.is_snapshot {
                    ListScope::Snapshot
                } else {
                    ListScope::Delta
                };
                self.list(now, scope, list, out);
            }
            Input::EndpointListFailed => self.decide(
                now,
                Event::EndpointList {
                    scope: ListScope::Failed,
                    endpoints: Vec::new(),
                },
                out,
            ),
            Input::ShutDown(by) => self.stop(now, by, out),
        }
    }

    /// The list as it was kept, before anything else.
    pub fn load_cached(&mut self, now: Nanos, list: EndpointList, out: &mut Vec<Effect>) {
        self.list(now, ListScope::Cached, list, out);
    }

    fn list(&mut self, now: Nanos, scope: ListScope, list: EndpointList, out: &mut Vec<Effect>) {
        self.ready |= scope != ListScope::Cached || !list.endpoints.is_empty();
        let update = self.workers.apply(now, list);
        // Guards against an attempt that waits for its connection, and goes out over it after its worker was told to
        // drain: it has not run, and is placed anew. One whose last bytes are on their way loses 2 ms of its time.
        let mut closed: FxHashSet<WorkerId> = update.stale_connections.iter().copied().collect();
        closed.extend(
            update
                .endpoints
                .iter()
                .filter(|e| e.state != EndpointState::Ready)
                .map(|e| e.worker),
        );
        self.requests
            .iter()
            .for_each(|(_, active)| active.cancel_unsent(|worker| closed.contains(worker), out));
        // Connections to a process that is no more are not used again.
        out.extend(
            update
                .stale_connections
                .into_iter()
                .map(|worker| Effect::EvictIdle {
                    worker,
                    address: None,
                }),
        );
        self.counters
            .host_id_collisions
            .add_many(update.id_collisions);
        self.decide(
            now,
            Event::EndpointList {
                scope,
                endpoints: update.endpoints,
            },
            out,
        );
    }

    fn active(&mut self, request_id: RequestId) -> Option<&mut ActiveRequest> {
        let place = *self.places.get(&request_id)?;
        self.requests.get_mut(place)
    }

    fn arrived(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        at: Nanos,
        request: ClientRequest,
        out: &mut Vec<Effect>,
    ) {
        // Guards against the id of another client's request: posted again it would run twice.
        if !self.ids.insert(request.id.as_str().into()) && !is_active(Mutation::AcceptDuplicateId) {
            return self.give(request_id, Answer::DuplicateId, out);
        }
        self.counters.requests.add();
        let margin = if is_active(Mutation::AnswerAfterDeadline) {
            0
        } else {
            MARGIN
        };
        let late = if is_active(Mutation::AnswerAfterDeadline) {
            5 * MARGIN
        } else {
            0
        };
        let deadline = (at + request.timeout + late).saturating_sub(margin);
        let deadline = self.stop_by.map_or(deadline, |by| deadline.min(by));
        let ClientRequest {
            class,
            tenant,
            hint,
            slots,
            memory,
            ..
        } = request;
        log::debug!(
            "at={now} request={request_id} arrived class={class} hint={}",
            hint.unwrap_or(0)
        );
        let place = self.requests.insert(ActiveRequest {
            request_id,
            request,
            deadline,
            owed: true,
            attempts: Vec::new(),
        });
        self.places.insert(request_id, place);
        self.arm(deadline, Due::Deadline(request_id));
        self.decide(
            now,
            Event::RequestArrived(Request {
                id: request_id,
                class,
                tenant,
                hint,
                slots,
                memory,
                deadline,
            }),
            out,
        );
    }

    fn is_out(&mut self, request_id: RequestId, attempt_index: u8) -> bool {
        self.active(request_id).is_some_and(|active| {
            active
                .attempts
                .get(usize::from(attempt_index))
                .is_some_and(Option::is_some)
        })
    }

    fn told(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        attempt_index: u8,
        told: AttemptProgress,
        out: &mut Vec<Effect>,
    ) {
        // A attempt that was ended here may have told something just before.
        if !self.is_out(request_id, attempt_index) {
            return;
        }
        match told {
            AttemptProgress::Started => {
                log::debug!("at={now} request={request_id} attempt={attempt_index} started");
                self.counters.attempts_started.add();
                self.decide(
                    now,
                    Event::AttemptStarted {
                        request_id,
                        attempt_index,
                    },
                    out,
                );
            }
            AttemptProgress::Succeeded(result) => {
                if !self.answer(request_id, Answer::Succeeded(result), out) {
                    self.counters.succeeded_late.add();
                }
                self.end(now, request_id, attempt_index, Outcome::Succeeded, out);
            }
            AttemptProgress::Ended(outcome) => {
                self.end(now, request_id, attempt_index, outcome, out)
            }
        }
    }

    /// A attempt is over: the decisions are told.
    fn end(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        attempt_index: u8,
        outcome: Outcome,
        out: &mut Vec<Effect>,
    ) {
        log::debug!("at={now} request={request_id} attempt={attempt_index} ended {outcome:?}");
        let unrun = is_active(Mutation::TreatLostAsNotRun) && outcome == Outcome::ConnectionLost;
        let outcome = if unrun {
            Outcome::ConnectFailed
        } else {
            outcome
        };
        let counters = &self.counters;
        match outcome {
            Outcome::Succeeded => counters.attempts_succeeded.add(),
            Outcome::WorkerError => counters.attempts_worker_error.add(),
            Outcome::InvalidRequest => counters.attempts_invalid_request.add(),
            Outcome::AtCapacity => counters.attempts_at_capacity.add(),
            Outcome::TimedOut => counters.attempts_timed_out.add(),
            Outcome::ConnectFailed => counters.attempts_connect_failed.add(),
            Outcome::ConnectionLost | Outcome::Cancelled => counters.attempts_connection_lost.add(),
            Outcome::NotSent => counters.attempts_not_sent.add(),
        }
        let Some(active) = self.active(request_id) else {
            return;
        };
        let complete = !active.owed;
        if active
            .attempts
            .get_mut(usize::from(attempt_index))
            .is_some_and(|worker| worker.take().is_some())
        {
            // At its end the connection is still read until it is free; at the deadline it goes with the attempt.
            out.push(match outcome {
                Outcome::TimedOut => Effect::Abort {
                    request_id,
                    attempt_index,
                },
                _ => Effect::Finished {
                    request_id,
                    attempt_index,
                },
            });
        }
        let report = Report::default();
        self.decide(
            now,
            Event::AttemptEnded(AttemptEnded {
                request_id,
                attempt_index,
                outcome,
                complete,
                report,
            }),
            out,
        );
        self.settle_up(request_id);
    }

    /// Forgets a request that is answered and has nothing out.
    fn settle_up(&mut self, request_id: RequestId) {
        let Some(place) = self.places.get(&request_id).copied() else {
            return;
        };
        let over =
            |active: &ActiveRequest| !active.owed && active.attempts.iter().all(Option::is_none);
        if is_active(Mutation::LeakRequest)
            && self
                .requests
                .get(place)
                .is_some_and(|active| active.attempts.len() > 1)
        {
            return;
        }
        if self.requests.get(place).is_some_and(over) {
            self.places.remove(&request_id);
            let active = self.requests.remove(place);
            if active.attempts.is_empty() {
                self.ids.remove(active.request.id.as_str());
            } else {
                self.over
                    .extend(self.ids.get(active.request.id.as_str()).cloned());
            }
            if self.over.len() > REMEMBERED
                && let Some(id) = self.over.pop_front()
            {
                self.ids.remove(&id);
            }
        }
    }

    /// Gives the final answer, if it is still owed.
    fn answer(&mut self, request_id: RequestId, answer: Answer, out: &mut Vec<Effect>) -> bool {
        let owed = self
            .active(request_id)
            .is_some_and(|active| std::mem::take(&mut active.owed));
        if owed {
            self.give(request_id, answer, out);
        }
        owed
    }

    /// Counts an answer and sends it.
    fn give(&self, request_id: RequestId, answer: Answer, out: &mut Vec<Effect>) {
        let counters = &self.counters;
        match answer {
            Answer::Succeeded(_) => counters.succeeded.add(),
            Answer::Rejected { .. } => counters.rejected.add(),
            Answer::Failed => counters.failed.add(),
            Answer::DuplicateId => counters.requests_duplicate.add(),
        }
        out.push(Effect::Answer { request_id, answer });
    }

    /// Takes the one timer that is due first, if one is; false where none is.
    pub fn fire_next_timer(&mut self, now: Nanos, out: &mut Vec<Effect>) -> bool {
        if self.next_timer().is_none_or(|at| at > now) {
            return false;
        }
        let Some(Reverse((_, _, due))) = self.timers.pop() else {
            return false;
        };
        match due {
            Due::Decisions(token) => self.decide(now, Event::TimerFired { token }, out),
            Due::Deadline(request_id) => self.deadline_reached(now, request_id, out),
            Due::Owed(request_id) => {
                let owed = self.active(request_id).is_some_and(|active| active.owed);
                invariant!(
                    self.counters,
                    !owed,
                    "every request is answered at its deadline"
                );
                if owed {
                    self.answer(request_id, Answer::Failed, out);
                    self.decide(now, Event::ClientGone { request_id }, out);
                    self.settle_up(request_id);
                }
            }
        }
        true
    }

    fn deadline_reached(&mut self, now: Nanos, request_id: RequestId, out: &mut Vec<Effect>) {
        let Some(active) = self.active(request_id) else {
            return;
        };
        if active.deadline > now {
            return;
        }
        for attempt_index in 0..active.attempts.len() as u8 {
            if self.is_out(request_id, attempt_index) {
                self.end(now, request_id, attempt_index, Outcome::TimedOut, out);
            }
        }
        self.arm(now + OWED_FOR, Due::Owed(request_id));
    }

    fn stop(&mut self, now: Nanos, by: Nanos, out: &mut Vec<Effect>) {
        self.stop_by = Some(by);
        let mut brought = Vec::new();
        for (_, active) in &mut self.requests {
            if active.deadline > by {
                active.deadline = by;
                brought.push(active.request_id);
            }
        }
        brought
            .into_iter()
            .for_each(|request_id| self.arm(by, Due::Deadline(request_id)));
        self.decide(now, Event::ShuttingDown { by }, out);
    }

    /// Lets the decisions handle an event and all that follows from it at once.
    fn decide(&mut self, now: Nanos, event: Event, out: &mut Vec<Effect>) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.dispatcher.handle(now, event, &mut actions);
            actions
                .drain(..)
                .for_each(|action| self.act(now, action, out));
            self.actions = actions;
        }
    }

    fn act(&mut self, now: Nanos, action: Action, out: &mut Vec<Effect>) {
        match action {
            Action::SendAttempt { request_id, worker } => self.post(now, request_id, worker, out),
            Action::CheckHealth { worker } => self.probe(worker, out),
            Action::Reject {
                request_id,
                retry_after,
            } => self.refuse(now, request_id, Answer::Rejected { retry_after }, out),
            Action::Fail { request_id } => self.refuse(now, request_id, Answer::Failed, out),
            Action::WatchEndpoints => out.push(Effect::WatchEndpoints),
            Action::SendPeerLoad { to, load } => out.push(Effect::SendPeerLoad { to, load }),
            Action::RequestWarmUpGrant { worker, work } => {
                out.push(Effect::RequestWarmUpGrant { worker, work })
            }
            Action::SetWarmUpBudget {
                worker,
                work,
                window,
            } => out.push(Effect::SetWarmUpBudget {
                worker,
                work,
                window,
            }),
            Action::SetTimer { at, token } => self.arm(at, Due::Decisions(token)),
            Action::Log(text) => log::info!("{text}"),
        }
    }

    fn refuse(&mut self, now: Nanos, request_id: RequestId, answer: Answer, out: &mut Vec<Effect>) {
        log::debug!("at={now} request={request_id} answered {answer:?}");
        let owed = self.answer(request_id, answer, out);
        invariant!(
            self.counters,
            owed,
            "only a request that is owed an answer gets one"
        );
        self.settle_up(request_id);
    }

    fn post(&mut self, now: Nanos, request_id: RequestId, worker: WorkerId, out: &mut Vec<Effect>) {
        let known = self
            .workers
            .address_of(worker)
            .map(|known| (known.host.to_string(), known.address));
        let connect_within = self.connect_within;
        let counters = self.counters.clone();
        let Some(active) = self.active(request_id) else {
            return;
        };
        let (attempt_index, left) = (
            active.attempts.len() as u8,
            active.deadline.saturating_sub(now),
        );
        let owed = active.owed && left > 0;
        invariant!(
            counters,
            active.owed,
            "nothing is posted for a request that was answered"
        );
        let Some((host, address)) = known.filter(|_| owed) else {
            active.attempts.push(None);
            counters.attempts_not_sent.add();
            let (outcome, report) = (Outcome::NotSent, Report::default());
            let ended = AttemptEnded {
                request_id,
                attempt_index,
                outcome,
                complete: !owed,
                report,
            };
            return self.events.push_back(Event::AttemptEnded(ended));
        };
        counters.attempts.add();
        log::debug!("at={now} request={request_id} attempt={attempt_index} sent host={host}");
        let message = worker::encode_request(&host, &active.request, left);
        let id = active.request.id.clone();
        // Half of what is left at most, so that another worker can still be tried after a vanished one.
        let connect_within = connect_within.min(left / 2);
        active.attempts.push(Some(worker));
        out.push(Effect::SendAttempt(OutboundAttempt {
            request_id,
            attempt_index,
            worker,
            address,
            id,
            message,
            connect_within,
        }));
    }

    fn probe(&mut self, worker: WorkerId, out: &mut Vec<Effect>) {
        self.counters.health_checks.add();
        let Some(EndpointAddress { host, address }) = self.workers.address_of(worker) else {
            let probed = HealthChecked {
                worker,
                outcome: Outcome::ConnectFailed,
                report: Report::default(),
            };
            return self.events.push_back(Event::HealthChecked(probed));
        };
        // A worker that has not answered in twice the time that a connection may take is as good as silent.
        let limit = 2 * self.connect_within;
        out.push(Effect::CheckHealth {
            worker,
            address,
            host: host.to_string(),
            limit,
        });
    }
}
