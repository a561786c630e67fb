//! Responses that break the worker protocol, or use rare parts of it.
use super::execution::Execution;
use super::wire::{self, CHUNKED, LAST_CHUNK, NOT_STARTED, chunk, line};
use super::{Persistence, wait_until_closed};
use crate::network::VirtualStream;
use crate::time::{MS, SECOND};
use crate::timeline::TimelineEvent;
use futures_lite::AsyncWriteExt;

/// Whether the request runs although its response is malformed.
enum Runs {
    Never,
    /// With probability 0.5.
    Maybe,
    Always,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Malformation {
    RejectedLine,
    Rejected503,
    Rejected504,
    ErrorStatus,
    FailedLine,
    LostLine,
    OtherRequestId,
    BrokenJson,
    EndlessLines,
    EndlessHead,
    HugeBody,
    ClosedAfterStart,
    SilentAfterStart,
    ClosedUnanswered,
    BadRequest,
    ClosesConnection,
    BodyUntilClose,
    InterimResponse,
    DoneTwice,
    DoneWithoutResult,
    RejectionWithoutPromise,
    TrailingBytes,
    BodyNeverEnds,
}

/// The malformations to select from with equal weights; one that is listed twice is twice as
/// frequent.
const MALFORMATIONS: [Malformation; 24] = [
    Malformation::RejectedLine,
    Malformation::Rejected503,
    Malformation::Rejected504,
    Malformation::ErrorStatus,
    Malformation::FailedLine,
    Malformation::LostLine,
    Malformation::OtherRequestId,
    Malformation::BrokenJson,
    Malformation::EndlessLines,
    Malformation::EndlessHead,
    Malformation::HugeBody,
    Malformation::ClosedAfterStart,
    Malformation::SilentAfterStart,
    Malformation::ClosedUnanswered,
    Malformation::ClosedUnanswered,
    Malformation::BadRequest,
    Malformation::ClosesConnection,
    Malformation::BodyUntilClose,
    Malformation::InterimResponse,
    Malformation::DoneTwice,
    Malformation::DoneWithoutResult,
    Malformation::RejectionWithoutPromise,
    Malformation::TrailingBytes,
    Malformation::BodyNeverEnds,
];

impl Malformation {
    fn runs(self) -> Runs {
        match self {
            Self::RejectedLine | Self::Rejected503 | Self::Rejected504 | Self::BadRequest => {
                Runs::Never
            }
            Self::ErrorStatus
            | Self::FailedLine
            | Self::LostLine
            | Self::OtherRequestId
            | Self::BrokenJson
            | Self::EndlessLines
            | Self::EndlessHead
            | Self::HugeBody
            | Self::ClosedUnanswered
            | Self::RejectionWithoutPromise => Runs::Maybe,
            Self::ClosedAfterStart
            | Self::SilentAfterStart
            | Self::ClosesConnection
            | Self::BodyUntilClose
            | Self::InterimResponse
            | Self::DoneTwice
            | Self::DoneWithoutResult
            | Self::TrailingBytes
            | Self::BodyNeverEnds => Runs::Always,
        }
    }

    fn persistence(self) -> Persistence {
        match self {
            Self::BadRequest | Self::ClosesConnection | Self::BodyUntilClose => Persistence::Close,
            _ => Persistence::KeepOpen,
        }
    }
}

impl Execution {
    /// Sends a response with a randomly selected malformation.
    pub async fn respond_malformed(&self, stream: &mut VirtualStream) -> Option<Persistence> {
        let kernel = &self.context().kernel;
        let number = kernel.random(|rng| rng.index(MALFORMATIONS.len()));
        let kind = MALFORMATIONS[number];
        kernel.record(
            TimelineEvent::MalformedResponse,
            self.request as u64,
            number as u64,
            || format!("request {}: {kind:?}", self.id),
        );
        let runs = match kind.runs() {
            Runs::Never => false,
            Runs::Maybe => kernel.random(|rng| rng.chance(0.5)),
            Runs::Always => true,
        };
        if runs {
            self.record_start();
        }
        match kind {
            Malformation::RejectedLine => self.reject_from_queue(stream).await,
            Malformation::Rejected503 => self.reject(stream, NOT_STARTED).await,
            Malformation::Rejected504 => {
                let text = NOT_STARTED.replace("503 Service Unavailable", "504 Gateway Timeout");
                self.reject(stream, &text).await
            }
            Malformation::EndlessLines => self.send_endless_lines(stream).await,
            Malformation::EndlessHead => self.send_endless_head(stream).await,
            Malformation::HugeBody => self.send_huge_body(stream).await,
            Malformation::ClosedAfterStart => {
                self.send_started(stream).await?;
                kernel.sleep(5 * MS).await;
                None
            }
            Malformation::SilentAfterStart => {
                self.send_started(stream).await?;
                wait_until_closed(stream).await;
                None
            }
            Malformation::ClosedUnanswered => None,
            Malformation::BodyNeverEnds => {
                let text = format!("{}{}", self.started(), chunk(&self.done_line()));
                stream.write_all(text.as_bytes()).await.ok()?;
                kernel.sleep(SECOND).await;
                None
            }
            _ => self.send_malformed_text(stream, kind).await,
        }
    }

    async fn send_malformed_text(
        &self,
        stream: &mut VirtualStream,
        kind: Malformation,
    ) -> Option<Persistence> {
        let kernel = &self.context().kernel;
        let text = self.malformed_text(kind);
        stream.write_all(text.as_bytes()).await.ok()?;
        if kind == Malformation::InterimResponse && kernel.random(|rng| rng.chance(0.5)) {
            kernel.sleep(MS).await;
        }
        Some(kind.persistence())
    }

    fn malformed_text(&self, kind: Malformation) -> String {
        let id = &self.id;
        let one_line = |state: &str| wire::one_chunk_response(&line(id, state, ""));
        match kind {
            Malformation::ErrorStatus => wire::empty_response("500 Internal Server Error"),
            Malformation::FailedLine => one_line("failed"),
            Malformation::LostLine => one_line("lost"),
            Malformation::OtherRequestId => {
                wire::one_chunk_response(&line("ffffffff", "done", ",\"result\":\"x\""))
            }
            Malformation::BrokenJson => wire::one_chunk_response("{\"id\":\n"),
            Malformation::BadRequest => {
                "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                    .to_string()
            }
            Malformation::ClosesConnection => {
                let head = CHUNKED.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
                format!("{head}{}{LAST_CHUNK}", chunk(&self.done_line()))
            }
            Malformation::BodyUntilClose => {
                let started = line(id, "started", "");
                format!("HTTP/1.1 200 OK\r\n\r\n{started}{}", self.done_line())
            }
            Malformation::InterimResponse => {
                format!(
                    "HTTP/1.1 102 Processing\r\n\r\n{}{}{LAST_CHUNK}",
                    self.started(),
                    chunk(&self.done_line())
                )
            }
            Malformation::DoneTwice => {
                let done = chunk(&self.done_line());
                format!("{}{done}{done}{LAST_CHUNK}", self.started())
            }
            Malformation::DoneWithoutResult => one_line("done"),
            Malformation::RejectionWithoutPromise => {
                wire::empty_response("503 Service Unavailable")
            }
            Malformation::TrailingBytes => {
                let done = chunk(&self.done_line());
                format!("{}{done}{LAST_CHUNK}and more", self.started())
            }
            // The other malformations are more than one text; separate functions send them.
            _ => String::new(),
        }
    }

    /// Renders the head of a response and the line that reports the start of the request.
    fn started(&self) -> String {
        format!("{CHUNKED}{}", chunk(&line(&self.id, "started", "")))
    }

    async fn send_started(&self, stream: &mut VirtualStream) -> Option<()> {
        stream.write_all(self.started().as_bytes()).await.ok()
    }

    async fn send_endless_lines(&self, stream: &mut VirtualStream) -> Option<Persistence> {
        let _ = self.send_started(stream).await;
        loop {
            let more = chunk(&line(&self.id, "running", ",\"share\":0.5"));
            stream.write_all(more.as_bytes()).await.ok()?;
            self.context().kernel.sleep(20 * MS).await;
        }
    }

    async fn send_endless_head(&self, stream: &mut VirtualStream) -> Option<Persistence> {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n").await;
        loop {
            let more = b"X-More: and more and more and more\r\n";
            stream.write_all(more).await.ok()?;
            self.context().kernel.sleep(MS).await;
        }
    }

    async fn send_huge_body(&self, stream: &mut VirtualStream) -> Option<Persistence> {
        let _ = stream.write_all(CHUNKED.as_bytes()).await;
        let part = chunk(&"x".repeat(8192));
        for _ in 0..20 {
            stream.write_all(part.as_bytes()).await.ok()?;
        }
        Some(Persistence::Close)
    }
}
