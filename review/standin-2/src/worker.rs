//! A worker that follows the operators' protocol page.
use crate::http::{Connection, Message};
use crate::record::Record;
use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One posting that reached a worker with its last byte.
#[derive(Clone, Debug)]
pub struct Posting {
    pub id: String,
    pub worker: String,
    pub class: String,
    /// Running time of the job.
    pub run: Duration,
    pub first_byte: Duration,
    pub last_byte: Duration,
    /// Time-out that the dispatcher states, in seconds.
    pub timeout: f64,
    /// Number of this posting among those of its request, from 1.
    pub number: usize,
}

/// What a worker does with a posting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// Does not take it and answers that it is full.
    Full,
    /// Runs it and answers with a result.
    Done,
    /// Begins it, has its effect, then sheds it with the answer "full".
    ShedBegun,
}

/// Slots of a worker and its queue, which is served in order. What finds the queue full is turned away.
#[derive(Clone, Copy)]
pub struct Size {
    pub slots: usize,
    pub queue: usize,
}

/// A worker large enough that nothing waits long in the case.
pub const AMPLE: Size = Size {
    slots: 8,
    queue: 40,
};

#[derive(Default)]
struct Turns {
    /// Number of jobs that were taken, that have begun, and that have ended.
    taken: usize,
    begun: usize,
    ended: usize,
}

/// The jobs of one worker.
struct Queue {
    size: Size,
    turns: Mutex<Turns>,
    changed: Condvar,
}

impl Queue {
    /// Takes a job; returns its place, or `None` if the worker is full.
    fn take(&self) -> Option<usize> {
        let mut turns = self.turns.lock().unwrap();
        if turns.taken - turns.ended >= self.size.slots + self.size.queue {
            return None;
        }
        turns.taken += 1;
        Some(turns.taken)
    }

    /// Waits until the job at this place has a slot.
    fn begin(&self, place: usize) {
        let turns = self.turns.lock().unwrap();
        let wait = |turns: &mut Turns| {
            place > turns.begun + 1 || turns.begun - turns.ended >= self.size.slots
        };
        let mut turns = self.changed.wait_while(turns, wait).unwrap();
        turns.begun += 1;
        self.changed.notify_all();
    }

    fn end(&self) {
        self.turns.lock().unwrap().ended += 1;
        self.changed.notify_all();
    }
}

pub type Behaviour = Arc<dyn Fn(&Posting) -> Reply + Send + Sync>;

#[derive(Default)]
pub struct Seen {
    pub postings: Vec<Posting>,
    /// Number of times that the effect of a request took place, by id.
    pub effects: HashMap<String, usize>,
    /// Time of the first answer "full" for each request.
    pub full_at: HashMap<String, Duration>,
}

/// What all workers of a case saw.
pub type Log = Arc<Mutex<Seen>>;

pub struct Worker {
    pub name: String,
    pub address: SocketAddr,
    process: Arc<Process>,
}

/// The process of a worker: what ends with it.
struct Process {
    queue: Queue,
    ended: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    /// Requests that it has taken and not answered.
    held: Mutex<Vec<Posting>>,
}

impl Process {
    fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }
}

impl Worker {
    pub fn start(
        name: &str,
        record: &Record,
        log: &Log,
        size: Size,
        behaviour: Behaviour,
    ) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let process = Arc::new(Process {
            queue: Queue {
                size,
                turns: Mutex::default(),
                changed: Condvar::new(),
            },
            ended: AtomicBool::new(false),
            streams: Mutex::default(),
            held: Mutex::default(),
        });
        let worker = Worker {
            name: name.to_string(),
            address,
            process: process.clone(),
        };
        let (name, record, log) = (name.to_string(), record.clone(), log.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if process.has_ended() {
                    return;
                }
                process.streams.lock().unwrap().extend(stream.try_clone());
                let (name, record, log) = (name.clone(), record.clone(), log.clone());
                let (behaviour, process) = (behaviour.clone(), process.clone());
                thread::spawn(move || {
                    serve(
                        Connection::new(stream),
                        &name,
                        &record,
                        &log,
                        &process,
                        &behaviour,
                    )
                });
            }
        });
        worker
    }

    /// Ends the process as soon as it holds a request of this class, or after `limit`: it refuses
    /// connections, those that are open end, and what it holds is lost. Returns the ids of what it held.
    pub fn end_while_busy(&self, class: &str, limit: Duration) -> Vec<String> {
        let until = Instant::now() + limit;
        let is_busy = || {
            self.process
                .held
                .lock()
                .unwrap()
                .iter()
                .any(|posting| posting.class == class)
        };
        while !is_busy() && Instant::now() < until {
            thread::sleep(Duration::from_millis(1));
        }
        let held = self.process.held.lock().unwrap();
        let held = held.iter().map(|posting| posting.id.clone()).collect();
        self.process.ended.store(true, Ordering::SeqCst);
        for stream in self.process.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Lets the thread that accepts drop its listener.
        let _ = TcpStream::connect(self.address);
        held
    }

    /// Entry of the worker in the list of discovery.
    pub fn entry(&self, site: &str, block: u16, health: &str) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{site}\",\"class\":\"m1\",\"block\":{block},\
             \"health\":\"{health}\",\"share\":1.0,\"born_ms\":0}}",
            self.name, self.address
        )
    }
}

fn serve(
    mut connection: Connection,
    name: &str,
    record: &Record,
    log: &Log,
    process: &Process,
    behaviour: &Behaviour,
) {
    while let Ok(request) = connection.read(None) {
        if request.first_line.starts_with("GET ") {
            let health = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
            if connection.write(health).is_err() {
                return;
            }
            continue;
        }
        let posting = note(&request, name, record, log);
        let place = process.queue.take();
        let reply = place.map_or(Reply::Full, |_| behaviour(&posting));
        record.line_at(
            posting.last_byte,
            &format!(
                "worker {name}: posting {} of {} {} (its first byte at {:.4}, states a time-out of {:.3} s) -> {reply:?}",
                posting.number,
                short(&posting.id),
                posting.class,
                posting.first_byte.as_secs_f64(),
                posting.timeout
            ),
        );
        process.held.lock().unwrap().push(posting.clone());
        let answered = answer(
            &mut connection,
            &posting,
            reply,
            place,
            process,
            record,
            log,
        );
        process
            .held
            .lock()
            .unwrap()
            .retain(|held| held.id != posting.id);
        if place.is_some() {
            process.queue.end();
        }
        if answered.is_none() {
            return;
        }
    }
}

fn note(request: &Message, name: &str, record: &Record, log: &Log) -> Posting {
    let now = record.now();
    let before = |at: Instant| now.saturating_sub(at.elapsed());
    let id = request.header("Request-Id").unwrap_or("").to_string();
    let (class, run_ms) = request
        .target()
        .split_once("?ms=")
        .unwrap_or((request.target(), ""));
    let class = class.trim_start_matches('/').to_string();
    let run_ms = run_ms.parse().unwrap_or(0);
    let mut seen = log.lock().unwrap();
    let number = seen
        .postings
        .iter()
        .filter(|posting| posting.id == id)
        .count()
        + 1;
    let posting = Posting {
        id,
        worker: name.to_string(),
        class,
        run: Duration::from_millis(run_ms),
        first_byte: before(request.first_byte),
        last_byte: before(request.last_byte),
        timeout: request
            .header("Request-Timeout")
            .and_then(|t| t.parse().ok())
            .unwrap_or(0.0),
        number,
    };
    seen.postings.push(posting.clone());
    posting
}

/// An id as the record shows it.
fn short(id: &str) -> String {
    id.chars().take(24).collect()
}

/// Answers a posting once its job has begun and ended. Returns `None` if the connection or the worker has
/// ended; the job runs also where only the connection has.
fn answer(
    connection: &mut Connection,
    posting: &Posting,
    reply: Reply,
    place: Option<usize>,
    process: &Process,
    record: &Record,
    log: &Log,
) -> Option<()> {
    let effect = |what: &str| {
        let mut seen = log.lock().unwrap();
        let count = seen.effects.entry(posting.id.clone()).or_default();
        *count += 1;
        record.line(&format!(
            "worker {}: {what} {}, effect number {count} of this request",
            posting.worker,
            short(&posting.id)
        ));
    };
    match reply {
        Reply::Full => full(connection, posting, record, log),
        Reply::ShedBegun => {
            place
                .into_iter()
                .for_each(|place| process.queue.begin(place));
            thread::sleep(posting.run);
            effect("ran and then shed");
            full(connection, posting, record, log)
        }
        Reply::Done => {
            let head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
            let head = connection.write(head).ok();
            place
                .into_iter()
                .for_each(|place| process.queue.begin(place));
            let started = line(connection, posting, "started", "");
            thread::sleep(posting.run);
            if process.has_ended() {
                return None;
            }
            effect("ran");
            let end = line(
                connection,
                posting,
                "done",
                &format!(",\"result\":\"result of {}\"", posting.id),
            );
            head.and(started).and(end)?;
            connection.write(b"0\r\n\r\n").ok()
        }
    }
}

fn full(connection: &mut Connection, posting: &Posting, record: &Record, log: &Log) -> Option<()> {
    let mut seen = log.lock().unwrap();
    seen.full_at
        .entry(posting.id.clone())
        .or_insert(record.now());
    drop(seen);
    let message =
        b"HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
    connection.write(message).ok()
}

fn line(connection: &mut Connection, posting: &Posting, state: &str, more: &str) -> Option<()> {
    let text = format!(
        "{{\"id\":\"{}\",\"from\":\"{}\",\"state\":\"{state}\"{more}}}\n",
        posting.id, posting.worker
    );
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    connection.write(chunk.as_bytes()).ok()
}
