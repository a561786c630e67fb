//! Reads one body: by length, in chunks, or up to the end of the connection.
use super::{HttpError, ReadBuffer, single_value};
use crate::wire::{header, reason, value};
use httparse::{Header, Status};

/// Maximum length of the line with the size of a chunk, in bytes.
const MAX_SIZE_LINE_BYTES: usize = 256;
/// Maximum size of the trailers in bytes.
const MAX_TRAILER_BYTES: usize = 4 * 1024;

/// Part of the body that is read next.
#[derive(Debug, PartialEq)]
enum State {
    /// Rest of a body of known length, in bytes.
    Length(usize),
    /// All bytes up to the end of the connection.
    UntilClose,
    ChunkSize,
    /// Rest of a chunk, in bytes.
    ChunkData(usize),
    ChunkEnd,
    /// Trailers, with the number of their bytes that have been read.
    Trailers(usize),
    Complete,
}

/// Result of one parsing step.
enum Step {
    Continue,
    NeedMore,
    Complete,
}

/// Meaning of a missing length and transfer coding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnframedBody {
    /// The body is empty, as in a request.
    Empty,
    /// The body ends with the connection, as in a response.
    UntilClose,
}

/// Reader for one body, regardless of how its bytes are split.
pub struct BodyReader {
    state: State,
}

impl BodyReader {
    /// Creates a reader for the body of a message with these headers.
    ///
    /// # Errors
    /// Returns an error if the headers do not define the end of the body.
    pub fn new(headers: &[Header], unframed: UnframedBody) -> Result<BodyReader, HttpError> {
        let coding = single_value(headers, header::TRANSFER_ENCODING)?;
        let length = single_value(headers, header::CONTENT_LENGTH)?;
        let state = match (coding, length) {
            (Some(_), Some(_)) => return Err(HttpError::Malformed(reason::ENCODING_AND_LENGTH)),
            (Some(coding), None) if coding.eq_ignore_ascii_case(value::CHUNKED) => State::ChunkSize,
            (Some(_), None) => return Err(HttpError::Malformed(reason::ENCODING_UNKNOWN)),
            (None, Some(length)) => State::Length(parse_length(length)?),
            (None, None) => match unframed {
                UnframedBody::UntilClose => State::UntilClose,
                UnframedBody::Empty => State::Length(0),
            },
        };
        Ok(BodyReader { state })
    }

    /// Returns whether the length of the body is known and exceeds a limit.
    pub fn exceeds(&self, limit: usize) -> bool {
        matches!(self.state, State::Length(length) if length > limit)
    }

    /// Returns whether the whole body has been read.
    pub fn is_complete(&self) -> bool {
        matches!(self.state, State::Complete | State::Length(0))
    }

    /// Returns whether the body ends with the connection.
    pub fn ends_with_connection(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Moves available bytes of the body from `buffer` to `out`, which may hold up to `limit`
    /// bytes. Returns true at the end of the body.
    ///
    /// # Errors
    /// Returns an error if the framing is malformed or the body exceeds the limit.
    pub fn advance(
        &mut self,
        buffer: &mut ReadBuffer,
        out: &mut Vec<u8>,
        limit: usize,
    ) -> Result<bool, HttpError> {
        let mut transfer = Transfer {
            bytes: &buffer.bytes,
            used: 0,
            out,
            limit,
        };
        let result = self.run(&mut transfer);
        let used = transfer.used;
        buffer.consume(used);
        result
    }

    fn run(&mut self, transfer: &mut Transfer) -> Result<bool, HttpError> {
        loop {
            match self.step(transfer)? {
                Step::Continue => {}
                Step::NeedMore => return Ok(false),
                Step::Complete => return Ok(true),
            }
        }
    }

    fn step(&mut self, transfer: &mut Transfer) -> Result<Step, HttpError> {
        match self.state {
            State::Complete => Ok(Step::Complete),
            State::Length(left) => self.read_length(left, transfer),
            State::UntilClose => {
                transfer.copy(transfer.rest().len())?;
                Ok(Step::NeedMore)
            }
            State::ChunkSize => self.read_chunk_size(transfer),
            State::ChunkData(left) => self.read_chunk_data(left, transfer),
            State::ChunkEnd => self.read_chunk_end(transfer),
            State::Trailers(read) => self.read_trailer(read, transfer),
        }
    }

    fn read_length(&mut self, left: usize, transfer: &mut Transfer) -> Result<Step, HttpError> {
        let left = transfer.copy(left)?;
        self.state = State::Length(left);
        Ok(if left == 0 {
            Step::Complete
        } else {
            Step::NeedMore
        })
    }

    fn read_chunk_size(&mut self, transfer: &mut Transfer) -> Result<Step, HttpError> {
        match httparse::parse_chunk_size(transfer.rest()) {
            Ok(Status::Complete((count, size))) => {
                transfer.used += count;
                let size = usize::try_from(size).map_err(|_| HttpError::BodyTooLarge)?;
                self.state = if size == 0 {
                    State::Trailers(0)
                } else {
                    State::ChunkData(size)
                };
                Ok(Step::Continue)
            }
            Ok(Status::Partial) if transfer.rest().len() <= MAX_SIZE_LINE_BYTES => {
                Ok(Step::NeedMore)
            }
            _ => Err(HttpError::Malformed(reason::CHUNK_SIZE)),
        }
    }

    fn read_chunk_data(&mut self, left: usize, transfer: &mut Transfer) -> Result<Step, HttpError> {
        let left = transfer.copy(left)?;
        if left > 0 {
            self.state = State::ChunkData(left);
            return Ok(Step::NeedMore);
        }
        self.state = State::ChunkEnd;
        Ok(Step::Continue)
    }

    fn read_chunk_end(&mut self, transfer: &mut Transfer) -> Result<Step, HttpError> {
        match transfer.rest() {
            [b'\r', b'\n', ..] => {
                transfer.used += 2;
                self.state = State::ChunkSize;
                Ok(Step::Continue)
            }
            [] | [b'\r'] => Ok(Step::NeedMore),
            _ => Err(HttpError::Malformed(reason::CHUNK_TOO_LONG)),
        }
    }

    fn read_trailer(&mut self, read: usize, transfer: &mut Transfer) -> Result<Step, HttpError> {
        let rest = transfer.rest();
        let line_end = rest.iter().position(|byte| *byte == b'\n');
        if read + line_end.unwrap_or(rest.len()) > MAX_TRAILER_BYTES {
            return Err(HttpError::Malformed(reason::TRAILERS_TOO_LONG));
        }
        let Some(line_end) = line_end else {
            return Ok(Step::NeedMore);
        };
        let is_last = rest[..line_end].trim_ascii().is_empty();
        transfer.used += line_end + 1;
        self.state = if is_last {
            State::Complete
        } else {
            State::Trailers(read + line_end + 1)
        };
        Ok(Step::Continue)
    }
}

fn parse_length(length: &str) -> Result<usize, HttpError> {
    let only_digits = !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit());
    let length = length
        .parse::<u64>()
        .ok()
        .filter(|_| only_digits)
        .ok_or(HttpError::Malformed(reason::LENGTH_NOT_A_NUMBER))?;
    usize::try_from(length).map_err(|_| HttpError::BodyTooLarge)
}

/// Moves bytes from a buffer to a body.
struct Transfer<'a> {
    bytes: &'a [u8],
    /// Number of bytes that have been used.
    used: usize,
    out: &'a mut Vec<u8>,
    limit: usize,
}

impl<'a> Transfer<'a> {
    fn rest(&self) -> &'a [u8] {
        &self.bytes[self.used..]
    }

    /// Copies up to `count` bytes. Returns how many of them are still missing.
    fn copy(&mut self, count: usize) -> Result<usize, HttpError> {
        let rest = self.rest();
        let part = &rest[..count.min(rest.len())];
        if self.out.len() + part.len() > self.limit {
            return Err(HttpError::BodyTooLarge);
        }
        self.out.extend_from_slice(part);
        self.used += part.len();
        Ok(count - part.len())
    }
}
