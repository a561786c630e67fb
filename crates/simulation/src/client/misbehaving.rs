//! Clients that break the protocol.
use super::exchange::LATE_RESPONSE_WAIT;
use super::{Clients, RequestSpec, render_request};
use crate::checker::{HOLD_UP_SLACK, RequestIndex, SLACK};
use crate::context::Context;
use crate::http::MessageReader;
use crate::network::VirtualStream;
use crate::rng::Rng;
use crate::scenario::Misbehaviour;
use crate::time::{MS, SECOND};
use crate::timeline::TimelineEvent;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rosewall::types::Nanos;
use rosewall_runtime::traits::{Readiness, Stream};

/// Bytes behind the requests of a client that leaves.
const UNREAD_BYTES: usize = 6 * 1024 * 1024;
/// Number of times that a client floods its connection before it reads.
const FLOOD_ROUNDS: usize = 30;
/// Hint of the requests of a flood, which are rejected at once.
const FLOOD_HINT: Nanos = 3_600 * SECOND;
/// Number of requests in each of these rounds.
const REQUESTS_AT_ONCE: usize = 10;
const BODY: &str = "body";
const LENGTH_AND_BODY: &str = "Content-Length: 4\r\n\r\nbody";
const LENGTH: &str = "Content-Length: 4\r\n\r\n";

/// Returns why a request of a misbehaving client must not be served.
fn invalid_reason(kind: Misbehaviour) -> &'static str {
    match kind {
        Misbehaviour::HalfHead | Misbehaviour::HalfBody => "request incomplete",
        Misbehaviour::Trickle => "request not received within the time limit",
        Misbehaviour::HugeHead => "head too large",
        Misbehaviour::HugeBody => "body too large",
        Misbehaviour::EndlessChunks => "body without an end",
        Misbehaviour::NoId => "request id missing",
        Misbehaviour::UnknownClass => "unknown request class",
        Misbehaviour::TwoLengths => "two content lengths",
        Misbehaviour::LengthAndChunks => "both a content length and chunked encoding",
        Misbehaviour::BareLineFeeds => "lines end in bare line feeds",
        _ => "client breaks the protocol",
    }
}

/// Turns a valid request into a malformed one.
fn malformed(kind: Misbehaviour, text: &str) -> String {
    match kind {
        Misbehaviour::HugeHead => {
            let more = format!("X-More: {}\r\nTenant", "m".repeat(20_000));
            text.replacen("Tenant", &more, 1)
        }
        Misbehaviour::EndlessChunks => {
            text.replace(LENGTH_AND_BODY, "Transfer-Encoding: chunked\r\n\r\n")
        }
        Misbehaviour::NoId => text
            .split_inclusive("\r\n")
            .filter(|line| !line.starts_with("Request-Id"))
            .collect(),
        Misbehaviour::UnknownClass => text.replace("Request-Class: s", "Request-Class: no-"),
        Misbehaviour::TwoLengths => {
            text.replace(LENGTH, "Content-Length: 4\r\nContent-Length: 0\r\n\r\n")
        }
        Misbehaviour::LengthAndChunks => text.replace(
            LENGTH,
            "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
        ),
        Misbehaviour::BareLineFeeds => text.replace("\r\n", "\n"),
        Misbehaviour::OldVersion => text.replace("HTTP/1.1", "HTTP/1.0"),
        _ => text.to_string(),
    }
}

/// One client that breaks the protocol.
struct MisbehavingClient<'a> {
    clients: &'a Clients,
    kind: Misbehaviour,
    dispatcher: usize,
    stream: VirtualStream,
    spec: RequestSpec,
    rng: Rng,
}

impl Clients {
    /// Runs one client that breaks the protocol; returns `None` if its connect fails or its
    /// connection breaks.
    pub(super) async fn misbehave(
        &self,
        kind: Misbehaviour,
        dispatcher: usize,
        mut rng: Rng,
    ) -> Option<()> {
        let stream = self.connect(dispatcher).await?;
        self.context.kernel.record(
            TimelineEvent::ClientMisbehaves,
            kind as u64,
            dispatcher as u64,
            || format!("a client at dispatcher {dispatcher}: {kind:?}"),
        );
        let spec = RequestSpec {
            class: rng.index(self.scenario.classes.len()),
            work: 5 * MS,
            timeout: 500 * MS,
            disconnect_after: None,
            hint: None,
        };
        let client = MisbehavingClient {
            clients: self,
            kind,
            dispatcher,
            stream,
            spec,
            rng,
        };
        client.run().await
    }
}

impl MisbehavingClient<'_> {
    async fn run(mut self) -> Option<()> {
        match self.kind {
            Misbehaviour::Silent => Some(()),
            Misbehaviour::Garbage => self.send_garbage().await,
            Misbehaviour::HalfHead | Misbehaviour::HalfBody => self.send_half().await,
            Misbehaviour::Trickle => self.send_slowly().await,
            Misbehaviour::HugeBody => {
                let request = self.create_invalid();
                let body = "b".repeat(70_000);
                let text = render_request(request, &self.spec, &body);
                self.write(text.as_bytes()).await
            }
            Misbehaviour::HugeHead
            | Misbehaviour::NoId
            | Misbehaviour::UnknownClass
            | Misbehaviour::TwoLengths
            | Misbehaviour::LengthAndChunks => self.send_malformed().await,
            Misbehaviour::EndlessChunks => self.send_endless_chunks().await,
            Misbehaviour::BareLineFeeds => {
                self.send_malformed().await?;
                self.write(b"\r\n\r\n").await
            }
            Misbehaviour::SameId => self.reuse_request_id().await,
            Misbehaviour::HalfClose => self.half_close().await,
            Misbehaviour::Unread => {
                self.pipeline_unread().await;
                Some(())
            }
            Misbehaviour::OldVersion => self.send_old_version().await,
            Misbehaviour::LeaveUnread => self.leave_unread().await,
            Misbehaviour::Flood => self.flood().await,
        }
    }

    fn create_invalid(&self) -> RequestIndex {
        let reason = invalid_reason(self.kind);
        self.clients.create_request(&self.spec, Some(reason))
    }

    fn create_valid(&self) -> RequestIndex {
        self.clients.create_request(&self.spec, None)
    }

    fn render(&self, request: RequestIndex) -> String {
        render_request(request, &self.spec, BODY)
    }

    async fn write(&mut self, bytes: &[u8]) -> Option<()> {
        self.stream.write_all(bytes).await.ok()
    }

    fn now(&self) -> Nanos {
        self.clients.context.kernel.now()
    }

    async fn sleep(&self, duration: Nanos) {
        self.clients.context.kernel.sleep(duration).await;
    }

    fn request_sent(&self, request: RequestIndex, deadline: Nanos) {
        let mut checker = self.clients.context.checker.borrow_mut();
        checker.request_sent(self.now(), request, self.stream.peer(), deadline);
    }

    async fn send_garbage(&mut self) -> Option<()> {
        let length = self.rng.range(1, 3000);
        let bytes: Vec<u8> = (0..length).map(|_| self.rng.range(0, 256) as u8).collect();
        self.write(&bytes).await
    }

    async fn send_half(&mut self) -> Option<()> {
        let text = self.render(self.create_invalid());
        let head = text.len() - BODY.len();
        let end = if self.kind == Misbehaviour::HalfHead {
            self.rng.range(1, head as u64 - 2) as usize
        } else {
            head + 2
        };
        self.write(&text.as_bytes()[..end]).await
    }

    async fn send_slowly(&mut self) -> Option<()> {
        let text = self.render(self.create_invalid());
        for byte in text.as_bytes() {
            self.write(&[*byte]).await?;
            self.sleep(100 * MS).await;
            if self.stream.readiness() != Readiness::Idle {
                break;
            }
        }
        Some(())
    }

    async fn send_malformed(&mut self) -> Option<()> {
        let text = self.render(self.create_invalid());
        self.write(malformed(self.kind, &text).as_bytes()).await
    }

    async fn send_endless_chunks(&mut self) -> Option<()> {
        self.send_malformed().await?;
        for _ in 0..400 {
            self.write(b"100\r\n").await?;
            self.write(&[b'c'; 256]).await?;
            self.write(b"\r\n").await?;
        }
        Some(())
    }

    /// Closes the write side after the request, which counts as a disconnect, and continues to
    /// read.
    async fn half_close(mut self) -> Option<()> {
        let request = self.create_valid();
        let text = self.render(request);
        self.write(text.as_bytes()).await?;
        self.request_sent(request, Nanos::MAX);
        self.stream.shutdown_write().ok()?;
        let context = &self.clients.context;
        context
            .checker
            .borrow_mut()
            .client_disconnected(context.kernel.now(), request);
        self.read_until_closed().await;
        Some(())
    }

    /// Reads until the connection ends, for at most 4 seconds.
    async fn read_until_closed(mut self) {
        let until = self.now() + 4 * SECOND;
        let kernel = &self.clients.context.kernel;
        let stream = &mut self.stream;
        let mut buffer = [0; 1024];
        let read = async { while stream.read(&mut buffer).await.is_ok_and(|count| count > 0) {} };
        let _ = kernel.timeout_at(until, read).await;
    }

    /// Pipelines requests and reads no response.
    async fn pipeline_unread(&mut self) {
        for _ in 0..self.rng.range(2, 30) {
            let request = self.create_valid();
            let text = self.render(request);
            if self.write(text.as_bytes()).await.is_none() {
                break;
            }
            self.request_sent(request, self.now() + self.spec.timeout);
            self.clients
                .context
                .checker
                .borrow_mut()
                .response_abandoned(request);
        }
        self.sleep(3 * SECOND).await;
    }

    /// Pipelines requests with some MB behind them and closes at a random moment.
    async fn leave_unread(mut self) -> Option<()> {
        self.stream.set_buffer_bytes(2 * UNREAD_BYTES);
        self.spec.work = 20 * MS;
        let mut requests = Vec::new();
        for _ in 0..self.rng.range(5, 40) {
            let request = self.create_valid();
            let text = self.render(request);
            self.write(text.as_bytes()).await?;
            self.request_sent(request, Nanos::MAX);
            let mut checker = self.clients.context.checker.borrow_mut();
            checker.response_abandoned(request);
            drop(checker);
            requests.push(request);
        }
        let unread = vec![b'x'; UNREAD_BYTES];
        self.write(&unread).await?;
        let pause = self.rng.range(0, 40 * MS);
        self.sleep(pause).await;
        let Context {
            kernel, checker, ..
        } = &*self.clients.context;
        for request in requests {
            checker
                .borrow_mut()
                .client_disconnected(kernel.now(), request);
        }
        Some(())
    }

    /// Sends small requests, each as soon as the connection takes it.
    async fn flood(mut self) -> Option<()> {
        self.spec.work = MS;
        self.spec.hint = Some(FLOOD_HINT);
        let mut buffer = [0; 4096];
        for _ in 0..FLOOD_ROUNDS {
            for _ in 0..REQUESTS_AT_ONCE {
                let request = self.create_valid();
                let text = self.render(request);
                self.write(text.as_bytes()).await?;
                self.request_sent(request, Nanos::MAX);
                let mut checker = self.clients.context.checker.borrow_mut();
                checker.response_abandoned(request);
            }
            if self.stream.read(&mut buffer).await.ok()? == 0 {
                break;
            }
        }
        Some(())
    }

    async fn send_old_version(&mut self) -> Option<()> {
        let request = self.create_valid();
        let text = malformed(self.kind, &self.render(request));
        self.write(text.as_bytes()).await?;
        self.request_sent(request, self.now() + self.spec.timeout);
        let until = self.now() + self.spec.timeout + SLACK + HOLD_UP_SLACK + LATE_RESPONSE_WAIT;
        let kernel = &self.clients.context.kernel;
        let mut reader = MessageReader::default();
        let response = reader.read_response(&mut self.stream);
        match kernel.timeout_at(until, response).await {
            Some(Ok(Some(message))) => self.clients.check_response(request, &message),
            _ => self
                .clients
                .response_lost(request, "no response to an HTTP/1.0 request"),
        }
        Some(())
    }

    /// Sends a request, and again the same request, with the same id, over another connection while
    /// the first is active.
    async fn reuse_request_id(mut self) -> Option<()> {
        let clients = self.clients;
        let kernel = &clients.context.kernel;
        let class_deadline_ms = clients.scenario.classes[self.spec.class].deadline_ms;
        self.spec.work = 400 * MS;
        self.spec.timeout = class_deadline_ms.min(900) * MS;
        self.spec.hint = Some(400 * MS);
        let request = self.create_valid();
        let text = render_request(request, &self.spec, "first");
        let other = clients.connect(self.dispatcher).await;
        self.write(text.as_bytes()).await?;
        self.request_sent(request, self.now() + self.spec.timeout);
        clients
            .context
            .checker
            .borrow_mut()
            .request_id_reused(request);
        let until = self.now() + self.spec.timeout + SLACK + HOLD_UP_SLACK + LATE_RESPONSE_WAIT;
        let second = clients.send_reused_id(request, &text, other);
        let first = clients.await_first_response(request, until, &mut self.stream);
        futures_lite::future::zip(first, kernel.timeout_at(until, second)).await;
        Some(())
    }
}

impl Clients {
    async fn send_reused_id(
        &self,
        request: RequestIndex,
        text: &str,
        stream: Option<VirtualStream>,
    ) -> Option<()> {
        let kernel = &self.context.kernel;
        kernel.sleep(4 * MS).await;
        let mut stream = stream?;
        stream.write_all(text.as_bytes()).await.ok()?;
        let message = MessageReader::default()
            .read_response(&mut stream)
            .await
            .ok()??;
        let status = message.status;
        kernel.record(
            TimelineEvent::ReusedIdAnswered,
            request as u64,
            status.into(),
            || format!("request {request:08x} with {status}"),
        );
        if status == 200 {
            self.context
                .checker
                .borrow_mut()
                .reused_request_id_succeeded(kernel.now(), request);
        }
        Some(())
    }

    async fn await_first_response(
        &self,
        request: RequestIndex,
        until: Nanos,
        stream: &mut VirtualStream,
    ) {
        let mut reader = MessageReader::default();
        let response = reader.read_response(stream);
        match self.context.kernel.timeout_at(until, response).await {
            Some(Ok(Some(message))) => self.record_response(request, &message),
            _ => self.response_lost(
                request,
                "no response to the first of two requests with one id",
            ),
        }
    }
}
