//! Worker stub that sends queued responses.
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

/// Response of a stub worker to one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StubResponse {
    /// Reports the request as started and done, with a result.
    Done,
    /// Reports the start at once, and the result after this number of milliseconds.
    DoneAfterMs(u64),
    /// `Done`, after which the worker closes the connection.
    DoneThenClose,
    /// A status without a body, and whether it has the field `Not-Started`.
    Status(u16, bool),
    /// A start, then one line with this state.
    State(&'static str),
    /// A start, then this text, in which `ID` is replaced by the id of the request.
    Body(&'static str),
    /// A line longer than the daemon accepts.
    OversizedLine,
    /// Closes the connection without a response.
    CloseBeforeResponse,
    /// Reports the start, then closes the connection.
    CloseAfterStart,
    /// Sends nothing, and keeps the connection until the daemon closes it or sends more.
    NoResponse,
    /// `Done`, after which the worker closes the connection as soon as it receives more bytes.
    DoneThenCloseOnReuse,
    /// Endless progress lines, as fast as the daemon reads them.
    EndlessProgress,
    /// `Done`, then endless progress lines, one every 20 ms.
    DoneThenEndlessProgress,
    /// `Done`, then a second response with status 503 and `Not-Started` at the first bytes of the next request.
    DoneThenNotStarted,
    /// A response with status 503 and `Not-Started`, and the same again this number of milliseconds later. Then the next
    /// request is served.
    NotStartedTwice(u64),
}

/// Responses of all workers that share the queue, in the order of requests; `Done` once it is empty.
pub type ResponseQueue = Arc<Mutex<VecDeque<StubResponse>>>;

/// Returns a queue of these responses.
pub fn response_queue(responses: &[StubResponse]) -> ResponseQueue {
    Arc::new(Mutex::new(responses.iter().copied().collect()))
}

type ReceivedRequests = Mutex<Vec<(String, String, Vec<u8>)>>;

/// Worker stub that sends queued responses. Health checks are answered without taking from the queue.
pub struct Worker {
    /// Address on which it accepts connections.
    pub address: String,
    /// Request line, id and body of each received request, including health checks.
    pub received: Arc<ReceivedRequests>,
    /// Number of accepted connections.
    pub accepted_connections: Arc<AtomicU32>,
    /// Number of accepted connections that have been closed.
    pub closed_connections: Arc<AtomicU32>,
}

impl Worker {
    /// Starts a worker on a free loopback port.
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

    /// Returns the number of received requests, including health checks.
    pub fn request_count(&self) -> usize {
        self.received.lock().unwrap().len()
    }
}

/// Serves one request. Returns `None` to close the connection.
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

/// Returns an address at which connections are never established, like that of an unreachable host: its listener
/// accepts none, and its queue is full. The listener and the queued connections must be kept alive.
pub fn unreachable_address() -> (TcpListener, (String, Vec<TcpStream>)) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
    let queue = std::iter::from_fn(connect).take(5_000).collect();
    (listener, (address.to_string(), queue))
}
