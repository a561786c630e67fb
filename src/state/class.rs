//! State and estimates of one request class.
use super::histogram::{BINS, Bins, FIRST_BIN_START, bin_index, bin_start};
use super::running_mean::RunningMean;
use crate::settings::{ClassSettings, WeightBasis};
use crate::types::Nanos;

/// Upper bound of the expected service time before any request of the class has completed, as a
/// fraction of the time to the deadline. The rest remains for queues, so that the first request is
/// sent.
const MAX_UNKNOWN_SERVICE_FRACTION: f64 = 0.25;

/// Lower bound of priority weights. Prevents division by zero.
const MIN_WEIGHT: f64 = 1e-9;

/// One request class: its settings, its recent requests and the workers that serve it.
pub(crate) struct RequestClass {
    pub(crate) settings: ClassSettings,
    /// Whether the class is above the median priority weight.
    pub(crate) high_priority: bool,
    /// Recent work by request size.
    pub(crate) histogram: Bins,
    /// Decayed number of recent requests in the histogram.
    pub(crate) request_count: f64,
    /// Whether any request of the class has had a hint.
    pub(crate) has_hints: bool,
    /// Service times of completed requests without hints. Starts at the latency objective, which
    /// distinguishes classes without completed requests, so that short requests do not queue behind
    /// long ones.
    pub(crate) service_times: RunningMean,
    /// Indices of all ready workers that may run requests of the class, ordered by worker id.
    pub(crate) eligible_workers: Vec<usize>,
    /// Indices of the eligible workers that this dispatcher uses, ordered by worker id.
    pub(crate) subset: Vec<usize>,
    /// For each worker of the subset, the cumulative work of this class at which its interval ends.
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

    /// Multiplies the weight of all earlier requests by `factor`.
    pub(crate) fn decay_histogram(&mut self, factor: f64) {
        self.histogram.iter_mut().for_each(|work| *work *= factor);
        self.request_count *= factor;
    }

    /// Returns the expected service time of a request: its hint, or without one the mean of earlier
    /// requests of the class.
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

    /// Adds the service time of a completed request to the mean if the request had no hint.
    pub(crate) fn observe_service_time(&mut self, hint: Option<Nanos>, service_time: f64) {
        if hint.is_none() {
            self.service_times.observe(service_time);
        }
    }

    /// Returns the priority weight for each unit of work. If the settings state weights by request, a
    /// short request has more weight per unit of work than a long one, as it uses less capacity.
    pub(crate) fn weight_per_work(&self, basis: WeightBasis) -> f64 {
        let weight = self.settings.priority_weight.max(MIN_WEIGHT);
        match basis {
            WeightBasis::Work => weight,
            WeightBasis::Request => weight / self.mean_work().max(1.0),
        }
    }

    /// Returns the slack of a request of mean work: the time that it may wait and still meet its
    /// latency objective.
    pub(crate) fn mean_slack(&self) -> f64 {
        let stretch = (self.settings.objective_stretch - 1.0).max(0.0);
        (self.settings.latency_objective + stretch * self.mean_work()).max(1.0)
    }

    /// Returns the mean work of recent requests, or the mean service time if there are none.
    pub(crate) fn mean_work(&self) -> f64 {
        if self.request_count > 0.0 {
            self.histogram.iter().sum::<f64>() / self.request_count
        } else {
            self.service_times.mean
        }
    }
}
