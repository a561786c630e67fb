//! HTTP/1.1 framing, the same for all sides: where a head ends, how long a body is, what it holds.
use httparse::{Header, Status};

/// Heads are a few hundred bytes; this leaves room for what fronts add.
pub const HEAD_LIMIT: usize = 16 * 1024;
/// The protocol's limit for a body.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Header lines taken in one head.
pub const HEADERS: usize = 64;
/// What a chunk's size line and the trailers may hold.
const SIZE_LINE_LIMIT: usize = 256;
const TRAILER_LIMIT: usize = 4 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Malformed(&'static str),
    HeadTooLarge,
    BodyTooLarge,
}

/// Bytes received and not used yet.
#[derive(Default)]
pub struct Inlet {
    pub bytes: Vec<u8>,
    scanned: usize,
}

impl Inlet {
    /// The length of the head at the front, once it is all there.
    pub fn head(&mut self) -> Result<Option<usize>, Fault> {
        // Only what is new is looked at. Guards against a head that comes byte by byte being read as often.
        let from = self.scanned.saturating_sub(3);
        let found = self.bytes[from..]
            .windows(4)
            .position(|four| four == b"\r\n\r\n")
            .map(|at| from + at + 4);
        self.scanned = self.bytes.len();
        match found {
            Some(end) if end <= HEAD_LIMIT => Ok(Some(end)),
            None if self.bytes.len() <= HEAD_LIMIT => Ok(None),
            _ => Err(Fault::HeadTooLarge),
        }
    }

    /// Takes the head of an answer, once it is all there: `read` makes of its status, of whether the connection is kept
    /// and of its headers what the caller needs.
    pub fn answer<T>(
        &mut self,
        read: impl FnOnce(u16, bool, &[Header]) -> Result<T, Fault>,
    ) -> Result<Option<T>, Fault> {
        let Some(end) = self.head()? else {
            return Ok(None);
        };
        let mut headers = [httparse::EMPTY_HEADER; HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let status = match parsed.parse(&self.bytes[..end]) {
            Ok(Status::Complete(read)) if read == end => parsed.code.unwrap_or_default(),
            _ => return Err(Fault::Malformed("the head cannot be read")),
        };
        let kept = keeps(parsed.headers, parsed.version.unwrap_or_default());
        let read = read(status, kept, parsed.headers)?;
        self.drop_front(end);
        Ok(Some(read))
    }

    pub fn drop_front(&mut self, count: usize) {
        self.bytes.drain(..count);
        self.scanned = 0;
    }

    /// Empty lines before a request are passed over.
    pub fn skip_empty_lines(&mut self) {
        let empty = self
            .bytes
            .iter()
            .take_while(|byte| matches!(byte, b'\r' | b'\n'))
            .count();
        if empty > 0 {
            self.drop_front(empty);
        }
    }
}

/// The one value of a header; more than one that differ are a fault.
pub fn one<'a>(headers: &[Header<'a>], name: &str) -> Result<Option<&'a str>, Fault> {
    let mut found = None;
    for header in headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case(name))
    {
        let value = std::str::from_utf8(header.value)
            .map_err(|_| Fault::Malformed("a header is not UTF-8"))?;
        if found.is_some_and(|other| other != value) {
            return Err(Fault::Malformed(
                "a header comes twice with different values",
            ));
        }
        found = Some(value);
    }
    Ok(found)
}

/// Whether the sender wants the connection to stay open after this message.
pub fn keeps(headers: &[Header], version: u8) -> bool {
    let says = |word: &str| {
        let named = headers
            .iter()
            .filter(|header| header.name.eq_ignore_ascii_case("connection"));
        let mut words = named.flat_map(|header| header.value.split(|byte| *byte == b','));
        words.any(|value| value.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
    };
    if version == 0 {
        says("keep-alive")
    } else {
        !says("close")
    }
}

#[derive(Debug, PartialEq)]
enum Reading {
    Length(usize),
    ToEnd,
    Size,
    Data(usize),
    DataEnd,
    Trailer(usize),
    Done,
}

/// Reads one body, however its bytes are cut.
pub struct Body {
    reading: Reading,
}

impl Body {
    /// By the headers of a message; `to_end` for one that may end with its connection.
    pub fn new(headers: &[Header], to_end: bool) -> Result<Body, Fault> {
        let coding = one(headers, "transfer-encoding")?;
        let length = one(headers, "content-length")?;
        let reading = match (coding, length) {
            (Some(_), Some(_)) => return Err(Fault::Malformed("a length and a transfer coding")),
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Reading::Size,
            (Some(_), None) => return Err(Fault::Malformed("an unknown transfer coding")),
            (None, Some(length)) => {
                let digits = !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit());
                let length = if digits {
                    length.parse::<u64>().ok()
                } else {
                    None
                };
                let length = length.ok_or(Fault::Malformed("a length that is no number"))?;
                Reading::Length(usize::try_from(length).map_err(|_| Fault::BodyTooLarge)?)
            }
            (None, None) if to_end => Reading::ToEnd,
            (None, None) => Reading::Length(0),
        };
        Ok(Body { reading })
    }

    /// Whether its length is known to be over the limit.
    pub fn over(&self, limit: usize) -> bool {
        matches!(self.reading, Reading::Length(length) if length > limit)
    }

    pub fn done(&self) -> bool {
        matches!(self.reading, Reading::Done | Reading::Length(0))
    }

    /// Moves what can be read from the inlet to `out`, which holds `limit` at most; true at the body's end.
    pub fn advance(
        &mut self,
        inlet: &mut Inlet,
        out: &mut Vec<u8>,
        limit: usize,
    ) -> Result<bool, Fault> {
        let mut used = 0;
        let result = self.step(&inlet.bytes, &mut used, out, limit);
        inlet.drop_front(used);
        result
    }

    fn step(
        &mut self,
        bytes: &[u8],
        used: &mut usize,
        out: &mut Vec<u8>,
        limit: usize,
    ) -> Result<bool, Fault> {
        loop {
            let rest = &bytes[*used..];
            let mut pass = |count: usize, out: &mut Vec<u8>| {
                let part = &rest[..count.min(rest.len())];
                if out.len() + part.len() > limit {
                    return Err(Fault::BodyTooLarge);
                }
                out.extend_from_slice(part);
                *used += part.len();
                Ok(count - part.len())
            };
            match self.reading {
                Reading::Done => return Ok(true),
                Reading::Length(left) => {
                    let left = pass(left, out)?;
                    self.reading = Reading::Length(left);
                    return Ok(left == 0);
                }
                Reading::ToEnd => {
                    pass(rest.len(), out)?;
                    return Ok(false);
                }
                Reading::Size => match httparse::parse_chunk_size(rest) {
                    Ok(Status::Complete((count, size))) => {
                        *used += count;
                        let size = usize::try_from(size).map_err(|_| Fault::BodyTooLarge)?;
                        self.reading = if size == 0 {
                            Reading::Trailer(0)
                        } else {
                            Reading::Data(size)
                        };
                    }
                    Ok(Status::Partial) if rest.len() <= SIZE_LINE_LIMIT => return Ok(false),
                    _ => return Err(Fault::Malformed("a chunk without a size")),
                },
                Reading::Data(left) => {
                    let left = pass(left, out)?;
                    if left > 0 {
                        self.reading = Reading::Data(left);
                        return Ok(false);
                    }
                    self.reading = Reading::DataEnd;
                }
                Reading::DataEnd => match rest {
                    [b'\r', b'\n', ..] => (*used, self.reading) = (*used + 2, Reading::Size),
                    [] | [b'\r'] => return Ok(false),
                    _ => return Err(Fault::Malformed("a chunk longer than its size")),
                },
                Reading::Trailer(seen) => {
                    let end = rest.iter().position(|byte| *byte == b'\n');
                    if seen + end.unwrap_or(rest.len()) > TRAILER_LIMIT {
                        return Err(Fault::Malformed("trailers without an end"));
                    }
                    let Some(end) = end else { return Ok(false) };
                    *used += end + 1;
                    let empty = rest[..end].trim_ascii().is_empty();
                    self.reading = if empty {
                        Reading::Done
                    } else {
                        Reading::Trailer(seen + end + 1)
                    };
                }
            }
        }
    }
}

/// Reads one answer whose body is wanted as a whole, however its bytes are cut.
#[derive(Default)]
pub struct Whole {
    inlet: Inlet,
    /// The status, whether the connection is kept, and the body to come.
    open: Option<(u16, bool, Body)>,
    text: Vec<u8>,
}

impl Whole {
    pub fn status(&self) -> Option<u16> {
        self.open.as_ref().map(|(status, ..)| *status)
    }

    /// The text, once it is all there, and whether the connection may be used again.
    pub fn feed(&mut self, bytes: &[u8], limit: usize) -> Result<Option<(Vec<u8>, bool)>, Fault> {
        self.inlet.bytes.extend_from_slice(bytes);
        if self.open.is_none() {
            let read =
                |status, keeps, headers: &[Header]| Ok((status, keeps, Body::new(headers, true)?));
            self.open = self.inlet.answer(read)?;
        }
        let Some((_, keeps, body)) = &mut self.open else {
            return Ok(None);
        };
        if !body.advance(&mut self.inlet, &mut self.text, limit)? {
            return Ok(None);
        }
        Ok(Some((
            std::mem::take(&mut self.text),
            *keeps && self.inlet.bytes.is_empty(),
        )))
    }

    /// At the end of the connection: the text, if that is how its body ends.
    pub fn closed(&mut self) -> Option<Vec<u8>> {
        let ends = self
            .open
            .as_ref()
            .is_some_and(|(.., body)| body.reading == Reading::ToEnd);
        ends.then(|| std::mem::take(&mut self.text))
    }
}
