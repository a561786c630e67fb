//! Serving one client connection: reading requests, waiting for their answers, writing them.
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
    Answer, CONTINUE_RESPONSE, ClientEvent, ClientRequest, RequestReader, encode_answer,
    encode_incomplete_request, encode_readiness, encode_refusal,
};
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// A first request must be complete within this time of its connection, a later one of its first byte: two lost packets,
/// and short beside deadlines.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection without a request is closed after this time.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(60);
/// The client must accept an answer within this time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// A client that is to be rejected must send its request within this time.
const REJECTED_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a complete request waits for the slot of a client that has sent none.
const SLOT_WAIT_LIMIT: Duration = Duration::from_millis(100);
/// How long a connection is read after an answer that ends it, so that no reset overtakes the answer.
const LINGER_LIMIT: Duration = Duration::from_millis(500);
/// The same for a rejected client, whose slot others wait for.
const REJECTED_LINGER_LIMIT: Duration = Duration::from_millis(50);
/// How much is read after an answer that ends a connection: twice what a request may hold.
const LINGER_MAX_BYTES: usize = 160 * 1024;
/// What a client sends beyond the buffers is discarded at this many bytes for each pause: fast enough to find within
/// 0.3 s that a client with some MB in transit has disconnected, slow enough that one that never ends costs little CPU.
const DISCARD_BURST_BYTES: usize = 64 * 1024;
/// The pause between two bursts.
const DISCARD_PAUSE: Duration = Duration::from_millis(1);
/// One read: more than most requests with their heads.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// How far a connection is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Service {
    /// Its requests are forwarded.
    Full,
    /// Its request is rejected, unless a slot becomes free by then.
    RejectOnly,
}

/// What a connection is admitted with.
pub(super) struct Admission {
    pub slot: DescriptorPermit,
    pub service: Service,
}

/// When a connection was accepted.
#[derive(Clone, Copy, Debug)]
pub(super) struct Acceptance {
    pub at: Nanos,
    /// How long it may have waited in the backlog before.
    pub longest_wait: Nanos,
}

/// Whether a connection goes on after an answer.
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

/// What a client that waits for an answer comes to first.
enum WaitEvent {
    Answered(Answer),
    /// The number of bytes that the client sent; 0 where it disconnected.
    Received(usize),
}

/// One client connection.
pub(super) struct ClientConnection<R: Runtime> {
    context: Rc<Context<R>>,
    stream: R::Stream,
    reader: RequestReader,
    buffer: Vec<u8>,
    /// Whether it has sent a request or a readiness check before.
    has_sent_request: bool,
    service: Service,
    /// Whether bytes that the client sent ahead of their turn were discarded.
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
        // A first request that is there at once may have been sent when the client began to wait in the backlog, and the
        // client's deadline counts from then.
        let may_predate_accept = is_first && self.now() <= self.acceptance.at + nanos(RETRY_PAUSE);
        let backlog_wait = if may_predate_accept {
            self.acceptance.longest_wait
        } else {
            0
        };
        let arrived_at = self.now().saturating_sub(backlog_wait);
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
        let request_id = self.context.next_request_id();
        let keep_alive = request.keep_alive;
        let body_bytes = request.body.len();
        let (reply, answer) = async_channel::bounded(1);
        self.context.report(EngineEvent::RequestArrived {
            request_id,
            at: arrived_at,
            request,
            reply,
        });
        let Some(answer) = self.wait_for_answer(&answer, body_bytes).await else {
            self.context
                .report(EngineEvent::ClientDisconnected(request_id));
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let keep_alive = keep_alive && !self.context.stopping.get();
        if is_active(Mutation::DropAnswerAtShutdown) && self.context.stopping.get() {
            return Ok(AfterAnswer::Close);
        }
        let mut response = encode_answer(&answer, keep_alive);
        if is_active(Mutation::TruncateAnswer) && request_id.is_multiple_of(32) {
            response.pop();
        }
        let written = self.write(&response).await;
        if written.is_err() {
            self.context.counters.answers_undelivered.add();
        }
        written.map(|()| AfterAnswer::from_keep_alive(keep_alive))
    }

    /// Reads until there is an event. The time limits end connections that are silent, or slow within a request.
    async fn next_event(&mut self) -> io::Result<ClientEvent> {
        let mut deadline = self.now() + nanos(self.first_byte_timeout());
        let waiter = self.waiter(self.has_sent_request);
        let (waiting, close) = self.context.limits.register_idle(self.now(), waiter);
        let mut waiting = Some(waiting);
        loop {
            if let Some(event) = self.reader.next_event(&self.context.names) {
                return Ok(event);
            }
            if self.has_overflowed {
                return Ok(ClientEvent::PIPELINE_TOO_LONG);
            }
            // From the first byte of a request on, the connection is not closed to free its slot.
            if self.has_sent_request && !self.reader.is_idle() && waiting.take().is_some() {
                deadline = self.now() + nanos(REQUEST_TIMEOUT);
            }
            match self.read_until(deadline, &close).await {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(count) => {
                    self.reader.feed(&self.buffer[..count]);
                    // One client that sends faster than is read must not keep the executor from the others.
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

    fn first_byte_timeout(&self) -> Duration {
        match (self.service, self.has_sent_request) {
            (Service::RejectOnly, _) => REJECTED_REQUEST_TIMEOUT,
            (Service::Full, true) => KEEP_ALIVE_TIMEOUT,
            (Service::Full, false) => REQUEST_TIMEOUT,
        }
    }

    /// Reads once; fails with `TimedOut` at the deadline, with `ConnectionAborted` where `close` asks for that.
    async fn read_until(&mut self, deadline: Nanos, close: &Receiver<()>) -> io::Result<usize> {
        let close_requested = async {
            match close.recv().await {
                Ok(()) => Err(io::ErrorKind::ConnectionAborted.into()),
                // The connection is no longer among those that may be closed.
                Err(_) => std::future::pending().await,
            }
        };
        let left = Duration::from_nanos(deadline.saturating_sub(self.now()));
        // The read goes first: bytes that are there are never lost to a close.
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

    /// A slot for a client that has sent a request, in place of one that has sent none; false where none becomes free in
    /// time.
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

    /// Waits for the answer to a request with `body_bytes`; none if the client disconnects first. A client that closes only
    /// its sending side cannot be told from one that closes, and counts as disconnected.
    ///
    /// What the client sends meanwhile is stored as far as the buffers allow and discarded beyond, so that its
    /// disconnection is noticed behind any number of bytes.
    async fn wait_for_answer(
        &mut self,
        answer: &Receiver<Answer>,
        body_bytes: usize,
    ) -> Option<Answer> {
        let mut discarded_bytes = 0;
        loop {
            self.has_overflowed |= !self.reader.has_capacity()
                || !self
                    .slot
                    .reserve_bytes(body_bytes + self.reader.buffered_bytes());
            let answered = async { answer.recv().await.ok().map(WaitEvent::Answered) };
            let received = async {
                let count = self.stream.read(&mut self.buffer).await.unwrap_or(0);
                Some(WaitEvent::Received(count))
            };
            match answered.or(received).await? {
                WaitEvent::Answered(answer) => return Some(answer),
                WaitEvent::Received(0) => return None,
                WaitEvent::Received(count) if !self.has_overflowed => {
                    self.reader.feed(&self.buffer[..count]);
                }
                WaitEvent::Received(count) => discarded_bytes += count,
            }
            if discarded_bytes >= DISCARD_BURST_BYTES {
                discarded_bytes = 0;
                sleep(&self.context.runtime, DISCARD_PAUSE).await;
            } else {
                yield_now().await;
            }
        }
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let write = self.stream.write_all(bytes);
        with_timeout(&self.context.runtime, WRITE_TIMEOUT, write).await
    }

    /// Ends the connection after an answer. What the client still sends is read for a moment, unless its descriptor is
    /// needed: closing with unread bytes would send a reset, which may overtake the answer.
    async fn close_gracefully(&mut self) -> io::Result<()> {
        self.stream.shutdown_write()?;
        let (_waiting, close) = self
            .context
            .limits
            .register_idle(self.now(), self.waiter(true));
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

    fn waiter(&self, has_sent_request: bool) -> IdleClient {
        match (self.service, has_sent_request) {
            (Service::RejectOnly, _) => IdleClient::Overflow,
            (Service::Full, true) => IdleClient::BetweenRequests,
            (Service::Full, false) => IdleClient::AwaitingFirstRequest,
        }
    }
}
