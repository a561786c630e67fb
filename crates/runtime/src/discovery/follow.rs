//! Follows the endpoint list from one watch to the next, and from one service address to another.
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

/// Pause after a failure of a pushed list. It prevents a busy loop, and is shorter than the notice
/// before a worker drains.
const PUSHED_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Number of consecutive failures that share one log line, as retries follow each other closely.
const FAILURES_PER_LOG_LINE: u32 = 20;

/// Source of the endpoint list.
pub struct FollowedList {
    /// Address of the discovery service.
    pub address: SocketAddr,
    /// Later addresses of the service, each of which replaces the previous one.
    pub new_addresses: Receiver<SocketAddr>,
    /// Permits from the engine, one for each watch on a polled list; `None` for a pushed list.
    pub permits: Option<Receiver<()>>,
    /// Version of the cached list, from which the first watch continues; `None` to start with a
    /// snapshot.
    pub known_version: Option<u64>,
}

/// Follows the list until the task is dropped.
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
        // The current follower continues until the new one has a list, as the new address may not
        // answer yet.
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

/// First event while the list is requested from a new address.
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
    /// Whether the next watch needs a permit. Without effect for a pushed list.
    needs_permit: bool,
    /// Notified of each list that arrives.
    pub(super) on_list: Sender<()>,
    /// Latest known version; `None` if the next request is for a snapshot.
    pub(super) version: Option<u64>,
    /// Whether the latest watch delivered a list.
    pub(super) has_list: bool,
}

impl<'a, R: Runtime> Follower<'a, R> {
    /// Creates a follower without a known version, whose first watch needs no permit.
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

    /// Opens one watch after the other. Returns only if no more permits can arrive.
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
            // A watch that timed out is reopened at once from the known version, since the
            // dispatcher soon becomes accountable for the changes that it missed. A second failure
            // waits for a permit: the service may be late with all of its watches.
            if is_polled && error.is_timeout() && self.has_list {
                log::warn!("discovery: {error}; reopening the watch");
                self.needs_permit = false;
                continue;
            }
            failures_in_a_row = if self.has_list || is_polled {
                0
            } else {
                failures_in_a_row + 1
            };
            // A polled list continues from the known version: one request instead of two, and a
            // delta instead of a snapshot.
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
