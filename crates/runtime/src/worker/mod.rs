//! The worker side: one task for each attempt and each health check.
mod attempt;
mod connect;
mod health_check;

pub use attempt::{AttemptConnection, send_attempt};
pub use health_check::check_health;
