//! One dispatcher, put together from its parts: started, given new limits, stopped in order.
use crate::client;
use crate::cluster::{Heard, Members};
use crate::context::{News, Shared};
use crate::discovery;
use crate::engine::HubDriver;
use crate::peer_load::Talk;
use crate::traits::{Ground, nanos, pause};
use async_channel::Sender;
use async_executor::Task;
use futures_lite::FutureExt;
use rosewall::pick;
use rosewall::policy::Dispatcher;
use rosewall::types::Nanos;
use rosewall_cluster::cluster::Cluster;
use rosewall_cluster::error::ClusterError;
use rosewall_engine::config::{self, Given, SPARE, stop_within};
use rosewall_engine::counters::Counters;
use rosewall_engine::endpoints::Workers;
use rosewall_engine::engine::Hub;
use rosewall_engine::limits::Budget;
use rosewall_engine::pool::Pool;
use rosewall_protocol::discovery::{EndpointList, decode_endpoint_list};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// New connections go on coming for up to 0.4 s after the signal; a tenth more is for their requests.
const LISTEN_ON: Duration = Duration::from_millis(500);
/// How often to look whether the last clients have gone.
const LOOK: Duration = Duration::from_millis(5);

pub struct Node<G: Ground> {
    pub shared: Rc<Shared<G>>,
    given: Given,
    hub: Task<()>,
    list: Task<()>,
    accepting: Task<()>,
    _hearing: Task<()>,
    end: Sender<()>,
    mover: Sender<SocketAddr>,
}

impl<G: Ground> Node<G> {
    /// Starts to serve. An error names the setting that is missing or cannot be read.
    pub fn start(ground: G, given: Given, door: G::Door) -> Result<Self, String> {
        let (map, now) = (&given.map, ground.now());
        let names = config::names(map);
        let kept = decode_endpoint_list(&given.known, &names).unwrap_or_else(|fault| {
            log::warn!("no kept list of workers: {fault}");
            EndpointList {
                version: 0,
                is_snapshot: true,
                endpoints: Vec::new(),
            }
        });
        let dispatcher = Dispatcher::start(now, given.seed, map)?;
        // What settings need not name: a common keep-alive time of servers, and a connect time for one data centre.
        let idle = pick::<Nanos>(map, "connection.idle_timeout").unwrap_or(5_000_000_000);
        let connect_within = pick::<Nanos>(map, "connect.timeout").unwrap_or(250_000_000);
        let report = map
            .get("report.wire_fields")
            .map(String::as_str)
            .unwrap_or_default();
        let talk = match &given.talk {
            Some(talk) => {
                let mail = ground.mail(talk.listen, None);
                let mail =
                    mail.map_err(|error| format!("cannot listen on {}: {error}", talk.listen))?;
                Some(Talk::new(mail, pick(map, "me")?, talk.peers.clone()))
            }
            None => None,
        };
        let (tell, news) = async_channel::unbounded();
        let counters = Rc::new(Counters::default());
        let members = match &given.joining {
            Some(joining) => {
                let listen = joining.listen;
                let mail = ground.mail(listen, joining.through);
                let mail = mail.map_err(|source| ClusterError::Listen { listen, source }.line())?;
                let cluster = Cluster::new(joining, now, given.seed ^ now);
                let tell: Sender<News<G>> = tell.clone();
                let heard = move |heard| {
                    // The hub outlives the members' driver but for the very end.
                    let _ = tell.try_send(match heard {
                        Heard::FleetView(place) => News::FleetView(place),
                        Heard::WarmUpGranted {
                            worker,
                            work,
                            until,
                        } => News::WarmUpGranted {
                            worker,
                            work,
                            until,
                        },
                        Heard::PeerLoad { from, load } => News::PeerLoad { from, load },
                    });
                };
                Some(Members::new(mail, cluster, counters.clone(), heard))
            }
            None => None,
        };
        let workers = match &given.joining {
            Some(joining) => Workers::by_own_clock(
                joining.clocks,
                pick(map, "slow_start.duration").unwrap_or(0),
            ),
            None => Workers::default(),
        };
        let shared = Rc::new(Shared {
            ground,
            report: report
                .split(',')
                .filter(|word| !word.is_empty())
                .map(str::to_string)
                .collect(),
            counters: counters.clone(),
            budget: Rc::new(Budget::new(given.sockets, given.memory_mb)),
            pool: RefCell::new(Pool::new(idle)),
            ready: Cell::new(false),
            stopping: Cell::new(false),
            active_requests: Cell::new(0),
            serial: Cell::new(0),
            bad_told: Cell::new(0),
            news: tell,
            names,
            talk,
            members,
        });
        let asked = map
            .get("endpoints.mode")
            .is_some_and(|mode| mode == "asked");
        let (leave, left) = async_channel::unbounded();
        let hub = Hub::new(dispatcher, counters, connect_within, workers);
        let mut hub = HubDriver::new(shared.clone(), news, hub, asked.then_some(leave));
        let from = (asked && !kept.endpoints.is_empty()).then_some(kept.version);
        hub.load_cached(kept);
        let hub = shared.ground.spawn(hub.run());
        let (mover, moves) = async_channel::unbounded();
        let leave = asked.then_some(left);
        let list = discovery::follow(shared.clone(), given.discovery, moves, leave, from);
        let list = shared.ground.spawn(list);
        let hears = shared.clone();
        let hearing = shared.ground.spawn(async move {
            if let Some(members) = &hears.members {
                members.run(&hears.ground).await;
            } else if let Some(talk) = &hears.talk {
                let tell = |from, load| hears.tell(News::PeerLoad { from, load });
                talk.hear(&hears.ground, &hears.counters, tell).await;
            }
        });
        let (end, ended) = async_channel::bounded(1);
        let accepting = shared
            .ground
            .spawn(client::accept(shared.clone(), door, ended));
        Ok(Node {
            shared,
            given,
            hub,
            list,
            accepting,
            _hearing: hearing,
            end,
            mover,
        })
    }

    /// Ends when the hub or the watch on the list does. Neither does by itself. Guards against a program that still
    /// accepts after a fault in one of them.
    pub async fn fault(&mut self) {
        (&mut self.hub).or(&mut self.list).await;
    }

    /// Takes in the configuration anew: where discovery is, and the limits. Guards against an end of the program at the
    /// signal, and against a list of workers that no longer changes.
    pub fn reload(&self, given: &Given) {
        let as_started = |given: &Given| {
            (
                given.listen,
                given.talk.clone(),
                given.joining.clone(),
                given.map.clone(),
            )
        };
        if as_started(given) != as_started(&self.given) {
            log::warn!(
                "a new listen address, talk, cluster and settings act from the next start only"
            );
        }
        self.shared.budget.limit(given.sockets, given.memory_mb);
        let _ = self.mover.try_send(given.discovery);
        log::info!("a new configuration: discovery at {}", given.discovery);
    }

    /// The planned stop: all that was taken is answered, and no one is cut off who could still be served.
    pub async fn stop(self) {
        let shared = &self.shared;
        let by = shared.ground.now() + stop_within(&self.given.map);
        shared.stopping.set(true);
        if let Some(members) = &shared.members {
            members.leave();
        }
        shared.tell(News::Stop(by));
        pause(&shared.ground, LISTEN_ON).await;
        drop(self.end);
        self.accepting.await;
        let last = by + SPARE / 2;
        while shared.budget.clients() > 0 && shared.ground.now() < last {
            while shared.budget.close_waiting(shared.ground.now()) {}
            let look = shared.ground.now() + nanos(LOOK);
            shared.ground.until(look).await;
        }
        log::info!(
            "{} clients were still connected at the end",
            shared.budget.clients()
        );
    }
}
