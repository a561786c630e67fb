//! Estimate of start delays over the whole fleet, from this dispatcher's own attempts.
//!
//! Attempts count in the order in which they were sent, not in the order of their starts. An attempt
//! that has not started yet counts as if it started now, and can only raise the estimate. Starts
//! alone would show a queue only after it has been processed.
use crate::time::{SECOND, decay};
use crate::types::{Nanos, RequestId};
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Weight of the latest attempt in the mean delay. A dispatcher of a large fleet sends 1 to 5
/// attempts per second, and a burst fills all queues within 2 seconds.
const DELAY_WEIGHT: f64 = 0.2;

/// Weight of the latest attempt in the late fraction, for each unit of the low-traffic factor. The
/// last 7 to 20 attempts count.
const LATE_WEIGHT: f64 = 0.05;

/// Number of attempts that are retained. Earlier ones would have a weight below 0.001 in the mean
/// delay.
const MAX_RETAINED_ATTEMPTS: usize = 32;

/// Upper bound of a delay as a fraction of the slack. No request with a longer expected wait is sent.
const MAX_RELATIVE_DELAY: f64 = 1.5;

/// Lower bound of the slack that a delay is divided by, in service times.
const MIN_SLACK_IN_SERVICE_TIMES: f64 = 0.25;

/// Identifier of an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AttemptId {
    pub(crate) request_id: RequestId,
    pub(crate) attempt_index: u8,
}

impl AttemptId {
    pub(crate) fn new(request_id: RequestId, attempt_index: u8) -> Self {
        AttemptId {
            request_id,
            attempt_index,
        }
    }
}

/// Attempt at the time it is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentAttempt {
    pub(crate) id: AttemptId,
    pub(crate) sent_at: Nanos,
    /// Wait that this dispatcher's own earlier attempts explain, in nanoseconds.
    pub(crate) expected_wait: f64,
    /// Time that the attempt may wait and still meet its latency objective, in nanoseconds. Not above
    /// 0 if it cannot meet it even at an idle worker.
    pub(crate) slack: f64,
    /// Expected service time, in nanoseconds.
    pub(crate) service_time: f64,
}

impl SentAttempt {
    /// Returns the wait by now in excess of the expected wait, as a fraction of the slack.
    fn delay(&self, now: Nanos) -> f64 {
        let delay = (self.age(now) - self.expected_wait).max(0.0);
        let slack = self
            .slack
            .max(MIN_SLACK_IN_SERVICE_TIMES * self.service_time)
            .max(1.0);
        (delay / slack).min(MAX_RELATIVE_DELAY)
    }

    /// Returns whether a start now is late because of its wait. An attempt that would be late even at
    /// an idle worker does not indicate a queue.
    fn is_late(&self, now: Nanos) -> bool {
        self.slack > 0.0 && self.age(now) > self.slack
    }

    fn age(&self, now: Nanos) -> f64 {
        now.saturating_sub(self.sent_at) as f64
    }
}

/// Start of an attempt.
#[derive(Clone, Copy, Debug)]
struct Start {
    at: Nanos,
    /// Delay as a fraction of the slack.
    delay: f64,
    is_late: bool,
}

/// Attempt and its start; `None` if it has not started.
#[derive(Clone, Copy, Debug)]
struct ObservedAttempt {
    sent: SentAttempt,
    start: Option<Start>,
}

/// Congestion estimate of the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Congestion {
    /// Mean delay of a start, as a fraction of the slack.
    pub(crate) delay: f64,
    /// Fraction of the attempts that start late.
    pub(crate) late_fraction: f64,
}

/// Latest attempts, in the order in which they were sent.
#[derive(Debug)]
pub(crate) struct StartDelays {
    attempts: VecDeque<ObservedAttempt>,
}

impl Default for StartDelays {
    fn default() -> Self {
        StartDelays {
            attempts: VecDeque::with_capacity(MAX_RETAINED_ATTEMPTS),
        }
    }
}

impl StartDelays {
    /// Adds an attempt that was sent. The oldest one is removed if the buffer is full.
    pub(crate) fn record_sent(&mut self, sent: SentAttempt) {
        if self.attempts.len() == MAX_RETAINED_ATTEMPTS {
            self.attempts.pop_front();
        }
        self.attempts
            .push_back(ObservedAttempt { sent, start: None });
    }

    /// Records that an attempt has started.
    pub(crate) fn record_start(&mut self, id: AttemptId, now: Nanos) {
        if let Some(index) = self.waiting_index(id) {
            let ObservedAttempt { sent, start } = &mut self.attempts[index];
            *start = Some(Start {
                at: now,
                delay: sent.delay(now),
                is_late: sent.is_late(now),
            });
        }
    }

    /// Records that an attempt has ended. An attempt that never started is removed, as a worker that
    /// was at capacity, unresponsive or removed does not affect other workers.
    pub(crate) fn record_end(&mut self, id: AttemptId) {
        if let Some(index) = self.waiting_index(id) {
            self.attempts.remove(index);
        }
    }

    /// Returns the estimate as of now. `low_traffic_factor` is 1 at high request rates and larger at
    /// low ones. Starts lose their weight with a half-life of `low_traffic_factor` seconds, and the
    /// weight of each attempt in the late fraction is multiplied by it.
    pub(crate) fn congestion(&self, now: Nanos, low_traffic_factor: f64) -> Congestion {
        let late_weight = LATE_WEIGHT * low_traffic_factor;
        let mut estimate = Congestion::default();
        for ObservedAttempt { sent, start } in &self.attempts {
            let observed = match start {
                Some(start) => {
                    let left = decay(1.0, start.at, now, SECOND * low_traffic_factor);
                    Congestion {
                        delay: left * start.delay,
                        late_fraction: left * f64::from(start.is_late),
                    }
                }
                None => Congestion {
                    delay: sent.delay(now).max(estimate.delay),
                    late_fraction: if sent.is_late(now) {
                        1.0
                    } else {
                        estimate.late_fraction
                    },
                },
            };
            estimate.delay += DELAY_WEIGHT * (observed.delay - estimate.delay);
            estimate.late_fraction +=
                late_weight * (observed.late_fraction - estimate.late_fraction);
        }
        estimate
    }

    /// Returns the index of an attempt that has neither started nor ended.
    fn waiting_index(&self, id: AttemptId) -> Option<usize> {
        self.attempts
            .iter()
            .rposition(|attempt| attempt.sent.id == id && attempt.start.is_none())
    }
}
