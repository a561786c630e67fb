//! Warm-up grants: permissions to send a stated amount of work to a warming worker within a short time.
//!
//! The lease holder issues grants ([`GrantIssuer`]) from the fleet-wide budget of a window, reduced by
//! the work that it granted during the last window plus the validity of a grant. So the work of no window
//! exceeds the budget, regardless of when each grant is used; the budget of a lost grant stays
//! unused until its window has passed. Every dispatcher requests and accepts grants ([`GrantHolder`]).
mod holder;
mod issuer;

pub use holder::{AcceptedGrant, GrantHolder};
pub use issuer::{GrantIssuer, GrantRequest, RequesterId};

use crate::time::MILLISECOND;
use rosewall::types::Nanos;

/// The unit of work in datagrams: one ms of one concurrency slot.
pub const WORK_UNIT: Nanos = MILLISECOND;

/// The terms of a grant; the default, with no work, is a refusal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantTerms {
    /// The granted work, in ns of one concurrency slot; 0 if the request is refused.
    pub work: Nanos,
    /// The time for which the grant is valid, counted from the request.
    pub validity: Nanos,
}

#[cfg(test)]
pub(crate) mod tests;
