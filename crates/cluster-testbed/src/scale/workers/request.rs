//! Parsing of requests by workers, and their responses.
use crate::stubs::header_field;
use std::time::Duration;

const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

pub(super) struct Request {
    id: String,
    pub(super) dispatcher: usize,
    /// Service time in one slot of a worker that has warmed up.
    pub(super) work: Duration,
    /// Time at which the client sent the request.
    pub(super) sent_unix_ns: u64,
    pub(super) urgent: bool,
}

impl Request {
    pub(super) fn parse(message: &str) -> Option<Request> {
        let (head, body) = message.split_once("\r\n\r\n")?;
        let id = header_field(head, "request-id")?;
        let dispatcher = id.strip_prefix('d')?.split_once('-')?.0.parse().ok()?;
        let mut words = body.split(' ');
        let work = Duration::from_micros(words.next()?.parse().ok()?);
        let sent_unix_ns = words.next()?.parse().ok()?;
        Some(Request {
            id,
            dispatcher,
            work,
            sent_unix_ns,
            urgent: words.next()? == "urgent",
        })
    }

    fn state_chunk(&self, state: &str) -> String {
        let id = &self.id;
        let line =
            format!("{{\"id\":\"{id}\",\"from\":\"w\",\"state\":\"{state}\",\"result\":\"\"}}\n");
        format!("{:x}\r\n{line}\r\n", line.len())
    }

    pub(super) fn started_response(&self) -> String {
        format!("{RESPONSE_HEAD}{}", self.state_chunk("started"))
    }

    pub(super) fn done_response(&self) -> String {
        format!("{}0\r\n\r\n", self.state_chunk("done"))
    }
}
