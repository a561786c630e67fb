//! Sending of the responses of a stub worker.
use super::StubResponse;
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

pub(super) const HEALTH_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nx0=2\n";
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const NOT_STARTED_RESPONSE: &str =
    "HTTP/1.1 503 Other\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
const LAST_CHUNK: &str = "0\r\n\r\n";
/// Length in bytes of an id that makes its line longer than the daemon accepts.
const OVERSIZED_LINE: usize = 70_000;
/// Number of progress lines per write.
const LINES_AT_ONCE: usize = 1_000;
const LINE_INTERVAL: Duration = Duration::from_millis(20);

pub(super) struct Responder<'a> {
    stream: &'a TcpStream,
    id: String,
    done_line: String,
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

impl<'a> Responder<'a> {
    pub(super) fn new(stream: &'a TcpStream, id: &str, body: &[u8]) -> Self {
        let result = format!("did {}", String::from_utf8_lossy(body));
        let done = json!({"id": id, "from": "w", "state": "done", "result": result});
        Responder {
            stream,
            id: id.to_string(),
            done_line: format!("{done}\n"),
        }
    }

    /// Sends a response. Returns `None` to close the connection.
    pub(super) fn respond(&self, response: StubResponse) -> Option<()> {
        match response {
            StubResponse::Done => self.send(&self.done()),
            StubResponse::DoneThenClose => self.send_last(&self.done()),
            StubResponse::DoneAfterMs(ms) => {
                self.send(&self.started())?;
                thread::sleep(Duration::from_millis(ms));
                self.send(&format!("{}{LAST_CHUNK}", chunk(&self.done_line)))
            }
            StubResponse::Status(status, not_started) => {
                let field = if not_started {
                    "Not-Started: 1\r\n"
                } else {
                    ""
                };
                self.send(&format!(
                    "HTTP/1.1 {status} Other\r\n{field}Content-Length: 0\r\n\r\n"
                ))
            }
            StubResponse::State(state) => self.send(&self.complete(&self.line(state))),
            StubResponse::Body(text) => self.send(&self.complete(&text.replace("ID", &self.id))),
            StubResponse::OversizedLine => {
                let line = format!("{{\"id\":\"{}\"", "x".repeat(OVERSIZED_LINE));
                self.send(&self.complete(&line))
            }
            StubResponse::CloseBeforeResponse => None,
            StubResponse::CloseAfterStart => self.send_last(&self.started()),
            StubResponse::DoneThenCloseOnReuse => {
                self.send(&self.done())?;
                self.wait_for_bytes_or_close()
            }
            StubResponse::NoResponse => self.wait_for_bytes_or_close(),
            StubResponse::EndlessProgress => self.send_progress_forever(),
            StubResponse::DoneThenEndlessProgress => self.send_progress_after_done(),
            StubResponse::NotStartedTwice(ms) => {
                self.send(NOT_STARTED_RESPONSE)?;
                thread::sleep(Duration::from_millis(ms));
                self.send(NOT_STARTED_RESPONSE)
            }
            StubResponse::DoneThenNotStarted => {
                self.send(&self.done())?;
                self.stream.peek(&mut [0]).ok()?;
                self.send(NOT_STARTED_RESPONSE)
            }
        }
    }

    fn send(&self, text: &str) -> Option<()> {
        let mut stream = self.stream;
        stream.write_all(text.as_bytes()).ok()
    }

    /// Sends `text` and returns `None`, which closes the connection.
    fn send_last(&self, text: &str) -> Option<()> {
        self.send(text)?;
        None
    }

    fn line(&self, state: &str) -> String {
        let id = &self.id;
        format!("{{\"id\":\"{id}\",\"from\":\"w\",\"state\":\"{state}\"}}\n")
    }

    /// Returns the head and the line that reports the start of the request.
    fn started(&self) -> String {
        format!("{CHUNKED_HEAD}{}", chunk(&self.line("started")))
    }

    /// Returns a complete response with `text` after the start.
    fn complete(&self, text: &str) -> String {
        format!("{}{}{LAST_CHUNK}", self.started(), chunk(text))
    }

    fn done(&self) -> String {
        self.complete(&self.done_line)
    }

    fn wait_for_bytes_or_close(&self) -> Option<()> {
        let mut stream = self.stream;
        let _ = stream.read(&mut [0]);
        None
    }

    fn send_progress_forever(&self) -> Option<()> {
        self.send(&self.started())?;
        let lines = chunk(&self.line("running")).repeat(LINES_AT_ONCE);
        loop {
            self.send(&lines)?;
        }
    }

    fn send_progress_after_done(&self) -> Option<()> {
        self.send(&self.started())?;
        self.send(&chunk(&self.done_line))?;
        let line = chunk(&self.line("running"));
        loop {
            self.send(&line)?;
            thread::sleep(LINE_INTERVAL);
        }
    }
}
