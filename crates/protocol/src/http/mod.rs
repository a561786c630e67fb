//! HTTP/1.1 framing: finds the ends of heads and bodies, and extracts the bodies.
mod body;
mod buffer;
mod headers;
mod response;

pub use body::{BodyReader, UnframedBody};
pub use buffer::ReadBuffer;
pub use headers::{single_value, wants_keep_alive};
pub use response::{CompleteResponse, ResponseHead, ResponseReader, parse_response_head};

/// Maximum size of a head in bytes. Heads are a few hundred bytes long; proxies add more.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of the body of a request or result, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of header lines in one head.
pub const MAX_HEADERS: usize = 64;

/// Reason why a message is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The message does not follow the grammar of HTTP or of this protocol.
    #[error("malformed HTTP message: {0}")]
    Malformed(&'static str),
    /// The head exceeds [`MAX_HEAD_BYTES`] or [`MAX_HEADERS`].
    #[error("the head of the HTTP message is too large")]
    HeadTooLarge,
    /// The body exceeds the caller's limit.
    #[error("the body of the HTTP message is too large")]
    BodyTooLarge,
}
