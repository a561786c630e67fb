//! Reads the answer to one attempt, which the worker streams line by line.
use crate::http::{
    BodyReader, HttpError, MAX_BODY_BYTES, ReadBuffer, ResponseHead, UnframedBody,
    parse_response_head, single_value,
};
use crate::wire::{attempt_state, header, value};
use rosewall::types::Outcome;
use serde::Deserialize;

/// Maximum size of an answer in bytes, all of its lines together.
const MAX_ANSWER_BYTES: usize = 16 * MAX_BODY_BYTES;

/// Progress of an attempt, as reported by the worker.
#[derive(Debug, PartialEq)]
pub enum AttemptProgress {
    /// The worker has started to run the request.
    Started,
    /// The attempt ended with this result.
    Succeeded(Vec<u8>),
    /// The attempt ended without a result.
    Ended(Outcome),
}

/// One line of an answer. Other fields are ignored.
#[derive(Deserialize)]
struct Line {
    id: String,
    state: String,
    result: Option<String>,
}

/// Result of one parsing step.
enum Step {
    NeedMore,
    Continue,
    Report(AttemptProgress),
}

impl Step {
    fn ended(outcome: Outcome) -> Step {
        Step::Report(AttemptProgress::Ended(outcome))
    }
}

/// Error for an answer that is malformed or too large.
struct MalformedAnswer;

impl From<HttpError> for MalformedAnswer {
    fn from(_: HttpError) -> Self {
        MalformedAnswer
    }
}

/// Reader for the answer to one attempt, regardless of how its bytes are split.
pub struct AttemptResponseReader {
    /// Id of the request, which each line repeats.
    id: String,
    buffer: ReadBuffer,
    /// Set once the final head was read.
    body: Option<BodyReader>,
    keep_alive: bool,
    /// Part of the body that has not been interpreted yet.
    text: Vec<u8>,
    /// Whether the body is a stream of lines.
    has_lines: bool,
    /// Whether the end of the attempt was reported.
    ended: bool,
    /// Whether the answer is malformed or its connection was closed.
    broken: bool,
    fed_bytes: usize,
}

impl AttemptResponseReader {
    /// Creates a reader for the answer to an attempt of the request with this id.
    pub fn new(id: String) -> Self {
        AttemptResponseReader {
            id,
            buffer: ReadBuffer::default(),
            body: None,
            keep_alive: false,
            text: Vec::new(),
            has_lines: false,
            ended: false,
            broken: false,
            fed_bytes: 0,
        }
    }

    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.bytes.extend_from_slice(bytes);
        self.fed_bytes += bytes.len();
    }

    /// Returns whether reading must stop: the answer is complete or malformed, or its connection
    /// was closed.
    pub fn is_finished(&self) -> bool {
        self.broken || self.body.as_ref().is_some_and(BodyReader::is_complete)
    }

    /// Returns whether the next attempt may use the same connection.
    pub fn is_reusable(&self) -> bool {
        !self.broken && self.is_finished() && self.keep_alive && self.buffer.bytes.is_empty()
    }

    /// Returns the next progress in the bytes fed so far. Nothing follows the end of the attempt.
    pub fn next_progress(&mut self) -> Option<AttemptProgress> {
        while !self.broken {
            // A worker answers only after it has received the whole request, so the attempt may
            // have run.
            let step = self.step().unwrap_or_else(|MalformedAnswer| {
                self.broken = true;
                Step::ended(Outcome::ConnectionLost)
            });
            match step {
                Step::NeedMore => return None,
                Step::Continue => {}
                Step::Report(AttemptProgress::Started) if self.ended => {}
                Step::Report(AttemptProgress::Started) => return Some(AttemptProgress::Started),
                Step::Report(end) => {
                    if !std::mem::replace(&mut self.ended, true) {
                        return Some(end);
                    }
                }
            }
        }
        None
    }

    /// Returns whether the answer names its request, as lines do. A status names none.
    pub fn names_request(&self) -> bool {
        self.has_lines
    }

    /// Records the end of the connection. Returns the end of the attempt, unless it was reported
    /// before.
    pub fn connection_closed(&mut self) -> Option<AttemptProgress> {
        let had_ended = std::mem::replace(&mut self.ended, true);
        self.broken = true;
        (!had_ended).then_some(AttemptProgress::Ended(Outcome::ConnectionLost))
    }

    fn step(&mut self) -> Result<Step, MalformedAnswer> {
        if self.fed_bytes > MAX_ANSWER_BYTES {
            return Err(MalformedAnswer);
        }
        let Some(body) = &mut self.body else {
            return self.read_head();
        };
        let is_complete = body.advance(&mut self.buffer, &mut self.text, MAX_BODY_BYTES)?;
        if !self.has_lines {
            self.text.clear();
            return Ok(Step::NeedMore);
        }
        let Some(line) = self.take_line(is_complete) else {
            let ends_without_result = is_complete && !self.ended;
            return Ok(if ends_without_result {
                Step::ended(Outcome::ConnectionLost)
            } else {
                Step::NeedMore
            });
        };
        self.interpret_line(&line)
    }

    fn read_head(&mut self) -> Result<Step, MalformedAnswer> {
        /// Parts of a head that the reader needs.
        struct Head {
            status: u16,
            keep_alive: bool,
            body: Option<BodyReader>,
            did_not_run: bool,
        }
        let head = parse_response_head(&mut self.buffer, |head: ResponseHead| {
            let is_interim = (100..200).contains(&head.status);
            let body = if is_interim {
                None
            } else {
                Some(BodyReader::new(head.headers, UnframedBody::UntilClose)?)
            };
            let did_not_run =
                single_value(head.headers, header::NOT_STARTED)? == Some(value::DID_NOT_RUN);
            Ok(Head {
                status: head.status,
                keep_alive: head.keep_alive,
                body,
                did_not_run,
            })
        })?;
        let Some(head) = head else {
            return Ok(Step::NeedMore);
        };
        self.keep_alive = head.keep_alive;
        self.body = head.body;
        self.has_lines = head.status == 200;
        Ok(match head.status {
            // An interim head is followed by the final one, a 200 by the first line.
            100..=200 => Step::Continue,
            400..=499 => Step::ended(Outcome::InvalidRequest),
            503 | 504 if head.did_not_run => Step::ended(Outcome::AtCapacity),
            _ => Step::ended(Outcome::WorkerError),
        })
    }

    /// Removes and returns the next complete line. The last line may lack its line end.
    fn take_line(&mut self, is_complete: bool) -> Option<Vec<u8>> {
        let length = match self.text.iter().position(|byte| *byte == b'\n') {
            Some(line_end) => line_end + 1,
            None if is_complete && !self.text.is_empty() => self.text.len(),
            None => return None,
        };
        Some(self.text.drain(..length).collect())
    }

    fn interpret_line(&self, line: &[u8]) -> Result<Step, MalformedAnswer> {
        if line.trim_ascii().is_empty() {
            return Ok(Step::Continue);
        }
        let line: Line = serde_json::from_slice(line).map_err(|_| MalformedAnswer)?;
        if line.id != self.id {
            return Err(MalformedAnswer);
        }
        Ok(match line.state.as_str() {
            attempt_state::STARTED => Step::Report(AttemptProgress::Started),
            attempt_state::DONE => {
                let result = line.result.ok_or(MalformedAnswer)?;
                Step::Report(AttemptProgress::Succeeded(result.into_bytes()))
            }
            attempt_state::FAILED => Step::ended(Outcome::WorkerError),
            attempt_state::RETURNED => Step::ended(Outcome::AtCapacity),
            attempt_state::LOST => Step::ended(Outcome::ConnectionLost),
            _ => Step::Continue,
        })
    }
}
