//! What is known of one worker.
use super::failure_score::FailureScore;
use super::peer_load_estimate::PeerLoadEstimate;
use super::request::Attempt;
use crate::time::{SECOND, decay};
use crate::types::{EndpointState, Nanos, PeerLoad, WorkerId};
use std::collections::VecDeque;

#[derive(Default)]
pub struct Worker {
    pub id: WorkerId,
    pub state: EndpointState,
    pub zone: u16,
    pub worker_type: u8,
    pub group: u16,
    pub size: f64,
    pub started_at: Nanos,
    /// Most slots its kind is known to run at once.
    pub slots: f64,
    /// Running time for one unit of hinted work, and how many jobs tell it, up to ten.
    pub service_time_factor: f64,
    pub factor_samples: f64,
    /// The pace by this dispatcher's own jobs alone, and what those that run longer than that show by now:
    /// the sum and how many.
    pub own_service_time_factor: f64,
    pub overruns: (f64, f64),
    pub failure_score: FailureScore,
    /// What errors of each class left.
    pub class_failure_scores: Vec<FailureScore>,
    /// Silent since an attempt that should have started: its next start has it trusted again.
    pub unresponsive: bool,
    /// When the latest attempt of those that it has started was sent.
    pub latest_started_sent_at: Nanos,
    /// When it last gave a sign of life.
    pub last_response_at: Nanos,
    /// How much longer the last attempt waited for its start than this dispatcher's own work explains.
    pub start_delay: f64,
    pub start_delay_at: Nanos,
    /// Slots that others hold by its last report.
    pub other_slots: f64,
    pub other_slots_at: Nanos,
    /// What the others were last told of it.
    pub last_sent_load: PeerLoadEstimate,
    /// What other dispatchers told of it, one line each.
    pub peer_loads: Vec<PeerLoadEstimate>,
    /// How often in a row it took no connection, and until when it is not asked again.
    pub connect_failures: u32,
    pub connect_retry_at: Nanos,
    /// What this dispatcher sent it of late, less what rights covered while it was cold, and when.
    pub recent_work: VecDeque<(Nanos, f64)>,
    /// Rights to send it work while it is cold: until when, and how much is left.
    pub warm_up_grants: Vec<(Nanos, f64)>,
    /// Of this dispatcher's attempts out: the seats they take, the slots running, the time they still need.
    pub slots_in_use: f64,
    pub slots_running: f64,
    pub remaining_work: f64,
    /// Whether the log was told of its distrust.
    pub logged_as_outlier: bool,
}

impl Worker {
    /// Distrust halves in 5 s: several times the time between attempts to one worker at low traffic.
    pub(crate) const FAILURE_HALF_LIFE: f64 = 5.0 * SECOND;

    /// Keeps what another dispatcher told; only the newest of each counts.
    pub(crate) fn record_peer_load(&mut self, now: Nanos, from: u16, load: PeerLoad) {
        let PeerLoad {
            half_slots, work, ..
        } = load;
        let (slots, work, service_time_factor) = (
            f64::from(half_slots) / 2.0,
            f64::from(work) * 16e6,
            load.pace(),
        );
        let told = PeerLoadEstimate {
            from,
            slots,
            work,
            service_time_factor,
            at: now,
        };
        let before = match self.peer_loads.iter_mut().find(|told| told.from == from) {
            Some(known) => std::mem::replace(known, told).service_time_factor,
            None => {
                self.peer_loads.push(told);
                None
            }
        };
        // Most messages tell no other pace than the one before.
        if service_time_factor != before {
            self.update_service_time_factor(now);
        }
    }

    /// What others have told, as long as it is told again.
    pub(crate) fn fresh_peer_loads(&self, now: Nanos) -> impl Iterator<Item = &PeerLoadEstimate> {
        self.peer_loads
            .iter()
            .filter(move |told| now < told.at + 10_000_000_000)
    }

    /// Seats and work that others have told of.
    pub(crate) fn peer_load(&self, now: Nanos) -> (f64, f64) {
        let left = self
            .fresh_peer_loads(now)
            .map(|told| told.remaining(now, self.slots));
        left.fold((0.0, 0.0), |(a, b), (slots, work)| (a + slots, b + work))
    }

    /// One just heard of: two seats, and the pace of the hints.
    pub(crate) fn new(id: WorkerId, started: Nanos, classes: usize) -> Self {
        let of = vec![FailureScore::default(); classes];
        Worker {
            id,
            started_at: started,
            class_failure_scores: of,
            slots: 2.0,
            service_time_factor: 1.0,
            own_service_time_factor: 1.0,
            ..Worker::default()
        }
    }

    /// Whether it took no connection of late.
    pub(crate) fn is_unreachable(&self, now: Nanos) -> bool {
        now < self.connect_retry_at
    }

    /// It gave a sign of life, which makes up for part of its distrust.
    pub(crate) fn record_response(&mut self, now: Nanos, by: f64) {
        (self.connect_failures, self.connect_retry_at) = (0, 0);
        self.failure_score.add(now, Worker::FAILURE_HALF_LIFE, -by);
        self.last_response_at = now;
    }

    /// Whether it is served first come first served and has started what was posted later: by more than
    /// connections differ in the time they take.
    pub(crate) fn was_overtaken(&self, attempt: &Attempt) -> bool {
        attempt.started_at.is_none() && self.latest_started_sent_at > attempt.sent_at + 20_000_000
    }

    /// The wait until a seat is free, by this dispatcher's attempts and others' seats and work: what is
    /// in the worker ends one by one, as fast as its seats work together.
    pub(crate) fn queue(&self, slots_required: f64, (others, work): (f64, f64)) -> f64 {
        let count = self.slots_in_use + others;
        let enders = (count + slots_required.min(self.slots) - self.slots).max(0.0);
        if enders > 0.0 {
            enders * (self.remaining_work + work) / count / self.slots
        } else {
            0.0
        }
    }

    /// How long a new job would wait for its start, by what this dispatcher knows.
    pub(crate) fn wait(
        &self,
        now: Nanos,
        slots_required: f64,
        mean: f64,
        fleet: (f64, f64),
    ) -> f64 {
        // Reports and start delays tell of others' work, which changes as fast as jobs end: about 1 s.
        let others = fleet.1 + decay(self.other_slots - fleet.1, self.other_slots_at, now, SECOND);
        // What is not seen anew drifts to what the whole fleet shows. Guards against a fleet jammed by many
        // dispatchers, in which each sees too little of one worker to notice its queue.
        let start_delay =
            fleet.0 + decay(self.start_delay - fleet.0, self.start_delay_at, now, SECOND);
        let (slots, work) = self.peer_load(now);
        self.queue(slots_required, (others + slots, others * mean + work)) + start_delay
    }

    /// Its pace by own jobs, one told by another counting as one of them. They count as two at least, as
    /// hints are rough: guards against a worker taken for slow by one job that was.
    pub(crate) fn update_service_time_factor(&mut self, now: Nanos) {
        let told = self
            .fresh_peer_loads(now)
            .filter_map(|told| told.service_time_factor);
        let (sum, count) = told.fold((0.0, 0.0), |(sum, count), service_time_factor| {
            (sum + service_time_factor, count + 1.0)
        });
        let (service_time_factor, own) = self.observed_service_time_factor();
        let own = own.max(2.0);
        self.service_time_factor = (own * service_time_factor + sum) / (own + count);
    }

    /// Its pace by this dispatcher's own jobs, ended and overrunning, and how many they are.
    pub(crate) fn observed_service_time_factor(&self) -> (f64, f64) {
        let (sum, count) = self.overruns;
        if count == 0.0 {
            return (self.own_service_time_factor, self.factor_samples);
        }
        let ended = self.factor_samples.max(2.0);
        (
            (ended * self.own_service_time_factor + sum) / (ended + count),
            ended + count,
        )
    }
}
