//! A simulated worker with concurrency slots and one queue, first in, first out. It can warm up, hang, and break
//! connections. The checker reads its record of what it received and ran, and nothing else of it.
use crate::error::TestbedError;
use crate::stubs::{header_field, read_message};
use std::collections::HashSet;
use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How a worker starts cold.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// The share of its full capacity that it has at first.
    pub initial_share: f64,
    /// How long until it has its full capacity.
    pub duration: Duration,
    /// The multiple of its present capacity, received within the window, at which it is overloaded.
    pub overload_multiple: f64,
    /// The window over which received work counts.
    pub window: Duration,
}

impl SlowStart {
    /// The share of its full capacity that it has at this age.
    pub fn capacity_share(&self, age: Duration) -> f64 {
        let duration_s = self.duration.as_secs_f64().max(1e-9);
        (self.initial_share + (1.0 - self.initial_share) * age.as_secs_f64() / duration_s).min(1.0)
    }
}

/// What a worker may do wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkerFault {
    /// It receives requests and never answers.
    Hang,
    /// It breaks the connection once a request has arrived whole, and does not run it.
    Reset,
    /// It runs the request and breaks the connection before the response.
    LoseResponse,
}

/// One request as the worker received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// When it had arrived whole.
    pub at: Instant,
    /// Its id.
    pub id: String,
    /// How long one slot of a warm worker takes, in seconds.
    pub work_s: f64,
}

/// The start of one run.
#[derive(Clone, Debug)]
pub struct Execution {
    /// The id of the request.
    pub id: String,
    /// When it began.
    pub at: Instant,
}

/// What a worker received and ran.
#[derive(Default)]
pub struct Record {
    /// All requests in the order of arrival.
    pub received: Vec<ReceivedRequest>,
    /// All runs in the order in which they began.
    pub executions: Vec<Execution>,
    next_ticket: u64,
    now_serving: u64,
    running: usize,
    faults: HashSet<WorkerFault>,
}

/// A simulated worker.
pub struct Worker {
    /// Where it listens.
    pub address: String,
    /// How many requests it runs at once.
    pub slots: usize,
    /// When its process started, if it starts cold.
    pub warm_up_started_at: Option<Instant>,
    /// How it warms up.
    pub slow_start: SlowStart,
    record: Mutex<Record>,
    changed: Condvar,
}

const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A chunk of the response with one state line.
fn state_chunk(id: &str, state: &str) -> String {
    let line =
        format!("{{\"id\":\"{id}\",\"from\":\"w\",\"state\":\"{state}\",\"result\":\"\"}}\n");
    format!("{:x}\r\n{line}\r\n", line.len())
}

/// The work of a request in seconds; its body has microseconds.
fn work_s(body: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(body).ok()?;
    Some(text.trim().parse::<f64>().unwrap_or(0.0) / 1e6)
}

impl Worker {
    /// Starts a worker on a loopback port.
    pub fn start(
        slots: usize,
        warm_up_started_at: Option<Instant>,
        slow_start: SlowStart,
    ) -> Result<Arc<Worker>, TestbedError> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(TestbedError::Socket)?;
        let address = listener
            .local_addr()
            .map_err(TestbedError::Socket)?
            .to_string();
        let worker = Arc::new(Worker {
            address,
            slots,
            warm_up_started_at,
            slow_start,
            record: Mutex::default(),
            changed: Condvar::new(),
        });
        let shared = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || while shared.serve(&stream).is_some() {});
            }
        });
        Ok(worker)
    }

    /// Reads the record.
    pub fn read<T>(&self, with: impl FnOnce(&Record) -> T) -> T {
        with(&self.lock())
    }

    /// Has a fault from here on.
    pub fn begin_fault(&self, fault: WorkerFault) {
        self.change(|record| record.faults.insert(fault));
    }

    /// Has this fault no longer.
    pub fn end_fault(&self, fault: WorkerFault) {
        self.change(|record| record.faults.remove(&fault));
    }

    fn lock(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change<T>(&self, with: impl FnOnce(&mut Record) -> T) {
        with(&mut self.lock());
        self.changed.notify_all();
    }

    /// The share of its full capacity that it has at a moment.
    fn capacity_share(&self, at: Instant) -> f64 {
        self.warm_up_started_at.map_or(1.0, |started| {
            self.slow_start
                .capacity_share(at.saturating_duration_since(started))
        })
    }

    /// Serves one request; `None` ends the connection.
    fn serve(&self, mut stream: &TcpStream) -> Option<()> {
        let (head, body) = read_message(&mut BufReader::new(stream))?;
        let id = header_field(&head, "request-id")?;
        let work_s = work_s(&body)?;
        let loses_response = self.wait_for_slot(stream, &id, work_s)?;
        let started =
            stream.write_all(format!("{RESPONSE_HEAD}{}", state_chunk(&id, "started")).as_bytes());
        thread::sleep(Duration::from_secs_f64(
            work_s / self.capacity_share(Instant::now()),
        ));
        self.change(|record| record.running -= 1);
        if loses_response {
            return None;
        }
        let last = format!("{}0\r\n\r\n", state_chunk(&id, "done"));
        started
            .and_then(|()| stream.write_all(last.as_bytes()))
            .ok()
    }

    /// Records a request and waits until it runs. Returns whether its response is to be lost.
    fn wait_for_slot(&self, mut stream: &TcpStream, id: &str, work_s: f64) -> Option<bool> {
        let mut record = self.record.lock().ok()?;
        record.received.push(ReceivedRequest {
            at: Instant::now(),
            id: id.to_string(),
            work_s,
        });
        if record.faults.contains(&WorkerFault::Reset) {
            return None;
        }
        if record.faults.contains(&WorkerFault::Hang) {
            drop(record);
            // Returns once the other side has closed the connection.
            let _ = stream.read(&mut [0]);
            return None;
        }
        let ticket = record.next_ticket;
        record.next_ticket += 1;
        let mut record = self
            .changed
            .wait_while(record, |record| {
                record.now_serving < ticket || record.running >= self.slots
            })
            .ok()?;
        record.now_serving = ticket + 1;
        record.running += 1;
        record.executions.push(Execution {
            id: id.to_string(),
            at: Instant::now(),
        });
        let loses_response = record.faults.contains(&WorkerFault::LoseResponse);
        drop(record);
        self.changed.notify_all();
        Some(loses_response)
    }
}
