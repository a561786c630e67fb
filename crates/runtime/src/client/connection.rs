//! Serves one client connection: reads requests, waits for the answers and writes them.
mod receive;

pub(crate) use receive::DISCARD_READ_BYTES;

use super::RETRY_PAUSE;
use crate::context::Context;
use crate::event::EngineEvent;
use crate::traits::{Runtime, Stream, nanos, sleep, with_timeout};
use async_channel::Receiver;
use futures_lite::future::yield_now;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::Nanos;
use rosewall_engine::limits::{DescriptorPermit, IdleClient};
use rosewall_protocol::client::{
    Answer, CONTINUE_RESPONSE, ClientEvent, ClientRequest, ReadTimes, RequestReader, encode_answer,
    encode_incomplete_request, encode_readiness, encode_refusal,
};
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Time limit for a complete request, counted from the start of the connection for its first
/// request and from the first byte for later ones. Long enough for two lost packets, and short
/// compared with deadlines.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a connection that is idle between requests is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit for writing an answer to the client.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for the request of a client that is to be rejected.
const REJECTED_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum time that a complete request waits for the slot of a client that has sent no request.
const SLOT_WAIT_LIMIT: Duration = Duration::from_millis(100);
/// Maximum time that a connection is read after its last answer, so that no reset overtakes the
/// answer.
const LINGER_LIMIT: Duration = Duration::from_millis(500);
/// The same limit for a rejected client, whose slot other clients wait for.
const REJECTED_LINGER_LIMIT: Duration = Duration::from_millis(50);
/// Maximum number of bytes that are read after the last answer: twice the maximum size of a
/// request.
const LINGER_MAX_BYTES: usize = 160 * 1024;
/// Size of one read: larger than most requests with their heads.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Service level of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Service {
    /// Requests are forwarded to workers.
    Full,
    /// The first request is rejected, unless a slot becomes free in time.
    RejectOnly,
}

/// Slot and service level that a connection is admitted with.
pub(super) struct Admission {
    pub slot: DescriptorPermit,
    pub service: Service,
}

/// Time at which a connection was accepted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Acceptance {
    pub at: Nanos,
    /// Longest time that the connection may have waited in the backlog before.
    pub longest_wait: Nanos,
}

/// Whether a connection stays open after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterAnswer {
    KeepAlive,
    Close,
}

impl AfterAnswer {
    fn from_keep_alive(keep_alive: bool) -> AfterAnswer {
        if keep_alive {
            AfterAnswer::KeepAlive
        } else {
            AfterAnswer::Close
        }
    }
}

/// State of one client connection.
pub(super) struct ClientConnection<R: Runtime> {
    context: Rc<Context<R>>,
    stream: R::Stream,
    reader: RequestReader,
    read_times: ReadTimes,
    buffer: Vec<u8>,
    /// Whether the client has sent a request or a readiness check before.
    has_sent_request: bool,
    service: Service,
    /// Whether pipelined bytes of the client exceeded the buffers.
    has_overflowed: bool,
    acceptance: Acceptance,
    slot: DescriptorPermit,
}

impl<R: Runtime> ClientConnection<R> {
    pub(super) fn new(
        context: Rc<Context<R>>,
        stream: R::Stream,
        admission: Admission,
        acceptance: Acceptance,
    ) -> Self {
        ClientConnection {
            context,
            stream,
            reader: RequestReader::default(),
            read_times: ReadTimes::default(),
            buffer: vec![0; READ_BUFFER_BYTES],
            has_sent_request: false,
            service: admission.service,
            has_overflowed: false,
            acceptance,
            slot: admission.slot,
        }
    }

    /// Serves requests until the connection ends.
    pub(super) async fn serve(&mut self) -> io::Result<()> {
        loop {
            let event = self.next_event().await?;
            let is_first = !self.has_sent_request;
            self.has_sent_request |= matches!(
                event,
                ClientEvent::ReadinessCheck { .. } | ClientEvent::Request(_)
            );
            let next = match event {
                ClientEvent::ContinueExpected => {
                    self.write(CONTINUE_RESPONSE).await?;
                    AfterAnswer::KeepAlive
                }
                ClientEvent::ReadinessCheck { keep_alive } => {
                    self.answer_readiness_check(keep_alive).await?
                }
                ClientEvent::Invalid { status, reason } => self.refuse(status, reason).await?,
                ClientEvent::Request(request) => self.handle_request(request, is_first).await?,
            };
            if next == AfterAnswer::Close {
                return self.close_gracefully().await;
            }
        }
    }

    async fn answer_readiness_check(&mut self, keep_alive: bool) -> io::Result<AfterAnswer> {
        let ready = self.context.ready.get() && !self.context.stopping.get();
        self.write(&encode_readiness(ready, keep_alive)).await?;
        if keep_alive {
            yield_now().await;
        }
        Ok(AfterAnswer::from_keep_alive(keep_alive))
    }

    async fn refuse(&mut self, status: u16, reason: &str) -> io::Result<AfterAnswer> {
        self.context.record_refusal(status, reason);
        self.write(&encode_refusal(status, reason)).await?;
        Ok(AfterAnswer::Close)
    }

    async fn handle_request(
        &mut self,
        request: ClientRequest,
        is_first: bool,
    ) -> io::Result<AfterAnswer> {
        // A first request that arrives immediately may have been sent when the client entered the
        // backlog, and the client's deadline counts from that time.
        let may_predate_accept = is_first && self.now() <= self.acceptance.at + nanos(RETRY_PAUSE);
        let backlog_wait = if may_predate_accept {
            self.acceptance.longest_wait
        } else {
            0
        };
        let unused_bytes = self.reader.buffered_bytes();
        let read_at = self.read_times.time_before(unused_bytes);
        let read_at = read_at.filter(|_| !is_active(Mutation::IgnoreReadTimes));
        let arrived_at = read_at.unwrap_or(self.now()).saturating_sub(backlog_wait);
        if self.service == Service::RejectOnly && !self.acquire_slot().await {
            self.context.counters.clients_rejected.add();
            let answer = Answer::Rejected { retry_after: 0 };
            self.write(&encode_answer(&answer, false)).await?;
            return Ok(AfterAnswer::Close);
        }
        self.forward(arrived_at, request).await
    }

    /// Passes a request to the engine and writes its answer.
    async fn forward(
        &mut self,
        arrived_at: Nanos,
        request: ClientRequest,
    ) -> io::Result<AfterAnswer> {
        let request_bytes = request.held_bytes();
        // Requests that were sent ahead may have been left behind by their client.
        let must_read_ahead = self.has_sent_ahead() && !is_active(Mutation::IgnoreBytesSentAhead);
        if must_read_ahead && !self.read_ahead(request_bytes).await {
            self.context.counters.clients_disconnected.add();
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let request_id = self.context.next_request_id();
        let keep_alive = request.keep_alive;
        let (reply, answer) = async_channel::bounded(1);
        self.context.report(EngineEvent::RequestArrived {
            request_id,
            at: arrived_at,
            request,
            reply,
        });
        let Some(answer) = self.wait_for_answer(&answer, request_bytes).await else {
            self.context
                .report(EngineEvent::ClientDisconnected(request_id));
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let keep_alive = keep_alive && !self.context.stopping.get();
        if is_active(Mutation::DropAnswerAtShutdown) && self.context.stopping.get() {
            return Ok(AfterAnswer::Close);
        }
        let mut response = encode_answer(&answer, keep_alive);
        self.slot
            .reserve_answer(response.len(), self.reader.buffered_bytes());
        if is_active(Mutation::TruncateAnswer) && request_id.is_multiple_of(32) {
            response.pop();
        }
        let written = self.write(&response).await;
        if written.is_err() {
            self.context.counters.answers_undelivered.add();
        }
        written.map(|()| AfterAnswer::from_keep_alive(keep_alive))
    }

    /// Reads until there is an event. Time limits end connections that are idle, or slow within a
    /// request.
    async fn next_event(&mut self) -> io::Result<ClientEvent> {
        let mut deadline = self.now() + nanos(self.first_byte_timeout());
        let idle_client = self.idle_client(self.has_sent_request);
        let (registration, close) = self.context.limits.register_idle(self.now(), idle_client);
        let mut registration = Some(registration);
        loop {
            if let Some(event) = self.reader.next_event(&self.context.names) {
                return Ok(event);
            }
            if self.has_overflowed {
                return Ok(ClientEvent::PIPELINE_TOO_LONG);
            }
            // Once the first byte of a request has arrived, the connection is not closed to free
            // its slot.
            if self.has_sent_request && !self.reader.is_idle() && registration.take().is_some() {
                deadline = self.now() + nanos(REQUEST_TIMEOUT);
            }
            match self.read_until(deadline, &close).await {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(count) => {
                    self.feed(count);
                    // A client that sends faster than this task reads must not block other tasks.
                    yield_now().await;
                }
                Err(error) => {
                    self.report_failed_read(&error).await?;
                    return Err(error);
                }
            }
            if !self.slot.reserve_bytes(self.reader.buffered_bytes()) {
                return Ok(ClientEvent::OUT_OF_MEMORY);
            }
        }
    }

    /// Passes the bytes that were read last to the reader.
    fn feed(&mut self, count: usize) {
        self.reader.feed(&self.buffer[..count]);
        self.read_times.record(self.now(), count);
    }

    fn first_byte_timeout(&self) -> Duration {
        match (self.service, self.has_sent_request) {
            (Service::RejectOnly, _) => REJECTED_REQUEST_TIMEOUT,
            (Service::Full, true) => KEEP_ALIVE_TIMEOUT,
            (Service::Full, false) => REQUEST_TIMEOUT,
        }
    }

    /// Reads once. Fails with `TimedOut` at the deadline, and with `ConnectionAborted` on a message
    /// from `close`.
    async fn read_until(&mut self, deadline: Nanos, close: &Receiver<()>) -> io::Result<usize> {
        let close_requested = async {
            match close.recv().await {
                Ok(()) => Err(io::ErrorKind::ConnectionAborted.into()),
                // The connection may no longer be closed to free its slot.
                Err(_) => std::future::pending().await,
            }
        };
        let left = Duration::from_nanos(deadline.saturating_sub(self.now()));
        // The read is polled first, so that received bytes are never lost to a close.
        let read = self.stream.read(&mut self.buffer).or(close_requested);
        with_timeout(&self.context.runtime, left, read).await
    }

    async fn report_failed_read(&mut self, error: &io::Error) -> io::Result<()> {
        let timed_out = error.kind() == io::ErrorKind::TimedOut;
        if timed_out && !self.reader.is_idle() {
            self.context.counters.requests_incomplete.add();
            self.write(&encode_incomplete_request()).await?;
        } else if timed_out || error.kind() == io::ErrorKind::ConnectionAborted {
            self.context.counters.clients_idle_closed.add();
        }
        Ok(())
    }

    /// Acquires a slot for a client that has sent a request. If necessary, closes an idle
    /// connection, such as that of a client without a request past its grace time. Returns false if
    /// no slot becomes free in time.
    async fn acquire_slot(&mut self) -> bool {
        let deadline = self.now() + nanos(SLOT_WAIT_LIMIT);
        loop {
            if let Some(slot) = self.context.limits.acquire_client() {
                self.slot = slot;
                self.service = Service::Full;
                return true;
            }
            if !self.context.limits.has_evictable_client() || self.now() >= deadline {
                return false;
            }
            if self.context.free_client_slot() {
                yield_now().await;
            } else {
                sleep(&self.context.runtime, RETRY_PAUSE).await;
            }
        }
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let write = self.stream.write_all(bytes);
        with_timeout(&self.context.runtime, WRITE_TIMEOUT, write).await
    }

    /// Closes the connection after an answer. Reads and discards bytes of the client for a limited
    /// time before, unless the descriptor is needed: closing with unread bytes would send a reset,
    /// which may overtake the answer.
    async fn close_gracefully(&mut self) -> io::Result<()> {
        self.stream.shutdown_write()?;
        let (_registration, close) = self
            .context
            .limits
            .register_idle(self.now(), self.idle_client(true));
        let close_requested = async {
            let _ = close.recv().await;
            Ok(())
        };
        let drain = async {
            let mut left = LINGER_MAX_BYTES;
            while left > 0 {
                match self.stream.read(&mut self.buffer).await? {
                    0 => break,
                    count => left = left.saturating_sub(count),
                }
            }
            Ok(())
        };
        let limit = match self.service {
            Service::RejectOnly => REJECTED_LINGER_LIMIT,
            Service::Full => LINGER_LIMIT,
        };
        with_timeout(&self.context.runtime, limit, drain.or(close_requested)).await
    }

    fn now(&self) -> Nanos {
        self.context.runtime.now()
    }

    fn idle_client(&self, has_sent_request: bool) -> IdleClient {
        match (self.service, has_sent_request) {
            (Service::RejectOnly, _) => IdleClient::Overflow,
            (Service::Full, true) => IdleClient::BetweenRequests,
            (Service::Full, false) => IdleClient::AwaitingFirstRequest,
        }
    }
}
