//! The words of the protocols exactly as they are sent. Header names are matched without regard to
//! case.

/// Names of header fields.
pub(crate) mod header {
    pub const CONNECTION: &str = "Connection";
    pub const CONTENT_LENGTH: &str = "Content-Length";
    pub const EXPECT: &str = "Expect";
    pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
    /// With the value `1`, the worker guarantees that the request did not run.
    pub const NOT_STARTED: &str = "Not-Started";
    pub const REQUEST_CLASS: &str = "Request-Class";
    pub const REQUEST_ID: &str = "Request-Id";
    /// Resources that the request needs, as `name=value` pairs.
    pub const REQUEST_INFO: &str = "Request-Info";
    /// Time that the client waits, in seconds.
    pub const REQUEST_TIMEOUT: &str = "Request-Timeout";
    /// Time after which a rejected client may send the request again, in seconds.
    pub const RETRY_AFTER: &str = "Retry-After";
    pub const TENANT: &str = "Tenant";
    pub const TRANSFER_ENCODING: &str = "Transfer-Encoding";
    /// Expected service time, in microseconds.
    pub const WORK_HINT: &str = "Work-Hint";
}

/// Values of header fields.
pub(crate) mod value {
    pub const CHUNKED: &str = "chunked";
    pub const CLOSE: &str = "close";
    pub const CONTINUE: &str = "100-continue";
    pub const KEEP_ALIVE: &str = "keep-alive";
    pub const DID_NOT_RUN: &str = "1";
    /// Keys of `Request-Info`.
    pub const SLOTS: &str = "slots";
    pub const MEMORY: &str = "memory";
}

/// Request targets.
pub(crate) mod target {
    pub const HEALTH: &str = "/healthz";
    /// Health and load report of a worker in one answer.
    pub const LOAD: &str = "/load";
    /// The endpoint list of the discovery service.
    pub const ENDPOINTS: &str = "/v1/servers";
}

/// Bodies of the answers to clients.
pub(crate) mod body {
    pub const REJECTED: &[u8] = b"declined\n";
    pub const FAILED: &[u8] = b"reversed\n";
    pub const DUPLICATE_ID: &[u8] = b"the Request-Id is not new\n";
    pub const READY: &[u8] = b"ready\n";
    pub const NOT_READY: &[u8] = b"not ready\n";
}

/// The `state` of a line in a worker's answer.
pub(crate) mod attempt_state {
    pub const STARTED: &str = "started";
    pub const DONE: &str = "done";
    pub const FAILED: &str = "failed";
    /// The worker did not accept the request.
    pub const RETURNED: &str = "returned";
    pub const LOST: &str = "lost";
}

/// The `health` of an entry in the endpoint list.
pub(crate) mod endpoint_state {
    pub const READY: &str = "ready";
    pub const DRAINING: &str = "draining";
    pub const REMOVED: &str = "gone";
}

/// Reasons why a request is refused or a message is malformed. Clients receive them as response
/// bodies.
pub(crate) mod reason {
    pub const BODY_TOO_LARGE: &str = "the body is too large";
    pub const CHUNK_SIZE: &str = "a chunk without a size";
    pub const CHUNK_TOO_LONG: &str = "a chunk longer than its size";
    pub const CLASS_MISSING: &str = "no Request-Class";
    pub const CLASS_UNKNOWN: &str = "an unknown Request-Class";
    pub const CONFLICTING_HEADERS: &str = "a header comes twice with different values";
    pub const ENCODING_AND_LENGTH: &str = "a length and a transfer coding";
    pub const ENCODING_IN_HTTP_1_0: &str = "a transfer coding in HTTP/1.0";
    pub const ENCODING_UNKNOWN: &str = "an unknown transfer coding";
    pub const EXPECTATION_UNKNOWN: &str = "an unknown expectation";
    pub const HEADER_NOT_UTF8: &str = "a header is not UTF-8";
    pub const HEAD_TOO_LARGE: &str = "the head is too large";
    pub const HEAD_UNREADABLE: &str = "the head cannot be read";
    pub const HINT_UNREADABLE: &str = "the hint cannot be read";
    pub const ID_MISSING: &str = "no Request-Id";
    pub const INFO_UNKNOWN: &str = "an unknown figure";
    pub const INFO_UNREADABLE: &str = "a figure that cannot be read";
    pub const INFO_WITHOUT_VALUE: &str = "a figure without a value";
    pub const LENGTH_NOT_A_NUMBER: &str = "a length that is no number";
    pub const METHOD_NOT_ALLOWED: &str = "all jobs come by POST";
    pub const OUT_OF_MEMORY: &str = "no memory is left for the request";
    pub const REQUEST_INCOMPLETE: &str = "the request did not come whole";
    pub const PIPELINE_TOO_LONG: &str = "more came ahead than there is room for";
    pub const TENANT_MISSING: &str = "no Tenant";
    pub const TENANT_UNKNOWN: &str = "an unknown Tenant";
    pub const TIMEOUT_MISSING: &str = "no Request-Timeout";
    pub const TIMEOUT_UNREADABLE: &str = "the Request-Timeout cannot be read";
    pub const TRAILERS_TOO_LONG: &str = "trailers without an end";
}
