//! What is known of one request class.
use super::histogram::{BINS, Bins, FIRST_BIN_START, bin_index, bin_start};
use super::request::Idempotency;
use crate::settings::{Map, pick, pick_or};
use crate::types::Nanos;

/// By what the settings reckon the worth of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum WeightBasis {
    /// Each unit of work of a class is worth the same.
    #[default]
    Work,
    /// Each request of a class is worth the same, however much work it is.
    Request,
}

impl WeightBasis {
    /// Reads the setting; without it, worth goes by work.
    pub(crate) fn read(map: &Map) -> Result<Self, String> {
        match pick_or(map, "priority_weight.basis", "work".to_string())?.as_str() {
            "work" => Ok(WeightBasis::Work),
            "request" => Ok(WeightBasis::Request),
            other => Err(format!(
                "setting priority_weight.basis cannot be read: {other:?}"
            )),
        }
    }
}

/// A class of which none has run is taken to run for so much of the time that its clients wait, at most: three quarters are
/// left for the queue, so that the first is sent.
pub(crate) const MAX_UNKNOWN_SERVICE_SHARE: f64 = 0.25;

pub struct RequestClass {
    pub idempotency: Idempotency,
    pub group: String,
    pub window: Nanos,
    pub latency_objective: f64,
    pub objective_stretch: f64,
    pub value: f64,
    pub worker_type: i64,
    pub high_priority: bool,
    pub histogram: Bins,
    pub seen: f64,
    /// Whether its requests come with hints, and else how long those settled ran: the mean, and of how many. Until one has
    /// settled the mean is the SLA time, as users want short jobs sooner than long ones. Guards against classes that all
    /// look alike at a dispatcher that sees few of each: their short requests then queue behind long ones.
    pub has_hints: bool,
    pub service_times: (f64, f64),
    /// All ready workers that may take it, and those of them that this dispatcher keeps to, in id order.
    pub eligible_workers: Vec<usize>,
    pub subset: Vec<usize>,
    /// The work of this class at which each lane ends.
    pub interval_bounds: Vec<f64>,
}

impl RequestClass {
    pub(crate) fn read(map: &Map, at: usize) -> Result<Self, String> {
        let name = |part: &str| format!("class.{at}.{part}");
        let latency_objective = pick::<f64>(map, &name("latency_objective"))?;
        Ok(RequestClass {
            idempotency: match pick::<String>(map, &name("idempotency"))?.as_str() {
                "idempotent" => Idempotency::Idempotent,
                "idempotent-with-key" => Idempotency::IdempotentWithKey,
                "non-idempotent" => Idempotency::NonIdempotent,
                other => {
                    return Err(format!(
                        "setting {} cannot be read: {other:?}",
                        name("idempotency")
                    ));
                }
            },
            group: pick(map, &name("retry_scope"))?,
            window: pick(map, &name("retry_window"))?,
            latency_objective,
            objective_stretch: pick_or(map, &name("objective_stretch"), 0.0)?,
            value: pick(map, &name("priority_weight"))?,
            worker_type: pick_or(map, &name("worker_type"), -1)?,
            high_priority: false,
            histogram: [0.0; BINS],
            seen: 0.0,
            has_hints: false,
            service_times: (
                latency_objective.max(FIRST_BIN_START).min(bin_start(BINS)),
                0.0,
            ),
            eligible_workers: Vec::new(),
            subset: Vec::new(),
            interval_bounds: Vec::new(),
        })
    }

    pub(crate) fn add(&mut self, work: f64) {
        self.histogram[bin_index(work).min(BINS - 1)] += work;
        self.seen += 1.0;
    }

    pub(crate) fn age(&mut self, keep: f64) {
        self.histogram.iter_mut().for_each(|work| *work *= keep);
        self.seen *= keep;
    }

    /// How long a request is taken to run: as it hints, else as those like it did. Guards against users who give no hints, for
    /// whom a figure out of the air has each worker look slow or fast by what it happened to run.
    pub(crate) fn expected_service_time(
        &mut self,
        hint: Option<Nanos>,
        slots: f64,
        waits: Nanos,
    ) -> f64 {
        self.has_hints |= hint.is_some();
        let (ran, count) = self.service_times;
        // Guards against requests declined until one has run, where the SLA time is near the time that clients wait.
        let ran = if count > 0.0 {
            ran
        } else {
            ran.min(MAX_UNKNOWN_SERVICE_SHARE * waits as f64)
        };
        let mean = if self.has_hints {
            self.mean() / slots
        } else {
            ran
        };
        hint.map_or(mean, |hint| hint as f64)
    }

    /// One ran so long. The last few dozen without a hint tell: the mix moves in minutes.
    pub(crate) fn observe_service_time(&mut self, hint: Option<Nanos>, service_time: f64) {
        let (mean, count) = &mut self.service_times;
        if hint.is_none() {
            *count = (*count + 1.0).min(50.0);
            *mean += (service_time - *mean) / *count;
        }
    }

    /// What a request is worth for each unit that the settings reckon by: per unit of work, a short one of the same value is
    /// worth more, as it takes less of the capacity.
    pub(crate) fn worth(&self, basis: WeightBasis) -> f64 {
        let value = self.value.max(1e-9);
        match basis {
            WeightBasis::Work => value,
            WeightBasis::Request => value / self.mean().max(1.0),
        }
    }

    /// How long a request of mean work may wait and still be in time.
    pub(crate) fn mean_time_to_spare(&self) -> f64 {
        (self.latency_objective + (self.objective_stretch - 1.0).max(0.0) * self.mean()).max(1.0)
    }

    /// The mean work of late.
    pub(crate) fn mean(&self) -> f64 {
        if self.seen > 0.0 {
            self.histogram.iter().sum::<f64>() / self.seen
        } else {
            self.service_times.0
        }
    }
}
