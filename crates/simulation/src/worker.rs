//! A simulated worker: concurrency slots, a first-in-first-out queue, slow start, and injected
//! faults.
mod execution;
mod malformed;
mod wire;

use crate::checker::{AttemptOrigin, AttemptTarget, WorkArrival, WorkerIndex};
use crate::context::Context;
use crate::fault_interval::FaultInterval;
use crate::http::{Message, MessageReader};
use crate::kernel::ENVIRONMENT;
use crate::network::{HostId, VirtualListener, VirtualStream, random_connection_delay};
use crate::scenario::{Scenario, WorkerSpec};
use crate::time::MS;
use crate::timeline::TimelineEvent;
use async_channel::{Receiver, Sender};
use execution::Execution;
use futures_lite::{AsyncWriteExt, FutureExt};
use rosewall::types::Nanos;
use rosewall_runtime::traits::{Listener, Readiness, Stream};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

/// The probability, for each awaited request to which the fault of malformed responses applies,
/// that a worker answers before it has read the request.
const EARLY_RESPONSE_SHARE: f64 = 0.05;

/// The injected faults of one worker.
#[derive(Default)]
pub struct WorkerFaults {
    /// The time until which the worker is stalled; it processes nothing before.
    pub stalled_until: Nanos,
    /// The service time is multiplied by `share`.
    pub slow: FaultInterval,
    /// Attempts are answered with status 500.
    pub errors: FaultInterval,
    /// Attempts are never answered.
    pub unresponsive: FaultInterval,
    /// Attempts are rejected, as at capacity.
    pub at_capacity: FaultInterval,
    /// Responses are malformed.
    pub malformed: FaultInterval,
    /// Attempts of [`Self::failing_class`] are answered with status 500.
    pub class_failures: FaultInterval,
    /// The class affected by [`Self::class_failures`].
    pub failing_class: usize,
    /// Connections are accepted late.
    pub late_accepts: FaultInterval,
    /// Attempts with a key run, and are reset shortly before the end of the retry window.
    pub reset_before_window_end: FaultInterval,
}

/// The start parameters of a worker's process.
pub struct ProcessStart {
    /// The index of the worker in the scenario.
    pub worker: WorkerIndex,
    /// The listen address.
    pub address: SocketAddr,
    /// The start time in Unix nanoseconds; 0 for a process that started long before the simulation.
    pub started_at: Nanos,
    /// Receives the worker's index when the worker is overloaded.
    pub overloaded: Sender<WorkerIndex>,
}

/// One incarnation of a worker, from the start of its process to the end.
pub struct WorkerProcess {
    context: Rc<Context>,
    start: ProcessStart,
    spec: WorkerSpec,
    host: HostId,
    idle_timeout: Nanos,
    /// The faults that are injected into this process.
    pub faults: RefCell<WorkerFaults>,
    /// Whether the process is draining.
    pub draining: Cell<bool>,
    rejects_while_draining: Cell<bool>,
    running: Cell<usize>,
    queue: RefCell<VecDeque<Sender<()>>>,
    results_produced: Cell<u64>,
    /// Dropped when the process ends, which ends all its tasks.
    alive: RefCell<Option<Sender<()>>>,
    ended: Receiver<()>,
}

/// What follows for a connection after a response.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Persistence {
    KeepOpen,
    Close,
    Reset,
}

/// The effects of the active faults on one attempt.
struct AttemptFaults {
    at_capacity: bool,
    fails: bool,
    unresponsive: bool,
    malformed: bool,
}

/// Parses a time in seconds.
fn parse_seconds(text: &str) -> Option<Nanos> {
    let seconds: f64 = text.parse().ok()?;
    Some((seconds * 1e9) as Nanos)
}

/// Waits until the other side has closed the connection.
async fn wait_until_closed(stream: &VirtualStream) {
    if stream.readable().await.is_ok() && stream.readiness() != Readiness::Closed {
        // The readable bytes belong to a pipelined request, which stays unread; a close after it is
        // not detected.
        std::future::pending::<()>().await;
    }
}

impl WorkerProcess {
    /// Starts a process on a new host.
    pub fn start(context: &Rc<Context>, scenario: &Scenario, start: ProcessStart) -> Rc<Self> {
        let host = context.network.add_host();
        let (alive, ended) = async_channel::bounded(1);
        let spec = scenario.workers[start.worker].clone();
        if start.started_at > 0 {
            let capacity = spec.slots as f64 * spec.speed;
            let mut checker = context.checker.borrow_mut();
            checker.worker_started(start.worker, start.started_at, capacity);
        }
        let idle_ns = scenario.limits.idle_ms as f64 * MS as f64 * spec.idle_timeout_factor;
        let address = start.address;
        let process = Rc::new(WorkerProcess {
            context: context.clone(),
            start,
            spec,
            host,
            idle_timeout: idle_ns as Nanos,
            faults: RefCell::default(),
            draining: Cell::new(false),
            rejects_while_draining: Cell::new(false),
            running: Cell::new(0),
            queue: RefCell::default(),
            results_produced: Cell::new(0),
            alive: RefCell::new(Some(alive)),
            ended,
        });
        let listener = context.network.listen(host, address, scenario.net.backlog);
        process.clone().spawn(process.clone().accept(listener));
        process
    }

    /// Returns the host of the process.
    pub fn host(&self) -> HostId {
        self.host
    }

    /// Returns the listen address.
    pub fn address(&self) -> SocketAddr {
        self.start.address
    }

    /// Returns the start time; 0 for a process that started long before the simulation.
    pub fn started_at(&self) -> Nanos {
        self.start.started_at
    }

    /// Returns the worker's specification in the scenario.
    pub fn spec(&self) -> &WorkerSpec {
        &self.spec
    }

    /// Returns whether the process has not ended.
    pub fn is_alive(&self) -> bool {
        self.alive.borrow().is_some()
    }

    /// Ends the process: resets its connections; running and queued attempts are lost.
    pub fn terminate(&self) {
        self.context.network.kill_host(self.host);
        self.alive.borrow_mut().take();
        self.context.kernel.mark_runnable(ENVIRONMENT);
    }

    /// Rejects all queued attempts, and those that arrive while the worker is draining.
    pub fn reject_queued(&self) {
        self.rejects_while_draining.set(true);
        self.queue.borrow_mut().clear();
        self.context.kernel.mark_runnable(ENVIRONMENT);
    }

    /// Spawns a task that ends with the process.
    fn spawn(self: Rc<Self>, work: impl Future<Output = ()> + 'static) {
        let ended = self.ended.clone();
        let process_ended = async move {
            let _ = ended.recv().await;
        };
        self.context.kernel.spawn(work.or(process_ended));
    }

    async fn accept(self: Rc<Self>, listener: VirtualListener) {
        loop {
            let _ = listener.wait_ready().await;
            self.wait_until_stall_ends().await;
            self.wait_if_accepting_late().await;
            loop {
                match listener.accept() {
                    Ok(stream) => self.clone().spawn(self.clone().serve(stream)),
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break,
                    // The process has ended.
                    Err(_) => return,
                }
            }
        }
    }

    async fn wait_if_accepting_late(&self) {
        let kernel = &self.context.kernel;
        let late_accepts = self.faults.borrow().late_accepts;
        if late_accepts.affects_now(kernel) {
            kernel.sleep(random_connection_delay(kernel)).await;
        }
    }

    async fn wait_until_stall_ends(&self) {
        let kernel = &self.context.kernel;
        loop {
            let until = self.faults.borrow().stalled_until;
            if kernel.now() >= until {
                return;
            }
            kernel.sleep_until(ENVIRONMENT, until).await;
        }
    }

    async fn serve(self: Rc<Self>, mut stream: VirtualStream) {
        let kernel = &self.context.kernel;
        let mut reader = MessageReader::default();
        loop {
            let idle_until = kernel.now() + self.idle_timeout.max(MS);
            let early = self.faults.borrow().malformed.affects_now(kernel)
                && kernel.random(|rng| rng.chance(EARLY_RESPONSE_SHARE));
            if early {
                // Answers before the request has been read, and closes.
                let _ = kernel.timeout_at(idle_until, stream.readable()).await;
                let _ = stream.write_all(wire::NOT_STARTED.as_bytes()).await;
                return;
            }
            let request = reader.read_request(&mut stream);
            let Some(Ok(Some(message))) = kernel.timeout_at(idle_until, request).await else {
                return;
            };
            self.wait_until_stall_ends().await;
            let persistence = match message.target.as_str() {
                "/healthz" | "/load" => wire::send(&mut stream, wire::EMPTY_OK).await,
                _ => self.handle_attempt(&mut stream, &message).await,
            };
            match persistence {
                Some(Persistence::KeepOpen) => {}
                Some(Persistence::Reset) => return stream.reset(),
                Some(Persistence::Close) | None => return,
            }
        }
    }

    /// Handles one attempt; returns `None` if its connection broke.
    async fn handle_attempt(
        self: &Rc<Self>,
        stream: &mut VirtualStream,
        message: &Message,
    ) -> Option<Persistence> {
        let execution = self.record_attempt(stream, message)?;
        let faults = self.attempt_faults(&execution);
        if faults.at_capacity {
            return execution.reject(stream, wire::NOT_STARTED).await;
        }
        if faults.unresponsive {
            if self.context.kernel.random(|rng| rng.chance(0.5)) {
                execution.record_start();
            }
            wait_until_closed(stream).await;
            return None;
        }
        if faults.fails {
            execution.record_start();
            return wire::send(stream, &wire::empty_response("500 Internal Server Error")).await;
        }
        if faults.malformed {
            return execution.respond_malformed(stream).await;
        }
        execution.run(stream).await
    }

    /// Records an attempt in the checker; returns `None` if no client sent such a request.
    fn record_attempt(
        self: &Rc<Self>,
        stream: &VirtualStream,
        message: &Message,
    ) -> Option<Execution> {
        let Context {
            kernel, checker, ..
        } = &*self.context;
        let worker = self.start.worker;
        let id = message.field("request-id").unwrap_or_default().to_string();
        let request = usize::from_str_radix(&id, 16).ok();
        let counters = stream.received();
        let origin = AttemptOrigin {
            host: stream.peer(),
            first_byte_at: counters.written_at(message.begin),
            arrived_at: counters.arrived_at(message.end - 1),
            stated_timeout: message.field("request-timeout").and_then(parse_seconds),
        };
        let target = AttemptTarget {
            worker,
            zone: self.spec.zone,
            cell: self.spec.cell,
        };
        let recorded = request.unwrap_or(usize::MAX) as u64;
        kernel.record(
            TimelineEvent::AttemptArrived,
            recorded,
            worker as u64,
            || {
                format!(
                    "request {id} at worker {worker}, from dispatcher host {}",
                    origin.host
                )
            },
        );
        let attempt =
            checker
                .borrow_mut()
                .attempt_arrived(kernel.now(), &origin, request, &target)?;
        let request = request?;
        let (class, work) = checker.borrow().class_and_work(request);
        self.check_overload(WorkArrival {
            dispatcher: origin.host,
            worker,
            started_at: self.start.started_at,
            work: work as f64,
        });
        Some(Execution {
            process: self.clone(),
            request,
            attempt,
            id,
            class,
            work,
            first_byte_at: origin.first_byte_at,
        })
    }

    fn check_overload(&self, arrival: WorkArrival) {
        let Context {
            kernel, checker, ..
        } = &*self.context;
        let worker = arrival.worker;
        let overloaded = checker.borrow_mut().work_arrived(kernel.now(), &arrival);
        if overloaded {
            kernel.record(TimelineEvent::WorkerOverloaded, worker as u64, 0, || {
                format!("worker {worker}")
            });
            let _ = self.start.overloaded.try_send(worker);
        }
    }

    /// Evaluates every fault, even if one alone determines the outcome, so that random draws do not
    /// depend on it.
    fn attempt_faults(&self, execution: &Execution) -> AttemptFaults {
        let kernel = &self.context.kernel;
        let faults = self.faults.borrow();
        let at_capacity = faults.at_capacity.affects_now(kernel)
            || (self.draining.get() && self.rejects_while_draining.get());
        let errors = faults.errors.affects_now(kernel);
        let fails_class =
            execution.class == faults.failing_class && faults.class_failures.affects_now(kernel);
        AttemptFaults {
            at_capacity,
            fails: errors || fails_class,
            unresponsive: faults.unresponsive.affects_now(kernel),
            malformed: faults.malformed.affects_now(kernel),
        }
    }

    /// Releases a slot and grants it to the first queued attempt that still waits.
    fn release_slot(&self) {
        self.running.set(self.running.get() - 1);
        loop {
            let next = self.queue.borrow_mut().pop_front();
            let Some(next) = next else { return };
            if next.try_send(()).is_ok() {
                self.running.set(self.running.get() + 1);
                return;
            }
        }
    }
}
