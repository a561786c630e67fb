//! The delay of starts over the whole fleet, as this dispatcher's own attempts show it.
//!
//! Attempts count in the order in which they were sent, not in that of their starts. One that has not started yet counts
//! as if it started now: it can raise the estimate and never lowers it. Starts alone would tell of a queue only once it
//! has been worked off.
use crate::time::{SECOND, decay};
use crate::types::{Nanos, RequestId};
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// The weight of the newest attempt in the mean delay. A dispatcher of a large fleet sends one to five a second, and a
/// burst fills all queues within two.
const DELAY_WEIGHT: f64 = 0.2;

/// The weight of the newest attempt in the part that starts late, for each unit of low_traffic_factor: seven to twenty count.
const LATE_WEIGHT: f64 = 0.05;

/// The number of attempts that are kept. Others would weigh less than a thousandth.
const MAX_OBSERVED_ATTEMPTS: usize = 32;

/// The longest delay that counts, in times to spare: no request is sent that would wait longer.
const MAX_DELAY: f64 = 1.5;

/// The least time to spare that a delay is measured by, in service times.
const MIN_SLACK: f64 = 0.25;

/// One attempt of one request.
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

/// An attempt as it is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentAttempt {
    pub(crate) id: AttemptId,
    pub(crate) sent_at: Nanos,
    /// The wait that this dispatcher's own earlier attempts explain.
    pub(crate) expected_wait: f64,
    /// How long it may wait and still meet its latency objective; not above 0 where it cannot at an idle worker.
    pub(crate) slack: f64,
    /// How long it is expected to run.
    pub(crate) service_time: f64,
}

impl SentAttempt {
    /// How much longer than expected it has waited by now, in times to spare.
    fn delay(&self, now: Nanos) -> f64 {
        let delay = (self.age(now) - self.expected_wait).max(0.0);
        let slack = self.slack.max(MIN_SLACK * self.service_time).max(1.0);
        (delay / slack).min(MAX_DELAY)
    }

    /// Whether a start now is too late because of its wait. What would be late at an idle worker does not indicate a queue.
    fn is_late(&self, now: Nanos) -> bool {
        self.slack > 0.0 && self.age(now) > self.slack
    }

    fn age(&self, now: Nanos) -> f64 {
        now.saturating_sub(self.sent_at) as f64
    }
}

/// How an attempt's wait ended.
#[derive(Clone, Copy, Debug)]
struct Start {
    at: Nanos,
    /// In times to spare.
    delay: f64,
    is_late: bool,
}

/// An attempt and its start, if it has started.
#[derive(Clone, Copy, Debug)]
struct ObservedAttempt {
    sent: SentAttempt,
    start: Option<Start>,
}

/// The state of the whole fleet's queues.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Congestion {
    /// The mean delay of a start, in times to spare.
    pub(crate) delay: f64,
    /// The part of the attempts that start too late.
    pub(crate) late_fraction: f64,
}

/// The latest attempts, in the order in which they were sent.
#[derive(Debug)]
pub(crate) struct StartDelays {
    attempts: VecDeque<ObservedAttempt>,
}

impl Default for StartDelays {
    fn default() -> Self {
        StartDelays {
            attempts: VecDeque::with_capacity(MAX_OBSERVED_ATTEMPTS),
        }
    }
}

impl StartDelays {
    /// Adds an attempt that was sent.
    pub(crate) fn record_sent(&mut self, sent: SentAttempt) {
        if self.attempts.len() == MAX_OBSERVED_ATTEMPTS {
            self.attempts.pop_front();
        }
        self.attempts
            .push_back(ObservedAttempt { sent, start: None });
    }

    /// Notes that an attempt has started.
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

    /// Notes that an attempt has ended. One that never started is forgotten: that its worker was full, unresponsive or
    /// gone does not affect others.
    pub(crate) fn record_end(&mut self, id: AttemptId) {
        if let Some(index) = self.waiting_index(id) {
            self.attempts.remove(index);
        }
    }

    /// The estimate as of now. `low_traffic_factor` is 1 where many attempts are seen and higher where few are: starts then lose their
    /// weight more slowly, with a half-life of `low_traffic_factor` seconds, and each attempt counts for more.
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

    /// The index of an attempt that has neither started nor ended.
    fn waiting_index(&self, id: AttemptId) -> Option<usize> {
        self.attempts
            .iter()
            .rposition(|attempt| attempt.sent.id == id && attempt.start.is_none())
    }
}
