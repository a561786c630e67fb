//! Lookups in the header fields of a message.
use super::HttpError;
use crate::wire::{header, reason, value};
use httparse::Header;

/// Returns the value of a header field that must have only one value.
///
/// # Errors
/// [`HttpError::Malformed`] if the field occurs with different values or is not UTF-8.
pub fn single_value<'a>(headers: &[Header<'a>], name: &str) -> Result<Option<&'a str>, HttpError> {
    let mut found = None;
    for header in headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case(name))
    {
        let value = std::str::from_utf8(header.value)
            .map_err(|_| HttpError::Malformed(reason::HEADER_NOT_UTF8))?;
        if found.is_some_and(|earlier| earlier != value) {
            return Err(HttpError::Malformed(reason::CONFLICTING_HEADERS));
        }
        found = Some(value);
    }
    Ok(found)
}

/// Returns whether the sender wants to keep the connection open after this message. `minor_version`
/// is the x in HTTP/1.x.
pub fn wants_keep_alive(headers: &[Header], minor_version: u8) -> bool {
    if minor_version == 0 {
        connection_options_contain(headers, value::KEEP_ALIVE)
    } else {
        !connection_options_contain(headers, value::CLOSE)
    }
}

fn connection_options_contain(headers: &[Header], option: &str) -> bool {
    headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case(header::CONNECTION))
        .flat_map(|header| header.value.split(|byte| *byte == b','))
        .any(|value| value.trim_ascii().eq_ignore_ascii_case(option.as_bytes()))
}
