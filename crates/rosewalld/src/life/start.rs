//! Puts the parts together and runs them on one thread.
use crate::kept::budget::Budget;
use crate::kept::clock::Clock;
use crate::kept::counters::Counters;
use crate::kept::hub::{Hub, State};
use crate::kept::pool::Pool;
use crate::kept::shared::Shared;
use crate::life::{given, stop};
use crate::wire::{client_io, discovery, discovery_io};
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use async_signal::{Signal, Signals};
use futures_lite::{FutureExt, StreamExt};
use rosewall::pick;
use rosewall::policy::Dispatcher;
use rosewall::types::Nanos;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

pub fn run() -> Result<(), String> {
    let path =
        std::env::var("PROXY_CONFIG").map_err(|_| "PROXY_CONFIG names no configuration".to_string())?;
    let given = given::load(&path)?;
    let ex = Rc::new(LocalExecutor::new());
    async_io::block_on(ex.run(serve(&path, given, ex.clone())))
}

async fn serve(path: &str, given: given::Given, ex: Rc<LocalExecutor<'static>>) -> Result<(), String> {
    let map = &given.map;
    let clock = Clock::start();
    let names = given::names(map);
    let kept = discovery::listing(&given.known, &names).unwrap_or_else(|fault| {
        log::warn!("no kept list of workers: {fault}");
        discovery::Listing { seq: 0, whole: true, hosts: Vec::new() }
    });
    let dispatcher = Dispatcher::start(clock.now(), given.seed, map)?;
    // What settings need not name: a common keep-alive time of servers, and a connect time for one data centre.
    let idle = pick::<Nanos>(map, "connection.idle").unwrap_or(5_000_000_000);
    let connect_within = pick::<Nanos>(map, "connection.within").unwrap_or(250_000_000);
    let report = map.get("report.theirs").map(String::as_str).unwrap_or_default();
    let (tell, news) = async_channel::unbounded();
    let shared = Rc::new(Shared {
        clock,
        report: report.split(',').filter(|word| !word.is_empty()).map(str::to_string).collect(),
        counters: Counters::default(),
        budget: Rc::new(Budget::new(given.sockets, given.memory_mb)),
        pool: RefCell::new(Pool::new(idle)),
        ready: Cell::new(false),
        stopping: Cell::new(false),
        serial: Cell::new(0),
        bad_told: Cell::new(0),
        news: tell,
        names,
    });
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup])
        .map_err(|error| format!("cannot listen to signals: {error}"))?;
    let listener = TcpListener::bind(given.listen)
        .and_then(Async::new)
        .map_err(|error| format!("cannot listen on {}: {error}", given.listen))?;
    let listening = listener.get_ref().local_addr().map_err(|error| error.to_string())?;
    let asked = map.get("list.mode").is_some_and(|mode| mode == "asked");
    let (leave, left) = async_channel::unbounded();
    let mut hub = Hub {
        shared: shared.clone(),
        ex: ex.clone(),
        news,
        dispatcher,
        leave: asked.then_some(leave),
        connect_within,
        state: State::default(),
    };
    hub.kept(kept);
    let mut hub = ex.spawn(hub.run());
    let (mover, moves) = async_channel::unbounded();
    let leave = asked.then_some(left);
    let mut list = ex.spawn(discovery_io::follow(shared.clone(), given.discovery, moves, leave));
    let (end, ended) = async_channel::bounded(1);
    let accepting = ex.spawn(client_io::accept(shared.clone(), ex.clone(), listener, ended));
    log::info!("listening on {listening}");
    let told = async {
        while let Some(Ok(signal)) = signals.next().await {
            match signal {
                Signal::Usr1 => log::info!("{}", shared.counters),
                Signal::Hup => reload(&shared, path, &given, &mover),
                _ => break,
            }
        }
    };
    // Neither ends by itself. Guards against a program that still accepts after a fault in one of them.
    told.or(&mut hub).or(&mut list).await;
    log::info!("stopping");
    stop::stop(&shared, map, end, accepting).await;
    log::info!("stopped; {}", shared.counters);
    Ok(())
}

/// Takes in the configuration anew: where discovery is, and the limits. Guards against an end of the program at the
/// signal, and against a list of workers that no longer changes. One that cannot be read changes nothing.
fn reload(shared: &Shared, path: &str, first: &given::Given, mover: &Sender<SocketAddr>) {
    let given = match given::load(path) {
        Ok(given) => given,
        Err(fault) => return log::error!("the configuration stays as it was: {fault}"),
    };
    if (given.listen, &given.map) != (first.listen, &first.map) {
        log::warn!("a new listen address and new settings act from the next start only");
    }
    shared.budget.limit(given.sockets, given.memory_mb);
    let _ = mover.try_send(given.discovery);
    log::info!("a new configuration: discovery at {}", given.discovery);
}
