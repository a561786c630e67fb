//! Parses and validates the head of a request.
use super::{ClientEvent, ClientRequest};
use crate::http::{
    BodyReader, HttpError, MAX_BODY_BYTES, MAX_HEADERS, UnframedBody, single_value,
    wants_keep_alive,
};
use crate::names::{Names, index_of_name};
use crate::wire::{header, reason, target, value};
use httparse::Header;
use rosewall::types::Nanos;

/// Exclusive upper bound of the timeout: one day.
const TIMEOUT_LIMIT_SECONDS: f64 = 86_400.0;
/// Exclusive upper bound of every number in the header fields: one day in microseconds.
const NUMBER_LIMIT: f64 = 86_400e6;

/// Content of a complete head.
pub(super) enum RequestHead {
    /// An event that is answered without reading a body.
    Event(ClientEvent),
    /// A request. Its body follows.
    Request {
        request: ClientRequest,
        body: BodyReader,
        /// Whether the client waits for `100 Continue`.
        expects_continue: bool,
    },
}

/// Parses and validates a complete head.
pub(super) fn parse_request_head(bytes: &[u8], names: &Names) -> Result<RequestHead, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        // If the parser sees an earlier end than the buffer, for example after bare line feeds, the
        // rest could be used to smuggle in a second request.
        Ok(httparse::Status::Complete(end)) if end == bytes.len() => {}
        Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
        _ => return Err(HttpError::Malformed(reason::HEAD_UNREADABLE)),
    }
    let method = parsed.method.unwrap_or_default();
    let target = parsed.path.unwrap_or_default();
    let minor_version = parsed.version.unwrap_or_default();
    let headers = &*parsed.headers;
    let keep_alive = wants_keep_alive(headers, minor_version);
    if method == "GET" && target == target::HEALTH {
        let body = BodyReader::new(headers, UnframedBody::Empty)?;
        return Ok(RequestHead::Event(ClientEvent::ReadinessCheck {
            keep_alive: keep_alive && body.is_complete(),
        }));
    }
    if method != "POST" {
        return Ok(refuse(405, reason::METHOD_NOT_ALLOWED));
    }
    if minor_version == 0 && single_value(headers, header::TRANSFER_ENCODING)?.is_some() {
        return Err(HttpError::Malformed(reason::ENCODING_IN_HTTP_1_0));
    }
    let body = BodyReader::new(headers, UnframedBody::Empty)?;
    if body.exceeds(MAX_BODY_BYTES) {
        return Err(HttpError::BodyTooLarge);
    }
    let expects_continue = match single_value(headers, header::EXPECT)? {
        None => false,
        Some(value) if value.eq_ignore_ascii_case(value::CONTINUE) => true,
        Some(_) => return Ok(refuse(417, reason::EXPECTATION_UNKNOWN)),
    };
    Ok(RequestHead::Request {
        request: parse_fields(headers, names, target, keep_alive)?,
        body,
        expects_continue,
    })
}

fn refuse(status: u16, reason: &'static str) -> RequestHead {
    RequestHead::Event(ClientEvent::Invalid { status, reason })
}

/// Parses the header fields to a request without its body. If several fields are invalid, the first
/// one in the order in which they are read here is reported.
fn parse_fields(
    headers: &[Header],
    names: &Names,
    target: &str,
    keep_alive: bool,
) -> Result<ClientRequest, HttpError> {
    let id = required(headers, header::REQUEST_ID, reason::ID_MISSING)?;
    let class = required(headers, header::REQUEST_CLASS, reason::CLASS_MISSING)?;
    let tenant = if names.tenants.is_empty() {
        None
    } else {
        Some(required(headers, header::TENANT, reason::TENANT_MISSING)?)
    };
    let timeout = required(headers, header::REQUEST_TIMEOUT, reason::TIMEOUT_MISSING)?;
    let hint = single_value(headers, header::WORK_HINT)?
        .map(parse_hint)
        .transpose()?;
    let resources = parse_resources(headers)?;
    Ok(ClientRequest {
        target: target.to_string(),
        id: id.to_string(),
        idempotency_key: single_value(headers, header::IDEMPOTENCY_KEY)?
            .unwrap_or_default()
            .to_string(),
        class: class_index(names, class)?,
        tenant: tenant.map_or(Ok(0), |tenant| tenant_index(names, tenant))?,
        timeout: parse_timeout(timeout)?,
        hint: hint.filter(|hint| *hint > 0),
        slots: resources.slots,
        memory: resources.memory,
        body: Vec::new(),
        keep_alive,
    })
}

fn required<'a>(
    headers: &[Header<'a>],
    name: &str,
    missing: &'static str,
) -> Result<&'a str, HttpError> {
    single_value(headers, name)?
        .filter(|value| !value.is_empty())
        .ok_or(HttpError::Malformed(missing))
}

fn class_index(names: &Names, class: &str) -> Result<u8, HttpError> {
    index_of_name(&names.classes, class)
        .and_then(|index| u8::try_from(index).ok())
        .ok_or(HttpError::Malformed(reason::CLASS_UNKNOWN))
}

fn tenant_index(names: &Names, tenant: &str) -> Result<u16, HttpError> {
    index_of_name(&names.tenants, tenant)
        .and_then(|index| u16::try_from(index).ok())
        .ok_or(HttpError::Malformed(reason::TENANT_UNKNOWN))
}

fn parse_timeout(text: &str) -> Result<Nanos, HttpError> {
    let seconds = parse_decimal(text)
        .filter(|seconds| *seconds < TIMEOUT_LIMIT_SECONDS)
        .ok_or(HttpError::Malformed(reason::TIMEOUT_UNREADABLE))?;
    Ok((seconds * 1e9) as Nanos)
}

fn parse_hint(text: &str) -> Result<Nanos, HttpError> {
    let micros = parse_decimal(text).ok_or(HttpError::Malformed(reason::HINT_UNREADABLE))?;
    Ok((micros * 1e3) as Nanos)
}

struct Resources {
    slots: f32,
    memory: f32,
}

fn parse_resources(headers: &[Header]) -> Result<Resources, HttpError> {
    let mut resources = Resources {
        slots: 1.0,
        memory: 0.0,
    };
    let pairs = single_value(headers, header::REQUEST_INFO)?.unwrap_or_default();
    for pair in pairs
        .split(',')
        .map(str::trim)
        .filter(|pair| !pair.is_empty())
    {
        let (name, value) = pair
            .split_once('=')
            .ok_or(HttpError::Malformed(reason::INFO_WITHOUT_VALUE))?;
        let value = parse_decimal(value.trim())
            .ok_or(HttpError::Malformed(reason::INFO_UNREADABLE))? as f32;
        match name.trim() {
            value::SLOTS => resources.slots = value,
            value::MEMORY => resources.memory = value,
            _ => return Err(HttpError::Malformed(reason::INFO_UNKNOWN)),
        }
    }
    Ok(resources)
}

/// Parses a decimal number of digits and at most one point. Returns `None` for other forms and
/// beyond the limit.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.');
    if !is_plain {
        return None;
    }
    let number = text.parse::<f64>().ok()?;
    (number < NUMBER_LIMIT).then_some(number)
}
