//! HTTP/1.1 framing: where a head ends, how long a body is, what it holds.
mod body;
mod buffer;
mod headers;
mod response;

pub use body::{BodyReader, UnframedBody};
pub use buffer::ReadBuffer;
pub use headers::{single_value, wants_keep_alive};
pub use response::{CompleteResponse, ResponseHead, ResponseReader, parse_response_head};

/// The largest head in bytes. Heads are a few hundred bytes; proxies add more.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The largest body of a request or result in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The largest number of header lines in one head.
pub const MAX_HEADERS: usize = 64;

/// Why a message is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// It does not follow the grammar.
    #[error("malformed HTTP message: {0}")]
    Malformed(&'static str),
    /// Its head has more than [`MAX_HEAD_BYTES`] or [`MAX_HEADERS`].
    #[error("the head of the HTTP message is too large")]
    HeadTooLarge,
    /// Its body is over the caller's limit.
    #[error("the body of the HTTP message is too large")]
    BodyTooLarge,
}
