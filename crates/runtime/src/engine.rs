//! Drives the hub: hands it what came in and what is due, and carries out what it says.
use crate::context::{News, Shared};
use crate::traits::Ground;
use crate::worker;
use async_channel::{Receiver, Sender};
use async_executor::Task;
use futures_lite::FutureExt;
use rosewall::types::RequestId;
use rosewall_engine::engine::{Effect, Hub, Input};
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

pub struct HubDriver<G: Ground> {
    pub shared: Rc<Shared<G>>,
    pub news: Receiver<News<G>>,
    pub hub: Hub,
    /// Where leave is given to follow the list.
    pub leave: Option<Sender<()>>,
    /// Where the answer goes, for each request that is owed one.
    replies: FxHashMap<RequestId, Sender<Answer>>,
    out: FxHashMap<(RequestId, u8), Out>,
    effects: Vec<Effect>,
}

impl<G: Ground> HubDriver<G> {
    pub fn new(
        shared: Rc<Shared<G>>,
        news: Receiver<News<G>>,
        hub: Hub,
        leave: Option<Sender<()>>,
    ) -> Self {
        let (replies, out) = (FxHashMap::default(), FxHashMap::default());
        HubDriver {
            shared,
            news,
            hub,
            leave,
            replies,
            out,
            effects: Vec::new(),
        }
    }

    /// The list as it was kept, before anything else.
    pub fn load_cached(&mut self, list: EndpointList) {
        let now = self.shared.ground.now();
        self.hub.load_cached(now, list, &mut self.effects);
        self.carry_out();
    }

    /// Serves for ever; the caller ends it.
    pub async fn run(mut self) {
        loop {
            while let Ok(news) = self.news.try_recv() {
                self.take(news);
            }
            let now = self.shared.ground.now();
            if self.hub.due(now, &mut self.effects) {
                self.carry_out();
                continue;
            }
            let reap = self.shared.pool.borrow().next_reap();
            if reap.is_some_and(|at| at <= now) {
                self.shared.pool.borrow_mut().reap(now);
                continue;
            }
            let next = self.hub.next_due().into_iter().chain(reap).min();
            let timer = async {
                match next {
                    Some(at) => self.shared.ground.until(at).await,
                    None => std::future::pending().await,
                }
                None
            };
            let heard = async { self.news.recv().await.ok() };
            let heard = heard.or(timer).await;
            if let Some(news) = heard {
                self.take(news);
            }
        }
    }

    fn take(&mut self, news: News<G>) {
        let now = self.shared.ground.now();
        let input = match news {
            News::Arrived {
                request_id,
                at,
                request,
                reply,
            } => {
                self.replies.insert(request_id, reply);
                Input::Arrived {
                    request_id,
                    at,
                    request,
                }
            }
            News::Left(request_id) => {
                self.replies.remove(&request_id);
                Input::Left(request_id)
            }
            News::Told {
                request_id,
                attempt_index,
                told,
            } => Input::Told {
                request_id,
                attempt_index,
                told,
            },
            News::Spare { worker, conn } => {
                // One that leads elsewhere by now is of no use.
                if self.hub.address_of(worker) == Some(conn.address) {
                    self.shared
                        .pool
                        .borrow_mut()
                        .put(now, worker, conn.address, conn);
                }
                return;
            }
            News::HealthChecked(probed) => Input::HealthChecked(probed),
            News::PeerLoad { from, load } => Input::PeerLoad { from, load },
            News::FleetView(place) => Input::FleetView(place),
            News::WarmUpGranted {
                worker,
                work,
                until,
            } => Input::WarmUpGranted {
                worker,
                work,
                until,
            },
            News::List(list) => Input::List(list),
            News::ListFailed => Input::ListFailed,
            News::Stop(by) => Input::Stop(by),
        };
        self.hub.take(now, input, &mut self.effects);
        self.carry_out();
    }

    fn carry_out(&mut self) {
        let mut effects = std::mem::take(&mut self.effects);
        effects.drain(..).for_each(|effect| self.act(effect));
        self.effects = effects;
        self.shared.ready.set(self.hub.ready());
        self.shared.active_requests.set(self.hub.active_requests());
    }

    fn act(&mut self, effect: Effect) {
        let shared = &self.shared;
        match effect {
            Effect::Answer { request_id, answer } => {
                if let Some(reply) = self.replies.remove(&request_id) {
                    let _ = reply.try_send(answer);
                }
            }
            Effect::SendAttempt(attempt) => {
                let ready = shared.pooled(attempt.worker);
                if ready.is_some() {
                    shared.counters.posted_again.add()
                } else {
                    shared.counters.posted_new.add()
                }
                let place = (attempt.request_id, attempt.attempt_index);
                let off = Rc::new(Cell::new(false));
                let task =
                    shared
                        .ground
                        .spawn(worker::post(shared.clone(), attempt, ready, off.clone()));
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
                limit,
            } => {
                shared
                    .ground
                    .spawn(worker::sound(shared.clone(), worker, address, host, limit))
                    .detach();
            }
            Effect::EvictIdle { worker, address } => {
                shared.pool.borrow_mut().drop_worker(worker, address)
            }
            Effect::SendPeerLoad { to, load } => {
                let now = shared.ground.now();
                match (&shared.members, &shared.talk) {
                    (Some(members), _) => members.send_load(now, to, load),
                    (None, Some(talk)) => talk.tell(now, &shared.counters, to, &load),
                    (None, None) => shared.counters.told_lost.add(),
                }
            }
            Effect::RequestWarmUpGrant { worker, work } => {
                if let Some(members) = &shared.members {
                    members.request_grant(shared.ground.now(), worker, work);
                }
            }
            Effect::SetWarmUpBudget {
                worker,
                work,
                window,
            } => {
                if let Some(members) = &shared.members {
                    members.set_warm_up_budget(worker, work, window);
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
