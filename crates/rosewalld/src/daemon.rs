//! Program start, signal handling and shutdown. Everything except log output runs on one thread.
use crate::config_file::{self, ConfigFileError};
use crate::logger;
use crate::sockets::{SocketListener, Sockets};
use async_executor::LocalExecutor;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use rosewall_engine::config::Config;
use rosewall_runtime::context::Context;
use rosewall_runtime::node::{Node, StartError};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

/// Environment variable that holds the path of the configuration file.
const CONFIG_VARIABLE: &str = "PROXY_CONFIG";

/// Fault that ends the program with a failure status.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// `PROXY_CONFIG` is unset, or its value is not UTF-8.
    #[error("PROXY_CONFIG is unset or not UTF-8, expected the path of the configuration file")]
    NoConfigFile,
    /// The configuration file or the cluster file cannot be loaded.
    #[error(transparent)]
    Config(#[from] ConfigFileError),
    /// Signal handlers cannot be registered.
    #[error("cannot register signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The listen address cannot be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Configured listen address.
        address: SocketAddr,
        /// Cause reported by the operating system.
        source: io::Error,
    },
    /// The dispatcher cannot be started.
    #[error(transparent)]
    Start(#[from] StartError),
}

/// Runs the daemon until it is signalled to stop. Prints a failure as one line on standard error.
pub fn run() -> ExitCode {
    logger::start();
    let result = run_configured();
    log::logger().flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rosewalld: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_configured() -> Result<(), DaemonError> {
    // A path that is not UTF-8 is treated as unset.
    let path = std::env::var(CONFIG_VARIABLE).map_err(|_| DaemonError::NoConfigFile)?;
    let path = PathBuf::from(path);
    let config = config_file::load(&path)?;
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(serve(&path, config, executor.clone())))
}

/// Serves until SIGTERM, SIGINT or a fault of the node.
async fn serve(
    path: &Path,
    config: Config,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<(), DaemonError> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup])
        .map_err(DaemonError::Signals)?;
    let address = config.listen;
    let listen_error = |source| DaemonError::Listen { address, source };
    let listener = SocketListener::bind(address).map_err(listen_error)?;
    let bound_address = listener.local_addr().map_err(listen_error)?;
    let mut node = Node::start(Sockets::new(executor), config, listener)?;
    log::info!("listening on {bound_address}");
    let context = node.context.clone();
    loop {
        let signal = async { signals.next().await.and_then(Result::ok) };
        let fault = async {
            node.wait_for_failure().await;
            None
        };
        match signal.or(fault).await {
            Some(Signal::Usr1) => log_counters(&context),
            Some(Signal::Hup) => reload(&node, path),
            _ => break,
        }
    }
    log::info!("stopping");
    node.stop().await;
    log::info!("stopped; {}", context.counters);
    Ok(())
}

fn log_counters(context: &Context<Sockets>) {
    log::info!("{}", context.counters);
    if let Some(cluster) = &context.cluster {
        log::info!("{cluster}");
    }
}

/// Reloads the configuration file. An invalid file leaves the running configuration unchanged.
fn reload(node: &Node<Sockets>, path: &Path) {
    match config_file::load(path) {
        Ok(config) => node.reload(&config),
        Err(error) => {
            log::error!("configuration reload failed, keeping the running configuration: {error}")
        }
    }
}
