//! The state machine that connects requests to the policy: timestamped inputs go in, effects come
//! out.
//!
//! Only the engine passes events to the [`Dispatcher`]. Events caused by the dispatcher's actions
//! are queued until the current event is handled.
mod attempts;
mod cached_list;
mod deadlines;
mod interface;
mod request_ids;
mod requests;
#[cfg(test)]
pub(crate) mod tests;
mod timers;

#[cfg(all(test, feature = "mutations"))]
pub(crate) use timers::tests::timers_of_completed_requests_do_not_accumulate;

pub use cached_list::CachedListUse;
pub use interface::{Effect, Input, OutboundAttempt};

use crate::counters::Counters;
use crate::endpoints::{EndpointTable, ListUpdate};
use crate::invariant;
use cached_list::ListStatus;
use requests::{ActiveRequest, RequestTable};
use rosewall::mutation::{Mutation, is_active};
use rosewall::policy::Dispatcher;
use rosewall::types::{
    Action, EndpointState, Event, ListScope, Nanos, Request, RequestId, WorkerId,
};
use rosewall_protocol::client::{Answer, ClientRequest};
use rosewall_protocol::discovery::EndpointList;
use rustc_hash::FxHashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use timers::{Timer, TimerQueue};

/// The state machine of one dispatcher.
pub struct Engine {
    dispatcher: Dispatcher,
    counters: Rc<Counters>,
    connect_timeout: Nanos,
    list_status: ListStatus,
    workers: EndpointTable,
    requests: RequestTable,
    timers: TimerQueue,
    /// Events caused by actions and not handled yet.
    events: VecDeque<Event>,
    /// Action buffer, reused for each event.
    actions: Vec<Action>,
    /// Time by which all requests must be answered; `None` unless the program is shutting down.
    shutdown_deadline: Option<Nanos>,
}

impl Engine {
    /// Creates an engine without requests. Connecting to a worker may take up to `connect_timeout`;
    /// `id_seed` makes the digests of client ids unpredictable.
    pub fn new(
        dispatcher: Dispatcher,
        counters: Rc<Counters>,
        connect_timeout: Nanos,
        workers: EndpointTable,
        id_seed: u64,
    ) -> Self {
        Engine {
            dispatcher,
            counters,
            connect_timeout,
            list_status: ListStatus::Missing,
            workers,
            requests: RequestTable::new(id_seed),
            timers: TimerQueue::default(),
            events: VecDeque::new(),
            actions: Vec::new(),
            shutdown_deadline: None,
        }
    }

    /// Returns when to call [`Engine::fire_next_timer`] next; `None` if no timer is set.
    pub fn next_timer(&self) -> Option<Nanos> {
        self.timers.next()
    }

    /// Returns whether clients may be sent to this dispatcher.
    pub fn is_ready(&self) -> bool {
        self.list_status.is_ready()
    }

    /// Returns the number of requests that are not answered or have an attempt in flight.
    pub fn active_request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the address of a worker's current process; `None` if no endpoint list has given one.
    pub fn address_of(&self, worker: WorkerId) -> Option<SocketAddr> {
        self.workers.address_of(worker).map(|known| known.address)
    }

    /// Handles an input and appends the resulting effects to `effects`.
    pub fn handle(&mut self, now: Nanos, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::RequestArrived {
                request_id,
                at,
                request,
            } => self.request_arrived(now, request_id, at, request, effects),
            Input::ClientDisconnected(request_id) => {
                self.client_disconnected(now, request_id, effects);
            }
            Input::AttemptProgress {
                request_id,
                attempt_index,
                progress,
            } => self.attempt_progressed(now, request_id, attempt_index, progress, effects),
            Input::EndpointList(list) => {
                self.list_received(now, list, effects);
            }
            Input::ShutDown(by) => self.shut_down(now, by, effects),
            Input::EndpointListFailed => {
                let failed = Event::EndpointList {
                    scope: ListScope::Failed,
                    endpoints: Vec::new(),
                };
                self.dispatch_event(now, failed, effects);
            }
            Input::HealthChecked(checked) => {
                self.dispatch_event(now, Event::HealthChecked(checked), effects);
            }
            Input::PeerLoad { from, load } => {
                self.dispatch_event(now, Event::PeerLoad { from, load }, effects);
            }
            Input::FleetView(position) => {
                self.dispatch_event(now, Event::FleetView(position), effects)
            }
            Input::WarmUpGranted {
                worker,
                work,
                until,
            } => {
                let granted = Event::WarmUpGranted {
                    worker,
                    work,
                    until,
                };
                self.dispatch_event(now, granted, effects);
            }
        }
    }

    /// Accepts a request. Answers [`Answer::DuplicateId`] if its id is active or was sent before,
    /// since it could run twice.
    fn request_arrived(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        arrived_at: Nanos,
        request: ClientRequest,
        effects: &mut Vec<Effect>,
    ) {
        let id_is_new = self.requests.reserve_id(&request.id);
        if !id_is_new && !is_active(Mutation::AcceptDuplicateId) {
            return self.send_answer(request_id, Answer::DuplicateId, effects);
        }
        self.counters.requests.add();
        let deadline = self.deadline(arrived_at, request.timeout);
        log::debug!(
            "at={now} request={request_id} arrived class={} hint={}",
            request.class,
            request.hint.unwrap_or(0)
        );
        let arrived = Event::RequestArrived(Request {
            id: request_id,
            class: request.class,
            tenant: request.tenant,
            hint: request.hint,
            slots: request.slots,
            memory: request.memory,
            deadline,
        });
        self.requests
            .insert(ActiveRequest::new(request_id, request, deadline));
        self.timers.set(deadline, Timer::Deadline(request_id));
        self.dispatch_event(now, arrived, effects);
        self.compact_timers();
    }

    fn compact_timers(&mut self) {
        let Engine {
            timers,
            requests,
            dispatcher,
            ..
        } = self;
        timers.compact(|timer| match timer {
            Timer::Deadline(request_id) | Timer::AnswerOverdue(request_id) => {
                requests.get(request_id).is_some()
            }
            Timer::Policy(token) => dispatcher.needs_timer(token),
            Timer::WithholdCachedList | Timer::ReportReady | Timer::UseCachedList => true,
        });
    }

    /// Cancels the attempts of a request whose client has disconnected, unless they are completely
    /// sent.
    fn client_disconnected(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        effects: &mut Vec<Effect>,
    ) {
        if is_active(Mutation::IgnoreClientDisconnect)
            || !self.requests.take_pending_answer(request_id)
        {
            return;
        }
        if let Some(active) = self.requests.get(request_id) {
            active.cancel_unsent(|_| true, effects);
        }
        self.counters.clients_disconnected.add();
        self.dispatch_event(now, Event::ClientDisconnected { request_id }, effects);
        self.requests.remove_if_complete(request_id);
    }

    fn list_received(&mut self, now: Nanos, list: EndpointList, effects: &mut Vec<Effect>) {
        let scope = if list.is_snapshot {
            ListScope::Snapshot
        } else {
            // Endpoints that the delta does not name are as in the cached list.
            self.use_cached_list(now, effects);
            ListScope::Delta
        };
        self.list_status = ListStatus::Usable;
        let update = self.workers.apply(now, list);
        self.apply_update(now, scope, update, effects);
    }

    fn apply_update(
        &mut self,
        now: Nanos,
        scope: ListScope,
        update: ListUpdate,
        effects: &mut Vec<Effect>,
    ) {
        self.cancel_unsent_after(&update, effects);
        let stale = update.stale_connections.into_iter();
        effects.extend(stale.map(|worker| Effect::EvictIdle {
            worker,
            address: None,
        }));
        self.counters
            .host_id_collisions
            .add_many(update.id_collisions);
        let endpoints = update.endpoints;
        self.dispatch_event(now, Event::EndpointList { scope, endpoints }, effects);
    }

    /// Cancels incompletely sent attempts to workers that are not ready or were replaced. An
    /// attempt that waits for its connection would otherwise reach a draining worker. A cancelled
    /// attempt has not run and is sent to another worker.
    fn cancel_unsent_after(&self, update: &ListUpdate, effects: &mut Vec<Effect>) {
        let mut unavailable: FxHashSet<WorkerId> =
            update.stale_connections.iter().copied().collect();
        let not_ready = update
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.state != EndpointState::Ready);
        unavailable.extend(not_ready.map(|endpoint| endpoint.worker));
        for active in self.requests.iter() {
            active.cancel_unsent(|worker| unavailable.contains(worker), effects);
        }
    }

    /// Passes an event to the policy, then every event that its actions cause.
    fn dispatch_event(&mut self, now: Nanos, event: Event, effects: &mut Vec<Effect>) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.dispatcher.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(now, action, effects);
            }
            self.actions = actions;
        }
    }

    fn apply_action(&mut self, now: Nanos, action: Action, effects: &mut Vec<Effect>) {
        match action {
            Action::SendAttempt {
                request_id,
                worker,
                send_by,
            } => self.send_attempt(now, request_id, worker, send_by, effects),
            Action::CheckHealth { worker } => self.check_health(worker, effects),
            Action::Reject {
                request_id,
                retry_after,
            } => self.answer_without_result(
                now,
                request_id,
                Answer::Rejected { retry_after },
                effects,
            ),
            Action::Fail { request_id } => {
                self.answer_without_result(now, request_id, Answer::Failed, effects);
            }
            Action::WatchEndpoints => effects.push(Effect::WatchEndpoints),
            Action::SendPeerLoad { to, load } => effects.push(Effect::SendPeerLoad { to, load }),
            Action::RequestWarmUpGrant { worker, work } => {
                effects.push(Effect::RequestWarmUpGrant { worker, work });
            }
            Action::SetWarmUpBudget {
                worker,
                work,
                window,
            } => effects.push(Effect::SetWarmUpBudget {
                worker,
                work,
                window,
            }),
            Action::SetTimer { at, token } => self.timers.set(at, Timer::Policy(token)),
            Action::Log(text) => log::info!("{text}"),
        }
    }

    /// Answers a request that the policy rejects or fails.
    fn answer_without_result(
        &mut self,
        now: Nanos,
        request_id: RequestId,
        answer: Answer,
        effects: &mut Vec<Effect>,
    ) {
        log::debug!("at={now} request={request_id} answered {answer:?}");
        let was_pending = self.answer(request_id, answer, effects);
        invariant!(
            self.counters,
            was_pending,
            "a request is answered only while its answer is pending"
        );
        self.requests.remove_if_complete(request_id);
    }

    /// Sends the final answer of a request if it is still pending. Returns whether it was.
    fn answer(&mut self, request_id: RequestId, answer: Answer, effects: &mut Vec<Effect>) -> bool {
        let was_pending = self.requests.take_pending_answer(request_id);
        if was_pending {
            self.send_answer(request_id, answer, effects);
        }
        was_pending
    }

    fn send_answer(&self, request_id: RequestId, answer: Answer, effects: &mut Vec<Effect>) {
        let counter = match answer {
            Answer::Succeeded(_) => &self.counters.succeeded,
            Answer::Rejected { .. } => &self.counters.rejected,
            Answer::Failed => &self.counters.failed,
            Answer::DuplicateId => &self.counters.requests_duplicate,
        };
        counter.add();
        effects.push(Effect::Answer { request_id, answer });
    }
}
