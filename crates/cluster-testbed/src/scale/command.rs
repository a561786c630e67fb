//! The command `scale`: one run or a sweep of sizes, reported as text or as lines of JSON, with bounds whose violation
//! makes the command fail.
use super::fit::{Line, Prediction, fit_line, predict_largest};
use super::metrics::metric;
use super::plan::Plan;
use super::{Measurement, output, run_plan};
use crate::error::TestbedError;
use clap::Args;
use serde::Serialize;

/// Error in an argument of the command.
#[derive(Debug, thiserror::Error)]
pub enum ArgumentError {
    /// A name is unknown.
    #[error("{name:?} is none of {known}")]
    UnknownName {
        /// Unknown name.
        name: String,
        /// Known names, separated by commas.
        known: String,
    },
    /// An argument is malformed.
    #[error("{text:?} does not have the form {form}")]
    Malformed {
        /// Malformed argument.
        text: String,
        /// Expected form.
        form: &'static str,
    },
}

impl ArgumentError {
    pub(super) fn unknown_name(name: &str, known: &[&str]) -> ArgumentError {
        ArgumentError::UnknownName {
            name: name.to_string(),
            known: known.join(", "),
        }
    }

    pub(super) fn malformed(text: &str, form: &'static str) -> ArgumentError {
        ArgumentError::Malformed {
            text: text.to_string(),
            form,
        }
    }
}

/// Largest value that a metric may have.
#[derive(Clone, Debug)]
struct Bound {
    name: String,
    max: f64,
}

/// Values of one plan parameter, each of which is run.
#[derive(Clone, Debug)]
struct Sweep {
    parameter: String,
    sizes: Vec<f64>,
}

/// Parses `NAME=NUMBER`.
fn parse_bound(text: &str) -> Result<Bound, ArgumentError> {
    let (name, max) = text
        .split_once('=')
        .ok_or_else(|| ArgumentError::malformed(text, "NAME=NUMBER"))?;
    metric(name)?;
    Ok(Bound {
        name: name.to_string(),
        max: max
            .parse()
            .map_err(|_| ArgumentError::malformed(max, "NUMBER"))?,
    })
}

/// Parses `NAME=NUMBER,NUMBER,...`.
fn parse_sweep(text: &str) -> Result<Sweep, ArgumentError> {
    let malformed = || ArgumentError::malformed(text, "NAME=NUMBER,NUMBER");
    let (parameter, sizes) = text.split_once('=').ok_or_else(malformed)?;
    let sizes: Result<Vec<f64>, _> = sizes.split(',').map(str::parse).collect();
    let sizes = sizes.map_err(|_| malformed())?;
    Plan::default().set(parameter, 1.0)?;
    Ok(Sweep {
        parameter: parameter.to_string(),
        sizes,
    })
}

fn parse_metric_name(text: &str) -> Result<String, ArgumentError> {
    metric(text)?;
    Ok(text.to_string())
}

/// Arguments of the command `scale`.
#[derive(Args)]
pub struct Scale {
    #[command(flatten)]
    plan: Plan,
    /// Upper bound on a metric, NAME=NUMBER, repeatable; exit code 1 if a run exceeds one. Metrics: view_s, healed_s, change_s,
    /// ready_s, cpu_percent, resident_mb, bytes, urgent_p99_ms, failed, cold_worst and others, listed after an unknown name
    #[arg(long = "most", value_name = "BOUND", value_parser = parse_bound)]
    bounds: Vec<Bound>,
    /// Values of a plan parameter to run one after the other, NAME=NUMBER,NUMBER,...; each `--slope` is fitted over them
    #[arg(long, value_name = "SIZES", value_parser = parse_sweep)]
    sweep: Option<Sweep>,
    /// Runs of each size, each with the next seed
    #[arg(long, default_value_t = 1)]
    repeats: u64,
    /// Metric to fit against the sizes, repeatable; same names as for `--most`
    #[arg(long = "slope", value_name = "NAME", value_parser = parse_metric_name)]
    slopes: Vec<String>,
}

/// A line fitted to one metric over several sizes.
#[derive(Serialize)]
pub(super) struct FittedSlope<'a> {
    #[serde(rename = "slope_of")]
    pub(super) metric: &'a str,
    #[serde(rename = "against")]
    pub(super) parameter: &'a str,
    pub(super) points: Vec<(f64, f64)>,
    pub(super) line: Option<Line>,
    #[serde(rename = "left_out")]
    pub(super) prediction: Option<Prediction>,
}

/// The measurement of one run of a size.
struct SizedMeasurement {
    size: f64,
    measurement: Measurement,
}

impl Scale {
    /// Runs all sizes and returns whether all metrics are within their bounds.
    pub fn run(&self, json: bool) -> Result<bool, TestbedError> {
        let mut within_bounds = true;
        let mut measurements = Vec::new();
        for (size, mut plan) in self.plans()? {
            for repeat in 0..self.repeats.max(1) {
                plan.seed = self.plan.seed + repeat;
                let measurement = run_plan(&plan)?;
                output::print_measurement(&measurement, json);
                within_bounds &= self.is_within_bounds(&measurement)?;
                measurements.push(SizedMeasurement { size, measurement });
            }
        }
        for name in &self.slopes {
            output::print_slope(&self.fit(name, &measurements)?, json);
        }
        Ok(within_bounds)
    }

    /// Returns the plan of each size, or the plan of the arguments if there is no sweep.
    fn plans(&self) -> Result<Vec<(f64, Plan)>, TestbedError> {
        let Some(sweep) = &self.sweep else {
            return Ok(vec![(0.0, self.plan.clone())]);
        };
        let mut plans = Vec::new();
        for size in &sweep.sizes {
            let mut plan = self.plan.clone();
            plan.set(&sweep.parameter, *size)?;
            plans.push((*size, plan));
        }
        Ok(plans)
    }

    /// Whether all metrics of a measurement are within their bounds; prints those that are not.
    fn is_within_bounds(&self, measurement: &Measurement) -> Result<bool, TestbedError> {
        let mut within = true;
        for Bound { name, max } in &self.bounds {
            let value = metric(name)?(measurement);
            if value > *max {
                within = false;
                eprintln!("  PASSED: {name} is {value:.3}, must be at most {max}");
            }
        }
        Ok(within)
    }

    fn fit<'a>(
        &'a self,
        name: &'a str,
        measurements: &[SizedMeasurement],
    ) -> Result<FittedSlope<'a>, TestbedError> {
        let metric = metric(name)?;
        let points = measurements
            .iter()
            .map(|sized| (sized.size, metric(&sized.measurement)));
        let points: Vec<(f64, f64)> = points.collect();
        let parameter = self.sweep.as_ref().map(|sweep| sweep.parameter.as_str());
        Ok(FittedSlope {
            metric: name,
            parameter: parameter.unwrap_or_default(),
            line: fit_line(&points),
            prediction: predict_largest(&points),
            points,
        })
    }
}
