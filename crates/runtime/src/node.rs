//! Startup, reload and shutdown of one dispatcher.
use crate::client::accept_connections;
use crate::cluster::{ClusterDriver, ClusterEvent};
use crate::context::{Context, ContextParts};
use crate::discovery::{FollowedList, follow};
use crate::engine::EngineDriver;
use crate::event::EngineEvent;
use crate::peer_load::PeerLoadExchange;
use crate::traits::{Runtime, nanos, sleep};
use async_channel::Sender;
use async_executor::Task;
use futures_lite::FutureExt;
use rosewall::SettingsError;
use rosewall::policy::Dispatcher;
use rosewall::types::Nanos;

use rosewall_cluster::cluster::Cluster;
use rosewall_cluster::error::ClusterError;
use rosewall_engine::config::{Config, EndpointsMode, FINAL_ANSWERS_RESERVE};
use rosewall_engine::counters::Counters;
use rosewall_engine::discovery::DiscoveryClient;
use rosewall_engine::endpoints::EndpointTable;
use rosewall_engine::engine::{CachedListUse, Engine};
use rosewall_protocol::discovery::{EndpointList, decode_endpoint_list};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time for which connections are accepted after the shutdown signal: 0.4 s, during which clients
/// may still connect according to the protocol, and 0.1 s for their requests.
const ACCEPT_AFTER_SIGNAL: Duration = Duration::from_millis(500);
/// Interval between checks whether all clients have disconnected.
const LAST_CLIENTS_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Reason why a dispatcher cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A setting is missing or invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The exchange of load reports needs a rank, and the settings contain none.
    #[error(
        "setting me is missing: expected the index of this dispatcher in talk.peers, counted from 0"
    )]
    MissingRank,
    /// The socket for load reports cannot be opened.
    #[error("cannot listen on {listen} (talk.listen): {source}")]
    PeerLoadSocket {
        /// Configured address.
        listen: SocketAddr,
        /// Error of the runtime.
        source: io::Error,
    },
    /// The cluster cannot be joined.
    #[error("{}", .0.line())]
    Cluster(#[source] ClusterError),
}

/// A running dispatcher. Dropping it cancels all of its tasks.
pub struct Node<R: Runtime> {
    /// State shared by the tasks.
    pub context: Rc<Context<R>>,
    config: Config,
    engine: Task<()>,
    follower: Task<()>,
    accepting: Task<()>,
    _receiving: Task<()>,
    /// Dropping this sender stops the accepting of connections.
    stop_accepting: Sender<()>,
    discovery_addresses: Sender<SocketAddr>,
}

impl<R: Runtime> Node<R> {
    /// Starts a dispatcher for the clients of `listener`.
    ///
    /// # Errors
    /// Returns an error if a setting is missing or invalid, or if a socket cannot be opened.
    pub fn start(runtime: R, config: Config, listener: R::Listener) -> Result<Self, StartError> {
        let now = runtime.now();
        let cached_list = cached_list(&config);
        let dispatcher = Dispatcher::start(now, config.seed, &config.settings)?;
        let peer_loads = open_peer_loads(&runtime, &config)?;
        let (event_sender, events) = async_channel::unbounded();
        let counters = Rc::new(Counters::default());
        let cluster = join_cluster(&runtime, now, &config, &counters, &event_sender)?;
        let parts = ContextParts {
            runtime,
            counters: counters.clone(),
            events: event_sender,
            peer_loads,
            cluster,
        };
        let context = Rc::new(Context::new(parts, &config));
        let connect_timeout = config.runtime.connect_timeout;
        let endpoints = endpoint_table(&config);
        let engine = Engine::new(
            dispatcher,
            counters,
            connect_timeout,
            endpoints,
            config.seed,
        );
        let (watch_permits, permits) = async_channel::unbounded();
        let mut engine = EngineDriver::new(context.clone(), events, engine, watch_permits);
        let known_version = (!cached_list.endpoints.is_empty()).then_some(cached_list.version);
        engine.load_cached(cached_list, cached_list_use(&config));
        let engine = context.runtime.spawn(engine.run());
        let (discovery_addresses, new_addresses) = async_channel::unbounded();
        let client = DiscoveryClient::new(
            config.runtime.endpoints_mode,
            config.discovery,
            known_version,
            config.seed,
        );
        let list = FollowedList {
            client,
            new_addresses,
            permits,
        };
        let follower = context.runtime.spawn(follow(context.clone(), list));
        let receiving = context.runtime.spawn(receive_datagrams(context.clone()));
        let (stop_accepting, stopped) = async_channel::bounded(1);
        let accepting = accept_connections(context.clone(), listener, stopped);
        let accepting = context.runtime.spawn(accepting);
        Ok(Node {
            context,
            config,
            engine,
            follower,
            accepting,
            _receiving: receiving,
            stop_accepting,
            discovery_addresses,
        })
    }

    /// Waits until the engine's task or the follower of the endpoint list ends. Neither ends in
    /// normal operation, and connections must not be accepted without them.
    pub async fn wait_for_failure(&mut self) {
        (&mut self.engine).or(&mut self.follower).await;
    }

    /// Applies the parts of a new configuration that need no restart: the address of the discovery
    /// service and the resource limits.
    pub fn reload(&self, config: &Config) {
        if needs_restart(&self.config, config) {
            log::warn!(
                "changes of listen, talk, cluster and settings take effect only after a restart"
            );
        }
        self.context
            .limits
            .set_limits(config.max_descriptors, config.memory_mb);
        let _ = self.discovery_addresses.try_send(config.discovery);
        log::info!("a new configuration: discovery at {}", config.discovery);
    }

    /// Shuts down. All accepted requests are answered, and connections are accepted for as long as
    /// clients may still send to this dispatcher.
    pub async fn stop(self) {
        let context = &self.context;
        let deadline = context.runtime.now() + self.config.runtime.shutdown_timeout;
        context.stopping.set(true);
        if let Some(cluster) = &context.cluster {
            cluster.leave();
        }
        context.report(EngineEvent::ShutDown(deadline));
        sleep(&context.runtime, ACCEPT_AFTER_SIGNAL).await;
        drop(self.stop_accepting);
        self.accepting.await;
        let exit_at = deadline + FINAL_ANSWERS_RESERVE / 2;
        while context.limits.client_count() > 0 && context.runtime.now() < exit_at {
            while context.limits.evict_idle_client(context.runtime.now()) {}
            let next_poll = context.runtime.now() + nanos(LAST_CLIENTS_POLL_INTERVAL);
            context.runtime.sleep_until(next_poll).await;
        }
        log::info!(
            "{} clients still connected at the end of the shutdown",
            context.limits.client_count()
        );
    }
}

/// Returns the cached endpoint list of the configuration, or an empty list if there is no valid
/// one.
fn cached_list(config: &Config) -> EndpointList {
    decode_endpoint_list(&config.cached_endpoints, &config.names()).unwrap_or_else(|error| {
        log::warn!("no usable cached endpoint list: {error}");
        EndpointList {
            version: 0,
            is_snapshot: true,
            endpoints: Vec::new(),
        }
    })
}

/// Returns how far the cached list can be relied on. Where lists are pushed, what the agent has
/// received counts from the start, also while it does not answer.
fn cached_list_use(config: &Config) -> CachedListUse {
    match config.runtime.endpoints_mode {
        EndpointsMode::Polled => CachedListUse::UntilChanged,
        EndpointsMode::Pushed => CachedListUse::UntilConfirmed {
            drain_grace: config.runtime.drain_grace,
        },
    }
}

fn open_peer_loads<R: Runtime>(
    runtime: &R,
    config: &Config,
) -> Result<Option<PeerLoadExchange<R::DatagramSocket>>, StartError> {
    let Some(peer_load) = &config.peer_load else {
        return Ok(None);
    };
    let listen = peer_load.listen;
    let socket = runtime
        .bind_datagram_socket(listen, None)
        .map_err(|source| StartError::PeerLoadSocket { listen, source })?;
    let rank = config.runtime.rank.ok_or(StartError::MissingRank)?;
    let peers = peer_load.peers.clone();
    Ok(Some(PeerLoadExchange::new(socket, rank, peers)))
}

fn join_cluster<R: Runtime>(
    runtime: &R,
    now: Nanos,
    config: &Config,
    counters: &Rc<Counters>,
    events: &Sender<EngineEvent<R>>,
) -> Result<Option<ClusterDriver<R::DatagramSocket>>, StartError> {
    let Some(cluster_config) = &config.cluster else {
        return Ok(None);
    };
    let listen = cluster_config.listen;
    let socket = runtime
        .bind_datagram_socket(listen, cluster_config.relay)
        .map_err(|source| StartError::Cluster(ClusterError::Listen { listen, source }))?;
    let cluster = Cluster::new(cluster_config, now, config.seed ^ now);
    let events = events.clone();
    let on_event = move |event| {
        // The engine's task outlives the cluster's except at process exit.
        let _ = events.try_send(match event {
            ClusterEvent::FleetView(position) => EngineEvent::FleetView(position),
            ClusterEvent::WarmUpGranted {
                worker,
                work,
                until,
            } => EngineEvent::WarmUpGranted {
                worker,
                work,
                until,
            },
            ClusterEvent::PeerLoad { from, load } => EngineEvent::PeerLoad { from, load },
        });
    };
    Ok(Some(ClusterDriver::new(
        socket,
        cluster,
        counters.clone(),
        on_event,
    )))
}

fn endpoint_table(config: &Config) -> EndpointTable {
    match &config.cluster {
        Some(cluster) => EndpointTable::with_clock_skew(
            cluster.max_clock_skew,
            config.runtime.slow_start_duration,
        ),
        None => EndpointTable::default(),
    }
}

/// Receives datagrams from other dispatchers if a cluster or peer addresses are configured.
async fn receive_datagrams<R: Runtime>(context: Rc<Context<R>>) {
    if let Some(cluster) = &context.cluster {
        cluster.run(&context.runtime).await;
    } else if let Some(exchange) = &context.peer_loads {
        let on_load = |from, load| context.report(EngineEvent::PeerLoad { from, load });
        exchange
            .receive(&context.runtime, &context.counters, on_load)
            .await;
    }
}

/// Returns whether configurations differ in a part that is read only at startup.
fn needs_restart(running: &Config, new: &Config) -> bool {
    new.listen != running.listen
        || new.peer_load != running.peer_load
        || new.cluster != running.cluster
        || new.settings != running.settings
}
