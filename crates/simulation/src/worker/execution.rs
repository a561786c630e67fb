//! Execution of one attempt at a worker: waiting for a slot, running and responding.
use super::wire::{self, CHUNKED, LAST_CHUNK, chunk, line};
use super::{Persistence, WorkerProcess, wait_until_closed};
use crate::checker::RequestIndex;
use crate::context::Context;
use crate::kernel::ENVIRONMENT;
use crate::network::VirtualStream;
use crate::time::MS;
use crate::timeline::TimelineEvent;
use futures_lite::{AsyncWriteExt, FutureExt};
use rosewall::types::Nanos;
use std::rc::Rc;

/// The longest time between a reset and the end of the retry window that it precedes.
const MAX_RESET_LEAD: Nanos = 60 * MS;

/// The minimum service-time factor of a slow worker.
const MIN_SLOWDOWN: f64 = 0.01;

/// An attempt that has reached a worker.
pub(super) struct Execution {
    pub process: Rc<WorkerProcess>,
    pub request: RequestIndex,
    pub attempt: usize,
    /// The request id as received.
    pub id: String,
    pub class: usize,
    pub work: Nanos,
    /// Time at which the first byte was written.
    pub first_byte_at: Nanos,
}

/// A slot in use, released on drop.
struct SlotGuard(Rc<WorkerProcess>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.release_slot();
    }
}

/// The result of waiting for a slot.
enum SlotWait {
    Granted,
    /// The queue was cleared.
    Rejected,
    /// The attempt left the queue because its connection closed.
    Dropped,
}

impl Execution {
    pub fn context(&self) -> &Context {
        &self.process.context
    }

    pub fn record_start(&self) {
        let kernel = &self.context().kernel;
        let worker = self.process.start.worker;
        kernel.record(
            TimelineEvent::ExecutionStarted,
            self.request as u64,
            worker as u64,
            || format!("request {} at worker {worker}", self.id),
        );
        let mut checker = self.context().checker.borrow_mut();
        checker.execution_started(kernel.now(), self.request);
    }

    /// Produces a unique result and records it in the checker.
    fn produce_result(&self) -> String {
        let process = &self.process;
        process
            .results_produced
            .set(process.results_produced.get() + 1);
        let number = (process.host as u64) << 32 | process.results_produced.get();
        let mut checker = self.context().checker.borrow_mut();
        checker.result_produced(self.request, number);
        format!("made {} {number}", self.request)
    }

    pub fn done_line(&self) -> String {
        let result = format!(",\"result\":\"{}\"", self.produce_result());
        line(&self.id, "done", &result)
    }

    /// Sends a response that promises that the attempt did not run.
    pub async fn reject(&self, stream: &mut VirtualStream, text: &str) -> Option<Persistence> {
        let sent = stream.sent();
        let end = sent.bytes_written() + text.len() as u64;
        self.context()
            .checker
            .borrow_mut()
            .attempt_rejected(self.request, self.attempt, end, sent);
        wire::send(stream, text).await
    }

    /// Rejects a queued attempt; returns `None` if the process has ended.
    pub async fn reject_from_queue(&self, stream: &mut VirtualStream) -> Option<Persistence> {
        if !self.process.is_alive() {
            return None;
        }
        let text = wire::one_chunk_response(&line(&self.id, "returned", ""));
        self.reject(stream, &text).await
    }

    /// Waits for a slot, runs the attempt and responds, or rejects it if the queue is full. Returns
    /// `None` if the connection closed, which does not stop a running attempt.
    pub async fn run(&self, stream: &mut VirtualStream) -> Option<Persistence> {
        let process = &self.process;
        if process.running.get() < process.spec.slots {
            process.running.set(process.running.get() + 1);
        } else {
            if process.queue.borrow().len() >= process.spec.queue {
                return self.reject(stream, wire::NOT_STARTED).await;
            }
            match self.wait_for_slot(stream).await {
                SlotWait::Granted => {}
                SlotWait::Rejected => return self.reject_from_queue(stream).await,
                SlotWait::Dropped => return None,
            }
        }
        self.run_in_slot(stream, SlotGuard(process.clone())).await
    }

    async fn wait_for_slot(&self, stream: &VirtualStream) -> SlotWait {
        let process = &self.process;
        let (grant, granted) = async_channel::bounded(1);
        process.queue.borrow_mut().push_back(grant);
        let connection_closed = async {
            wait_until_closed(stream).await;
            None
        };
        let slot_granted = async { Some(granted.recv().await.is_ok()) };
        match slot_granted.or(connection_closed).await {
            Some(true) => SlotWait::Granted,
            Some(false) => SlotWait::Rejected,
            // Dropping the receiver makes the queue skip this attempt, even if a slot is granted at
            // the same instant.
            None if process.spec.cancels_queued => SlotWait::Dropped,
            None if granted.recv().await.is_ok() => SlotWait::Granted,
            None => SlotWait::Dropped,
        }
    }

    async fn run_in_slot(
        &self,
        stream: &mut VirtualStream,
        slot: SlotGuard,
    ) -> Option<Persistence> {
        let process = &self.process;
        process.wait_until_stall_ends().await;
        self.record_start();
        if let Some(window) = self.reset_window() {
            return self.run_until_window_end(window, slot).await;
        }
        let text = format!("{CHUNKED}{}", chunk(&line(&self.id, "started", "")));
        let mut open = stream.write_all(text.as_bytes()).await.is_ok();
        let service_time = self.service_time();
        self.context().kernel.sleep(service_time).await;
        process.wait_until_stall_ends().await;
        drop(slot);
        let text = format!("{}{LAST_CHUNK}", chunk(&self.done_line()));
        open &= stream.write_all(text.as_bytes()).await.is_ok();
        open.then_some(Persistence::KeepOpen)
    }

    /// Returns the retry window of the attempt if its connection is to be reset before the end.
    fn reset_window(&self) -> Option<Nanos> {
        let Context {
            kernel, checker, ..
        } = self.context();
        let fault = self.process.faults.borrow().reset_before_window_end;
        let window = checker.borrow().retry_window(self.class)?;
        fault.affects_now(kernel).then_some(window)
    }

    /// Runs the attempt without a response, then resets the connection shortly before the end of
    /// the retry window.
    async fn run_until_window_end(&self, window: Nanos, slot: SlotGuard) -> Option<Persistence> {
        let kernel = &self.context().kernel;
        let lead = kernel.random(|rng| rng.range(0, MAX_RESET_LEAD));
        let reset_at = (self.first_byte_at + window).saturating_sub(lead);
        kernel.sleep(self.service_time()).await;
        drop(slot);
        kernel.sleep_until(ENVIRONMENT, reset_at).await;
        Some(Persistence::Reset)
    }

    fn service_time(&self) -> Nanos {
        let process = &self.process;
        let Context {
            kernel, checker, ..
        } = self.context();
        let now = kernel.now();
        let capacity_factor = checker.borrow().capacity_factor(now, process.started_at());
        let slow = process.faults.borrow().slow;
        let slowdown = if now < slow.until {
            slow.share.max(MIN_SLOWDOWN)
        } else {
            1.0
        };
        (self.work as f64 / process.spec.speed / capacity_factor * slowdown) as Nanos
    }
}
