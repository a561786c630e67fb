//! The client side: requests in, answers out. One `Intake` a connection.
use crate::http::{self, BODY_LIMIT, Body, Fault, Inlet};
use rosewall::types::Nanos;

/// The names that the settings list; a place in the list is what the decisions know.
#[derive(Debug, Default)]
pub struct Names {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub worker_types: Vec<String>,
}

/// One request, as it came. `within` is how long the client waits from when it sent it.
#[derive(Debug, Default, PartialEq)]
pub struct ClientRequest {
    pub target: String,
    pub id: String,
    /// What a referenced one's repeats are known by; empty where it has none.
    pub idempotency_key: String,
    pub class: u8,
    pub tenant: u16,
    pub timeout: Nanos,
    pub hint: Option<Nanos>,
    pub slots: f32,
    pub memory: f32,
    pub body: Vec<u8>,
    pub keeps: bool,
}

#[derive(Debug, PartialEq)]
pub enum Heard {
    /// The client waits for leave to send its body.
    Continue,
    Request(ClientRequest),
    /// A question whether this dispatcher is ready.
    Ready {
        keeps: bool,
    },
    /// Not a request that can be taken: the status, and why. The connection ends with it.
    Bad(u16, &'static str),
}

/// What a client is told; `retry_after` in nanoseconds, 0 for none.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Succeeded(Vec<u8>),
    Rejected {
        retry_after: Nanos,
    },
    Failed,
    /// Not taken: a request with this id is in hand or was.
    DuplicateId,
}

#[derive(Default)]
pub struct Intake {
    inlet: Inlet,
    open: Option<(ClientRequest, Body)>,
    bad: bool,
}

fn bad(fault: Fault) -> Heard {
    match fault {
        Fault::Malformed(why) => Heard::Bad(400, why),
        Fault::HeadTooLarge => Heard::Bad(431, "the head is too large"),
        Fault::BodyTooLarge => Heard::Bad(413, "the body is too large"),
    }
}

/// A plain decimal: digits, and perhaps a point.
fn decimal(text: &str) -> Option<f64> {
    let plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    let number = if plain {
        text.parse::<f64>().ok()?
    } else {
        return None;
    };
    // A day and more, or as many slots, is no figure of a request.
    (number < 86_400e6).then_some(number)
}

/// The place of a name. Spaces and commas are underlines in the settings' lists.
pub fn place(names: &[String], name: &str) -> Option<usize> {
    let like = |(a, b)| a == b || (a == b'_' && matches!(b, b' ' | b','));
    names
        .iter()
        .position(|one| one.len() == name.len() && one.bytes().zip(name.bytes()).all(like))
}

impl Intake {
    pub fn feed(&mut self, bytes: &[u8]) {
        self.inlet.bytes.extend_from_slice(bytes);
    }

    /// Whether nothing of a request has come yet.
    pub fn idle(&self) -> bool {
        self.open.is_none() && self.inlet.bytes.is_empty()
    }

    /// How many bytes of requests are held here.
    pub fn held(&self) -> usize {
        self.inlet.bytes.len()
            + self
                .open
                .as_ref()
                .map_or(0, |(request, _)| request.body.len())
    }

    /// Whether more may be read: what comes ahead of its turn is bounded.
    pub fn has_room(&self) -> bool {
        self.inlet.bytes.len() < http::HEAD_LIMIT + BODY_LIMIT
    }

    /// The next thing heard in the bytes fed so far.
    pub fn next(&mut self, names: &Names) -> Option<Heard> {
        if self.bad {
            return None;
        }
        let heard = self.read(names).unwrap_or_else(|fault| Some(bad(fault)));
        self.bad = matches!(heard, Some(Heard::Bad(..)));
        heard
    }

    fn read(&mut self, names: &Names) -> Result<Option<Heard>, Fault> {
        let mut asks = false;
        if self.open.is_none() {
            self.inlet.skip_empty_lines();
            let Some(end) = self.inlet.head()? else {
                return Ok(None);
            };
            match head(&self.inlet.bytes[..end], names)? {
                Head::Answer(heard) => {
                    self.inlet.drop_front(end);
                    return Ok(Some(heard));
                }
                Head::Open(request, body, continues) => {
                    self.inlet.drop_front(end);
                    asks = continues;
                    self.open = Some((request, body));
                }
            }
        }
        let Some((request, body)) = &mut self.open else {
            return Ok(None);
        };
        if body.advance(&mut self.inlet, &mut request.body, BODY_LIMIT)? {
            return Ok(self.open.take().map(|(request, _)| Heard::Request(request)));
        }
        Ok((asks && self.inlet.bytes.is_empty()).then_some(Heard::Continue))
    }
}

enum Head {
    Answer(Heard),
    Open(ClientRequest, Body, bool),
}

/// Reads and checks a whole head.
fn head(bytes: &[u8], names: &Names) -> Result<Head, Fault> {
    let mut headers = [httparse::EMPTY_HEADER; http::HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        // Guards against a head that ends earlier for others, as by bare line feeds, and hides a request behind it.
        Ok(httparse::Status::Complete(end)) if end == bytes.len() => {}
        Err(httparse::Error::TooManyHeaders) => return Err(Fault::HeadTooLarge),
        _ => return Err(Fault::Malformed("the head cannot be read")),
    }
    let (method, target) = (
        parsed.method.unwrap_or_default(),
        parsed.path.unwrap_or_default(),
    );
    let version = parsed.version.unwrap_or_default();
    let headers = &*parsed.headers;
    let keeps = http::keeps(headers, version);
    if method == "GET" && target == "/healthz" {
        let body = Body::new(headers, false)?;
        return Ok(Head::Answer(Heard::Ready {
            keeps: keeps && body.done(),
        }));
    }
    if method != "POST" {
        return Ok(Head::Answer(Heard::Bad(405, "all jobs come by POST")));
    }
    if version == 0 && http::one(headers, "transfer-encoding")?.is_some() {
        return Err(Fault::Malformed("a transfer coding in HTTP/1.0"));
    }
    let body = Body::new(headers, false)?;
    if body.over(BODY_LIMIT) {
        return Err(Fault::BodyTooLarge);
    }
    let continues = match http::one(headers, "expect")? {
        None => false,
        Some(word) if word.eq_ignore_ascii_case("100-continue") => true,
        Some(_) => return Ok(Head::Answer(Heard::Bad(417, "an unknown expectation"))),
    };
    let request = fields(headers, names, target, keeps)?;
    Ok(Head::Open(request, body, continues))
}

fn fields(
    headers: &[httparse::Header],
    names: &Names,
    target: &str,
    keeps: bool,
) -> Result<ClientRequest, Fault> {
    let need = |name, why| {
        http::one(headers, name)?
            .filter(|v| !v.is_empty())
            .ok_or(Fault::Malformed(why))
    };
    let id = need("request-id", "no Request-Id")?;
    let class = place(&names.classes, need("request-class", "no Request-Class")?);
    let tenant = match names.tenants.is_empty() {
        true => Some(0),
        false => place(&names.tenants, need("tenant", "no Tenant")?),
    };
    let within = decimal(need("request-timeout", "no Request-Timeout")?)
        .filter(|seconds| *seconds < 86_400.0);
    let hint = match http::one(headers, "work-hint")? {
        None => None,
        Some(text) => Some(decimal(text).ok_or(Fault::Malformed("the hint cannot be read"))?),
    };
    let (mut slots, mut memory) = (1.0, 0.0);
    let figures = http::one(headers, "request-info")?.unwrap_or_default();
    for figure in figures
        .split(',')
        .map(str::trim)
        .filter(|figure| !figure.is_empty())
    {
        let (name, value) = figure
            .split_once('=')
            .ok_or(Fault::Malformed("a figure without a value"))?;
        let value =
            decimal(value.trim()).ok_or(Fault::Malformed("a figure that cannot be read"))? as f32;
        match name.trim() {
            "slots" => slots = value,
            "memory" => memory = value,
            _ => return Err(Fault::Malformed("an unknown figure")),
        }
    }
    let unknown = Fault::Malformed("an unknown Request-Class");
    Ok(ClientRequest {
        target: target.to_string(),
        id: id.to_string(),
        idempotency_key: http::one(headers, "idempotency-key")?
            .unwrap_or_default()
            .to_string(),
        class: class.and_then(|at| u8::try_from(at).ok()).ok_or(unknown)?,
        tenant: tenant
            .and_then(|at| u16::try_from(at).ok())
            .ok_or(Fault::Malformed("an unknown Tenant"))?,
        timeout: (within.ok_or(Fault::Malformed("the Request-Timeout cannot be read"))? * 1e9)
            as Nanos,
        hint: hint
            .map(|micros| (micros * 1e3) as Nanos)
            .filter(|hint| *hint > 0),
        slots,
        memory,
        body: Vec::new(),
        keeps,
    })
}

pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        417 => "Expectation Failed",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        _ => "Service Unavailable",
    }
}

/// One whole message; `more` are further header lines.
pub fn message(status: u16, more: &str, body: &[u8], keeps: bool) -> Vec<u8> {
    let close = if keeps { "" } else { "Connection: close\r\n" };
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status} {}\r\n{more}{close}Content-Length: {length}\r\n\r\n",
        reason(status)
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn answer(answer: &Answer, keeps: bool) -> Vec<u8> {
    match answer {
        Answer::Succeeded(result) => message(200, "", result, keeps),
        Answer::Rejected { retry_after: 0 } => message(503, "", b"declined\n", keeps),
        Answer::Rejected { retry_after } => {
            let after = format!("Retry-After: {:.3}\r\n", *retry_after as f64 / 1e9);
            message(503, &after, b"declined\n", keeps)
        }
        Answer::Failed => message(502, "", b"reversed\n", keeps),
        Answer::DuplicateId => message(409, "", b"the Request-Id is not new\n", keeps),
    }
}
