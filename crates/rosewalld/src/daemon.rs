//! Start, signals and end of the program. All but the log runs on one thread.
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

/// The environment variable that names the configuration file.
const CONFIG_VARIABLE: &str = "PROXY_CONFIG";

/// Why the program ends with a failure.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The environment does not name the configuration file.
    #[error("PROXY_CONFIG names no configuration: set it to the path of the configuration file")]
    NoConfigFile,
    /// The configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigFileError),
    /// Signals cannot be received.
    #[error("cannot listen to signals: {0}")]
    Signals(#[source] io::Error),
    /// Clients cannot connect.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// What is wrong with it.
        source: io::Error,
    },
    /// The dispatcher does not start.
    #[error(transparent)]
    Start(#[from] StartError),
}

/// Runs the program until it is told to end. A failure is printed as one line.
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
    // A path that is not UTF-8 counts as none.
    let path = std::env::var(CONFIG_VARIABLE).map_err(|_| DaemonError::NoConfigFile)?;
    let path = PathBuf::from(path);
    let config = config_file::load(&path)?;
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(serve(&path, config, executor.clone())))
}

/// Serves until a signal to end, or a fault.
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

/// Applies the configuration file as it is now; one that cannot be used changes nothing.
fn reload(node: &Node<Sockets>, path: &Path) {
    match config_file::load(path) {
        Ok(config) => node.reload(&config),
        Err(error) => log::error!("the configuration stays as it was: {error}"),
    }
}
