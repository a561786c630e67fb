//! Reads and writes for discovery: the whole list, then one watch kept unbroken.
use crate::context::{Context, EngineEvent};
use crate::traits::{Runtime, nanos, sleep, with_timeout};
use async_channel::{Receiver, Sender};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::Nanos;
use rosewall_protocol::discovery::{
    EndpointListReader, Watch, decode_endpoint_list, encode_list_request,
};
use rosewall_protocol::http::CompleteResponse;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

/// How long each step may take before the path to the list counts as broken. From the moment in which a watch falls silent
/// to the list that a new one brings must lie less than 6 s, or less than 2 s past the call's wait where that is later:
/// then what it missed counts as told, and a drain's grace may be a few hundred ms more.
struct Spans {
    /// How long one call of the watch may wait, in ms.
    wait_ms: u64,
    /// How much later than that its answer may begin.
    past: Duration,
    /// How soon an answer to a call for the whole list must begin, its connection included.
    is_snapshot: Duration,
    /// While none has come, how soon another call for the whole list goes out beside it.
    again: Duration,
}

/// Where lists are pushed, an agent on this machine answers at once and at no cost: calls are short, so that one that
/// died silently is found within 2.2 s. While the agent says nothing, a new call goes out each 0.2 s and each is heard for
/// 1 s: what the agent has counts from its return on, and it may not know the calls of before; yet one that is
/// slow for once is heard too. Guards, too, against graces of a few hundred ms. It hurts where an agent takes over 1 s.
const PUSHED: Spans = Spans {
    wait_ms: 2_000,
    past: Duration::from_millis(200),
    is_snapshot: Duration::from_secs(1),
    again: Duration::from_millis(200),
};

/// Where each call costs the service, it waits for as long as is allowed to be found out in time, and 1.5 s are left to the
/// next one. A call for the whole list is given three times what services let calls wait in turn: guards against giving
/// up, at the last moment, what a service that all ask at once has worked for. The pause after a failure is the decisions'.
const ASKED: Spans = Spans {
    wait_ms: 20_000,
    past: Duration::from_millis(500),
    is_snapshot: Duration::from_secs(6),
    again: Duration::MAX,
};

/// The pause after a failure where calls cost nothing: a spin is no use, and a drain's grace is longer.
const PAUSE: Duration = Duration::from_millis(50);

/// How long the rest of an answer may take once it has begun: hundreds of times what one machine or data centre needs.
const REST: Duration = Duration::from_millis(500);
/// How long a connection is given to come up.
const CONNECT: Duration = Duration::from_secs(2);
const READ: usize = 16 * 1024;

/// Follows the list for ever, from each address that `moves` names. Where it comes only when asked, it waits for leave
/// before each new attempt, and the decisions are told of failures; else it pauses a little after each.
pub async fn follow<R: Runtime>(
    context: Rc<Context<R>>,
    address: SocketAddr,
    moves: Receiver<SocketAddr>,
    leave: Option<Receiver<()>>,
    kept: Option<u64>,
) {
    let (context, leave) = (&*context, leave.as_ref());
    let (told, _) = async_channel::bounded(1);
    let mut old = Box::pin(tend(context, address, leave, true, told, kept));
    loop {
        let stays = async {
            old.as_mut().await;
            None
        };
        let moved = async { moves.recv().await.ok() };
        let Some(mut to) = stays.or(moved).await else {
            return;
        };
        // Until the new one has told its first list the old one goes on. Guards against changes that no one hears
        // while the configuration names an agent that does not answer yet.
        old = loop {
            let (told, first) = async_channel::bounded(1);
            if is_active(Mutation::DropWatchOnReload) {
                let _ = told.try_send(());
            }
            let mut new = Box::pin(tend(context, to, leave, false, told, None));
            let both = async {
                futures_lite::future::zip(old.as_mut(), new.as_mut()).await;
                None
            };
            let told = async { first.recv().await.ok().map(|()| None) };
            let moved = async { moves.recv().await.ok().map(Some) };
            match both.or(told).or(moved).await {
                // Guards against a watch that stays with an agent that the configuration has left again.
                Some(Some(next)) => to = next,
                Some(None) => break new,
                None => return,
            }
        };
    }
}

/// Follows the list at one address for ever; `told` hears of the first one. `waits` is whether leave is needed for the
/// first attempt too; `from` is the version of the list that is known from this address.
async fn tend<R: Runtime>(
    context: &Context<R>,
    address: SocketAddr,
    leave: Option<&Receiver<()>>,
    mut waits: bool,
    told: Sender<()>,
    mut from: Option<u64>,
) {
    let spans = if leave.is_some() { &ASKED } else { &PUSHED };
    let mut failures = 0;
    loop {
        if let Some(leave) = leave
            && std::mem::replace(&mut waits, true)
            && leave.recv().await.is_err()
        {
            return;
        }
        let mut seen = false;
        let Err(Broken { fault, silent }) =
            watch(context, spans, address, &mut seen, &told, &mut from).await;
        // A watch that told something and then fell silent is opened anew at once, from the version known: what it missed is
        // soon held against this dispatcher. Only when that call fails too is the pause the decisions'. It hurts where a
        // service that all follow is late with all of them.
        if leave.is_some() && silent && seen {
            log::warn!("discovery: {fault}; called again");
            waits = false;
            continue;
        }
        failures = if seen || leave.is_some() {
            0
        } else {
            failures + 1
        };
        // Where each call costs the service, the list goes on from the version that is known: one call in place of two,
        // and the changes in place of the whole. Guards against a service that is kept busy by those it failed.
        from = from.filter(|_| leave.is_some());
        context.counters.watches_failed.add();
        // One line of some twenty tells as much, where calls follow each other closely.
        if failures % 20 <= 1 {
            log::warn!("discovery: {fault}");
        }
        if leave.is_some() {
            context.tell(EngineEvent::ListFailed);
        } else {
            sleep(&context.runtime, PAUSE).await;
        }
    }
}

/// How a watch broke: why, and whether it had only fallen silent.
struct Broken {
    fault: String,
    silent: bool,
}

/// One watch, from the whole list until it breaks.
async fn watch<R: Runtime>(
    context: &Context<R>,
    spans: &Spans,
    address: SocketAddr,
    seen: &mut bool,
    told: &Sender<()>,
    from: &mut Option<u64>,
) -> Result<Infallible, Broken> {
    let (runtime, mut kept) = (&context.runtime, None);
    loop {
        let wait = from.map(|version| Watch {
            version,
            wait_ms: spans.wait_ms,
        });
        let text = encode_list_request(&address.to_string(), wait);
        let begin = wait.map_or(spans.is_snapshot, |watch| {
            Duration::from_millis(watch.wait_ms) + spans.past
        });
        let call = |kept: Option<R::Stream>| exchange(runtime, address, kept, &text, begin);
        let answer = match kept.take() {
            None if wait.is_none() => soonest(runtime, spans.again, || call(None)).await,
            kept => call(kept).await,
        };
        let (stream, text, keeps) = answer.map_err(|error| Broken {
            fault: format!("no answer: {error}"),
            silent: error.kind() == io::ErrorKind::TimedOut,
        })?;
        let list = decode_endpoint_list(&text, &context.names).map_err(|fault| {
            // Passed over, and the whole list is fetched by a new watch.
            context.counters.lists_malformed.add();
            *from = None;
            Broken {
                fault: format!("malformed list: {fault}"),
                silent: false,
            }
        })?;
        // A service that has lost its count is asked for the whole.
        let lost = from.is_some_and(|from| list.version < from) && !list.is_snapshot;
        (*seen, *from) = (true, (!lost).then_some(list.version));
        context.counters.lists.add();
        context.tell(EngineEvent::List(list));
        let _ = told.try_send(());
        kept = keeps.then_some(stream);
    }
}

/// The first answer of calls of which another goes out each so often, while those before are still heard.
async fn soonest<R: Runtime, T, F: Future<Output = io::Result<T>>>(
    runtime: &R,
    again: Duration,
    call: impl Fn() -> F,
) -> io::Result<T> {
    let (mut calls, mut next): (Vec<Pin<Box<F>>>, Nanos) = (Vec::new(), 0);
    loop {
        if runtime.now() >= next {
            calls.push(Box::pin(call()));
            next = runtime.now().saturating_add(nanos(again));
        }
        let ended = poll_fn(|cx| {
            let polled = calls.iter_mut().map(|call| call.as_mut().poll(cx));
            match polled.enumerate().find(|(_, polled)| polled.is_ready()) {
                Some((at, Poll::Ready(ended))) => Poll::Ready(Some((at, ended))),
                _ => Poll::Pending,
            }
        });
        let another = async {
            runtime.sleep_until(next).await;
            None
        };
        if let Some((at, ended)) = ended.or(another).await {
            drop(calls.remove(at));
            if ended.is_ok() || calls.is_empty() {
                return ended;
            }
        }
    }
}

/// One call over a connection that is kept, or a new one, and its answer, which must begin within a time and then come
/// whole: the connection, the text and whether the next call may go over it.
async fn exchange<R: Runtime>(
    runtime: &R,
    address: SocketAddr,
    kept: Option<R::Stream>,
    call: &[u8],
    begin: Duration,
) -> io::Result<(R::Stream, Vec<u8>, bool)> {
    let mut buffer = vec![0; READ];
    let first = async {
        let mut stream = match kept {
            Some(stream) => stream,
            None => with_timeout(runtime, CONNECT, runtime.connect(address)).await?,
        };
        stream.write_all(call).await?;
        let count = stream.read(&mut buffer).await?;
        Ok((stream, count))
    };
    let (mut stream, mut count) = with_timeout(runtime, begin, first).await?;
    let mut reader = EndpointListReader::default();
    let rest = async {
        while count > 0 {
            if let Some(CompleteResponse {
                body: text,
                reusable: keeps,
            }) = reader.feed(&buffer[..count]).map_err(io::Error::other)?
            {
                return Ok((stream, text, keeps));
            }
            count = stream.read(&mut buffer).await?;
        }
        let text = reader
            .connection_closed()
            .ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok((stream, text, false))
    };
    with_timeout(runtime, REST, rest).await
}
