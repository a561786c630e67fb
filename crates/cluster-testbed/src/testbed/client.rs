//! A client of one dispatcher: sends one request after the other, over a connection that it keeps while it lasts.
use crate::checker::{ClientRequest, Response};
use crate::scenario::Load;
use crate::stubs::{read_message, request};
use rosewall::pcg::Pcg;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long after the deadline a client still waits for a response.
const RESPONSE_MARGIN_MS: u64 = 1_000;
/// The longest pause, as a multiple of the mean.
const MAX_PAUSE_MULTIPLE: f64 = 10.0;

/// A request class of the settings of the testbed.
struct RequestClass {
    name: &'static str,
    idempotent: bool,
}

/// Requests take the classes in turn.
const CLASSES: [RequestClass; 3] = [
    RequestClass {
        name: "thumb",
        idempotent: true,
    },
    RequestClass {
        name: "invoice",
        idempotent: true,
    },
    RequestClass {
        name: "charge",
        idempotent: false,
    },
];

fn status_in(head: &str) -> Option<u16> {
    head.split(' ').nth(1)?.parse().ok()
}

/// Sends one request on a connection of its own; the status of the response.
pub(crate) fn request_status(address: &str, text: &str, timeout: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    let (head, _) = read_message(&mut BufReader::new(&stream))?;
    status_in(&head)
}

/// An open connection, and where it goes.
struct Connection {
    stream: TcpStream,
    address: String,
}

impl Connection {
    fn open(address: String, read_timeout: Duration) -> Option<Connection> {
        let stream = TcpStream::connect(&address).ok()?;
        stream.set_read_timeout(Some(read_timeout)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Connection { stream, address })
    }
}

/// Whether the connection can take another request.
#[derive(PartialEq, Eq)]
enum ConnectionState {
    Open,
    Closed,
}

pub(super) struct Client {
    pub(super) name: String,
    pub(super) dispatcher: usize,
    /// Where the dispatcher is reached, while it runs.
    pub(super) address: Arc<Mutex<Option<String>>>,
    pub(super) requests: Arc<Mutex<Vec<ClientRequest>>>,
    pub(super) stopped: Arc<AtomicBool>,
    pub(super) rng: Pcg,
    pub(super) load: Load,
}

impl Client {
    pub(super) fn run(mut self) {
        let mut connection: Option<Connection> = None;
        let mut serial = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            self.pause();
            let address = self.address.lock().ok().and_then(|address| address.clone());
            connection = address.and_then(|address| self.connect(connection, address));
            let Some(open) = &connection else { continue };
            serial += 1;
            if self.exchange(&open.stream, serial) == ConnectionState::Closed {
                connection = None;
            }
        }
    }

    fn pause(&mut self) {
        let pause_ms = -(1.0 - self.rng.unit()).ln() * self.load.pause_ms;
        let max_ms = MAX_PAUSE_MULTIPLE * self.load.pause_ms;
        thread::sleep(Duration::from_secs_f64(pause_ms.min(max_ms) / 1e3));
    }

    /// The connection to an address: the one that is open, or a new one.
    fn connect(&self, open: Option<Connection>, address: String) -> Option<Connection> {
        if open.as_ref().is_some_and(|open| open.address == address) {
            return open;
        }
        let read_timeout = Duration::from_millis(self.load.expiry_ms + RESPONSE_MARGIN_MS);
        Connection::open(address, read_timeout)
    }

    /// Sends one request and records what came of it.
    fn exchange(&mut self, mut stream: &TcpStream, serial: usize) -> ConnectionState {
        let id = format!("{}-{serial}", self.name);
        let class = &CLASSES[serial % CLASSES.len()];
        let text = self.request_text(&id, class);
        let sent_at = Instant::now();
        if stream.write_all(text.as_bytes()).is_err() {
            // The connection had ended before, so the dispatcher has not accepted the request.
            return ConnectionState::Closed;
        }
        let head = read_message(&mut BufReader::new(stream)).map(|(head, _)| head);
        let ended_at = Instant::now();
        let status = head.as_deref().and_then(status_in);
        let request = ClientRequest {
            id,
            dispatcher: self.dispatcher,
            idempotent: class.idempotent,
            sent_at,
            response: status.map(|status| Response {
                status,
                at: ended_at,
            }),
            ended_at,
        };
        if let Ok(mut requests) = self.requests.lock() {
            requests.push(request);
        }
        let closes = |head: String| head.to_ascii_lowercase().contains("connection: close");
        if head.is_none_or(closes) {
            ConnectionState::Closed
        } else {
            ConnectionState::Open
        }
    }

    /// A request whose work is half to one and a half times the mean.
    fn request_text(&mut self, id: &str, class: &RequestClass) -> String {
        let work_us = (self.load.work_ms * 1e3 * (0.5 + self.rng.unit())) as u64;
        let headers = format!("Work-Hint: {work_us}\r\n");
        let expiry_s = self.load.expiry_ms as f64 / 1e3;
        request(id, class.name, expiry_s, &headers, &work_us.to_string())
    }
}
