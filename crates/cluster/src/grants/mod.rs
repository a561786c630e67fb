//! Warm-up grants: permissions to send a stated amount of work to a warming worker within a short time.
//!
//! The lease holder issues them ([`GrantIssuer`]) out of the fleet-wide budget of a window, less what it issued in that
//! window and in the validity of a grant. So no window holds more work than the budget, whichever grant is used when; the
//! budget of a lost grant is unused until its window has passed. Every dispatcher requests and accepts them ([`GrantHolder`]).
mod holder;
mod issuer;

pub use holder::{AcceptedGrant, GrantHolder};
pub use issuer::{GrantIssuer, GrantRequest, RequesterId};

use crate::time::MILLISECOND;
use rosewall::types::Nanos;

/// The unit of work in datagrams: a ms of one slot.
pub const WORK_UNIT: Nanos = MILLISECOND;

/// What is granted on a request; no work where it is refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantTerms {
    /// The granted work.
    pub work: Nanos,
    /// How long the grant is valid, counted from the request.
    pub validity: Nanos,
}

#[cfg(test)]
pub(crate) mod tests;
