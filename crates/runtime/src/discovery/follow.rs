//! Following the list: from one watch to the next, and from one service to another.
use super::{POLLED_LIST, PUSHED_LIST, Timing};
use crate::context::Context;
use crate::event::EngineEvent;
use crate::traits::{Runtime, sleep};
use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use futures_lite::future::zip;
use rosewall::mutation::{Mutation, is_active};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The pause after a failure where the list is pushed: it prevents a busy loop, and is shorter than a drain's notice.
const PUSHED_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// How many failures in a row share one line of the log, as attempts follow each other closely.
const FAILURES_PER_LOG_LINE: u32 = 20;

/// Where the list is and how it may be followed.
pub struct FollowedList {
    /// The address of the service.
    pub address: SocketAddr,
    /// Further addresses, each of which replaces the one before.
    pub new_addresses: Receiver<SocketAddr>,
    /// For a polled list: permission for each watch, from the engine.
    pub permits: Option<Receiver<()>>,
    /// The version that is known from the cached list.
    pub known_version: Option<u64>,
}

/// Follows the list for ever.
pub async fn follow<R: Runtime>(context: Rc<Context<R>>, list: FollowedList) {
    let context = &*context;
    let permits = list.permits.as_ref();
    let (first_list, _) = async_channel::bounded(1);
    let mut current = Follower::new(context, list.address, permits, first_list);
    current.needs_permit = true;
    current.version = list.known_version;
    let mut current = Box::pin(current.run());
    loop {
        let ended = async {
            current.as_mut().await;
            None
        };
        let moved = async { list.new_addresses.recv().await.ok() };
        let Some(mut address) = ended.or(moved).await else {
            return;
        };
        // The current follower goes on until the new one has a list, as the new address may not answer yet.
        current = loop {
            let (first_list, has_list) = async_channel::bounded(1);
            if is_active(Mutation::DropWatchOnReload) {
                let _ = first_list.try_send(());
            }
            let mut next = Box::pin(Follower::new(context, address, permits, first_list).run());
            let both_ended = async {
                zip(current.as_mut(), next.as_mut()).await;
                Switch::Ended
            };
            let has_list = async {
                has_list
                    .recv()
                    .await
                    .map_or(Switch::Ended, |()| Switch::NextHasList)
            };
            let moved_again = async {
                list.new_addresses
                    .recv()
                    .await
                    .map_or(Switch::Ended, Switch::MovedAgain)
            };
            match both_ended.or(has_list).or(moved_again).await {
                Switch::MovedAgain(newer) => address = newer,
                Switch::NextHasList => break next,
                Switch::Ended => return,
            }
        };
    }
}

/// What comes first while the list is taken from a new address.
enum Switch {
    NextHasList,
    MovedAgain(SocketAddr),
    Ended,
}

/// Follows the list at one address.
pub(super) struct Follower<'a, R: Runtime> {
    pub(super) context: &'a Context<R>,
    pub(super) timing: &'static Timing,
    pub(super) address: SocketAddr,
    permits: Option<&'a Receiver<()>>,
    /// Whether the next watch needs a permit, where there are any.
    needs_permit: bool,
    /// Receives a message with each list.
    pub(super) on_list: Sender<()>,
    /// The version that is known from this address.
    pub(super) version: Option<u64>,
    /// Whether the latest watch brought a list.
    pub(super) has_list: bool,
}

impl<'a, R: Runtime> Follower<'a, R> {
    /// A follower that knows no version and whose first watch needs no permit.
    fn new(
        context: &'a Context<R>,
        address: SocketAddr,
        permits: Option<&'a Receiver<()>>,
        on_list: Sender<()>,
    ) -> Self {
        Follower {
            context,
            timing: if permits.is_some() {
                &POLLED_LIST
            } else {
                &PUSHED_LIST
            },
            address,
            permits,
            needs_permit: false,
            on_list,
            version: None,
            has_list: false,
        }
    }

    /// Opens one watch after the other, for ever; ends only where no more permits can come.
    async fn run(mut self) {
        let mut failures_in_a_row = 0;
        loop {
            if let Some(permits) = self.permits
                && std::mem::replace(&mut self.needs_permit, true)
                && permits.recv().await.is_err()
            {
                return;
            }
            let error = self.watch().await;
            let is_polled = self.permits.is_some();
            // What a silent watch missed counts soon, so it is opened again at once, from the version known. A second
            // failure waits for a permit: the service may be late with all of its watches.
            if is_polled && error.is_timeout() && self.has_list {
                log::warn!("discovery: {error}; the watch is opened again");
                self.needs_permit = false;
                continue;
            }
            failures_in_a_row = if self.has_list || is_polled {
                0
            } else {
                failures_in_a_row + 1
            };
            // A polled service goes on from the known version: one request in place of two, and changes in place of a
            // whole list.
            self.version = self.version.filter(|_| is_polled);
            self.context.counters.watches_failed.add();
            if failures_in_a_row % FAILURES_PER_LOG_LINE <= 1 {
                log::warn!("discovery: {error}");
            }
            if is_polled {
                self.context.report(EngineEvent::WatchFailed);
            } else {
                sleep(&self.context.runtime, PUSHED_RETRY_PAUSE).await;
            }
        }
    }
}
