//! How late attempts start of late over the whole fleet, as one dispatcher's own attempts show.
//!
//! Attempts count in the order in which they were sent, not in the order of their starts. One that has not started yet counts
//! as if it started now: its delay is at least its age, so it can raise the estimate and never lower it. Guards against a
//! queue that is noticed only once it has been worked off: starts alone tell how long the queue was when they were sent.
use crate::time::{SECOND, decay};
use crate::types::{Nanos, RequestId};
use std::collections::VecDeque;

/// The newest attempt weighs a fifth of all. In a large fleet a dispatcher sends one to five a second, and a burst fills
/// all queues within one to two seconds; a tenth was too slow there, though as good or slightly better on calm days.
const NEWEST: f64 = 0.2;
/// The newest weighs so much of all in the part that started too late, for each unit of rarity: seven to twenty attempts tell.
const NEWEST_LATE: f64 = 0.05;
/// So many attempts are kept: the others would weigh less than a thousandth.
const KEPT: usize = 32;
/// Longer delays count as this, in times to spare: no request is sent that would wait longer.
const LONGEST: f64 = 1.5;

/// One attempt of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptId {
    pub request: RequestId,
    pub number: u8,
}

/// An attempt as it is sent.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub id: AttemptId,
    pub at: Nanos,
    /// The wait that this dispatcher's own earlier attempts explain.
    pub expected_wait: f64,
    /// How long it may wait and still be in time; not above 0 where it is late even at an idle worker.
    pub time_to_spare: f64,
    /// How long it is taken to run.
    pub service_time: f64,
}

impl Sent {
    /// How much longer than expected it has waited by `now`, in times to spare.
    fn delay(&self, now: Nanos) -> f64 {
        let waited = (now.saturating_sub(self.at) as f64 - self.expected_wait).max(0.0);
        // Guards against tiny times to spare, in which any delay is endless.
        let room = self.time_to_spare.max(0.25 * self.service_time).max(1.0);
        (waited / room).min(LONGEST)
    }

    /// Whether a start at `now` is too late because of its wait. What an idle worker would make late tells nothing of queues.
    fn is_late(&self, now: Nanos) -> bool {
        self.time_to_spare > 0.0 && now.saturating_sub(self.at) as f64 > self.time_to_spare
    }
}

/// What is known of how an attempt's wait ended.
#[derive(Clone, Copy, Debug)]
struct Waited {
    until: Nanos,
    delay: f64,
    late: bool,
}

/// The state of the whole fleet's queues.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Congestion {
    /// The mean delay of a start, in times to spare.
    pub delay: f64,
    /// The part of the attempts that start too late.
    pub late: f64,
}

/// The latest attempts, in the order in which they were sent.
#[derive(Debug)]
pub struct StartDelays {
    attempts: VecDeque<(Sent, Option<Waited>)>,
}

impl Default for StartDelays {
    fn default() -> Self {
        StartDelays {
            attempts: VecDeque::with_capacity(KEPT),
        }
    }
}

impl StartDelays {
    /// An attempt was sent.
    pub fn sent(&mut self, sent: Sent) {
        if self.attempts.len() == KEPT {
            self.attempts.pop_front();
        }
        self.attempts.push_back((sent, None));
    }

    /// An attempt has started.
    pub fn started(&mut self, id: AttemptId, now: Nanos) {
        if let Some(at) = self.waiting(id) {
            let (sent, waited) = &mut self.attempts[at];
            *waited = Some(Waited {
                until: now,
                delay: sent.delay(now),
                late: sent.is_late(now),
            });
        }
    }

    /// An attempt has ended. One that never started is forgotten: that its worker was full, silent or gone tells of that
    /// worker alone.
    pub fn ended(&mut self, id: AttemptId) {
        if let Some(at) = self.waiting(id) {
            self.attempts.remove(at);
        }
    }

    /// The estimate as of now. `rarity` is 1 where many attempts are seen and higher where few are: what is known is then
    /// forgotten later, half of it in so many seconds, and each attempt tells more.
    pub fn congestion(&self, now: Nanos, rarity: f64) -> Congestion {
        let newest_late = NEWEST_LATE * rarity;
        let mut estimate = Congestion::default();
        for (sent, waited) in &self.attempts {
            let (delay, late) = match waited {
                Some(Waited { until, delay, late }) => {
                    let left = decay(1.0, *until, now, SECOND * rarity);
                    (left * delay, left * f64::from(*late))
                }
                None => {
                    let late = if sent.is_late(now) {
                        1.0
                    } else {
                        estimate.late
                    };
                    (sent.delay(now).max(estimate.delay), late)
                }
            };
            estimate.delay += NEWEST * (delay - estimate.delay);
            estimate.late += newest_late * (late - estimate.late);
        }
        estimate
    }

    /// The place of an attempt that neither started nor ended.
    fn waiting(&self, id: AttemptId) -> Option<usize> {
        self.attempts
            .iter()
            .rposition(|(sent, waited)| sent.id == id && waited.is_none())
    }
}

#[cfg(test)]
mod tests;
