//! Client of one dispatcher. Sends one request at a time and reuses its connection while that is open.
use crate::checker::{ClientRequest, Idempotency, Response};
use crate::scenario::Load;
use crate::stubs::{read_message, request};
use rosewall::pcg::Pcg;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time after the deadline for which a client still waits for a response.
const RESPONSE_MARGIN_MS: u64 = 1_000;
/// Longest pause, as a multiple of the mean.
const MAX_PAUSE_MULTIPLE: f64 = 10.0;

/// Request class in the configuration of the testbed's dispatchers.
struct RequestClass {
    name: &'static str,
    idempotency: Idempotency,
}

/// Class whose requests may run again within their retry window.
const KEYED_CLASS: &str = "invoice";

/// Classes of requests, in rotation.
const CLASSES: [RequestClass; 3] = [
    RequestClass {
        name: "thumb",
        idempotency: Idempotency::Idempotent,
    },
    RequestClass {
        name: KEYED_CLASS,
        idempotency: Idempotency::IdempotentWithKey,
    },
    RequestClass {
        name: "charge",
        idempotency: Idempotency::NonIdempotent,
    },
];

fn status_in(head: &str) -> Option<u16> {
    head.split(' ').nth(1)?.parse().ok()
}

/// Sends one request on a new connection and returns the status of the response.
pub(crate) fn request_status(address: &str, text: &str, timeout: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    let (head, _) = read_message(&mut BufReader::new(&stream))?;
    status_in(&head)
}

/// Open connection and the address of its dispatcher.
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

/// State of the connection after an exchange.
#[derive(PartialEq, Eq)]
enum ConnectionState {
    Open,
    Closed,
}

pub(super) struct Client {
    pub(super) name: String,
    pub(super) dispatcher: usize,
    /// Address of the dispatcher, or `None` while it is not in service.
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

    /// Returns a connection to `address`: the open one if it matches, otherwise a new one.
    fn connect(&self, open: Option<Connection>, address: String) -> Option<Connection> {
        if open.as_ref().is_some_and(|open| open.address == address) {
            return open;
        }
        let read_timeout = Duration::from_millis(self.load.expiry_ms + RESPONSE_MARGIN_MS);
        Connection::open(address, read_timeout)
    }

    /// Sends one request and records its outcome.
    fn exchange(&mut self, mut stream: &TcpStream, serial: usize) -> ConnectionState {
        let id = format!("{}-{serial}", self.name);
        let class = &CLASSES[serial % CLASSES.len()];
        let text = self.request_text(&id, class);
        let sent_at = Instant::now();
        if stream.write_all(text.as_bytes()).is_err() {
            // The connection was already closed, so the dispatcher has not received the whole request.
            return ConnectionState::Closed;
        }
        let head = read_message(&mut BufReader::new(stream)).map(|(head, _)| head);
        let ended_at = Instant::now();
        let status = head.as_deref().and_then(status_in);
        let request = ClientRequest {
            id,
            dispatcher: self.dispatcher,
            idempotency: class.idempotency,
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

    /// Returns a request whose work is between 0.5 and 1.5 times the mean.
    fn request_text(&mut self, id: &str, class: &RequestClass) -> String {
        let work_us = (self.load.work_ms * 1e3 * (0.5 + self.rng.unit())) as u64;
        let headers = format!("Work-Hint: {work_us}\r\n");
        let expiry_s = self.load.expiry_ms as f64 / 1e3;
        let key = format!("Idempotency-Key: {id}\r\n");
        let headers = match class.idempotency {
            Idempotency::IdempotentWithKey => headers + &key,
            _ => headers,
        };
        request(id, class.name, expiry_s, &headers, &work_us.to_string())
    }
}
