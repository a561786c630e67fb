//! Drives the hub: hands it what came in and what is due, and carries out what it says.
use crate::context::{Context, EngineEvent};
use crate::traits::Runtime;
use crate::worker;
use async_channel::{Receiver, Sender};
use async_executor::Task;
use futures_lite::FutureExt;
use rosewall::types::RequestId;
use rosewall_engine::engine::{Effect, Engine, Input};
use rosewall_protocol::client::Answer;
use rosewall_protocol::discovery::EndpointList;
use rustc_hash::FxHashMap;
use std::cell::Cell;
use std::rc::Rc;

/// A attempt that is out; dropping it closes its connection.
struct Out {
    task: Task<()>,
    /// Whether it was called off.
    off: Rc<Cell<bool>>,
}

pub struct EngineDriver<R: Runtime> {
    pub context: Rc<Context<R>>,
    pub events: Receiver<EngineEvent<R>>,
    pub engine: Engine,
    /// Where leave is given to follow the list.
    pub leave: Option<Sender<()>>,
    /// Where the answer goes, for each request that is owed one.
    replies: FxHashMap<RequestId, Sender<Answer>>,
    out: FxHashMap<(RequestId, u8), Out>,
    effects: Vec<Effect>,
}

impl<R: Runtime> EngineDriver<R> {
    pub fn new(
        context: Rc<Context<R>>,
        events: Receiver<EngineEvent<R>>,
        engine: Engine,
        leave: Option<Sender<()>>,
    ) -> Self {
        let (replies, out) = (FxHashMap::default(), FxHashMap::default());
        EngineDriver {
            context,
            events,
            engine,
            leave,
            replies,
            out,
            effects: Vec::new(),
        }
    }

    /// The list as it was kept, before anything else.
    pub fn load_cached(&mut self, list: EndpointList) {
        let now = self.context.runtime.now();
        self.engine.load_cached(now, list, &mut self.effects);
        self.carry_out();
    }

    /// Serves for ever; the caller ends it.
    pub async fn run(mut self) {
        loop {
            while let Ok(events) = self.events.try_recv() {
                self.take(events);
            }
            let now = self.context.runtime.now();
            if self.engine.fire_next_timer(now, &mut self.effects) {
                self.carry_out();
                continue;
            }
            let reap = self.context.pool.borrow().next_expiry();
            if reap.is_some_and(|at| at <= now) {
                self.context.pool.borrow_mut().evict_expired(now);
                continue;
            }
            let next = self.engine.next_timer().into_iter().chain(reap).min();
            let timer = async {
                match next {
                    Some(at) => self.context.runtime.sleep_until(at).await,
                    None => std::future::pending().await,
                }
                None
            };
            let heard = async { self.events.recv().await.ok() };
            let heard = heard.or(timer).await;
            if let Some(events) = heard {
                self.take(events);
            }
        }
    }

    fn take(&mut self, events: EngineEvent<R>) {
        let now = self.context.runtime.now();
        let input = match events {
            EngineEvent::Arrived {
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
            EngineEvent::Left(request_id) => {
                self.replies.remove(&request_id);
                Input::ClientDisconnected(request_id)
            }
            EngineEvent::AttemptProgress {
                request_id,
                attempt_index,
                told,
            } => Input::AttemptProgress {
                request_id,
                attempt_index,
                progress: told,
            },
            EngineEvent::Spare { worker, conn } => {
                // One that leads elsewhere by now is of no use.
                if self.engine.address_of(worker) == Some(conn.address) {
                    self.context
                        .pool
                        .borrow_mut()
                        .put(now, worker, conn.address, conn);
                }
                return;
            }
            EngineEvent::HealthChecked(probed) => Input::HealthChecked(probed),
            EngineEvent::PeerLoad { from, load } => Input::PeerLoad { from, load },
            EngineEvent::FleetView(place) => Input::FleetView(place),
            EngineEvent::WarmUpGranted {
                worker,
                work,
                until,
            } => Input::WarmUpGranted {
                worker,
                work,
                until,
            },
            EngineEvent::List(list) => Input::EndpointList(list),
            EngineEvent::ListFailed => Input::EndpointListFailed,
            EngineEvent::Stop(by) => Input::ShutDown(by),
        };
        self.engine.handle(now, input, &mut self.effects);
        self.carry_out();
    }

    fn carry_out(&mut self) {
        let mut effects = std::mem::take(&mut self.effects);
        effects.drain(..).for_each(|effect| self.act(effect));
        self.effects = effects;
        self.context.ready.set(self.engine.is_ready());
        self.context
            .active_requests
            .set(self.engine.active_request_count());
    }

    fn act(&mut self, effect: Effect) {
        let context = &self.context;
        match effect {
            Effect::Answer { request_id, answer } => {
                if let Some(reply) = self.replies.remove(&request_id) {
                    let _ = reply.try_send(answer);
                }
            }
            Effect::SendAttempt(attempt) => {
                let ready = context.pooled(attempt.worker);
                if ready.is_some() {
                    context.counters.attempts_on_reused_connection.add()
                } else {
                    context.counters.attempts_on_new_connection.add()
                }
                let place = (attempt.request_id, attempt.attempt_index);
                let off = Rc::new(Cell::new(false));
                let task = context.runtime.spawn(worker::post(
                    context.clone(),
                    attempt,
                    ready,
                    off.clone(),
                ));
                self.out.insert(place, Out { task, off });
            }
            Effect::CancelUnsent {
                request_id,
                attempt_index,
            } => {
                if let Some(out) = self.out.get(&(request_id, attempt_index)) {
                    out.off.set(true);
                }
            }
            Effect::Abort {
                request_id,
                attempt_index,
            } => drop(self.out.remove(&(request_id, attempt_index))),
            Effect::Finished {
                request_id,
                attempt_index,
            } => {
                if let Some(out) = self.out.remove(&(request_id, attempt_index)) {
                    out.task.detach();
                }
            }
            Effect::CheckHealth {
                worker,
                address,
                host,
                timeout: limit,
            } => {
                context
                    .runtime
                    .spawn(worker::sound(context.clone(), worker, address, host, limit))
                    .detach();
            }
            Effect::EvictIdle { worker, address } => {
                context.pool.borrow_mut().evict_worker(worker, address)
            }
            Effect::SendPeerLoad { to, load } => {
                let now = context.runtime.now();
                match (&context.cluster, &context.talk) {
                    (Some(cluster), _) => cluster.send_load(now, to, load),
                    (None, Some(talk)) => talk.tell(now, &context.counters, to, &load),
                    (None, None) => context.counters.peer_loads_not_sent.add(),
                }
            }
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
            Effect::WatchEndpoints => {
                if let Some(leave) = &self.leave {
                    let _ = leave.try_send(());
                }
            }
        }
    }
}
