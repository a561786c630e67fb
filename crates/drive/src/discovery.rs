//! Reads and writes for discovery: the whole list, then one watch kept unbroken.
use crate::ground::{Ground, Stream, pause, within};
use crate::shared::{News, Shared};
use async_channel::{Receiver, Sender};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use rosewall::sabotage::{Fault, is};
use rosewall_wire::discovery::{self, Bulletin};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long one call of the watch may wait, in ms: a third of what the protocol allows, so that a path that
/// died silently is found in time.
const WAIT_MS: u64 = 20_000;
/// How long a connection is given to come up.
const GRACE: Duration = Duration::from_secs(2);
/// How much longer than it may wait a call is given, and how long a call for the whole list: three times what services
/// let calls wait in turn. Guards against giving up, at the last moment, what a service that all ask at once has worked for.
const ANSWER: Duration = Duration::from_secs(6);
/// The first pause after a failure, doubled up to the last one.
const PAUSE: Duration = Duration::from_millis(100);
const PAUSE_MOST: Duration = Duration::from_millis(1600);
const READ: usize = 16 * 1024;

/// Follows the list for ever, from each address that `moves` names. Where it comes only when asked, it waits for leave
/// before each new attempt, and the decisions are told of failures; else it pauses a little longer after each.
pub async fn follow<G: Ground>(
    shared: Rc<Shared<G>>,
    address: SocketAddr,
    moves: Receiver<SocketAddr>,
    leave: Option<Receiver<()>>,
    kept: Option<u64>,
) {
    let (shared, leave) = (&*shared, leave.as_ref());
    let (told, _) = async_channel::bounded(1);
    let mut old = Box::pin(tend(shared, address, leave, true, told, kept));
    loop {
        let stays = async {
            old.as_mut().await;
            None
        };
        let moved = async { moves.recv().await.ok() };
        let Some(mut to) = stays.or(moved).await else { return };
        // Until the new one has told its first list the old one goes on. Guards against changes that no one hears
        // while the configuration names an agent that does not answer yet.
        old = loop {
            let (told, first) = async_channel::bounded(1);
            if is(Fault::WatchDropped) {
                let _ = told.try_send(());
            }
            let mut new = Box::pin(tend(shared, to, leave, false, told, None));
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
async fn tend<G: Ground>(
    shared: &Shared<G>,
    address: SocketAddr,
    leave: Option<&Receiver<()>>,
    mut waits: bool,
    told: Sender<()>,
    mut from: Option<u64>,
) {
    let mut rest = PAUSE;
    loop {
        if let Some(leave) = leave
            && std::mem::replace(&mut waits, true)
            && leave.recv().await.is_err()
        {
            return;
        }
        let mut seen = false;
        let Err(fault) = watch(shared, address, &mut seen, &told, &mut from).await;
        // Where each call costs the service, the list goes on from the version that is known: one call in place of two,
        // and the changes in place of the whole. Guards against a service that is kept busy by those it failed.
        from = from.filter(|_| leave.is_some());
        shared.counters.lists_failed.add();
        log::warn!("discovery: {fault}");
        if leave.is_some() {
            shared.tell(News::ListFailed);
        } else {
            rest = if seen { PAUSE } else { (rest * 2).min(PAUSE_MOST) };
            pause(&shared.ground, rest).await;
        }
    }
}

/// One watch, from the whole list until it breaks.
async fn watch<G: Ground>(
    shared: &Shared<G>,
    address: SocketAddr,
    seen: &mut bool,
    told: &Sender<()>,
    from: &mut Option<u64>,
) -> Result<Infallible, String> {
    let mut kept = None;
    loop {
        let mut stream = match kept.take() {
            Some(stream) => stream,
            None => {
                connect(&shared.ground, address).await.map_err(|error| format!("no connection: {error}"))?
            }
        };
        let wait = from.map(|seq| (seq, WAIT_MS));
        let limit = ANSWER + Duration::from_millis(if wait.is_some() { WAIT_MS } else { 0 });
        let call = discovery::call(&address.to_string(), wait);
        let answer = within(&shared.ground, limit, exchange(&mut stream, &call)).await;
        let (text, keeps) = answer.map_err(|error| format!("no answer: {error}"))?;
        let listing = discovery::listing(&text, &shared.names).map_err(|fault| {
            // Passed over, and the whole list is fetched by a new watch.
            shared.counters.lists_malformed.add();
            *from = None;
            format!("malformed list: {fault}")
        })?;
        // A service that has lost its count is asked for the whole.
        let lost = from.is_some_and(|from| listing.seq < from) && !listing.whole;
        (*seen, *from) = (true, (!lost).then_some(listing.seq));
        shared.counters.lists.add();
        shared.tell(News::List(listing));
        let _ = told.try_send(());
        kept = keeps.then_some(stream);
    }
}

async fn connect<G: Ground>(ground: &G, address: SocketAddr) -> io::Result<G::Stream> {
    within(ground, GRACE, ground.connect(address)).await
}

async fn exchange(stream: &mut impl Stream, call: &[u8]) -> io::Result<(Vec<u8>, bool)> {
    stream.write_all(call).await?;
    let (mut bulletin, mut buffer) = (Bulletin::default(), vec![0; READ]);
    loop {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            let text = bulletin.closed().ok_or(io::ErrorKind::UnexpectedEof)?;
            return Ok((text, false));
        }
        if let Some(answer) = bulletin.feed(&buffer[..count]).map_err(io::Error::other)? {
            return Ok(answer);
        }
    }
}
