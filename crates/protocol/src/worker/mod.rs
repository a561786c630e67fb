//! The worker side: attempts and health checks out, their answers in.
mod attempt;
mod health_check;

pub use attempt::{AttemptProgress, AttemptResponseReader, encode_request};
pub use health_check::{
    HealthCheckReader, HealthCheckResult, HealthCheckTarget, encode_health_check,
};
