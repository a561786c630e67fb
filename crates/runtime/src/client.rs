//! Reads and writes for the client side: one task accepts, and one serves each connection.
use crate::context::{Context, EngineEvent};
use crate::traits::{Listener, Runtime, Stream, nanos, sleep, with_timeout};
use async_channel::Receiver;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use rosewall::mutation::{Mutation, is_active};
use rosewall::types::Nanos;
use rosewall_engine::limits::{DescriptorPermit, IdleClient};
use rosewall_protocol::client::{
    Answer, CONTINUE_RESPONSE, ClientEvent, ClientRequest, RequestReader, encode_answer,
    encode_response,
};
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// A first request must be whole within this time of its connection, a later one of its first byte: it spans two lost
/// packets, and is short beside deadlines, so that a crowd that trickles or says nothing is soon gone.
const REQUEST_WITHIN: Duration = Duration::from_secs(2);
/// A silent connection that has asked before is closed after this time; it costs a client one new connection.
const IDLE_WITHIN: Duration = Duration::from_secs(60);
/// An answer must be taken within this time.
const WRITE_WITHIN: Duration = Duration::from_secs(2);
/// How long to wait where no descriptor is free, and after an accept that failed.
const PAUSE: Duration = Duration::from_millis(5);
/// What a client still sends after an answer that ends its connection is read for so long, and so much of it: twice
/// what a request may hold.
const PART_WITHIN: Duration = Duration::from_millis(500);
const PART_MOST: usize = 160 * 1024;
/// One who was turned away is read for less: those kept waiting by it may have no time left.
const PART_AWAY: Duration = Duration::from_millis(50);
/// How long someone at the door waits for room before being told that there is none: a few short requests' time, and short
/// beside deadlines.
const ROOM_WITHIN: Duration = Duration::from_millis(50);
/// One who has asked waits so long for the place of one who has not: those may keep it no longer.
const ASKER_WITHIN: Duration = Duration::from_millis(100);
/// Who is only told so must ask within this time.
const TOLD_WITHIN: Duration = Duration::from_millis(100);
/// At the end of a stop, those whom the machine has accepted are taken or told so within this time.
const LAST_WITHIN: Duration = Duration::from_millis(500);
/// How much of what comes beyond the room for it is passed over in one go, and the pause after that. A client's last
/// bytes, of which systems hold some MB, are through in a third of the time after which nothing may be sent on for one
/// that has left; one that sends without end costs a hundredth of a core.
const PASSED_AT_ONCE: usize = 64 * 1024;
const PASSED_PAUSE: Duration = Duration::from_millis(1);
/// Connections that the system takes in before they are accepted: more than a crowd opens while one turn is taken.
const BACKLOG: i32 = 1024;
/// Reads are as large as most requests with their head.
const READ: usize = 8 * 1024;

/// Accepts until it is told to end; then what the machine has accepted by itself is still taken.
pub async fn accept<R: Runtime>(context: Rc<Context<R>>, listener: R::Listener, end: Receiver<()>) {
    if let Err(error) = listener.set_backlog(BACKLOG) {
        log::warn!("the queue of connections stays as it was: {error}");
    }
    let ended = async {
        let _ = end.recv().await;
    };
    let accepting = async {
        let mut full_since = None;
        loop {
            // Room is made only for someone who is there.
            if let Err(error) = listener.wait_ready().await {
                log::warn!("cannot wait for connections: {error}");
                sleep(&context.runtime, PAUSE).await;
                continue;
            }
            let slot = match context.limits.acquire_client() {
                Some(slot) => (slot, false),
                // The one who makes room has its turn before the next look.
                None if context.make_client_room() => {
                    futures_lite::future::yield_now().await;
                    continue;
                }
                None => {
                    let now = context.runtime.now();
                    let since = *full_since.get_or_insert(now);
                    let away = now >= since + nanos(ROOM_WITHIN);
                    let Some(slot) = away
                        .then(|| context.limits.acquire_overflow_client())
                        .flatten()
                    else {
                        context.counters.accept_paused.add();
                        sleep(&context.runtime, PAUSE).await;
                        continue;
                    };
                    (slot, true)
                }
            };
            match listener.accept() {
                Ok(stream) => {
                    take(&context, stream, slot, full_since);
                    // Only a door at which no one waits ends a time without room. Guards against a queue there that
                    // goes on for as long as a place falls free now and then, and ages all who are in it.
                    if futures_lite::future::poll_once(listener.wait_ready())
                        .await
                        .is_none()
                    {
                        full_since = None;
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => full_since = None,
                Err(error) => {
                    // Guards against an end of the program, or a spin, where descriptors run out.
                    context.counters.accept_failed.add();
                    log::warn!("cannot accept: {error}");
                    context.make_room();
                    sleep(&context.runtime, PAUSE).await;
                }
            }
            // Who was accepted has its turn. Guards against a crowd in which those that have asked already are
            // closed unheard, as silent.
            futures_lite::future::yield_now().await;
        }
    };
    accepting.or(ended).await;
    // Who finds no more room is still told so.
    let late = context.runtime.now() + nanos(LAST_WITHIN);
    while context.runtime.now() < late {
        let slot = context.limits.acquire_client().map(|slot| (slot, false));
        let Some(slot) = slot.or_else(|| {
            context
                .limits
                .acquire_overflow_client()
                .map(|slot| (slot, true))
        }) else {
            sleep(&context.runtime, PAUSE).await;
            continue;
        };
        match listener.accept() {
            Ok(stream) => take(&context, stream, slot, None),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) => {
                // Guards against a spin where descriptors run out, in which no one else has a turn.
                context.counters.accept_failed.add();
                log::warn!("cannot accept: {error}");
                sleep(&context.runtime, PAUSE).await;
            }
        }
    }
}

/// Serves a connection, or only tells it that there is no room. It may have waited at the door since `from`.
fn take<R: Runtime>(
    context: &Rc<Context<R>>,
    stream: R::Stream,
    (slot, away): (DescriptorPermit, bool),
    from: Option<Nanos>,
) {
    context.counters.clients_accepted.add();
    let (context, runtime) = (context.clone(), &context.runtime);
    let now = runtime.now();
    let listener = (now, now.saturating_sub(from.unwrap_or(now)));
    let serving = async move {
        let (intake, buffer) = (RequestReader::default(), vec![0; READ]);
        let mut link = Link {
            context,
            stream,
            intake,
            buffer,
            asked: false,
            away,
            over: false,
            listener,
            slot,
        };
        // What ends a connection is the client's doing, or was counted.
        let _ = link.serve().await;
    };
    runtime.spawn(serving).detach();
}

struct Link<R: Runtime> {
    context: Rc<Context<R>>,
    stream: R::Stream,
    intake: RequestReader,
    buffer: Vec<u8>,
    /// Whether it has asked for something before.
    asked: bool,
    /// Whether it is only told that there is no room.
    away: bool,
    /// Whether more came ahead of its turn than there is room for: some of it is lost.
    over: bool,
    /// When it was accepted, and how long it may have waited for that.
    listener: (Nanos, Nanos),
    slot: DescriptorPermit,
}

impl<R: Runtime> Link<R> {
    fn now(&self) -> Nanos {
        self.context.runtime.now()
    }

    fn waiter(&self, asked: bool) -> IdleClient {
        match (self.away, asked) {
            (true, _) => IdleClient::Overflow,
            (false, true) => IdleClient::BetweenRequests,
            (false, false) => IdleClient::AwaitingFirstRequest,
        }
    }

    async fn serve(&mut self) -> io::Result<()> {
        loop {
            let heard = self.hear().await?;
            let first = !self.asked;
            self.asked |= matches!(
                heard,
                ClientEvent::ReadinessCheck { .. } | ClientEvent::Request(_)
            );
            match heard {
                ClientEvent::ContinueExpected => self.write(CONTINUE_RESPONSE).await?,
                ClientEvent::ReadinessCheck { keep_alive: keeps } => {
                    let ready = self.context.ready.get() && !self.context.stopping.get();
                    let (status, body) = if ready {
                        (200, "ready\n")
                    } else {
                        (503, "not ready\n")
                    };
                    self.write(&encode_response(status, "", body.as_bytes(), keeps))
                        .await?;
                    if !keeps {
                        return self.part().await;
                    }
                    futures_lite::future::yield_now().await;
                }
                ClientEvent::Invalid {
                    status,
                    reason: why,
                } => {
                    self.context.turned_down(status, why);
                    let why = format!("{why}\n");
                    self.write(&encode_response(status, "", why.as_bytes(), false))
                        .await?;
                    return self.part().await;
                }
                ClientEvent::Request(request) => {
                    // What was there at once had been sent before. Guards against an deadline that counts from when a
                    // full door let its client in, later than the client's own.
                    let (accepted, waited) = self.listener;
                    let sent = first && self.now() <= accepted + nanos(PAUSE);
                    let at = self.now().saturating_sub(if sent { waited } else { 0 });
                    if self.away && !self.room().await {
                        self.context.counters.clients_rejected.add();
                        self.write(&encode_answer(&Answer::Rejected { retry_after: 0 }, false))
                            .await?;
                        return self.part().await;
                    }
                    if !self.carry(at, request).await? {
                        return self.part().await;
                    }
                }
            }
        }
    }

    /// Reads until something is heard. Who has asked before may be silent for long; else, and once a request has
    /// begun, it must be whole in time. Guards against clients that say nothing, trickle or fall silent in one.
    async fn hear(&mut self) -> io::Result<ClientEvent> {
        let limit = match (self.away, self.asked) {
            (true, _) => TOLD_WITHIN,
            (false, true) => IDLE_WITHIN,
            (false, false) => REQUEST_WITHIN,
        };
        let mut until = self.now() + nanos(limit);
        let (waits, close) = self
            .context
            .limits
            .register_idle(self.now(), self.waiter(self.asked));
        let mut waits = Some(waits);
        loop {
            if let Some(heard) = self.intake.next_event(&self.context.names) {
                return Ok(heard);
            }
            if self.over {
                return Ok(ClientEvent::Invalid {
                    status: 503,
                    reason: "more came ahead than there is room for",
                });
            }
            if self.asked && !self.intake.is_idle() && waits.take().is_some() {
                until = self.now() + nanos(REQUEST_WITHIN);
            }
            let closed = async {
                match close.recv().await {
                    Ok(()) => Err(io::ErrorKind::ConnectionAborted.into()),
                    Err(_) => std::future::pending().await, // it waits no longer
                }
            };
            let left = Duration::from_nanos(until.saturating_sub(self.now()));
            let (stream, buffer) = (&mut self.stream, &mut self.buffer);
            // A read goes first: bytes that are there are never left behind by a close.
            let read =
                with_timeout(&self.context.runtime, left, stream.read(buffer).or(closed)).await;
            match read {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(count) => {
                    self.intake.feed(&self.buffer[..count]);
                    // Guards against one who sends faster than is read, and leaves no one else a turn.
                    futures_lite::future::yield_now().await;
                }
                Err(error) => {
                    let late = error.kind() == io::ErrorKind::TimedOut;
                    if late && !self.intake.is_idle() {
                        self.context.counters.requests_incomplete.add();
                        let text =
                            encode_response(408, "", b"the request did not come whole\n", false);
                        self.write(&text).await?;
                    } else if late || error.kind() == io::ErrorKind::ConnectionAborted {
                        self.context.counters.clients_idle_closed.add();
                    }
                    return Err(error);
                }
            }
            if !self.slot.reserve_bytes(self.intake.buffered_bytes()) {
                return Ok(ClientEvent::Invalid {
                    status: 503,
                    reason: "no memory is left for the request",
                });
            }
        }
    }

    /// A place for one who has asked where there was none; false where none comes free soon. Guards against a crowd
    /// that says nothing and has those turned away that ask.
    async fn room(&mut self) -> bool {
        let until = self.now() + nanos(ASKER_WITHIN);
        loop {
            if let Some(slot) = self.context.limits.acquire_client() {
                (self.slot, self.away) = (slot, false);
                return true;
            }
            if !self.context.limits.has_evictable_client() || self.now() >= until {
                return false;
            }
            if self.context.make_client_room() {
                futures_lite::future::yield_now().await;
            } else {
                sleep(&self.context.runtime, PAUSE).await;
            }
        }
    }

    /// Hands a request that was read at `at` to the hub and writes its answer; false where the connection ends with it.
    async fn carry(&mut self, at: Nanos, request: ClientRequest) -> io::Result<bool> {
        let (request_id, keeps, bytes) = (
            self.context.next_request_id(),
            request.keep_alive,
            request.body.len(),
        );
        let (reply, answered) = async_channel::bounded(1);
        self.context.tell(EngineEvent::Arrived {
            request_id,
            at,
            request,
            reply,
        });
        let answer = self.answer(&answered, bytes).await;
        let Some(answer) = answer else {
            self.context.tell(EngineEvent::Left(request_id));
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let keeps = keeps && !self.context.stopping.get();
        if is_active(Mutation::DropAnswerAtShutdown) && self.context.stopping.get() {
            return Ok(false);
        }
        let mut text = encode_answer(&answer, keeps);
        if is_active(Mutation::TruncateAnswer) && request_id.is_multiple_of(32) {
            text.pop();
        }
        let written = self.write(&text).await;
        if written.is_err() {
            self.context.counters.answers_undelivered.add();
        }
        written.map(|()| keeps)
    }

    /// IdleRegistration for the answer to a request of so many bytes, and meanwhile for the client to leave; none if it has. Whoever
    /// ends only its sending side has left too: the protocol knows no such client, and it looks like one that closes.
    /// What comes ahead of its turn is kept as far as there is room, and then passed over. Guards against a client that
    /// sends much and goes: its leave stands behind bytes that no one would read, and its request would still be posted.
    async fn answer(&mut self, answered: &Receiver<Answer>, bytes: usize) -> Option<Answer> {
        let mut passed = 0;
        loop {
            self.over |= !self.intake.has_capacity()
                || !self
                    .slot
                    .reserve_bytes(bytes + self.intake.buffered_bytes());
            let (stream, buffer) = (&mut self.stream, &mut self.buffer);
            let answer = async { answered.recv().await.ok().map(Ok) };
            let read = async { Some(Err(stream.read(buffer).await.unwrap_or(0))) };
            match answer.or(read).await? {
                Ok(answer) => return Some(answer),
                Err(0) => return None,
                Err(count) if !self.over => self.intake.feed(&self.buffer[..count]),
                Err(count) => passed += count,
            }
            if passed >= PASSED_AT_ONCE {
                passed = 0;
                sleep(&self.context.runtime, PASSED_PAUSE).await;
            } else {
                futures_lite::future::yield_now().await;
            }
        }
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        with_timeout(
            &self.context.runtime,
            WRITE_WITHIN,
            self.stream.write_all(bytes),
        )
        .await
    }

    /// Ends a connection after an answer: what the client still sends is read for a moment, if its descriptor is not
    /// needed. Guards against a reset that overtakes the answer.
    async fn part(&mut self) -> io::Result<()> {
        self.stream.shutdown_write()?;
        let (_waits, close) = self
            .context
            .limits
            .register_idle(self.now(), self.waiter(true));
        let closed = async {
            let _ = close.recv().await;
            Ok(())
        };
        let drain = async {
            let mut left = PART_MOST;
            while left > 0 {
                match self.stream.read(&mut self.buffer).await? {
                    0 => break,
                    count => left = left.saturating_sub(count),
                }
            }
            Ok(())
        };
        let limit = if self.away { PART_AWAY } else { PART_WITHIN };
        with_timeout(&self.context.runtime, limit, drain.or(closed)).await
    }
}
