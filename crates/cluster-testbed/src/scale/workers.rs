//! Simulated workers: many in one process, each with a separate address, concurrency slots, one queue in order of arrival,
//! and a slow start after a replacement. The body of a request has its service time, the time it was sent and its urgency, as
//! `MICROSECONDS UNIX_NANOSECONDS URGENCY`. Its id begins with the number of the dispatcher, `dN-`, which determines the
//! latency.
mod report;
mod request;

pub use report::{StartTimes, WorkersReport};

use super::control::{Answer, Command, Commands, SimulationError, announce_ports};
use super::http::{MessageReader, listen, unix_nanos};
use super::topology::{Latencies, Partition, zone};
use crate::worker::SlowStart;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt};
use report::Recorder;
use request::Request;
use std::cell::{Cell, RefCell};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Poll interval of a message that waits for the end of a partition.
const PARTITION_POLL: Duration = Duration::from_millis(50);
/// Poll interval of a connection for the loss of its worker.
const LOSS_POLL: Duration = Duration::from_millis(200);

/// Configuration of the workers of a process.
#[derive(Clone, Copy, Debug)]
pub struct WorkersConfig {
    /// Number of workers.
    pub count: usize,
    /// Concurrency slots per worker.
    pub slots: usize,
    /// Latencies between the zones of dispatchers and workers.
    pub latencies: Latencies,
    /// Slow start of replaced workers.
    pub slow_start: SlowStart,
}

/// Work that a replaced worker received, during its warm-up or later.
struct ReceivedWork {
    at: Instant,
    work_s: f64,
}

struct Worker {
    number: usize,
    free_slots: Receiver<()>,
    release_slot: Sender<()>,
    warm_up_started_at: Cell<Option<Instant>>,
    received_since_replacement: RefCell<Vec<ReceivedWork>>,
    lost: Cell<bool>,
}

impl Worker {
    fn new(number: usize, slots: usize) -> Worker {
        let (release_slot, free_slots) = async_channel::bounded(slots);
        for _ in 0..slots {
            let _ = release_slot.try_send(());
        }
        Worker {
            number,
            free_slots,
            release_slot,
            warm_up_started_at: Cell::default(),
            received_since_replacement: RefCell::default(),
            lost: Cell::default(),
        }
    }

    /// Replaces the worker by a new one at the same address, which has to warm up.
    fn replace(&self) {
        self.warm_up_started_at.set(Some(Instant::now()));
        self.received_since_replacement.borrow_mut().clear();
        self.lost.set(false);
    }

    /// Returns the largest ratio, over all windows since the replacement, of the work received to the overload
    /// limit; 0 for a worker that was not replaced.
    fn worst_window(&self, config: &WorkersConfig) -> f64 {
        let Some(started) = self.warm_up_started_at.get() else {
            return 0.0;
        };
        let slow_start = &config.slow_start;
        let limit_s = |at: Instant| {
            let warm_rate = slow_start.overload_multiple * config.slots as f64;
            let age = at.saturating_duration_since(started);
            warm_rate * slow_start.capacity_share(age) * slow_start.window.as_secs_f64()
        };
        let received = self.received_since_replacement.borrow();
        let window_share = |at: Instant| {
            let within = received
                .iter()
                .filter(|work| work.at <= at && at - work.at < slow_start.window);
            within.map(|work| work.work_s).sum::<f64>() / limit_s(at)
        };
        let shares = received.iter().map(|work| window_share(work.at));
        shares.fold(0.0, f64::max)
    }
}

/// A concurrency slot in use by a request, which is released on drop.
struct OccupiedSlot<'a> {
    release: &'a Sender<()>,
    recorder: &'a Recorder,
}

impl Drop for OccupiedSlot<'_> {
    fn drop(&mut self) {
        self.recorder.change(|report| report.running -= 1);
        let _ = self.release.try_send(());
    }
}

struct Workers {
    executor: Rc<LocalExecutor<'static>>,
    config: WorkersConfig,
    workers: Vec<Worker>,
    partition: Cell<Option<Partition>>,
    recorder: Recorder,
}

impl Workers {
    async fn accept(self: Rc<Self>, number: usize, listener: Async<TcpListener>) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            if self.workers[number].lost.get() || stream.get_ref().set_nodelay(true).is_err() {
                continue;
            }
            let serving = self.clone().serve_until_lost(number, stream);
            self.executor.spawn(serving).detach();
        }
    }

    async fn serve_until_lost(self: Rc<Self>, number: usize, stream: Async<TcpStream>) {
        self.recorder.change(|report| {
            report.connections += 1;
            report.connects += 1;
        });
        let worker = &self.workers[number];
        let lost = async {
            while !worker.lost.get() {
                Timer::after(LOSS_POLL).await;
            }
            None
        };
        self.serve(worker, stream).or(lost).await;
        self.recorder.change(|report| report.connections -= 1);
    }

    /// Serves a connection until it is closed.
    async fn serve(&self, worker: &Worker, mut stream: Async<TcpStream>) -> Option<()> {
        let mut reader = MessageReader::default();
        let count_read = |count| {
            self.recorder
                .change(|report| report.bytes_in += count as u64)
        };
        loop {
            let message = reader.next(&mut stream, count_read).await?;
            let request = Request::parse(&message)?;
            self.run(worker, &request, &mut stream).await?;
        }
    }

    /// Runs one request; `None` ends the connection.
    async fn run(
        &self,
        worker: &Worker,
        request: &Request,
        stream: &mut Async<TcpStream>,
    ) -> Option<()> {
        let latency = self
            .config
            .latencies
            .between(zone(request.dispatcher), zone(worker.number));
        self.travel(worker, request, latency).await?;
        let slot = self.wait_for_slot(worker, request).await?;
        let start_delay_us = unix_nanos().saturating_sub(request.sent_unix_ns) / 1_000;
        self.recorder.record_start(request.urgent, start_delay_us);
        let duration = self.run_duration(worker, request);
        // The response that reports the start arrives after the latency.
        Timer::after(latency.min(duration)).await;
        self.write(stream, &request.started_response()).await?;
        Timer::after(duration.saturating_sub(latency)).await;
        drop(slot);
        self.recorder.change(|report| report.ended += 1);
        self.travel(worker, request, latency).await?;
        self.write(stream, &request.done_response()).await
    }

    /// Waits for the latency, and until no partition separates the two zones, as retransmission delays messages until a
    /// partition heals. `None` if the worker has been lost by then.
    async fn travel(&self, worker: &Worker, request: &Request, latency: Duration) -> Option<()> {
        Timer::after(latency).await;
        let (from, to) = (zone(request.dispatcher), zone(worker.number));
        while self
            .partition
            .get()
            .is_some_and(|partition| partition.separates(from, to))
        {
            Timer::after(PARTITION_POLL).await;
        }
        (!worker.lost.get()).then_some(())
    }

    async fn wait_for_slot<'a>(
        &'a self,
        worker: &'a Worker,
        request: &Request,
    ) -> Option<OccupiedSlot<'a>> {
        if worker.warm_up_started_at.get().is_some() {
            worker
                .received_since_replacement
                .borrow_mut()
                .push(ReceivedWork {
                    at: Instant::now(),
                    work_s: request.work.as_secs_f64(),
                });
        }
        self.recorder.change(|report| report.waiting += 1);
        let free = worker.free_slots.recv().await;
        self.recorder.change(|report| report.waiting -= 1);
        free.ok()?;
        self.recorder.change(|report| {
            report.started += 1;
            report.running += 1;
            report.max_running = report.max_running.max(report.running);
        });
        Some(OccupiedSlot {
            release: &worker.release_slot,
            recorder: &self.recorder,
        })
    }

    fn run_duration(&self, worker: &Worker, request: &Request) -> Duration {
        let capacity_share = worker.warm_up_started_at.get().map_or(1.0, |started| {
            self.config.slow_start.capacity_share(started.elapsed())
        });
        Duration::from_secs_f64(request.work.as_secs_f64() / capacity_share)
    }

    async fn write(&self, stream: &mut Async<TcpStream>, text: &str) -> Option<()> {
        self.recorder
            .change(|report| report.bytes_out += text.len() as u64);
        stream.write_all(text.as_bytes()).await.ok()
    }

    fn answer(&self, command: &Command) -> Result<Answer, SimulationError> {
        let worker = || self.workers.get(command.number(0)?);
        match command.name() {
            "begin" => self.recorder.reset()?,
            "report" => return Answer::report(&self.report()),
            "replace" => worker().into_iter().for_each(Worker::replace),
            "lose" => worker()
                .into_iter()
                .for_each(|worker| worker.lost.set(true)),
            "cut" => self.partition.set(Some(Partition {
                one: command.number(0).unwrap_or(usize::MAX),
                other: command.number(1).unwrap_or(usize::MAX),
            })),
            "heal" => self.partition.set(None),
            _ => return Err(command.unknown()),
        }
        Ok(Answer::Done)
    }

    fn report(&self) -> WorkersReport {
        let worst = self
            .workers
            .iter()
            .map(|worker| worker.worst_window(&self.config));
        let replaced = self
            .workers
            .iter()
            .filter(|worker| worker.warm_up_started_at.get().is_some());
        WorkersReport {
            worst_window: worst.fold(0.0, f64::max),
            replaced_workers: replaced.count() as u64,
            ..self.recorder.report()
        }
    }
}

/// Runs workers until standard input ends. The first line on standard output reports the port of each worker.
pub fn run(config: WorkersConfig) -> Result<(), SimulationError> {
    let executor = Rc::new(LocalExecutor::new());
    let workers = Rc::new(Workers {
        executor: executor.clone(),
        config,
        workers: (0..config.count)
            .map(|number| Worker::new(number, config.slots))
            .collect(),
        partition: Cell::new(None),
        recorder: Recorder::new()?,
    });
    let mut ports = Vec::new();
    for number in 0..config.count {
        let (listener, port) = listen()?;
        ports.push(port);
        executor
            .spawn(workers.clone().accept(number, listener))
            .detach();
    }
    let commands = Commands::from_stdin();
    announce_ports(&ports);
    let answering = commands.answer_all(|command| workers.answer(command));
    async_io::block_on(executor.run(answering))
}
