//! Simulated discovery: one agent per dispatcher, which receives changes with a delay and publishes
//! them in the discovery protocol. Under a fault an agent does not answer at one or both of its two
//! addresses, or publishes incorrect or outdated lists.
mod faults;
mod list;

use crate::checker::{PublishedState, WorkerIndex};
use crate::context::Context;
use crate::http::{Message, MessageReader};
use crate::kernel::ENVIRONMENT;
use crate::network::{HostId, VirtualListener, VirtualStream};
use crate::time::MS;
use crate::timeline::TimelineEvent;
use async_channel::Sender;
use futures_lite::{AsyncWriteExt, FutureExt};
pub use list::Endpoint;
use list::{EndpointList, render};
use rosewall::types::{EndpointState, Nanos};
use rosewall_runtime::traits::Listener;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

const LISTEN_BACKLOG: usize = 64;
/// The upper bound of the `wait` parameter of a poll.
const MAX_WAIT_MS: u64 = 60_000;
/// The fraction of polls that are answered with a snapshot, of those for which a delta is possible.
const SNAPSHOT_SHARE: f64 = 0.2;
/// A body that no dispatcher can parse.
const MALFORMED_BODY: &str = "{\"seq\":9,\"whole\":true,\"hosts\":[{}]}";

/// A list, and the time since which it was the current one.
struct PastList {
    at: Nanos,
    list: EndpointList,
}

/// An outdated list that is published in place of the current one until a given time.
struct StaleList {
    until: Nanos,
    list: EndpointList,
}

/// Workers omitted from the published list until a given time.
#[derive(Default)]
struct Omission {
    until: Nanos,
    workers: Vec<WorkerIndex>,
}

/// The list that is published to the dispatcher.
struct VisibleList {
    list: EndpointList,
    /// Whether a fault makes it differ from the current list.
    faulty: bool,
}

/// An additional delay of changes on their way to the agent, active until a given time.
#[derive(Clone, Copy, Default)]
struct Delay {
    until: Nanos,
    by: Nanos,
}

/// The discovery agent of one dispatcher.
pub struct DiscoveryAgent {
    context: Rc<Context>,
    /// The listen addresses; the dispatcher is configured with one of them.
    addresses: [SocketAddr; 2],
    dispatcher_host: Cell<HostId>,
    current: RefCell<EndpointList>,
    history: RefCell<Vec<PastList>>,
    /// The number of the last change applied to each endpoint.
    last_change: RefCell<Vec<u64>>,
    stale: RefCell<Option<StaleList>>,
    omission: RefCell<Omission>,
    malformed_until: Cell<Nanos>,
    delay: Cell<Delay>,
    silent_until: RefCell<[Nanos; 2]>,
    closed_until: RefCell<[Nanos; 2]>,
    /// The list that was sent last: a restarted dispatcher has it as its cached list.
    last_sent: RefCell<Option<EndpointList>>,
    /// Senders that wake the polls waiting for a change.
    waiting_polls: RefCell<Vec<Sender<()>>>,
    /// Number of times that the open polls were dropped.
    poll_drops: Cell<u32>,
}

impl DiscoveryAgent {
    /// Starts an agent that listens at both addresses.
    pub fn start(
        context: &Rc<Context>,
        addresses: [SocketAddr; 2],
        endpoints: Vec<Endpoint>,
    ) -> Rc<DiscoveryAgent> {
        let count = endpoints.len();
        let list = EndpointList {
            version: 1,
            endpoints: endpoints.into_iter().map(Some).collect(),
            changed_at: vec![1; count],
        };
        let past = PastList {
            at: 0,
            list: list.clone(),
        };
        let agent = Rc::new(DiscoveryAgent {
            context: context.clone(),
            addresses,
            dispatcher_host: Cell::new(0),
            current: RefCell::new(list),
            history: RefCell::new(vec![past]),
            last_change: RefCell::new(vec![0; count]),
            stale: RefCell::default(),
            omission: RefCell::default(),
            malformed_until: Cell::new(0),
            delay: Cell::default(),
            silent_until: RefCell::default(),
            closed_until: RefCell::default(),
            last_sent: RefCell::default(),
            waiting_polls: RefCell::default(),
            poll_drops: Cell::new(0),
        });
        for (index, address) in addresses.into_iter().enumerate() {
            let host = context.network.add_host();
            let listener = context.network.listen(host, address, LISTEN_BACKLOG);
            context.kernel.spawn(agent.clone().accept(listener, index));
        }
        agent
    }

    /// Returns the listen address with this index, 0 or 1.
    pub fn address(&self, index: usize) -> SocketAddr {
        self.addresses[index]
    }

    /// Sets the host of the agent's dispatcher.
    pub fn set_dispatcher(&self, host: HostId) {
        self.dispatcher_host.set(host);
    }

    /// Returns the additional delay of a change that is sent to the agent now.
    pub fn current_delay(&self) -> Nanos {
        let delay = self.delay.get();
        if self.context.kernel.now() < delay.until {
            delay.by
        } else {
            0
        }
    }

    /// Applies a change of an endpoint; ignores one that is older than the last change of that
    /// endpoint.
    pub fn apply(&self, worker: WorkerIndex, endpoint: Endpoint, change: u64) {
        {
            let mut last_change = self.last_change.borrow_mut();
            if last_change[worker] >= change {
                return;
            }
            last_change[worker] = change;
            let mut current = self.current.borrow_mut();
            current.version += 1;
            current.changed_at[worker] = current.version;
            current.endpoints[worker] = Some(endpoint);
            self.history.borrow_mut().push(PastList {
                at: self.context.kernel.now(),
                list: current.clone(),
            });
        }
        self.notify_polls();
    }

    /// Renders the list with which a dispatcher on `host` starts: the one that was sent last, which
    /// may be old. Records it as published, and where lists are pushed the current one as well, for
    /// which a dispatcher is accountable from its start.
    pub fn publish_initial_list(&self, host: HostId, is_polled: bool) -> String {
        let current = self.visible_list().list;
        let cached = self.last_sent.borrow().clone();
        let cached = cached.unwrap_or_else(|| current.clone());
        self.record_published(&cached, None, host);
        if !is_polled && current.version > cached.version {
            self.record_published(&current, None, host);
        }
        render(&cached, None)
    }

    fn notify_polls(&self) {
        for poll in self.waiting_polls.borrow_mut().drain(..) {
            let _ = poll.try_send(());
        }
        self.context.kernel.mark_runnable(ENVIRONMENT);
    }

    fn visible_list(&self) -> VisibleList {
        let now = self.context.kernel.now();
        if let Some(stale) = self
            .stale
            .borrow()
            .as_ref()
            .filter(|stale| now < stale.until)
        {
            return VisibleList {
                list: stale.list.clone(),
                faulty: true,
            };
        }
        let mut list = self.current.borrow().clone();
        let omission = self.omission.borrow();
        let faulty = now < omission.until;
        if faulty {
            for worker in &omission.workers {
                list.endpoints[*worker] = None;
            }
        }
        VisibleList { list, faulty }
    }

    /// Records in the checker the endpoints that were published to a dispatcher.
    fn record_published(&self, list: &EndpointList, since: Option<u64>, host: HostId) {
        let Context {
            kernel, checker, ..
        } = &*self.context;
        let mut checker = checker.borrow_mut();
        for (worker, endpoint) in list.endpoints.iter().enumerate() {
            if since.is_some_and(|since| list.changed_at[worker] <= since) {
                continue;
            }
            let removed = endpoint
                .as_ref()
                .is_none_or(|endpoint| endpoint.state == EndpointState::Removed);
            // A snapshot omits removed workers, so it removes a worker only at a dispatcher to which
            // the worker was published.
            if since.is_none() && removed && !checker.known_workers(host).contains(&worker) {
                continue;
            }
            let published = PublishedState {
                state: endpoint
                    .as_ref()
                    .map_or(EndpointState::Removed, |endpoint| endpoint.state),
                started_at: endpoint.as_ref().map_or(0, |endpoint| endpoint.started_at),
                version: list.version,
            };
            checker.endpoint_published(kernel.now(), host, worker, published);
        }
        kernel.record(
            TimelineEvent::EndpointsPublished,
            host as u64,
            list.version,
            || {
                let version = list.version;
                format!("list {version} since {since:?} to dispatcher host {host}")
            },
        );
    }

    async fn accept(self: Rc<Self>, listener: VirtualListener, address: usize) {
        loop {
            let _ = listener.wait_ready().await;
            while let Ok(stream) = listener.accept() {
                if !self.is_closed(address) {
                    self.context
                        .kernel
                        .spawn(self.clone().serve(stream, address));
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, mut stream: VirtualStream, address: usize) {
        let mut reader = MessageReader::default();
        while let Ok(Some(message)) = reader.read_request(&mut stream).await {
            let poll = Poll::parse(&message, self.context.kernel.now());
            match self.wait_for_change(&poll, address).await {
                PollEnd::Answer => {}
                PollEnd::Dropped => {
                    // The dropped poll stays open and is never answered.
                    let _ = reader.read_request(&mut stream).await;
                    return;
                }
                PollEnd::Closed => return,
            }
            if self.answer(&poll, &mut stream).await.is_none() {
                return;
            }
        }
    }

    fn is_closed(&self, address: usize) -> bool {
        self.context.kernel.now() < self.closed_until.borrow()[address]
    }

    /// Waits until a poll must be answered or ends without an answer.
    async fn wait_for_change(&self, poll: &Poll, address: usize) -> PollEnd {
        let kernel = &self.context.kernel;
        let poll_drops = self.poll_drops.get();
        loop {
            if self.poll_drops.get() != poll_drops {
                return PollEnd::Dropped;
            }
            if self.is_closed(address) {
                return PollEnd::Closed;
            }
            let silent_until = self.silent_until.borrow()[address];
            let changed = poll.since != Some(self.visible_list().list.version);
            if kernel.now() < silent_until {
                kernel.sleep_until(ENVIRONMENT, silent_until).await;
            } else if changed || kernel.now() >= poll.until {
                return PollEnd::Answer;
            } else {
                let (notify, notified) = async_channel::bounded(1);
                self.waiting_polls.borrow_mut().push(notify);
                let notified = async {
                    let _ = notified.recv().await;
                };
                notified
                    .or(kernel.sleep_until(ENVIRONMENT, poll.until))
                    .await;
            }
        }
    }

    /// Answers a poll; returns `None` if the connection broke.
    async fn answer(&self, poll: &Poll, stream: &mut VirtualStream) -> Option<()> {
        let kernel = &self.context.kernel;
        let VisibleList { list, faulty } = self.visible_list();
        let host = stream.peer();
        let malformed = kernel.now() < self.malformed_until.get();
        // A delta applies only to the list that the dispatcher has: the published list must be free
        // of faults, and the dispatcher's version not newer.
        let needs_snapshot = faulty || poll.since.is_none_or(|since| since > list.version);
        let snapshot = needs_snapshot || kernel.random(|rng| rng.chance(SNAPSHOT_SHARE));
        let since = if snapshot { None } else { poll.since };
        let body = if malformed {
            MALFORMED_BODY.to_string()
        } else {
            render(&list, since)
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).await.ok()?;
        if !malformed {
            self.record_published(&list, since, host);
            self.last_sent.replace(Some(list));
        }
        Some(())
    }
}

/// How the wait of a poll ends.
enum PollEnd {
    Answer,
    /// It stays open without an answer.
    Dropped,
    /// Its connection is closed.
    Closed,
}

/// The parameters of a dispatcher's poll.
struct Poll {
    /// The list version that the dispatcher has; `None` if it has none.
    since: Option<u64>,
    /// The time at which the poll is answered even without a change.
    until: Nanos,
}

impl Poll {
    fn parse(message: &Message, now: Nanos) -> Self {
        let query = message
            .target
            .split_once('?')
            .map_or("", |(_, query)| query);
        let number = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .and_then(|(_, value)| value.parse::<u64>().ok())
        };
        Poll {
            since: number("index"),
            until: now + number("wait").unwrap_or(0).min(MAX_WAIT_MS) * MS,
        }
    }
}
