//! A worker with seats and one queue, first come first served, that warms up, falls over, drains, hangs and breaks as
//! told. It writes down what it was sent and what it ran: the judge reads nothing else of it.
use crate::error::RigError;
use crate::stand::{field, message};
use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How a process starts cold: the part of its work it can do at first, how long until it can do all, and the multiple
/// of what it can do, sent within the window, at which it falls over.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    pub from: f64,
    pub time: Duration,
    pub multiple: f64,
    pub window: Duration,
}

impl Cold {
    /// The part of its full work that it can do so long after its start.
    pub fn warmth(&self, age: Duration) -> f64 {
        (self.from + (1.0 - self.from) * age.as_secs_f64() / self.time.as_secs_f64().max(1e-9))
            .min(1.0)
    }
}

/// One posting as the worker saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Instant,
    pub id: String,
    /// Seconds of one seat, warm.
    pub work: f64,
}

#[derive(Default)]
pub struct Record {
    pub sent: Vec<Sent>,
    /// The ids of what began to run, with the moment.
    pub ran: Vec<(String, Instant)>,
    /// Seconds of work ended.
    pub done: f64,
    turn: u64,
    next: u64,
    running: usize,
    hangs: bool,
    resets: bool,
    loses: bool,
}

pub struct Worker {
    pub dial: String,
    pub seats: usize,
    /// When this process was born, if it starts cold.
    pub born: Option<Instant>,
    pub cold: Cold,
    record: Mutex<Record>,
    news: Condvar,
    over: AtomicBool,
}

impl Worker {
    pub fn start(seats: usize, born: Option<Instant>, cold: Cold) -> Result<Arc<Worker>, RigError> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(RigError::Socket)?;
        let dial = listener.local_addr().map_err(RigError::Socket)?.to_string();
        let (record, news) = Default::default();
        let worker = Arc::new(Worker {
            dial,
            seats,
            born,
            cold,
            record,
            news,
            over: AtomicBool::new(false),
        });
        let own = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if own.over.load(Ordering::Relaxed) {
                    return;
                }
                let own = own.clone();
                thread::spawn(move || while own.serve(&stream).is_some() {});
            }
        });
        Ok(worker)
    }

    pub fn read<T>(&self, with: impl FnOnce(&Record) -> T) -> T {
        with(&self.record.lock().unwrap_or_else(|held| held.into_inner()))
    }

    fn change(&self, with: impl FnOnce(&mut Record)) {
        with(&mut self.record.lock().unwrap_or_else(|held| held.into_inner()));
        self.news.notify_all();
    }

    /// Takes in postings and says nothing to them.
    pub fn hang(&self, hangs: bool) {
        self.change(|record| record.hangs = hangs);
    }

    /// Breaks each connection as a posting has come whole, before it runs.
    pub fn reset(&self, resets: bool) {
        self.change(|record| record.resets = resets);
    }

    /// Runs what it gets and breaks the connection before the answer.
    pub fn lose(&self, loses: bool) {
        self.change(|record| record.loses = loses);
    }

    /// Takes no connection from here on.
    pub fn end(&self) {
        self.over.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(&self.dial);
        self.change(|record| record.resets = true);
    }

    /// What it can do of its full work now.
    pub fn warmth(&self, at: Instant) -> f64 {
        self.born.map_or(1.0, |born| {
            self.cold.warmth(at.saturating_duration_since(born))
        })
    }

    fn serve(&self, mut stream: &TcpStream) -> Option<()> {
        let (head, body) = message(&mut BufReader::new(stream))?;
        let id = field(&head, "request-id")?;
        let work = std::str::from_utf8(&body)
            .ok()?
            .trim()
            .parse::<f64>()
            .unwrap_or(0.0)
            / 1e6;
        let mut record = self.record.lock().ok()?;
        record.sent.push(Sent {
            at: Instant::now(),
            id: id.clone(),
            work,
        });
        if record.resets {
            return None;
        }
        if record.hangs {
            drop(record);
            let _ = stream.read(&mut [0]);
            return None;
        }
        let turn = record.turn;
        record.turn += 1;
        let mut record = self
            .news
            .wait_while(record, |r| r.next < turn || r.running >= self.seats)
            .ok()?;
        (record.next, record.running) = (turn + 1, record.running + 1);
        record.ran.push((id.clone(), Instant::now()));
        let loses = record.loses;
        drop(record);
        self.news.notify_all();
        let chunk = |state: &str| {
            let line = format!(
                "{{\"id\":\"{id}\",\"from\":\"w\",\"state\":\"{state}\",\"result\":\"\"}}\n"
            );
            format!("{:x}\r\n{line}\r\n", line.len())
        };
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let started = stream.write_all(format!("{head}{}", chunk("started")).as_bytes());
        thread::sleep(Duration::from_secs_f64(work / self.warmth(Instant::now())));
        self.change(|record| {
            (record.running, record.done) = (record.running - 1, record.done + work)
        });
        if loses {
            return None;
        }
        started
            .and_then(|()| stream.write_all(format!("{}0\r\n\r\n", chunk("done")).as_bytes()))
            .ok()
    }
}
