//! State and estimates of one worker.
use super::failure_score::FailureScore;
use super::peer_load_estimate::{Load, PeerLoadEstimate};
use super::request::Attempt;
use crate::time::{SECOND, decay};
use crate::types::{EndpointState, Nanos, PeerLoad, WorkerId};
use std::collections::VecDeque;

/// Concurrency slots that a worker is assumed to have until more are observed.
const INITIAL_SLOTS: f64 = 2.0;

/// Minimum number of samples that this dispatcher's own service-time factor counts as. Hints are
/// rough, so one slow request does not prove a slow worker.
const MIN_FACTOR_SAMPLES: f64 = 2.0;

/// Time after which a peer's load no longer counts unless reported again. The peer may be dead.
const PEER_LOAD_EXPIRY: Nanos = 10_000_000_000;

/// Minimum time between the sending of two attempts for a start of the later one to prove that it
/// overtook the earlier one. The latencies of connections differ by less.
const OVERTAKING_TOLERANCE: Nanos = 20_000_000;

/// Sum of the service-time factors so far, and count, of requests that run longer than expected.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Overruns {
    pub(crate) sum: f64,
    pub(crate) count: f64,
}

/// Service-time factor, and the number of samples that it is based on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ObservedFactor {
    pub(crate) factor: f64,
    pub(crate) samples: f64,
}

/// Work sent to a worker, in nanoseconds of one slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SentWork {
    pub(crate) at: Nanos,
    pub(crate) work: f64,
}

/// Grant to send work to a worker while it is warming up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmUpGrant {
    pub(crate) expires_at: Nanos,
    pub(crate) unused_work: f64,
}

/// Means over the whole fleet. The estimates for one worker approach them while there are no new
/// observations of it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FleetMeans {
    /// Delay of starts, in nanoseconds.
    pub(crate) start_delay: f64,
    /// Slots that other dispatchers use at a worker.
    pub(crate) other_slots: f64,
    /// Work of a request, in nanoseconds of one slot.
    pub(crate) work: f64,
}

/// One worker as listed, and its estimates.
#[derive(Default)]
pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    pub(crate) state: EndpointState,
    pub(crate) zone: u16,
    pub(crate) worker_type: u8,
    pub(crate) group: u16,
    pub(crate) size: f64,
    /// Start time of the worker's process; 0 if it is long ago.
    pub(crate) started_at: Nanos,
    /// Estimated number of slots: [`INITIAL_SLOTS`] at first, raised by the slots that workers of the
    /// same type are observed to use at once or report as free.
    pub(crate) slots: f64,
    /// Ratio of actual to expected service time, from own requests and peers' reports.
    pub(crate) service_time_factor: f64,
    /// The same ratio from this dispatcher's completed requests alone.
    pub(crate) own_service_time_factor: f64,
    /// Number of samples of `own_service_time_factor`, up to a maximum.
    pub(crate) factor_samples: f64,
    pub(crate) overruns: Overruns,
    pub(crate) failure_score: FailureScore,
    /// Failure score of each request class, indexed by class.
    pub(crate) class_failure_scores: Vec<FailureScore>,
    /// Whether an attempt has not started in time, at a worker without any response since it was
    /// sent. The next start clears the flag and the failure score.
    pub(crate) unresponsive: bool,
    /// Latest send time of the attempts that have started.
    pub(crate) latest_started_sent_at: Nanos,
    /// Time of the last start or success of a request.
    pub(crate) last_response_at: Nanos,
    /// Excess of the last attempt's wait over the wait that this dispatcher's own work explains, in
    /// nanoseconds.
    pub(crate) start_delay: f64,
    pub(crate) start_delay_at: Nanos,
    /// Slots that other dispatchers use, from the last load report.
    pub(crate) other_slots: f64,
    pub(crate) other_slots_at: Nanos,
    /// Load in the last report to peers.
    pub(crate) last_sent_load: PeerLoadEstimate,
    /// Latest load report of each peer.
    pub(crate) peer_loads: Vec<PeerLoadEstimate>,
    /// Number of consecutive failed connections.
    pub(crate) connect_failures: u32,
    /// Time until which the worker is replaced in the subset.
    pub(crate) connect_retry_at: Nanos,
    /// Work that this dispatcher sent within the overload window and grants did not cover.
    pub(crate) recent_work: VecDeque<SentWork>,
    /// Warm-up grants, ordered by expiry.
    pub(crate) warm_up_grants: Vec<WarmUpGrant>,
    /// Slots used by this dispatcher's attempts in flight.
    pub(crate) slots_in_use: f64,
    /// Slots used by those of the attempts that have started.
    pub(crate) slots_running: f64,
    /// Remaining work of this dispatcher's attempts in flight.
    pub(crate) remaining_work: f64,
    pub(crate) logged_as_outlier: bool,
}

impl Worker {
    /// Creates the state of a newly listed worker.
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

    /// Returns whether a connection has failed recently, so that the worker is replaced in the subset.
    pub(crate) fn is_unreachable(&self, now: Nanos) -> bool {
        now < self.connect_retry_at
    }

    /// Returns whether the worker serves requests in order and has started one that was sent later
    /// than this attempt. The attempt is then lost.
    pub(crate) fn was_overtaken(&self, attempt: &Attempt) -> bool {
        attempt.started_at.is_none()
            && self.latest_started_sent_at > attempt.sent_at + OVERTAKING_TOLERANCE
    }

    /// Records the unexplained delay of a start.
    pub(crate) fn set_start_delay(&mut self, now: Nanos, delay: f64) {
        self.start_delay = delay;
        self.start_delay_at = now;
    }

    /// Returns the expected wait for free slots, from this dispatcher's attempts and others' load.
    /// Assumes that requests end one after another, at the combined rate of all slots.
    pub(crate) fn queue_wait(&self, slots_required: f64, others: Load) -> f64 {
        let slots_in_use = self.slots_in_use + others.slots;
        let slots_to_free = (slots_in_use + slots_required.min(self.slots) - self.slots).max(0.0);
        if slots_to_free > 0.0 {
            slots_to_free * (self.remaining_work + others.work) / slots_in_use / self.slots
        } else {
            0.0
        }
    }

    /// Returns the expected wait of a new request for its start. Observations that are not repeated
    /// converge to the fleet's means within about a second, so that congestion counts even if each
    /// dispatcher observes little of it.
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

    /// Stores a peer's load report in place of the peer's previous one.
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

    /// Returns the peers' load reports that have not expired.
    fn fresh_peer_loads(&self, now: Nanos) -> impl Iterator<Item = &PeerLoadEstimate> {
        self.peer_loads
            .iter()
            .filter(move |load| now < load.reported_at + PEER_LOAD_EXPIRY)
    }

    /// Returns the total load of all peers.
    pub(crate) fn peer_load(&self, now: Nanos) -> Load {
        self.fresh_peer_loads(now)
            .map(|load| load.remaining(now, self.slots))
            .fold(Load::default(), |sum, load| Load {
                slots: sum.slots + load.slots,
                work: sum.work + load.work,
            })
    }

    /// Combines the factor of own requests with those reported by peers. A peer's factor counts as
    /// one request.
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

    /// Returns the service-time factor of this dispatcher's own requests, completed and overrunning.
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
