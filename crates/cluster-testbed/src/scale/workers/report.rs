//! Counts and start times that the workers of a process record.
use crate::scale::control::SimulationError;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;

/// Upper bound of the histogram of start times: ten minutes.
const MAX_START_DELAY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Times from the sending of a request by its client until its start, in milliseconds, over urgent or non-urgent requests.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct StartTimes {
    /// Number of requests that started.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Maximum.
    #[serde(rename = "most")]
    pub max: f64,
}

impl From<&Histogram<u64>> for StartTimes {
    fn from(histogram: &Histogram<u64>) -> Self {
        let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
        StartTimes {
            count: histogram.len(),
            p50: quantile_ms(0.5),
            p90: quantile_ms(0.9),
            p99: quantile_ms(0.99),
            p999: quantile_ms(0.999),
            max: histogram.max() as f64 / 1e3,
        }
    }
}

/// Statistics of the workers of a process over the measured time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WorkersReport {
    /// Times to start of non-urgent requests.
    #[serde(rename = "usual")]
    pub non_urgent: StartTimes,
    /// Times to start of urgent requests.
    pub urgent: StartTimes,
    /// Requests that started.
    pub started: u64,
    /// Requests that completed.
    pub ended: u64,
    /// Requests that are running now.
    pub running: u64,
    /// Maximum number of requests running at once.
    #[serde(rename = "most_running")]
    pub max_running: u64,
    /// Requests that are queued now.
    pub waiting: u64,
    /// Connections that are open now.
    pub connections: u64,
    /// Connections that were opened.
    pub connects: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Largest ratio, over all windows of all replaced workers, of the work received to the overload limit.
    #[serde(rename = "cold_worst")]
    pub worst_window: f64,
    /// Workers that were replaced and had to warm up.
    #[serde(rename = "cold")]
    pub replaced_workers: u64,
}

fn histogram() -> Result<Histogram<u64>, SimulationError> {
    Ok(Histogram::new_with_bounds(
        1,
        MAX_START_DELAY_US,
        SIGNIFICANT_DIGITS,
    )?)
}

pub(super) struct Recorder {
    non_urgent: RefCell<Histogram<u64>>,
    urgent: RefCell<Histogram<u64>>,
    report: RefCell<WorkersReport>,
}

impl Recorder {
    pub(super) fn new() -> Result<Recorder, SimulationError> {
        Ok(Recorder {
            non_urgent: RefCell::new(histogram()?),
            urgent: RefCell::new(histogram()?),
            report: RefCell::default(),
        })
    }

    pub(super) fn change(&self, change: impl FnOnce(&mut WorkersReport)) {
        change(&mut self.report.borrow_mut());
    }

    pub(super) fn record_start(&self, urgent: bool, start_delay_us: u64) {
        let starts = if urgent {
            &self.urgent
        } else {
            &self.non_urgent
        };
        starts.borrow_mut().saturating_record(start_delay_us.max(1));
    }

    /// Starts the measured time: resets all statistics except the current state.
    pub(super) fn reset(&self) -> Result<(), SimulationError> {
        *self.non_urgent.borrow_mut() = histogram()?;
        *self.urgent.borrow_mut() = histogram()?;
        self.change(|report| {
            *report = WorkersReport {
                running: report.running,
                max_running: report.running,
                waiting: report.waiting,
                connections: report.connections,
                ..WorkersReport::default()
            };
        });
        Ok(())
    }

    pub(super) fn report(&self) -> WorkersReport {
        WorkersReport {
            non_urgent: StartTimes::from(&*self.non_urgent.borrow()),
            urgent: StartTimes::from(&*self.urgent.borrow()),
            ..self.report.borrow().clone()
        }
    }
}
