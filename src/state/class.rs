//! What is known of one request class.
use super::histogram::{BINS, Bins, FIRST_BIN_START, bin_index, bin_start};
use super::running_mean::RunningMean;
use crate::settings::{ClassSettings, WeightBasis};
use crate::types::Nanos;

/// The largest part of its clients' patience that a class is assumed to run for before any of its requests has
/// completed. The rest is left for queues, so that the first request is sent.
const MAX_UNKNOWN_SERVICE_FRACTION: f64 = 0.25;

/// A weight below which a class counts as one of this weight, so that weights can be divided by.
const MIN_WEIGHT: f64 = 1e-9;

/// One request class: its settings, its recent requests and the workers that serve it.
pub(crate) struct RequestClass {
    pub(crate) settings: ClassSettings,
    /// Whether the class is above the median priority weight.
    pub(crate) high_priority: bool,
    /// Recent work by size.
    pub(crate) histogram: Bins,
    /// The number of recent requests in the histogram.
    pub(crate) request_count: f64,
    pub(crate) has_hints: bool,
    /// Service times of completed requests without hints. Starts at the latency objective: classes that have not
    /// been seen to run are told apart by what their clients expect, so that short requests do not queue behind
    /// long ones.
    pub(crate) service_times: RunningMean,
    /// All ready workers that may run its requests, by id.
    pub(crate) eligible_workers: Vec<usize>,
    /// Those of them that this dispatcher uses, by id.
    pub(crate) subset: Vec<usize>,
    /// For each worker of the subset, the work of this class at which its interval ends.
    pub(crate) interval_bounds: Vec<f64>,
}

impl RequestClass {
    pub(crate) fn new(settings: ClassSettings) -> Self {
        let initial_service_time = settings
            .latency_objective
            .max(FIRST_BIN_START)
            .min(bin_start(BINS));
        RequestClass {
            settings,
            high_priority: false,
            histogram: [0.0; BINS],
            request_count: 0.0,
            has_hints: false,
            service_times: RunningMean::starting_at(initial_service_time),
            eligible_workers: Vec::new(),
            subset: Vec::new(),
            interval_bounds: Vec::new(),
        }
    }

    /// Adds a request to the histogram.
    pub(crate) fn record_request(&mut self, work: f64) {
        self.histogram[bin_index(work).min(BINS - 1)] += work;
        self.request_count += 1.0;
    }

    /// Reduces the weight of all earlier requests to `factor` of what it is.
    pub(crate) fn decay_histogram(&mut self, factor: f64) {
        self.histogram.iter_mut().for_each(|work| *work *= factor);
        self.request_count *= factor;
    }

    /// How long a request is expected to run: its hint, else the mean of earlier requests of the class.
    pub(crate) fn expected_service_time(
        &mut self,
        hint: Option<Nanos>,
        slots: f64,
        time_to_deadline: Nanos,
    ) -> f64 {
        self.has_hints |= hint.is_some();
        let observed = if self.service_times.samples > 0.0 {
            self.service_times.mean
        } else {
            // The latency objective may be close to the deadline, which would leave no time for any queue.
            self.service_times
                .mean
                .min(MAX_UNKNOWN_SERVICE_FRACTION * time_to_deadline as f64)
        };
        let mean = if self.has_hints {
            self.mean_work() / slots
        } else {
            observed
        };
        hint.map_or(mean, |hint| hint as f64)
    }

    /// Learns from a completed request, if it had no hint.
    pub(crate) fn observe_service_time(&mut self, hint: Option<Nanos>, service_time: f64) {
        if hint.is_none() {
            self.service_times.observe(service_time);
        }
    }

    /// The priority weight for each unit of work. Where the settings state weights by request, a short request weighs
    /// more than a long one, as it takes less of the capacity.
    pub(crate) fn weight_per_work(&self, basis: WeightBasis) -> f64 {
        let weight = self.settings.priority_weight.max(MIN_WEIGHT);
        match basis {
            WeightBasis::Work => weight,
            WeightBasis::Request => weight / self.mean_work().max(1.0),
        }
    }

    /// How long a request of mean work may wait and still meet its latency objective.
    pub(crate) fn mean_slack(&self) -> f64 {
        let stretch = (self.settings.objective_stretch - 1.0).max(0.0);
        (self.settings.latency_objective + stretch * self.mean_work()).max(1.0)
    }

    /// The mean work of recent requests.
    pub(crate) fn mean_work(&self) -> f64 {
        if self.request_count > 0.0 {
            self.histogram.iter().sum::<f64>() / self.request_count
        } else {
            self.service_times.mean
        }
    }
}
