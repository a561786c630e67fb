//! Simulated worker with concurrency slots and one first-in, first-out queue. It can warm up, hang, and close
//! connections early. The checker uses only its record of received and executed requests.
use crate::error::TestbedError;
use crate::stubs::{header_field, read_message};
use rustix::event::{PollFd, PollFlags};
use std::collections::HashSet;
use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Slow start of a worker.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Initial capacity, as a fraction of the full capacity.
    pub initial_share: f64,
    /// Time until the worker has its full capacity.
    pub duration: Duration,
    /// Multiple of its present capacity above which the worker is overloaded if it receives more within the window.
    pub overload_multiple: f64,
    /// Window over which received work is summed.
    pub window: Duration,
}

impl SlowStart {
    /// Returns the capacity at this age of the worker, as a fraction of its full capacity.
    pub fn capacity_share(&self, age: Duration) -> f64 {
        let duration_s = self.duration.as_secs_f64().max(1e-9);
        (self.initial_share + (1.0 - self.initial_share) * age.as_secs_f64() / duration_s).min(1.0)
    }
}

/// Fault of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkerFault {
    /// Receives requests and never answers.
    Hang,
    /// Closes the connection after receiving a complete request, without running it.
    Reset,
    /// Runs the request and closes the connection before the end of the response.
    LoseResponse,
    /// Takes no new connections, so that those that are opened come up late.
    LateConnections,
    /// Runs a request with a key and closes the connection shortly before the end of the retry window.
    LoseBeforeWindowEnd,
}

/// Request that a worker received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Time at which it was complete.
    pub at: Instant,
    /// Id of the request.
    pub id: String,
    /// Service time in seconds on a warm worker.
    pub work_s: f64,
}

/// Execution of a request by a worker.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Id of the request.
    pub id: String,
    /// Time at which the execution started.
    pub at: Instant,
}

/// What a worker does with the connection of a request that it runs.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ResponseFate {
    Sent,
    Lost,
    /// Lost shortly before the end of the retry window.
    LostLate,
}

/// Record of what a worker received and executed, and the state of its queue.
#[derive(Default)]
pub struct Record {
    /// All received requests, in order of arrival.
    pub received: Vec<ReceivedRequest>,
    /// All executions, in order of their start.
    pub executions: Vec<Execution>,
    next_ticket: u64,
    now_serving: u64,
    running: usize,
    faults: HashSet<WorkerFault>,
    /// Connections that fill the queue of the listener.
    queue: Vec<TcpStream>,
}

/// Simulated worker.
pub struct Worker {
    /// Address on which it accepts connections.
    pub address: String,
    /// Number of concurrency slots.
    pub slots: usize,
    /// Start of its warm-up, or `None` if it is warm from the start.
    pub warm_up_started_at: Option<Instant>,
    /// Slow start that applies if it warms up.
    pub slow_start: SlowStart,
    /// Time for which it recognises a repeated request.
    retry_window: Duration,
    listener: TcpListener,
    record: Mutex<Record>,
    changed: Condvar,
}

/// Length of a listener's queue of connections.
const BACKLOG: i32 = 128;
/// Time after which an attempt to connect shows that the queue is full.
const FULL_QUEUE_TIMEOUT: Duration = Duration::from_millis(50);
/// Most connections that fill a queue of length 0.
const MAX_FILLING_CONNECTIONS: usize = 4;
/// Time between the loss of a connection and the end of the retry window that it precedes.
const LOSS_LEAD: Duration = Duration::from_millis(600);

const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Returns a response chunk with one state line.
fn state_chunk(id: &str, state: &str) -> String {
    let line =
        format!("{{\"id\":\"{id}\",\"from\":\"w\",\"state\":\"{state}\",\"result\":\"\"}}\n");
    format!("{:x}\r\n{line}\r\n", line.len())
}

/// Returns the work of a request in seconds; its body contains the microseconds.
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
        retry_window: Duration,
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
            retry_window,
            listener,
            record: Mutex::default(),
            changed: Condvar::new(),
        });
        let shared = worker.clone();
        thread::spawn(move || shared.accept());
        Ok(worker)
    }

    /// Calls `with` on the record and returns its result.
    pub fn read<T>(&self, with: impl FnOnce(&Record) -> T) -> T {
        with(&self.lock())
    }

    /// Activates a fault.
    pub fn begin_fault(&self, fault: WorkerFault) {
        self.change(|record| record.faults.insert(fault));
        if fault == WorkerFault::LateConnections {
            self.fill_queue();
        }
    }

    /// Deactivates a fault.
    pub fn end_fault(&self, fault: WorkerFault) {
        if fault == WorkerFault::LateConnections {
            let _ = rustix::net::listen(&self.listener, BACKLOG);
        }
        self.change(|record| {
            record.faults.remove(&fault);
            if fault == WorkerFault::LateConnections {
                record.queue.clear();
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change<T>(&self, with: impl FnOnce(&mut Record) -> T) {
        with(&mut self.lock());
        self.changed.notify_all();
    }

    /// Returns the capacity at a time, as a fraction of the full capacity.
    fn capacity_share(&self, at: Instant) -> f64 {
        self.warm_up_started_at.map_or(1.0, |started| {
            self.slow_start
                .capacity_share(at.saturating_duration_since(started))
        })
    }

    fn accept(self: Arc<Self>) {
        let listener = &self.listener;
        loop {
            // Waits for a connection without accepting it.
            let mut waiting = [PollFd::new(listener, PollFlags::IN)];
            if rustix::event::poll(&mut waiting, None).is_err() {
                continue;
            }
            self.wait_until_connections_are_taken();
            let Ok((stream, _)) = listener.accept() else {
                continue;
            };
            let shared = self.clone();
            thread::spawn(move || while shared.serve(&stream).is_some() {});
        }
    }

    /// Waits while connections are to come up late.
    fn wait_until_connections_are_taken(&self) {
        let is_late = |record: &mut Record| record.faults.contains(&WorkerFault::LateConnections);
        drop(self.changed.wait_while(self.lock(), is_late));
    }

    /// Fills the queue of the listener, so that the system does not answer further connects.
    fn fill_queue(&self) {
        let _ = rustix::net::listen(&self.listener, 0);
        let Ok(address) = self.listener.local_addr() else {
            return;
        };
        let connect = || TcpStream::connect_timeout(&address, FULL_QUEUE_TIMEOUT).ok();
        let queue: Vec<_> = std::iter::from_fn(connect)
            .take(MAX_FILLING_CONNECTIONS)
            .collect();
        self.change(|record| record.queue = queue);
    }

    /// Serves one request. Returns `None` to close the connection.
    fn serve(&self, mut stream: &TcpStream) -> Option<()> {
        let (head, body) = read_message(&mut BufReader::new(stream))?;
        let id = header_field(&head, "request-id")?;
        let work_s = work_s(&body)?;
        let arrived_at = Instant::now();
        let has_key = header_field(&head, "idempotency-key").is_some();
        let fate = self.wait_for_slot(stream, &id, work_s)?;
        let started =
            stream.write_all(format!("{RESPONSE_HEAD}{}", state_chunk(&id, "started")).as_bytes());
        thread::sleep(Duration::from_secs_f64(
            work_s / self.capacity_share(Instant::now()),
        ));
        self.change(|record| record.running -= 1);
        if fate == ResponseFate::LostLate && has_key {
            let lost_at = arrived_at + self.retry_window.saturating_sub(LOSS_LEAD);
            thread::sleep(lost_at.saturating_duration_since(Instant::now()));
            return None;
        }
        if fate == ResponseFate::Lost {
            return None;
        }
        let last = format!("{}0\r\n\r\n", state_chunk(&id, "done"));
        started
            .and_then(|()| stream.write_all(last.as_bytes()))
            .ok()
    }

    /// Records a request and waits until it may run. Returns what is to become of its response, or `None` if a fault
    /// closes the connection.
    fn wait_for_slot(&self, mut stream: &TcpStream, id: &str, work_s: f64) -> Option<ResponseFate> {
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
            // Returns when the dispatcher closes the connection.
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
        let fate = if record.faults.contains(&WorkerFault::LoseResponse) {
            ResponseFate::Lost
        } else if record.faults.contains(&WorkerFault::LoseBeforeWindowEnd) {
            ResponseFate::LostLate
        } else {
            ResponseFate::Sent
        };
        drop(record);
        self.changed.notify_all();
        Some(fate)
    }
}
