//! Send deadline: the time by which the last byte of an attempt must be written.
//!
//! A decision to send rests on limits that end: the deadline of the request, the retry window, the
//! allowance at a warming worker. The attempt may then wait for a descriptor, a connection or a peer
//! that accepts its bytes. Each attempt therefore carries the earliest of these ends, and the sender
//! checks it at the moment at which it writes.
use super::Dispatcher;
use crate::mutation::{Mutation, is_active};
use crate::settings::Idempotency::IdempotentWithKey;
use crate::state::{ActiveRequest, UncertainAttempt};
use crate::types::Nanos;

#[cfg(test)]
mod tests;

impl ActiveRequest {
    /// Returns the attempt to whose retry scope and window further attempts are bound.
    pub(super) fn binding_attempt(&self) -> Option<UncertainAttempt> {
        self.first_uncertain_attempt.filter(|_| {
            self.idempotency == IdempotentWithKey && !is_active(Mutation::IgnoreRetryWindow)
        })
    }
}

impl Dispatcher {
    /// Returns the time from which no attempt of a request may be sent to any worker. The request is
    /// then given up.
    pub(super) fn request_send_deadline(&self, active: &ActiveRequest) -> Nanos {
        let deadline = active.request.deadline;
        let class = &self.classes[usize::from(active.request.class)];
        let window_end = active
            .binding_attempt()
            .map(|first| first.sent_at.saturating_add(class.settings.retry_window));
        window_end.map_or(deadline, |window_end| deadline.min(window_end))
    }
}
