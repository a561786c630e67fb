//! The faults of a plan, and their form on the command line.
use crate::scale::command::ArgumentError;
use clap::ValueEnum;
use serde::Serialize;
use std::str::FromStr;

const FORM: &str = "KIND@SECOND[:VALUE[:SECONDS]], such as zone@2:8:5";
const MAX_NUMBERS: usize = 3;
const MAX_VALUE: f64 = 100_000.0;

/// A fault, written as `KIND@SECOND[:VALUE[:SECONDS]]`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start, in seconds from the start of the measured time.
    pub at_s: f64,
    /// Count, number of seconds, or number of a zone or region, depending on the kind; default 1.
    #[serde(rename = "figure")]
    pub value: f64,
    /// Duration in seconds, for kinds that end; default 3.
    #[serde(rename = "lasts_s")]
    pub duration_s: f64,
}

/// Kind of a fault; VALUE is the second number of the fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// VALUE dispatchers restart (by SIGTERM; simulated ones without a shutdown).
    Restart,
    /// All dispatchers restart one after the other, within VALUE seconds.
    Release,
    /// VALUE workers are replaced by new ones that have to warm up.
    Replace,
    /// One of VALUE machines, at least two, is lost for a time, with all dispatchers and workers on it.
    Rack,
    /// Zone number VALUE is lost for a time.
    Zone,
    /// Region number VALUE is lost for a time.
    Region,
    /// The first two regions are partitioned from each other for a time.
    #[serde(rename = "cut")]
    #[value(name = "cut")]
    Partition,
    /// The quorum members are killed for good, one every VALUE seconds.
    #[serde(rename = "keepers")]
    #[value(name = "keepers")]
    KillQuorum,
    /// Discovery is not available for a time.
    Discovery,
}

fn parse_kind(text: &str) -> Result<FaultKind, ArgumentError> {
    FaultKind::from_str(text, true).map_err(|_| {
        let values = FaultKind::value_variants()
            .iter()
            .filter_map(ValueEnum::to_possible_value);
        let names: Vec<String> = values.map(|value| value.get_name().to_string()).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        ArgumentError::unknown_name(text, &names)
    })
}

impl FromStr for Fault {
    type Err = ArgumentError;

    fn from_str(text: &str) -> Result<Fault, ArgumentError> {
        let malformed = || ArgumentError::malformed(text, FORM);
        let (kind, numbers) = text.split_once('@').ok_or_else(malformed)?;
        let kind = parse_kind(kind)?;
        let numbers: Result<Vec<f64>, _> = numbers.split(':').map(str::parse).collect();
        let numbers = numbers.map_err(|_| malformed())?;
        let is_valid = |value: &f64| value.is_finite() && (0.0..=MAX_VALUE).contains(value);
        if numbers.len() > MAX_NUMBERS || !numbers.iter().all(is_valid) {
            return Err(malformed());
        }
        let value_or = |index: usize, default| numbers.get(index).copied().unwrap_or(default);
        Ok(Fault {
            kind,
            at_s: value_or(0, 0.0),
            value: value_or(1, 1.0),
            duration_s: value_or(2, 3.0),
        })
    }
}
