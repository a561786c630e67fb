//! Hollow workers: any number of addresses in one process, each with seats, one queue in the order of coming, and a slow start
//! where it is new. What it is sent says how long it runs and when its client meant it to begin, as `MICROSECONDS
//! UNIX_NANOSECONDS CLASS`; its id begins with the dispatcher's number, `dN-`, by which its way is as long as the map says.
use crate::scale::child::Asked;
use crate::scale::map::{Cut, Ways, zone};
use crate::worker::SlowStart;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Times to start of one class of work, in ms, from the moment at which its client meant it to.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Starts {
    pub count: u64,
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub most: f64,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WorkersReport {
    pub usual: Starts,
    pub urgent: Starts,
    pub started: u64,
    pub ended: u64,
    pub running: u64,
    pub most_running: u64,
    pub waiting: u64,
    pub connections: u64,
    pub connects: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    /// The most work in a window of any cold worker, over what it bears there; and how many were replaced.
    pub cold_worst: f64,
    pub cold: u64,
}

struct One {
    number: usize,
    seats: (Sender<()>, Receiver<()>),
    born: Cell<Option<Instant>>,
    /// What came while it was cold.
    sent: RefCell<Vec<(Instant, f64)>>,
    lost: Cell<bool>,
}

struct Fleet {
    ex: Rc<LocalExecutor<'static>>,
    ways: Ways,
    cold: SlowStart,
    seats: usize,
    ones: Vec<One>,
    cut: Cell<Option<Cut>>,
    usual: RefCell<Histogram<u64>>,
    urgent: RefCell<Histogram<u64>>,
    report: RefCell<WorkersReport>,
}

fn starts(histogram: &Histogram<u64>) -> Starts {
    let at = |part| histogram.value_at_quantile(part) as f64 / 1e3;
    let most = histogram.max() as f64 / 1e3;
    Starts {
        count: histogram.len(),
        p50: at(0.5),
        p90: at(0.9),
        p99: at(0.99),
        p999: at(0.999),
        most,
    }
}

fn histogram() -> Result<Histogram<u64>, String> {
    Histogram::new_with_bounds(1, 600_000_000, 3).map_err(|error| error.to_string())
}

struct Posting {
    id: String,
    from: usize,
    work: Duration,
    meant: u64,
    urgent: bool,
}

fn posting(head: &str, body: &str) -> Option<Posting> {
    let id = crate::stand::field(head, "request-id")?;
    let from = id.strip_prefix('d')?.split_once('-')?.0.parse().ok()?;
    let mut words = body.split(' ');
    let work = Duration::from_micros(words.next()?.parse().ok()?);
    let meant = words.next()?.parse().ok()?;
    Some(Posting {
        id,
        from,
        work,
        meant,
        urgent: words.next()? == "urgent",
    })
}

impl Fleet {
    /// Serves a connection until it ends.
    async fn serve(&self, one: &One, mut stream: Async<TcpStream>) -> Option<()> {
        let (mut bytes, mut chunk) = (Vec::new(), [0; 2048]);
        loop {
            let end = loop {
                if let Some(end) = crate::scale::child::message_end(&bytes) {
                    break end;
                }
                let count = stream
                    .read(&mut chunk)
                    .await
                    .ok()
                    .filter(|count| *count > 0)?;
                self.report.borrow_mut().bytes_in += count as u64;
                bytes.extend_from_slice(&chunk[..count]);
            };
            let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
            bytes.drain(..end);
            let (head, body) = text.split_once("\r\n\r\n")?;
            self.run(one, posting(head, body)?, &mut stream).await?;
        }
    }

    /// Holds what passes between regions that are cut from each other, as a network does that is mended later.
    async fn passes(&self, one: &One, from: usize) {
        while self
            .cut
            .get()
            .is_some_and(|cut| cut.parts(zone(from), zone(one.number)))
        {
            Timer::after(Duration::from_millis(50)).await;
        }
    }

    async fn run(&self, one: &One, posting: Posting, stream: &mut Async<TcpStream>) -> Option<()> {
        let way = self.ways.between(zone(posting.from), zone(one.number));
        Timer::after(way).await;
        self.passes(one, posting.from).await;
        if one.lost.get() {
            return None;
        }
        let work = posting.work.as_secs_f64();
        if one.born.get().is_some() {
            one.sent.borrow_mut().push((Instant::now(), work));
        }
        self.report.borrow_mut().waiting += 1;
        let seat = one.seats.1.recv().await;
        self.report.borrow_mut().waiting -= 1;
        seat.ok()?;
        // Given back however this ends.
        let _seat = Seat(&one.seats.0, &self.report);
        {
            let mut report = self.report.borrow_mut();
            (report.started, report.running) = (report.started + 1, report.running + 1);
            report.most_running = report.most_running.max(report.running);
        }
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_nanos() as u64;
        let late = now.saturating_sub(posting.meant) / 1_000;
        let starts = if posting.urgent {
            &self.urgent
        } else {
            &self.usual
        };
        starts.borrow_mut().saturating_record(late.max(1));
        let id = &posting.id;
        let line = |state: &str| {
            let line = format!(
                "{{\"id\":\"{id}\",\"from\":\"w\",\"state\":\"{state}\",\"result\":\"\"}}\n"
            );
            format!("{:x}\r\n{line}\r\n", line.len())
        };
        let warmth = one
            .born
            .get()
            .map_or(1.0, |born| self.cold.capacity_share(born.elapsed()));
        let run = Duration::from_secs_f64(work / warmth);
        Timer::after(way.min(run)).await;
        let started = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}",
            line("started")
        );
        self.write(stream, &started).await?;
        Timer::after(run.saturating_sub(way)).await;
        drop(_seat);
        self.report.borrow_mut().ended += 1;
        Timer::after(way).await;
        self.passes(one, posting.from).await;
        if one.lost.get() {
            return None;
        }
        self.write(stream, &format!("{}0\r\n\r\n", line("done")))
            .await
    }

    async fn write(&self, stream: &mut Async<TcpStream>, text: &str) -> Option<()> {
        self.report.borrow_mut().bytes_out += text.len() as u64;
        stream.write_all(text.as_bytes()).await.ok()
    }

    async fn listen(self: Rc<Self>, number: usize, listener: Async<TcpListener>) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let fleet = self.clone();
            if self.ones[number].lost.get() || stream.get_ref().set_nodelay(true).is_err() {
                continue;
            }
            let serving = async move {
                {
                    let mut report = fleet.report.borrow_mut();
                    (report.connections, report.connects) =
                        (report.connections + 1, report.connects + 1);
                }
                let one = &fleet.ones[number];
                let lost = async {
                    while !one.lost.get() {
                        Timer::after(Duration::from_millis(200)).await;
                    }
                    None
                };
                fleet.serve(one, stream).or(lost).await;
                fleet.report.borrow_mut().connections -= 1;
            };
            self.ex.spawn(serving).detach();
        }
    }

    /// The most work of any window over what the worker bears there.
    fn cold_worst(&self) -> f64 {
        let bears = |age: Duration| {
            self.cold.overload_multiple * self.seats as f64 * self.cold.capacity_share(age)
        };
        let worst = |one: &One| {
            let Some(born) = one.born.get() else {
                return 0.0;
            };
            let sent = one.sent.borrow();
            let window = |at: &Instant| {
                let inside = sent
                    .iter()
                    .filter(|(when, _)| when <= at && *at - *when < self.cold.window);
                let work: f64 = inside.map(|(_, work)| work).sum();
                work / (bears(at.saturating_duration_since(born)) * self.cold.window.as_secs_f64())
            };
            sent.iter().map(|(at, _)| window(at)).fold(0.0, f64::max)
        };
        self.ones.iter().map(worst).fold(0.0, f64::max)
    }

    fn answer(&self, words: &[&str]) -> Result<String, String> {
        let number = |at: usize| {
            words
                .get(at)
                .and_then(|word| word.parse::<usize>().ok())
                .unwrap_or(usize::MAX)
        };
        match words[0] {
            // What is measured is measured from here on.
            "begin" => {
                (*self.usual.borrow_mut(), *self.urgent.borrow_mut()) =
                    (histogram()?, histogram()?);
                let mut report = self.report.borrow_mut();
                let WorkersReport {
                    running,
                    waiting,
                    connections,
                    ..
                } = *report;
                *report = WorkersReport {
                    running,
                    waiting,
                    connections,
                    ..WorkersReport::default()
                };
                report.most_running = running;
            }
            "report" => {
                let mut report = self.report.borrow().clone();
                (report.usual, report.urgent) =
                    (starts(&self.usual.borrow()), starts(&self.urgent.borrow()));
                report.cold_worst = self.cold_worst();
                report.cold = self
                    .ones
                    .iter()
                    .filter(|one| one.born.get().is_some())
                    .count() as u64;
                return serde_json::to_string(&report).map_err(|error| error.to_string());
            }
            // One process ends and another begins at its address.
            "replace" => {
                if let Some(one) = self.ones.get(number(1)) {
                    one.born.set(Some(Instant::now()));
                    one.sent.borrow_mut().clear();
                    one.lost.set(false);
                }
            }
            "lose" => self
                .ones
                .get(number(1))
                .into_iter()
                .for_each(|one| one.lost.set(true)),
            "cut" => self.cut.set(Some(Cut(number(1), number(2)))),
            "heal" => self.cut.set(None),
            other => return Err(format!("no such word: {other}")),
        }
        Ok("{}".to_string())
    }
}

struct Seat<'a>(&'a Sender<()>, &'a RefCell<WorkersReport>);

impl Drop for Seat<'_> {
    fn drop(&mut self) {
        self.1.borrow_mut().running -= 1;
        let _ = self.0.try_send(());
    }
}

/// Runs them until standard input ends. The first line out has their ports.
pub fn run(count: usize, seats: usize, ways: Ways, cold: SlowStart) -> Result<(), String> {
    let ex = Rc::new(LocalExecutor::new());
    let one = |number| {
        let seat = async_channel::bounded(seats);
        (0..seats).for_each(|_| {
            let _ = seat.0.try_send(());
        });
        One {
            number,
            seats: seat,
            born: Cell::default(),
            sent: RefCell::default(),
            lost: Cell::default(),
        }
    };
    let ones: Vec<One> = (0..count).map(one).collect();
    let (usual, urgent) = (RefCell::new(histogram()?), RefCell::new(histogram()?));
    let report = RefCell::default();
    let fleet = Fleet {
        ex: ex.clone(),
        ways,
        cold,
        seats,
        ones,
        cut: Cell::new(None),
        usual,
        urgent,
        report,
    };
    let fleet = Rc::new(fleet);
    let mut ports = Vec::new();
    for number in 0..count {
        let listener =
            Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).map_err(|error| error.to_string())?;
        ports.push(
            listener
                .get_ref()
                .local_addr()
                .map_err(|error| error.to_string())?
                .port(),
        );
        ex.spawn(fleet.clone().listen(number, listener)).detach();
    }
    let asked = Asked::new();
    println!("{}", serde_json::json!({ "ports": ports }));
    async_io::block_on(ex.run(asked.answer(|words| fleet.answer(words))))
}
