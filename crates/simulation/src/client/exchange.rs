//! The exchange of one request and its response, and the ways in which it can end.
use super::{ClientConnection, Clients, RequestSpec, render_request};
use crate::checker::{HOLD_UP_SLACK, RequestIndex, SLACK};
use crate::http::Message;
use crate::kernel::ENVIRONMENT;
use crate::time::MS;
use crate::timeline::TimelineEvent;
use futures_lite::{AsyncWriteExt, FutureExt};
use rosewall::types::Nanos;

/// Time for which a client waits beyond the latest time that the rules allow, so that a late
/// response is observed as late.
pub(super) const LATE_RESPONSE_WAIT: Nanos = 20 * MS;

/// The fraction of requests with a large body.
const LARGE_BODY_SHARE: f64 = 0.02;
const LARGE_BODY_BYTES: usize = 40_000;
const MAX_SMALL_BODY_BYTES: u64 = 600;
/// The fraction of disconnecting clients that reset the connection instead of closing it.
const RESET_SHARE: f64 = 0.3;

/// The outcome of a request at its client.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ClientOutcome {
    Succeeded,
    Rejected,
    Failed,
    ConnectFailed,
    Disconnected,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionSource {
    IdleOrNew,
    New,
}

/// A rendered request to one dispatcher.
struct Exchange<'a> {
    dispatcher: usize,
    request: RequestIndex,
    spec: &'a RequestSpec,
    text: &'a str,
}

impl Clients {
    /// Sends one request to one dispatcher and waits for its outcome.
    pub(super) async fn send_request(&self, dispatcher: usize, spec: RequestSpec) -> ClientOutcome {
        let kernel = &self.context.kernel;
        let request = self.create_request(&spec, None);
        kernel.record(
            TimelineEvent::RequestCreated,
            request as u64,
            dispatcher as u64,
            || {
                format!(
                    "request {request:08x} of class {} at dispatcher {dispatcher}",
                    spec.class
                )
            },
        );
        let body_len = kernel.random(|rng| {
            if rng.chance(LARGE_BODY_SHARE) {
                LARGE_BODY_BYTES
            } else {
                rng.range(0, MAX_SMALL_BODY_BYTES) as usize
            }
        });
        let exchange = Exchange {
            dispatcher,
            request,
            spec: &spec,
            text: &render_request(request, &spec, &"x".repeat(body_len)),
        };
        // Resends over a new connection if the dispatcher closed an idle one before it read any of
        // the request.
        for source in [ConnectionSource::IdleOrNew, ConnectionSource::New] {
            let connection = match source {
                ConnectionSource::IdleOrNew => self.idle_or_new_connection(dispatcher).await,
                ConnectionSource::New => self.new_connection(dispatcher).await,
            };
            let Some(connection) = connection else { break };
            if let Some(outcome) = self.exchange(&exchange, connection, source).await {
                return outcome;
            }
        }
        self.context
            .checker
            .borrow_mut()
            .exempt(kernel.now(), request);
        ClientOutcome::ConnectFailed
    }

    /// Sends a request over a connection; returns `None` if it must be resent over a new one.
    async fn exchange(
        &self,
        exchange: &Exchange<'_>,
        mut connection: ClientConnection,
        source: ConnectionSource,
    ) -> Option<ClientOutcome> {
        let kernel = &self.context.kernel;
        let Exchange { request, spec, .. } = *exchange;
        let sent = connection.stream.sent();
        let dispatcher_host = connection.stream.peer();
        let offset = sent.bytes_written();
        let text = exchange.text.as_bytes();
        let written = connection.stream.write_all(text).await.is_ok();
        let now = kernel.now();
        let deadline = now + spec.timeout;
        if written {
            let mut checker = self.context.checker.borrow_mut();
            checker.request_sent(now, request, dispatcher_host, deadline);
        }
        let give_up_at = match spec.disconnect_after {
            Some(after) => now + after,
            None => deadline + SLACK + HOLD_UP_SLACK + LATE_RESPONSE_WAIT,
        };
        let give_up = async {
            kernel.sleep_until(ENVIRONMENT, give_up_at).await;
            None
        };
        let response = async {
            Some(
                connection
                    .reader
                    .read_response(&mut connection.stream)
                    .await,
            )
        };
        match response.or(give_up).await {
            Some(Ok(Some(message))) => Some(self.on_response(exchange, connection, &message)),
            Some(_) => {
                let unread = sent.bytes_read() <= offset;
                if unread && offset > 0 && source == ConnectionSource::IdleOrNew {
                    kernel.record(TimelineEvent::RequestResent, request as u64, 0, || {
                        format!("request {request:08x}: idle connection closed before the request was read")
                    });
                    return None;
                }
                Some(self.on_connection_lost(request))
            }
            None if spec.disconnect_after.is_some() => Some(self.disconnect(request, connection)),
            None => Some(self.on_timeout(request)),
        }
    }

    fn on_response(
        &self,
        exchange: &Exchange,
        connection: ClientConnection,
        message: &Message,
    ) -> ClientOutcome {
        self.record_response(exchange.request, message);
        if !message.closes_connection() {
            self.idle_connections.borrow_mut()[exchange.dispatcher].push(connection);
        }
        match message.status {
            200 => ClientOutcome::Succeeded,
            429 | 503 => ClientOutcome::Rejected,
            _ => ClientOutcome::Failed,
        }
    }

    pub(super) fn record_response(&self, request: RequestIndex, message: &Message) {
        let kernel = &self.context.kernel;
        let status = message.status;
        kernel.record(
            TimelineEvent::ResponseReceived,
            request as u64,
            status.into(),
            || format!("request {request:08x} with {status}"),
        );
        self.check_response(request, message);
    }

    pub(super) fn check_response(&self, request: RequestIndex, message: &Message) {
        self.context.checker.borrow_mut().answered(
            self.context.kernel.now(),
            request,
            message.status,
            &message.body,
        );
    }

    pub(super) fn response_lost(&self, request: RequestIndex, reason: &str) {
        let now = self.context.kernel.now();
        let mut checker = self.context.checker.borrow_mut();
        checker.response_lost(now, request, reason);
    }

    fn on_connection_lost(&self, request: RequestIndex) -> ClientOutcome {
        let kernel = &self.context.kernel;
        kernel.record(TimelineEvent::ResponseLost, request as u64, 0, || {
            format!("request {request:08x}: connection closed before the response")
        });
        self.response_lost(request, "connection closed before the response");
        ClientOutcome::Failed
    }

    fn disconnect(&self, request: RequestIndex, connection: ClientConnection) -> ClientOutcome {
        let kernel = &self.context.kernel;
        kernel.record(TimelineEvent::ClientDisconnected, request as u64, 0, || {
            format!("request {request:08x}")
        });
        self.context
            .checker
            .borrow_mut()
            .client_disconnected(kernel.now(), request);
        if kernel.random(|rng| rng.chance(RESET_SHARE)) {
            connection.stream.reset();
        }
        ClientOutcome::Disconnected
    }

    fn on_timeout(&self, request: RequestIndex) -> ClientOutcome {
        let kernel = &self.context.kernel;
        kernel.record(TimelineEvent::RequestTimedOut, request as u64, 0, || {
            format!("request {request:08x}")
        });
        self.response_lost(request, "no response by its deadline");
        ClientOutcome::Failed
    }
}
