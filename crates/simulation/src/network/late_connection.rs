//! Connections that come up late: a host confirms a connect late, or holds only a few bytes of a
//! connection until it accepts it.
use super::link::{Link, Segment};
use super::stream::UNACCEPTED_BUFFER_BYTES;
use super::{HostId, Network, State};
use crate::fault_interval::FaultInterval;
use crate::kernel::Kernel;
use crate::time::MS;
use rosewall::types::Nanos;

/// Probability that a connection that comes up late does so within [`SHORT_CONNECTION_DELAY`].
const SHORT_DELAY_SHARE: f64 = 0.7;
/// Upper bound of most delays: a connect timeout, as longer delays end the attempt.
const SHORT_CONNECTION_DELAY: Nanos = 250 * MS;
/// Upper bound of all delays.
const MAX_CONNECTION_DELAY: Nanos = 1500 * MS;

/// Returns the time by which a connection comes up late.
pub fn random_connection_delay(kernel: &Kernel) -> Nanos {
    kernel.random(|rng| {
        let longest = if rng.chance(SHORT_DELAY_SHARE) {
            SHORT_CONNECTION_DELAY
        } else {
            MAX_CONNECTION_DELAY
        };
        rng.range(1, longest)
    })
}

impl Network {
    /// Delays connections to a host for an interval.
    pub fn delay_connections(&self, host: HostId, interval: FaultInterval) {
        self.state.borrow_mut().hosts[host].late_connections = interval;
    }

    /// Limits the bytes that a host holds of connections that it has not accepted.
    pub fn limit_unaccepted_bytes(&self, host: HostId, until: Nanos) {
        self.state.borrow_mut().hosts[host].small_window_until = until;
    }

    /// Returns the delay of a reply to a connect.
    pub(super) fn connection_delay(&self, link: usize, reply: &Segment) -> Nanos {
        let Segment::ConnectResult(true) = reply else {
            return 0;
        };
        let state = self.state.borrow();
        let Some(entry) = state.links.get(link) else {
            return 0;
        };
        let late_connections = state.hosts[entry.hosts[1]].late_connections;
        drop(state);
        if late_connections.affects_now(&self.kernel) {
            random_connection_delay(&self.kernel)
        } else {
            0
        }
    }
}

impl State {
    /// Returns how many unread bytes one direction of a link may hold.
    pub(super) fn buffer_bytes(&self, now: Nanos, entry: &Link) -> usize {
        if entry.in_backlog && now < self.hosts[entry.hosts[1]].small_window_until {
            UNACCEPTED_BUFFER_BYTES
        } else {
            entry.buffer_bytes
        }
    }
}
