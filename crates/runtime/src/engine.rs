//! The task that owns the engine. It passes events and timers to the engine and executes its
//! effects.
use crate::context::Context;
use crate::event::EngineEvent;
use crate::traits::Runtime;
use crate::worker::{AttemptConnection, SendPermit, check_health, send_attempt};
use async_channel::{Receiver, Sender};
use async_executor::Task;
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use rosewall::types::{Nanos, PeerLoad, RequestId};
use rosewall_engine::engine::{CachedListUse, Effect, Engine, Input, OutboundAttempt};
use rosewall_protocol::client::Answer;
use rosewall_protocol::discovery::EndpointList;
use rustc_hash::FxHashMap;
use std::rc::Rc;

/// Identifies an attempt.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct AttemptKey {
    request_id: RequestId,
    attempt_index: u8,
}

impl AttemptKey {
    fn new(request_id: RequestId, attempt_index: u8) -> Self {
        AttemptKey {
            request_id,
            attempt_index,
        }
    }
}

/// An attempt in progress. Dropping it closes its connection.
struct RunningAttempt {
    task: Task<()>,
    permit: Rc<SendPermit>,
}

/// Owner of the engine and of the state that the engine's effects change.
pub struct EngineDriver<R: Runtime> {
    context: Rc<Context<R>>,
    events: Receiver<EngineEvent<R>>,
    engine: Engine,
    /// Channel for the permits of the policy to call discovery.
    watch_permits: Sender<()>,
    /// Channel for the answer of each unanswered request.
    replies: FxHashMap<RequestId, Sender<Answer>>,
    attempts: FxHashMap<AttemptKey, RunningAttempt>,
    /// Buffer that is reused between calls of the engine.
    effects: Vec<Effect>,
}

impl<R: Runtime> EngineDriver<R> {
    /// Creates a driver, which passes the permits of the policy to `watch_permits`.
    pub fn new(
        context: Rc<Context<R>>,
        events: Receiver<EngineEvent<R>>,
        engine: Engine,
        watch_permits: Sender<()>,
    ) -> Self {
        EngineDriver {
            context,
            events,
            engine,
            watch_permits,
            replies: FxHashMap::default(),
            attempts: FxHashMap::default(),
            effects: Vec::new(),
        }
    }

    /// Passes a cached endpoint list to the engine.
    pub fn load_cached(&mut self, list: EndpointList, usage: CachedListUse) {
        let now = self.context.runtime.now();
        self.engine.load_cached(now, list, usage, &mut self.effects);
        self.execute_effects();
    }

    /// Handles events and timers until the task is dropped.
    pub async fn run(mut self) {
        loop {
            while let Ok(event) = self.events.try_recv() {
                self.handle(event);
            }
            let now = self.context.runtime.now();
            if self.engine.fire_next_timer(now, &mut self.effects) {
                self.execute_effects();
                continue;
            }
            let next_expiry = self.context.pool.borrow().next_expiry();
            if next_expiry.is_some_and(|at| at <= now) {
                self.context.pool.borrow_mut().evict_expired(now);
                continue;
            }
            let next_timer = self.engine.next_timer();
            let wake_at = next_timer.into_iter().chain(next_expiry).min();
            let timer = async {
                match wake_at {
                    Some(at) => self.context.runtime.sleep_until(at).await,
                    None => std::future::pending().await,
                }
                None
            };
            let event = async { self.events.recv().await.ok() };
            let event = event.or(timer).await;
            match event {
                Some(event) => self.handle(event),
                // Tasks whose time limit ends at the same moment report first: an attempt that was
                // not sent by its deadline must not count as one that the worker did not answer.
                None => yield_now().await,
            }
        }
    }

    fn handle(&mut self, event: EngineEvent<R>) {
        let now = self.context.runtime.now();
        let Some(input) = self.input_from(now, event) else {
            return;
        };
        self.engine.handle(now, input, &mut self.effects);
        self.execute_effects();
    }

    /// Converts an event to an input of the engine. Returns `None` if the event does not concern
    /// the engine.
    fn input_from(&mut self, now: Nanos, event: EngineEvent<R>) -> Option<Input> {
        Some(match event {
            EngineEvent::RequestArrived {
                request_id,
                at,
                request,
                reply,
            } => {
                self.replies.insert(request_id, reply);
                Input::RequestArrived {
                    request_id,
                    at,
                    request,
                }
            }
            EngineEvent::ClientDisconnected(request_id) => {
                self.replies.remove(&request_id);
                Input::ClientDisconnected(request_id)
            }
            EngineEvent::AttemptProgress {
                request_id,
                attempt_index,
                progress,
            } => Input::AttemptProgress {
                request_id,
                attempt_index,
                progress,
            },
            EngineEvent::ConnectionIdle { worker, connection } => {
                // The worker's address may have changed since the connection was opened.
                if self.engine.address_of(worker) == Some(connection.address) {
                    let address = connection.address;
                    let mut pool = self.context.pool.borrow_mut();
                    pool.put(now, worker, address, connection);
                }
                return None;
            }
            EngineEvent::HealthChecked(checked) => Input::HealthChecked(checked),
            EngineEvent::PeerLoad { from, load } => Input::PeerLoad { from, load },
            EngineEvent::FleetView(position) => Input::FleetView(position),
            EngineEvent::WarmUpGranted {
                worker,
                work,
                until,
            } => Input::WarmUpGranted {
                worker,
                work,
                until,
            },
            EngineEvent::EndpointList(list) => Input::EndpointList(list),
            EngineEvent::WatchFailed => Input::EndpointListFailed,
            EngineEvent::ShutDown(deadline) => Input::ShutDown(deadline),
        })
    }

    fn execute_effects(&mut self) {
        let mut effects = std::mem::take(&mut self.effects);
        for effect in effects.drain(..) {
            self.execute(effect);
        }
        self.effects = effects;
        self.context.ready.set(self.engine.is_ready());
        self.context
            .active_requests
            .set(self.engine.active_request_count());
    }

    fn execute(&mut self, effect: Effect) {
        let context = &self.context;
        match effect {
            Effect::Answer { request_id, answer } => self.send_answer(request_id, answer),
            Effect::SendAttempt(attempt) => self.spawn_attempt(attempt),
            Effect::CancelUnsent {
                request_id,
                attempt_index,
            } => self.cancel_attempt(AttemptKey::new(request_id, attempt_index)),
            Effect::AdvanceSendDeadline {
                request_id,
                attempt_index,
                send_by,
            } => {
                let key = AttemptKey::new(request_id, attempt_index);
                self.advance_send_deadline(key, send_by);
            }
            Effect::Abort {
                request_id,
                attempt_index,
            } => self.abort_attempt(AttemptKey::new(request_id, attempt_index)),
            Effect::Finished {
                request_id,
                attempt_index,
            } => self.detach_attempt(AttemptKey::new(request_id, attempt_index)),
            Effect::CheckHealth {
                worker,
                address,
                host,
                timeout,
            } => {
                let check = check_health(context.clone(), worker, address, host, timeout);
                context.runtime.spawn(check).detach();
            }
            Effect::EvictIdle { worker, address } => {
                context.pool.borrow_mut().evict_worker(worker, address);
            }
            Effect::SendPeerLoad { to, load } => self.send_peer_load(to, load),
            Effect::RequestWarmUpGrant { worker, work } => {
                if let Some(cluster) = &context.cluster {
                    cluster.request_grant(context.runtime.now(), worker, work);
                }
            }
            Effect::SetWarmUpBudget {
                worker,
                work,
                window,
            } => {
                if let Some(cluster) = &context.cluster {
                    cluster.set_warm_up_budget(worker, work, window);
                }
            }
            Effect::WatchEndpoints => self.permit_watch(),
        }
    }

    fn send_answer(&mut self, request_id: RequestId, answer: Answer) {
        if let Some(reply) = self.replies.remove(&request_id) {
            let _ = reply.try_send(answer);
        }
    }

    fn spawn_attempt(&mut self, attempt: OutboundAttempt) {
        let context = &self.context;
        let pooled = context.take_idle_connection(attempt.worker);
        if pooled.is_some() {
            context.counters.attempts_on_reused_connection.add();
        } else {
            context.counters.attempts_on_new_connection.add();
        }
        let key = AttemptKey::new(attempt.request_id, attempt.attempt_index);
        let permit = Rc::new(SendPermit::new(attempt.send_by));
        let connection = AttemptConnection {
            pooled,
            permit: permit.clone(),
        };
        let task = context
            .runtime
            .spawn(send_attempt(context.clone(), attempt, connection));
        self.attempts.insert(key, RunningAttempt { task, permit });
    }

    /// Prevents the sending of an attempt whose last byte has not been written yet.
    fn cancel_attempt(&self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.get(&key) {
            attempt.permit.revoke();
        }
    }

    fn advance_send_deadline(&self, key: AttemptKey, send_by: Nanos) {
        if let Some(attempt) = self.attempts.get(&key) {
            attempt.permit.advance(send_by);
        }
    }

    /// Closes the connection of an attempt.
    fn abort_attempt(&mut self, key: AttemptKey) {
        drop(self.attempts.remove(&key));
    }

    /// Lets the task of an ended attempt read the rest of the answer, which makes the connection
    /// reusable.
    fn detach_attempt(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.remove(&key) {
            attempt.task.detach();
        }
    }

    fn send_peer_load(&self, to: u16, load: PeerLoad) {
        let context = &self.context;
        let now = context.runtime.now();
        if let Some(cluster) = &context.cluster {
            cluster.send_load(now, to, load);
        } else if let Some(exchange) = &context.peer_loads {
            exchange.send(now, &context.counters, to, &load);
        } else {
            context.counters.peer_loads_not_sent.add();
        }
    }

    fn permit_watch(&self) {
        // The follower of the list outlives this task except at process exit.
        let _ = self.watch_permits.try_send(());
    }
}
