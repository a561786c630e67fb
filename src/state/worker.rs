//! What is known of one worker.
use super::failure_score::FailureScore;
use super::peer_load_estimate::{Load, PeerLoadEstimate};
use super::request::Attempt;
use crate::time::{SECOND, decay};
use crate::types::{EndpointState, Nanos, PeerLoad, WorkerId};
use std::collections::VecDeque;

/// The concurrency slots that a worker is assumed to have until more are seen.
const INITIAL_SLOTS: f64 = 2.0;

/// The least number of samples that this dispatcher's own service-time factor counts for. Hints are rough: one slow
/// request does not make a slow worker.
const MIN_FACTOR_SAMPLES: f64 = 2.0;

/// The time after which a load that a peer has not reported again no longer counts: the peer may be dead.
const PEER_LOAD_EXPIRY: Nanos = 10_000_000_000;

/// How much later than another attempt one must have been sent for its start to prove the order of service. Connections
/// differ by less in the time that they take.
const OVERTAKING_TOLERANCE: Nanos = 20_000_000;

/// Requests that run longer than expected: the sum of their service-time factors so far, and their number.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Overruns {
    pub(crate) sum: f64,
    pub(crate) count: f64,
}

/// A service-time factor, and the number of samples that it rests on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ObservedFactor {
    pub(crate) factor: f64,
    pub(crate) samples: f64,
}

/// Work sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SentWork {
    pub(crate) at: Nanos,
    pub(crate) work: f64,
}

/// A grant to send work to a worker while it is warming up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmUpGrant {
    pub(crate) expires_at: Nanos,
    pub(crate) unused_work: f64,
}

/// The means of the whole fleet, which the estimates for one worker approach while there is no news of it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FleetMeans {
    /// The delay of starts, in nanoseconds.
    pub(crate) start_delay: f64,
    /// The slots that other dispatchers use at a worker.
    pub(crate) other_slots: f64,
    /// The work of a request.
    pub(crate) work: f64,
}

/// One worker.
#[derive(Default)]
pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    pub(crate) state: EndpointState,
    pub(crate) zone: u16,
    pub(crate) worker_type: u8,
    pub(crate) group: u16,
    pub(crate) size: f64,
    /// When its process started; 0 if that is long ago.
    pub(crate) started_at: Nanos,
    /// The most slots that workers of its type were seen to use at once.
    pub(crate) slots: f64,
    /// Service time for one unit of expected service time, by own requests and peers' reports.
    pub(crate) service_time_factor: f64,
    /// The same by this dispatcher's completed requests alone, and how many of them it rests on.
    pub(crate) own_service_time_factor: f64,
    pub(crate) factor_samples: f64,
    pub(crate) overruns: Overruns,
    pub(crate) failure_score: FailureScore,
    /// What errors of each request class left.
    pub(crate) class_failure_scores: Vec<FailureScore>,
    /// Whether an attempt has not started in time. The next start clears it, and the failure score with it.
    pub(crate) unresponsive: bool,
    /// When the latest of the attempts that have started was sent.
    pub(crate) latest_started_sent_at: Nanos,
    /// When it last started or completed a request.
    pub(crate) last_response_at: Nanos,
    /// How much longer the last attempt waited for its start than this dispatcher's own work explains.
    pub(crate) start_delay: f64,
    pub(crate) start_delay_at: Nanos,
    /// The slots that other dispatchers use, by the last load report.
    pub(crate) other_slots: f64,
    pub(crate) other_slots_at: Nanos,
    /// The load that was last reported to peers.
    pub(crate) last_sent_load: PeerLoadEstimate,
    /// The latest load report of each peer.
    pub(crate) peer_loads: Vec<PeerLoadEstimate>,
    /// Consecutive failed connections, and the moment until which the worker is replaced in the subset.
    pub(crate) connect_failures: u32,
    pub(crate) connect_retry_at: Nanos,
    /// What this dispatcher sent it within the overload window, less what grants covered.
    pub(crate) recent_work: VecDeque<SentWork>,
    /// Warm-up grants by expiry.
    pub(crate) warm_up_grants: Vec<WarmUpGrant>,
    /// Of this dispatcher's attempts in flight: slots taken, slots of started requests, work left.
    pub(crate) slots_in_use: f64,
    pub(crate) slots_running: f64,
    pub(crate) remaining_work: f64,
    pub(crate) logged_as_outlier: bool,
}

impl Worker {
    /// A worker that has just been listed.
    pub(crate) fn new(id: WorkerId, started_at: Nanos, classes: usize) -> Self {
        Worker {
            id,
            started_at,
            class_failure_scores: vec![FailureScore::default(); classes],
            slots: INITIAL_SLOTS,
            service_time_factor: 1.0,
            own_service_time_factor: 1.0,
            ..Worker::default()
        }
    }

    /// Whether it has failed to connect recently.
    pub(crate) fn is_unreachable(&self, now: Nanos) -> bool {
        now < self.connect_retry_at
    }

    /// Whether it serves requests in order and has started one that was sent later than this attempt, which is then
    /// lost.
    pub(crate) fn was_overtaken(&self, attempt: &Attempt) -> bool {
        attempt.started_at.is_none()
            && self.latest_started_sent_at > attempt.sent_at + OVERTAKING_TOLERANCE
    }

    /// Notes how late an attempt starts.
    pub(crate) fn set_start_delay(&mut self, now: Nanos, delay: f64) {
        self.start_delay = delay;
        self.start_delay_at = now;
    }

    /// The expected wait for free slots, by this dispatcher's attempts and others' load: requests end one by one, as
    /// fast as all slots work together.
    pub(crate) fn queue_wait(&self, slots_required: f64, others: Load) -> f64 {
        let slots_in_use = self.slots_in_use + others.slots;
        let slots_to_free = (slots_in_use + slots_required.min(self.slots) - self.slots).max(0.0);
        if slots_to_free > 0.0 {
            slots_to_free * (self.remaining_work + others.work) / slots_in_use / self.slots
        } else {
            0.0
        }
    }

    /// How long a new request would wait for its start. What is not observed again drifts to the fleet's means within
    /// about a second, so that a jam of which each dispatcher sees little is noticed.
    pub(crate) fn expected_wait(&self, now: Nanos, slots_required: f64, fleet: FleetMeans) -> f64 {
        let others = fleet.other_slots
            + decay(
                self.other_slots - fleet.other_slots,
                self.other_slots_at,
                now,
                SECOND,
            );
        let start_delay = fleet.start_delay
            + decay(
                self.start_delay - fleet.start_delay,
                self.start_delay_at,
                now,
                SECOND,
            );
        let peers = self.peer_load(now);
        let load = Load {
            slots: others + peers.slots,
            work: others * fleet.work + peers.work,
        };
        self.queue_wait(slots_required, load) + start_delay
    }

    /// Stores a peer's report. Only the latest of each peer counts.
    pub(crate) fn record_peer_load(&mut self, now: Nanos, from: u16, load: PeerLoad) {
        let service_time_factor = load.service_time_factor();
        let reported = PeerLoadEstimate {
            from,
            load: Load {
                slots: load.slots(),
                work: load.work(),
            },
            service_time_factor,
            reported_at: now,
        };
        let known = self.peer_loads.iter_mut().find(|load| load.from == from);
        let previous_factor = match known {
            Some(known) => std::mem::replace(known, reported).service_time_factor,
            None => {
                self.peer_loads.push(reported);
                None
            }
        };
        if service_time_factor != previous_factor {
            self.update_service_time_factor(now);
        }
    }

    /// The peers' reports that have not expired.
    fn fresh_peer_loads(&self, now: Nanos) -> impl Iterator<Item = &PeerLoadEstimate> {
        self.peer_loads
            .iter()
            .filter(move |load| now < load.reported_at + PEER_LOAD_EXPIRY)
    }

    /// The load of all peers.
    pub(crate) fn peer_load(&self, now: Nanos) -> Load {
        self.fresh_peer_loads(now)
            .map(|load| load.remaining(now, self.slots))
            .fold(Load::default(), |sum, load| Load {
                slots: sum.slots + load.slots,
                work: sum.work + load.work,
            })
    }

    /// Combines the factor of own requests with those that peers reported. A peer's counts as one request.
    pub(crate) fn update_service_time_factor(&mut self, now: Nanos) {
        let (sum, count) = self
            .fresh_peer_loads(now)
            .filter_map(|load| load.service_time_factor)
            .fold((0.0, 0.0), |(sum, count), factor| {
                (sum + factor, count + 1.0)
            });
        let own = self.observed_service_time_factor();
        let own_samples = own.samples.max(MIN_FACTOR_SAMPLES);
        self.service_time_factor = (own_samples * own.factor + sum) / (own_samples + count);
    }

    /// The factor of this dispatcher's own requests, completed and overrunning.
    pub(crate) fn observed_service_time_factor(&self) -> ObservedFactor {
        let Overruns { sum, count } = self.overruns;
        if count == 0.0 {
            return ObservedFactor {
                factor: self.own_service_time_factor,
                samples: self.factor_samples,
            };
        }
        let completed = self.factor_samples.max(MIN_FACTOR_SAMPLES);
        ObservedFactor {
            factor: (completed * self.own_service_time_factor + sum) / (completed + count),
            samples: completed + count,
        }
    }
}
