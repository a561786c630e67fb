//! One dispatcher, put together from its parts: started, given new limits, stopped in order.
use crate::client;
use crate::cluster::{ClusterDriver, Heard};
use crate::context::{Context, EngineEvent};
use crate::discovery;
use crate::engine::EngineDriver;
use crate::peer_load::PeerLoadExchange;
use crate::traits::{Runtime, nanos, sleep};
use async_channel::Sender;
use async_executor::Task;
use futures_lite::FutureExt;
use rosewall::policy::Dispatcher;
use rosewall_cluster::cluster::Cluster;
use rosewall_cluster::error::ClusterError;
use rosewall_engine::config::{Config, EndpointsMode, FINAL_ANSWERS_RESERVE};
use rosewall_engine::counters::Counters;
use rosewall_engine::endpoints::EndpointTable;
use rosewall_engine::engine::Engine;
use rosewall_engine::limits::ResourceLimits;
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

pub struct Node<R: Runtime> {
    pub context: Rc<Context<R>>,
    config: Config,
    engine: Task<()>,
    list: Task<()>,
    accepting: Task<()>,
    _hearing: Task<()>,
    end: Sender<()>,
    mover: Sender<SocketAddr>,
}

impl<R: Runtime> Node<R> {
    /// Starts to serve. An error names the setting that is missing or cannot be read.
    pub fn start(runtime: R, config: Config, listener: R::Listener) -> Result<Self, String> {
        let now = runtime.now();
        let settings = &config.runtime;
        let names = config.names();
        let kept = decode_endpoint_list(&config.cached_endpoints, &names).unwrap_or_else(|fault| {
            log::warn!("no kept list of workers: {fault}");
            EndpointList {
                version: 0,
                is_snapshot: true,
                endpoints: Vec::new(),
            }
        });
        let dispatcher = Dispatcher::start(now, config.seed, &config.settings)
            .map_err(|error| error.to_string())?;
        let talk = match &config.peer_load {
            Some(talk) => {
                let socket = runtime.bind_datagram_socket(talk.listen, None);
                let socket =
                    socket.map_err(|error| format!("cannot listen on {}: {error}", talk.listen))?;
                Some(PeerLoadExchange::new(
                    socket,
                    settings.rank.ok_or("setting me is missing")?,
                    talk.peers.clone(),
                ))
            }
            None => None,
        };
        let (tell, events) = async_channel::unbounded();
        let counters = Rc::new(Counters::default());
        let cluster = match &config.cluster {
            Some(cluster_config) => {
                let listen = cluster_config.listen;
                let socket = runtime.bind_datagram_socket(listen, cluster_config.relay);
                let socket =
                    socket.map_err(|source| ClusterError::Listen { listen, source }.line())?;
                let cluster = Cluster::new(cluster_config, now, config.seed ^ now);
                let tell: Sender<EngineEvent<R>> = tell.clone();
                let heard = move |heard| {
                    // The hub outlives the members' driver but for the very end.
                    let _ = tell.try_send(match heard {
                        Heard::FleetView(place) => EngineEvent::FleetView(place),
                        Heard::WarmUpGranted {
                            worker,
                            work,
                            until,
                        } => EngineEvent::WarmUpGranted {
                            worker,
                            work,
                            until,
                        },
                        Heard::PeerLoad { from, load } => EngineEvent::PeerLoad { from, load },
                    });
                };
                Some(ClusterDriver::new(socket, cluster, counters.clone(), heard))
            }
            None => None,
        };
        let workers = match &config.cluster {
            Some(cluster_config) => EndpointTable::with_clock_skew(
                cluster_config.max_clock_skew,
                settings.slow_start_duration,
            ),
            None => EndpointTable::default(),
        };
        let context = Rc::new(Context {
            runtime,
            report: settings.report_fields.clone(),
            counters: counters.clone(),
            limits: Rc::new(ResourceLimits::new(
                config.max_descriptors,
                config.memory_mb,
            )),
            pool: RefCell::new(Pool::new(settings.idle_timeout)),
            ready: Cell::new(false),
            stopping: Cell::new(false),
            active_requests: Cell::new(0),
            serial: Cell::new(0),
            bad_told: Cell::new(0),
            events: tell,
            names,
            talk,
            cluster,
        });
        let asked = settings.endpoints_mode == EndpointsMode::Polled;
        let (leave, left) = async_channel::unbounded();
        let engine = Engine::new(dispatcher, counters, settings.connect_timeout, workers);
        let mut engine = EngineDriver::new(context.clone(), events, engine, asked.then_some(leave));
        let from = (asked && !kept.endpoints.is_empty()).then_some(kept.version);
        engine.load_cached(kept);
        let engine = context.runtime.spawn(engine.run());
        let (mover, moves) = async_channel::unbounded();
        let leave = asked.then_some(left);
        let list = discovery::follow(context.clone(), config.discovery, moves, leave, from);
        let list = context.runtime.spawn(list);
        let hears = context.clone();
        let hearing = context.runtime.spawn(async move {
            if let Some(cluster) = &hears.cluster {
                cluster.run(&hears.runtime).await;
            } else if let Some(talk) = &hears.talk {
                let tell = |from, load| hears.tell(EngineEvent::PeerLoad { from, load });
                talk.hear(&hears.runtime, &hears.counters, tell).await;
            }
        });
        let (end, ended) = async_channel::bounded(1);
        let accepting = context
            .runtime
            .spawn(client::accept(context.clone(), listener, ended));
        Ok(Node {
            context,
            config,
            engine,
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
        (&mut self.engine).or(&mut self.list).await;
    }

    /// Takes in the configuration anew: where discovery is, and the limits. Guards against an end of the program at the
    /// signal, and against a list of workers that no longer changes.
    pub fn reload(&self, config: &Config) {
        let as_started = |config: &Config| {
            (
                config.listen,
                config.peer_load.clone(),
                config.cluster.clone(),
                config.settings.clone(),
            )
        };
        if as_started(config) != as_started(&self.config) {
            log::warn!(
                "a new listen address, talk, cluster and settings act from the next start only"
            );
        }
        self.context
            .limits
            .set_limits(config.max_descriptors, config.memory_mb);
        let _ = self.mover.try_send(config.discovery);
        log::info!("a new configuration: discovery at {}", config.discovery);
    }

    /// The planned stop: all that was taken is answered, and no one is cut off who could still be served.
    pub async fn stop(self) {
        let context = &self.context;
        let by = context.runtime.now() + self.config.runtime.shutdown_timeout;
        context.stopping.set(true);
        if let Some(cluster) = &context.cluster {
            cluster.leave();
        }
        context.tell(EngineEvent::Stop(by));
        sleep(&context.runtime, LISTEN_ON).await;
        drop(self.end);
        self.accepting.await;
        let last = by + FINAL_ANSWERS_RESERVE / 2;
        while context.limits.client_count() > 0 && context.runtime.now() < last {
            while context.limits.evict_idle_client(context.runtime.now()) {}
            let look = context.runtime.now() + nanos(LOOK);
            context.runtime.sleep_until(look).await;
        }
        log::info!(
            "{} clients were still connected at the end",
            context.limits.client_count()
        );
    }
}
