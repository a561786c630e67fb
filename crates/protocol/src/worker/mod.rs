//! The worker side: encodes attempts and health checks and reads their answers.
mod attempt;
mod health_check;

pub use attempt::{AttemptProgress, AttemptResponseReader, encode_request};
pub use health_check::{
    HealthCheckReader, HealthCheckResult, HealthCheckTarget, encode_health_check,
};
