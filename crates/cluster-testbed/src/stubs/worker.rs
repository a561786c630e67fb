//! A simulated worker that acts by a script, for tests.
mod response;

use super::{field, message};
use response::{HEALTH_RESPONSE, Responder};
use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What a worker does with one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    /// Runs it and says so.
    Done,
    /// `Done`, after this many ms.
    Later(u64),
    /// `Done`, and then the connection ends.
    DoneClose,
    /// A status without a body, and whether it says that the request has not started.
    Status(u16, bool),
    /// One line with this state.
    State(&'static str),
    /// These bytes as the body of a 200, where `ID` stands for the id.
    Body(&'static str),
    /// A line that is too long.
    Oversized,
    /// Ends the connection before it answers.
    Cut,
    /// Ends the connection after it has said that the request started.
    CutStarted,
    /// Never answers.
    Silent,
    /// `Done`, and then the connection is dropped as soon as anything more comes on it.
    DoneStale,
    /// Lines that say that it runs without an end, as fast as they are taken.
    Endless,
    /// `Done`, and then more lines without an end, one each 20 ms.
    DoneEndless,
    /// `Done`, and as the first bytes of the next request arrive a second response, by which that one has not started.
    DoneTwice,
}

/// What all workers of a test are to do, in the order of requests; then `Done`.
pub type Script = Arc<Mutex<VecDeque<Act>>>;

/// A script with these acts.
pub fn script(acts: &[Act]) -> Script {
    Arc::new(Mutex::new(acts.iter().copied().collect()))
}

type Seen = Mutex<Vec<(String, String, Vec<u8>)>>;

/// A simulated worker that acts by a script.
pub struct Worker {
    /// Where it listens.
    pub dial: String,
    /// The first line of each request, its id and its body.
    pub seen: Arc<Seen>,
    /// How many connections it has accepted.
    pub connections: Arc<AtomicU32>,
    /// How many of them have ended.
    pub ended: Arc<AtomicU32>,
}

impl Worker {
    /// Starts it on a free loopback port.
    pub fn start(script: &Script) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let dial = listener.local_addr().unwrap().to_string();
        let worker = Worker {
            dial,
            seen: Arc::default(),
            connections: Arc::default(),
            ended: Arc::default(),
        };
        let seen = worker.seen.clone();
        let connections = worker.connections.clone();
        let ended = worker.ended.clone();
        let script = script.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                connections.fetch_add(1, Ordering::SeqCst);
                let seen = seen.clone();
                let script = script.clone();
                let ended = ended.clone();
                thread::spawn(move || {
                    while serve(&stream, &seen, &script).is_some() {}
                    drop(stream);
                    ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        worker
    }

    /// How many requests it has received.
    pub fn count(&self) -> usize {
        self.seen.lock().unwrap().len()
    }
}

/// Serves one request; `None` ends the connection.
fn serve(mut stream: &TcpStream, seen: &Seen, script: &Mutex<VecDeque<Act>>) -> Option<()> {
    let (head, body) = message(&mut BufReader::new(stream))?;
    let first = head.lines().next()?.to_string();
    let id = field(&head, "request-id").unwrap_or_default();
    if first.starts_with("GET ") {
        seen.lock().unwrap().push((first, id, body));
        return stream.write_all(HEALTH_RESPONSE).ok();
    }
    let act = script.lock().unwrap().pop_front().unwrap_or(Act::Done);
    let responder = Responder::new(stream, &id, &body);
    seen.lock().unwrap().push((first, id, body));
    responder.respond(act)
}

/// An address where connections never come up: its listener takes none, and its queue is full.
pub fn vanished_machine() -> (TcpListener, (String, Vec<TcpStream>)) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
    let queue = std::iter::from_fn(connect).take(5_000).collect();
    (listener, (address.to_string(), queue))
}
