//! A simulated discovery service: one endpoint list, served at a separate address for each dispatcher (follower), as by an
//! agent beside each dispatcher. A watch is answered with all changes since the version it names. A follower's next watch
//! names the version that it has applied, which measures propagation from outside, for real and simulated dispatchers
//! alike.
mod list;

use super::control::{Answer, Command, Commands, SimulationError, announce_ports};
use super::http::{MessageReader, listen};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt};
pub use list::DiscoveryReport;
use list::{EndpointList, WatchState};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time that a watch without a `wait` parameter waits for a change.
const DEFAULT_WAIT_MS: u64 = 60_000;

struct Service {
    executor: Rc<LocalExecutor<'static>>,
    list: RefCell<EndpointList>,
    down: Cell<bool>,
}

/// Returns the number after a parameter name in the query of a request.
fn query_number(message: &str, name: &str) -> Option<u64> {
    let (_, rest) = message.split_once(name)?;
    rest.split(['&', ' ']).next()?.parse().ok()
}

impl Service {
    async fn accept(self: Rc<Self>, follower: usize, listener: Async<TcpListener>) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            if self.down.get() || stream.get_ref().set_nodelay(true).is_err() {
                continue;
            }
            let service = self.clone();
            let serving = async move {
                service.serve(follower, stream).await;
            };
            self.executor.spawn(serving).detach();
        }
    }

    /// Serves a connection until it is closed.
    async fn serve(&self, follower: usize, mut stream: Async<TcpStream>) -> Option<()> {
        let mut reader = MessageReader::default();
        let count_read = |count| self.list.borrow_mut().report.bytes_in += count as u64;
        loop {
            let message = reader.next(&mut stream, count_read).await?;
            let version = query_number(&message, "index=");
            let wait_ms = query_number(&message, "wait=").unwrap_or(DEFAULT_WAIT_MS);
            self.list.borrow_mut().record_watch(follower, version);
            let deadline = Instant::now() + Duration::from_millis(wait_ms);
            let body = self.wait_for_update(version, deadline).await?;
            let length = body.len();
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
            self.list.borrow_mut().report.bytes_out += text.len() as u64;
            stream.write_all(text.as_bytes()).await.ok()?;
        }
    }

    /// Waits for a change or the deadline and returns the answer to a watch; `None` once the service is down.
    async fn wait_for_update(&self, version: Option<u64>, deadline: Instant) -> Option<String> {
        loop {
            let (notify, notified) = async_channel::bounded(1);
            let state = if Instant::now() >= deadline {
                WatchState::Expired
            } else {
                WatchState::Waiting
            };
            let answer = self.list.borrow_mut().answer(version, state);
            if self.down.get() {
                return None;
            }
            if answer.is_some() {
                return answer;
            }
            self.list.borrow_mut().watches.push(notify);
            let expired = async {
                Timer::at(deadline).await;
            };
            let update = async {
                let _ = notified.recv().await;
            };
            update.or(expired).await;
        }
    }

    fn answer(&self, command: &Command) -> Result<Answer, SimulationError> {
        let mut list = self.list.borrow_mut();
        match command.name() {
            "begin" => list.begin_measurement(),
            "report" => return Answer::report(&list.report()),
            "change" => {
                let endpoints: Vec<Value> = serde_json::from_str(&command.text())?;
                list.change(&endpoints);
            }
            "gone" => list.remove_follower(command.number(0).unwrap_or(usize::MAX)),
            "down" => {
                self.down.set(true);
                list.watches.clear();
            }
            "up" => self.down.set(false),
            _ => return Err(command.unknown()),
        }
        Ok(Answer::Done)
    }
}

/// Runs the service until standard input ends. The first line on standard output reports the port of each follower.
pub fn run(followers: usize) -> Result<(), SimulationError> {
    let executor = Rc::new(LocalExecutor::new());
    let service = Rc::new(Service {
        executor: executor.clone(),
        list: RefCell::new(EndpointList::new(followers)),
        down: Cell::new(false),
    });
    let mut ports = Vec::new();
    for follower in 0..followers {
        let (listener, port) = listen()?;
        ports.push(port);
        executor
            .spawn(service.clone().accept(follower, listener))
            .detach();
    }
    let commands = Commands::from_stdin();
    announce_ports(&ports);
    let answering = commands.answer_all(|command| service.answer(command));
    async_io::block_on(executor.run(answering))
}
