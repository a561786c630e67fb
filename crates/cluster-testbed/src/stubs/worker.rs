//! A simulated worker that sends queued responses, for tests.
mod response;

use super::{header_field, read_message};
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
pub enum StubResponse {
    /// Runs it and says so.
    Done,
    /// `Done`, after this many ms.
    DoneAfterMs(u64),
    /// `Done`, and then the connection ends.
    DoneThenClose,
    /// A status without a body, and whether it says that the request has not started.
    Status(u16, bool),
    /// One line with this state.
    State(&'static str),
    /// These bytes as the body of a 200, where `ID` stands for the id.
    Body(&'static str),
    /// A line that is too long.
    OversizedLine,
    /// Ends the connection before it answers.
    CloseBeforeResponse,
    /// Ends the connection after it has said that the request started.
    CloseAfterStart,
    /// Never answers.
    NoResponse,
    /// `Done`, and then the connection is dropped as soon as anything more comes on it.
    DoneThenCloseOnReuse,
    /// Lines that say that it runs without an end, as fast as they are taken.
    EndlessProgress,
    /// `Done`, and then more lines without an end, one each 20 ms.
    DoneThenEndlessProgress,
    /// `Done`, and as the first bytes of the next request arrive a second response, by which that one has not started.
    DoneThenNotStarted,
}

/// What all workers of a test are to do, in the order of requests; then `Done`.
pub type ResponseQueue = Arc<Mutex<VecDeque<StubResponse>>>;

/// A queue of these responses.
pub fn response_queue(responses: &[StubResponse]) -> ResponseQueue {
    Arc::new(Mutex::new(responses.iter().copied().collect()))
}

type ReceivedRequests = Mutex<Vec<(String, String, Vec<u8>)>>;

/// A simulated worker that sends queued responses.
pub struct Worker {
    /// Where it listens.
    pub address: String,
    /// The first line of each request, its id and its body.
    pub received: Arc<ReceivedRequests>,
    /// How many connections it has accepted.
    pub accepted_connections: Arc<AtomicU32>,
    /// How many of them have ended.
    pub closed_connections: Arc<AtomicU32>,
}

impl Worker {
    /// Starts it on a free loopback port.
    pub fn start(response_queue: &ResponseQueue) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let worker = Worker {
            address,
            received: Arc::default(),
            accepted_connections: Arc::default(),
            closed_connections: Arc::default(),
        };
        let received = worker.received.clone();
        let accepted_connections = worker.accepted_connections.clone();
        let closed_connections = worker.closed_connections.clone();
        let response_queue = response_queue.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepted_connections.fetch_add(1, Ordering::SeqCst);
                let received = received.clone();
                let response_queue = response_queue.clone();
                let closed_connections = closed_connections.clone();
                thread::spawn(move || {
                    while serve(&stream, &received, &response_queue).is_some() {}
                    drop(stream);
                    closed_connections.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        worker
    }

    /// How many requests it has received.
    pub fn request_count(&self) -> usize {
        self.received.lock().unwrap().len()
    }
}

/// Serves one request; `None` ends the connection.
fn serve(
    mut stream: &TcpStream,
    received: &ReceivedRequests,
    response_queue: &Mutex<VecDeque<StubResponse>>,
) -> Option<()> {
    let (head, body) = read_message(&mut BufReader::new(stream))?;
    let first = head.lines().next()?.to_string();
    let id = header_field(&head, "request-id").unwrap_or_default();
    if first.starts_with("GET ") {
        received.lock().unwrap().push((first, id, body));
        return stream.write_all(HEALTH_RESPONSE).ok();
    }
    let response = response_queue
        .lock()
        .unwrap()
        .pop_front()
        .unwrap_or(StubResponse::Done);
    let responder = Responder::new(stream, &id, &body);
    received.lock().unwrap().push((first, id, body));
    responder.respond(response)
}

/// An address where connections never come up: its listener takes none, and its queue is full.
pub fn unreachable_address() -> (TcpListener, (String, Vec<TcpStream>)) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
    let queue = std::iter::from_fn(connect).take(5_000).collect();
    (listener, (address.to_string(), queue))
}
