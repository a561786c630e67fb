//! The worker side: attempts out, what comes back in. One `Reply` an attempt.
use crate::client::ClientRequest;
use crate::http::{self, BODY_LIMIT, Body, Inlet, Whole};
use rosewall::types::{Nanos, Outcome, Report};
use serde::Deserialize;

/// What a worker tells of an attempt.
#[derive(Debug, PartialEq)]
pub enum AttemptProgress {
    Started,
    Succeeded(Vec<u8>),
    /// It has ended otherwise.
    Ended(Outcome),
}

/// A attempt's bytes, in one piece. The reference goes on as it came. Guards against workers that cannot tell a repeat of
/// a referenced request from another one.
pub fn encode_request(host: &str, request: &ClientRequest, timeout: Nanos) -> Vec<u8> {
    let ClientRequest {
        target,
        id,
        idempotency_key,
        body,
        ..
    } = request;
    let seconds = timeout as f64 / 1e9;
    let length = body.len();
    let known = if idempotency_key.is_empty() {
        String::new()
    } else {
        format!("Idempotency-Key: {idempotency_key}\r\n")
    };
    let mut bytes = format!(
        "POST {target} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nRequest-Timeout: {seconds:.3}\r\n\
         {known}Content-Length: {length}\r\n\r\n"
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn probe(host: &str, reports: bool) -> Vec<u8> {
    let target = if reports { "/load" } else { "/healthz" };
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// One line of an answer. Its other fields are passed over.
#[derive(Deserialize)]
struct Line {
    id: String,
    state: String,
    result: Option<String>,
}

/// All that an answer may come to, with its lines on progress: sixteen times what its result may.
const ANSWER_LIMIT: usize = 16 * BODY_LIMIT;

enum Step {
    Wait,
    On,
    Tell(AttemptProgress),
}

/// Reads the answer to one attempt, however its bytes are cut.
pub struct Reply {
    id: String,
    inlet: Inlet,
    body: Option<Body>,
    keeps: bool,
    lines: Vec<u8>,
    streams: bool,
    ended: bool,
    broken: bool,
    /// How many bytes have come.
    fed: usize,
}

impl Reply {
    pub fn new(id: String) -> Self {
        let (inlet, lines) = (Inlet::default(), Vec::new());
        let (body, keeps, streams, ended, broken, fed) = (None, false, false, false, false, 0);
        Reply {
            id,
            inlet,
            body,
            keeps,
            lines,
            streams,
            ended,
            broken,
            fed,
        }
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        self.inlet.bytes.extend_from_slice(bytes);
        self.fed += bytes.len();
    }

    /// Whether no more is to be read: the answer is complete, or cannot be read on.
    pub fn finished(&self) -> bool {
        self.broken || self.body.as_ref().is_some_and(Body::done)
    }

    /// Whether the next attempt may go over the same connection.
    pub fn reusable(&self) -> bool {
        !self.broken && self.finished() && self.keeps && self.inlet.bytes.is_empty()
    }

    /// The next thing told in the bytes fed so far.
    pub fn told(&mut self) -> Option<AttemptProgress> {
        while !self.broken {
            // What cannot be read was begun by a worker that had all of the posting: it may have run.
            let step = self.step().unwrap_or_else(|| {
                self.broken = true;
                Step::Tell(AttemptProgress::Ended(Outcome::ConnectionLost))
            });
            match step {
                Step::Wait => return None,
                Step::On => {}
                Step::Tell(AttemptProgress::Started) if self.ended => {}
                Step::Tell(AttemptProgress::Started) => return Some(AttemptProgress::Started),
                // Only the first end counts.
                Step::Tell(end) => {
                    if !std::mem::replace(&mut self.ended, true) {
                        return Some(end);
                    }
                }
            }
        }
        None
    }

    /// What the end of the connection tells, if the end of the attempt was not told before.
    pub fn closed(&mut self) -> Option<AttemptProgress> {
        let ended = std::mem::replace(&mut self.ended, true);
        self.broken = true;
        (!ended).then_some(AttemptProgress::Ended(Outcome::ConnectionLost))
    }

    /// One step through the bytes; none where they cannot be read.
    fn step(&mut self) -> Option<Step> {
        // Guards against an answer without an end.
        if self.fed > ANSWER_LIMIT {
            return None;
        }
        let Some(body) = &mut self.body else {
            return self.head();
        };
        let done = body
            .advance(&mut self.inlet, &mut self.lines, BODY_LIMIT)
            .ok()?;
        if !self.streams {
            self.lines.clear();
            return Some(Step::Wait);
        }
        let end = self.lines.iter().position(|byte| *byte == b'\n');
        let Some(end) =
            end.or_else(|| (done && !self.lines.is_empty()).then_some(self.lines.len()))
        else {
            let over = done && !self.ended;
            return Some(if over {
                Step::Tell(AttemptProgress::Ended(Outcome::ConnectionLost))
            } else {
                Step::Wait
            });
        };
        let line: Vec<u8> = self.lines.drain(..self.lines.len().min(end + 1)).collect();
        if line.trim_ascii().is_empty() {
            return Some(Step::On);
        }
        let line: Line = serde_json::from_slice(&line).ok()?;
        if line.id != self.id {
            return None;
        }
        Some(match line.state.as_str() {
            "started" => Step::Tell(AttemptProgress::Started),
            "done" => Step::Tell(AttemptProgress::Succeeded(line.result?.into_bytes())),
            "failed" => Step::Tell(AttemptProgress::Ended(Outcome::WorkerError)),
            "returned" => Step::Tell(AttemptProgress::Ended(Outcome::AtCapacity)),
            "lost" => Step::Tell(AttemptProgress::Ended(Outcome::ConnectionLost)),
            _ => Step::On,
        })
    }

    fn head(&mut self) -> Option<Step> {
        let read = |status, keeps, headers: &[httparse::Header]| {
            let interim = (100..200).contains(&status);
            let body = if interim {
                None
            } else {
                Some(Body::new(headers, true)?)
            };
            Ok((
                status,
                keeps,
                body,
                http::one(headers, "not-started")? == Some("1"),
            ))
        };
        let Some((status, keeps, body, not_run)) = self.inlet.answer(read).ok()? else {
            return Some(Step::Wait);
        };
        (self.keeps, self.body, self.streams) = (keeps, body, status == 200);
        Some(match status {
            100..=200 => Step::On, // what follows an interim answer, or the first line
            400..=499 => Step::Tell(AttemptProgress::Ended(Outcome::InvalidRequest)),
            503 | 504 if not_run => Step::Tell(AttemptProgress::Ended(Outcome::AtCapacity)),
            _ => Step::Tell(AttemptProgress::Ended(Outcome::WorkerError)),
        })
    }
}

/// Reads the answer to a probe: its outcome once it is whole.
pub struct Sounding<'a> {
    fields: &'a [String],
    answer: Whole,
}

impl<'a> Sounding<'a> {
    /// `fields` are the names of a report's values, in the order that the decisions know.
    pub fn new(fields: &'a [String]) -> Self {
        Sounding {
            fields,
            answer: Whole::default(),
        }
    }

    /// The outcome, the report and whether the connection may be used again.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<(Outcome, Report, bool)> {
        let Ok(fed) = self.answer.feed(bytes, BODY_LIMIT) else {
            return Some((Outcome::ConnectionLost, Report::default(), false));
        };
        let (text, reusable) = fed?;
        let outcome = match self.answer.status() {
            Some(200) => Outcome::Succeeded,
            Some(503) => Outcome::AtCapacity,
            _ => Outcome::WorkerError,
        };
        Some((outcome, report(&text, self.fields), reusable))
    }
}

/// A report is a line of name=value pairs; one that lacks a field counts as none.
fn report(text: &[u8], fields: &[String]) -> Report {
    let text = String::from_utf8_lossy(text);
    let value = |field: &String| {
        let mut pairs = text
            .split([',', '\n'])
            .filter_map(|pair| pair.trim().split_once('='));
        pairs
            .find(|(name, _)| name.trim() == field)
            .and_then(|(_, value)| value.trim().parse::<f32>().ok())
    };
    let mut report = Report::default();
    for (place, field) in report.values.iter_mut().zip(fields) {
        let Some(value) = value(field).filter(|value| value.is_finite()) else {
            return Report::default();
        };
        (*place, report.count) = (value, report.count + 1);
    }
    report
}
