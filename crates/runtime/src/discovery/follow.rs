//! The task that follows the endpoint list.
use super::call::{ListAnswer, call};
use crate::context::Context;
use crate::event::EngineEvent;
use crate::traits::Runtime;
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use rosewall_engine::discovery::{
    CallFailure, CallId, DiscoveryClient, Effect, ListCall, ListVersion,
};
use rosewall_protocol::discovery::{
    EndpointList, EndpointListError, decode_endpoint_list, encode_list_request,
};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

/// Number of consecutive failures that share one log line, as retries follow each other closely.
const FAILURES_PER_LOG_LINE: u32 = 20;

/// Source of the endpoint list.
pub struct FollowedList {
    /// Decides which service is called, and when.
    pub client: DiscoveryClient,
    /// Address of the service in each new configuration.
    pub new_addresses: Receiver<SocketAddr>,
    /// Permits from the engine, one for each call after a failure of a polled list.
    pub permits: Receiver<()>,
}

/// Follows the list until the task is dropped.
pub async fn follow<R: Runtime>(context: Rc<Context<R>>, list: FollowedList) {
    let (begun_sender, begun) = async_channel::unbounded();
    let mut follower = Follower {
        context,
        client: list.client,
        calls: Vec::new(),
        begun_sender,
        idle: None,
        effects: Vec::new(),
        failures_in_a_row: 0,
    };
    let now = follower.context.runtime.now();
    follower.client.start(now, &mut follower.effects);
    loop {
        follower.execute_effects();
        let event = {
            let address = async { event_from(list.new_addresses.recv().await, Event::Moved) };
            let permit = async { event_from(list.permits.recv().await, Event::Permitted) };
            let call_begun = async { event_from(begun.recv().await, Event::AnswerBegun) };
            address
                .or(permit)
                .or(call_begun)
                .or(follower.call_or_timer())
                .await
        };
        match event {
            Some(event) => follower.handle(event),
            None => return,
        }
    }
}

fn event_from<T, S>(
    received: Result<T, async_channel::RecvError>,
    event: impl Fn(T) -> Event<S>,
) -> Option<Event<S>> {
    received.ok().map(event)
}

/// Event for the follower.
enum Event<S> {
    /// A new configuration names this address.
    Moved(SocketAddr),
    /// The policy permits the next call.
    Permitted(()),
    AnswerBegun(CallId),
    CallEnded {
        call: CallId,
        result: io::Result<ListAnswer<S>>,
    },
    Timer,
}

/// Reason why a call brought no list.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error("request for the endpoint list failed: {0}")]
    RequestFailed(#[source] io::Error),
    #[error("malformed endpoint list: {0}")]
    Malformed(#[source] EndpointListError),
}

impl CallError {
    fn kind(&self) -> CallFailure {
        match self {
            CallError::RequestFailed(error) if error.kind() == io::ErrorKind::TimedOut => {
                CallFailure::TimedOut
            }
            CallError::RequestFailed(_) => CallFailure::Broken,
            CallError::Malformed(_) => CallFailure::Malformed,
        }
    }
}

type CallResult<S> = io::Result<ListAnswer<S>>;

/// A call in progress. Dropping it closes its connection.
struct RunningCall<S> {
    id: CallId,
    address: SocketAddr,
    work: Pin<Box<dyn Future<Output = CallResult<S>>>>,
}

/// Connection of the last answer, for the next call to its service.
struct IdleConnection<S> {
    address: SocketAddr,
    stream: S,
}

/// Owner of the calls in progress.
struct Follower<R: Runtime> {
    context: Rc<Context<R>>,
    client: DiscoveryClient,
    calls: Vec<RunningCall<R::Stream>>,
    begun_sender: Sender<CallId>,
    idle: Option<IdleConnection<R::Stream>>,
    /// Buffer that is reused between calls of the client.
    effects: Vec<Effect>,
    failures_in_a_row: u32,
}

impl<R: Runtime> Follower<R> {
    /// Waits until a call ends or a timer expires.
    async fn call_or_timer(&mut self) -> Option<Event<R::Stream>> {
        let next_timer = self.client.next_timer();
        let runtime = &self.context.runtime;
        let timer = async {
            match next_timer {
                Some(at) => runtime.sleep_until(at).await,
                None => std::future::pending().await,
            }
            Some(Event::Timer)
        };
        let calls = &mut self.calls;
        let call_ended = poll_fn(|cx| {
            let polled = calls
                .iter_mut()
                .map(|call| (call.id, call.work.as_mut().poll(cx)));
            for (call, result) in polled {
                if let Poll::Ready(result) = result {
                    return Poll::Ready(Some(Event::CallEnded { call, result }));
                }
            }
            Poll::Pending
        });
        call_ended.or(timer).await
    }

    fn handle(&mut self, event: Event<R::Stream>) {
        let now = self.context.runtime.now();
        match event {
            Event::Moved(address) => self.client.moved(now, address, &mut self.effects),
            Event::Permitted(()) => self.client.poll_permitted(now, &mut self.effects),
            Event::AnswerBegun(call) => self.client.answer_begun(now, call),
            Event::CallEnded { call, result } => self.call_ended(call, result),
            Event::Timer => self.client.fire_timers(now, &mut self.effects),
        }
    }

    fn call_ended(&mut self, id: CallId, result: CallResult<R::Stream>) {
        let Some(index) = self.calls.iter().position(|call| call.id == id) else {
            return;
        };
        let address = self.calls.remove(index).address;
        match self.decode(result) {
            Ok((list, stream)) => self.list_received(id, address, list, stream),
            Err(error) => self.call_failed(id, address, &error),
        }
    }

    fn decode(
        &self,
        result: CallResult<R::Stream>,
    ) -> Result<(EndpointList, Option<R::Stream>), CallError> {
        let answer = result.map_err(CallError::RequestFailed)?;
        let list = decode_endpoint_list(&answer.body, &self.context.names)
            .map_err(CallError::Malformed)?;
        Ok((list, answer.connection))
    }

    fn list_received(
        &mut self,
        id: CallId,
        address: SocketAddr,
        list: EndpointList,
        stream: Option<R::Stream>,
    ) {
        let now = self.context.runtime.now();
        let version = ListVersion {
            version: list.version,
            is_snapshot: list.is_snapshot,
        };
        if !self
            .client
            .list_received(now, id, version, &mut self.effects)
        {
            return;
        }
        self.failures_in_a_row = 0;
        self.idle = stream.map(|stream| IdleConnection { address, stream });
        self.context.counters.lists.add();
        self.context.report(EngineEvent::EndpointList(list));
    }

    fn call_failed(&mut self, id: CallId, address: SocketAddr, error: &CallError) {
        let counters = &self.context.counters;
        counters.watches_failed.add();
        if error.kind() == CallFailure::Malformed {
            counters.lists_malformed.add();
        }
        self.failures_in_a_row += 1;
        if self.failures_in_a_row % FAILURES_PER_LOG_LINE == 1 {
            log::warn!("discovery: {address}: {error}");
        }
        let now = self.context.runtime.now();
        self.client
            .call_failed(now, id, error.kind(), &mut self.effects);
    }

    fn execute_effects(&mut self) {
        for effect in std::mem::take(&mut self.effects) {
            match effect {
                Effect::Start(call) => self.start_call(call),
                Effect::Cancel(id) => self.calls.retain(|call| call.id != id),
                Effect::ReportFailure => self.context.report(EngineEvent::WatchFailed),
            }
        }
        self.idle = None;
    }

    fn start_call(&mut self, list_call: ListCall) {
        let ListCall { id, address, watch } = list_call;
        let connection = self
            .idle
            .take_if(|idle| idle.address == address)
            .map(|idle| idle.stream);
        let context = self.context.clone();
        let begun = self.begun_sender.clone();
        let request = encode_list_request(&address.to_string(), watch);
        let work = async move {
            let on_begun = || {
                // The channel is unbounded, and its receiver outlives the calls.
                let _ = begun.try_send(id);
            };
            call(&context.runtime, address, connection, &request, on_begun).await
        };
        self.calls.push(RunningCall {
            id,
            address,
            work: Box::pin(work),
        });
    }
}
