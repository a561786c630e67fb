//! The worker side: encodes attempts and health checks and reads their answers.
mod attempt;
mod encoded_request;
mod health_check;

pub use attempt::{AttemptProgress, AttemptResponseReader};
pub use encoded_request::EncodedRequest;
pub use health_check::{
    HealthCheckReader, HealthCheckResult, HealthCheckTarget, encode_health_check,
};
