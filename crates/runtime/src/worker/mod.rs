//! The worker side: one task for each attempt and each health check.
mod attempt;
mod connect;
mod health_check;
mod send;
mod send_permit;

pub use attempt::{AttemptConnection, send_attempt};
pub use health_check::check_health;
pub use send_permit::SendPermit;
