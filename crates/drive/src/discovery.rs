//! Reads and writes for discovery: the whole list, then one watch kept unbroken.
use crate::ground::{Ground, Stream, pause, within};
use crate::shared::{News, Shared};
use async_channel::Receiver;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use rosewall_wire::discovery::{self, Bulletin};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long one call of the watch may wait, in ms: a third of what the protocol allows, so that a path that
/// died silently is found in time.
const WAIT_MS: u64 = 20_000;
/// How much longer than it may wait a call is given, and how long a call for the whole list.
const GRACE: Duration = Duration::from_secs(2);
/// The first pause after a failure, doubled up to the last one.
const PAUSE: Duration = Duration::from_millis(100);
const PAUSE_MOST: Duration = Duration::from_millis(1600);
const READ: usize = 16 * 1024;

/// Follows the list for ever, from each address that `moves` names, at once. Where it comes only when asked, it waits
/// for leave before each new attempt, and the decisions are told of failures; else it pauses a little longer after each.
pub async fn follow<G: Ground>(
    shared: Rc<Shared<G>>,
    mut address: SocketAddr,
    moves: Receiver<SocketAddr>,
    leave: Option<Receiver<()>>,
) {
    let mut rest = PAUSE;
    loop {
        if let Some(leave) = &leave
            && leave.recv().await.is_err()
        {
            return;
        }
        let mut seen = false;
        loop {
            let broken = async {
                let Err(fault) = watch(&shared, address, &mut seen).await;
                shared.counters.lists_failed.add();
                log::warn!("discovery: {fault}");
                if leave.is_some() {
                    shared.tell(News::ListFailed);
                } else {
                    rest = if seen { PAUSE } else { (rest * 2).min(PAUSE_MOST) };
                    pause(&shared.ground, rest).await;
                }
                None
            };
            // Guards against a watch that stays with an agent that the configuration has left, and against a
            // pause meant for the old one.
            let moved = async { moves.recv().await.ok() };
            match broken.or(moved).await {
                Some(to) => address = to,
                None => break,
            }
        }
    }
}

/// One watch, from the whole list until it breaks.
async fn watch<G: Ground>(
    shared: &Shared<G>,
    address: SocketAddr,
    seen: &mut bool,
) -> Result<Infallible, String> {
    let (mut kept, mut from) = (None, None);
    loop {
        let mut stream = match kept.take() {
            Some(stream) => stream,
            None => {
                connect(&shared.ground, address).await.map_err(|error| format!("no connection: {error}"))?
            }
        };
        let wait = from.map(|seq| (seq, WAIT_MS));
        let limit = GRACE + Duration::from_millis(if wait.is_some() { WAIT_MS } else { 0 });
        let call = discovery::call(&address.to_string(), wait);
        let answer = within(&shared.ground, limit, exchange(&mut stream, &call)).await;
        let (text, keeps) = answer.map_err(|error| format!("no answer: {error}"))?;
        let listing = discovery::listing(&text, &shared.names).map_err(|fault| {
            // Passed over, and the whole list is fetched by a new watch.
            shared.counters.lists_malformed.add();
            format!("malformed list: {fault}")
        })?;
        (*seen, from) = (true, Some(listing.seq));
        shared.counters.lists.add();
        shared.tell(News::List(listing));
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
