//! Puts the parts together and runs them on one thread.
use crate::sockets::{SocketListener, Sockets};
use async_executor::LocalExecutor;
use async_io::Async;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use rosewall_cluster::config as cluster_config;
use rosewall_cluster::error::ClusterError;
use rosewall_engine::config::Config;
use rosewall_runtime::context::Context;
use rosewall_runtime::node::Node;
use std::net::TcpListener;
use std::path::Path;
use std::rc::Rc;

pub fn run() -> Result<(), String> {
    let path = std::env::var("PROXY_CONFIG")
        .map_err(|_| "PROXY_CONFIG names no configuration".to_string())?;
    let config = load(&path)?;
    let ex = Rc::new(LocalExecutor::new());
    async_io::block_on(ex.run(serve(&path, config, ex.clone())))
}

/// Reads the file that is named; an error says what is wrong in it.
pub fn load(path: &str) -> Result<Config, String> {
    let text = std::fs::read(path)
        .map_err(|error| format!("cannot read the configuration {path}: {error}"))?;
    let mut config = Config::parse(&text)
        .map_err(|fault| format!("cannot use the configuration {path}: {fault}"))?;
    if let Some(path) = config.cluster_file.take() {
        let cluster_config = std::fs::read_to_string(&path)
            .map_err(|source| ClusterError::Unreadable {
                path: path.clone().into(),
                source,
            })
            .and_then(|text| cluster_config::parse(Path::new(&path), &text))
            .and_then(|cluster_config| config.join_cluster(cluster_config));
        cluster_config.map_err(|fault| fault.line())?;
    }
    config
        .validate()
        .map_err(|fault| format!("cannot use the configuration {path}: {fault}"))?;
    // Guards against a system that allows fewer descriptors than are told.
    let system = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    config.max_descriptors = system
        .and_then(|most| usize::try_from(most).ok())
        .unwrap_or(usize::MAX)
        .min(config.max_descriptors);
    Ok(config)
}

async fn serve(path: &str, config: Config, ex: Rc<LocalExecutor<'static>>) -> Result<(), String> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup])
        .map_err(|error| format!("cannot listen to signals: {error}"))?;
    let listener = TcpListener::bind(config.listen)
        .and_then(Async::new)
        .map_err(|error| format!("cannot listen on {}: {error}", config.listen))?;
    let listening = listener
        .get_ref()
        .local_addr()
        .map_err(|error| error.to_string())?;
    let mut node = Node::start(Sockets::new(ex), config, SocketListener(listener))?;
    log::info!("listening on {listening}");
    let context: Rc<Context<Sockets>> = node.context.clone();
    loop {
        let signal = async { signals.next().await.and_then(Result::ok) };
        let fault = async {
            node.fault().await;
            None
        };
        match signal.or(fault).await {
            Some(Signal::Usr1) => {
                log::info!("{}", context.counters);
                if let Some(cluster) = &context.cluster {
                    log::info!("{cluster}");
                }
            }
            Some(Signal::Hup) => match load(path) {
                Ok(config) => node.reload(&config),
                // One that cannot be read changes nothing.
                Err(fault) => log::error!("the configuration stays as it was: {fault}"),
            },
            _ => break,
        }
    }
    log::info!("stopping");
    node.stop().await;
    log::info!("stopped; {}", context.counters);
    Ok(())
}
