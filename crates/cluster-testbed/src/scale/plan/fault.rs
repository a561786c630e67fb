//! The faults of a plan, as the command takes them.
use crate::scale::command::ArgumentError;
use clap::ValueEnum;
use serde::Serialize;
use std::str::FromStr;

const FORM: &str = "KIND@SECOND[:FIGURE[:SECONDS]], such as zone@2:8:5";
const MAX_NUMBERS: usize = 3;
const MAX_VALUE: f64 = 100_000.0;

/// A fault, written as `KIND@SECOND[:FIGURE[:SECONDS]]`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fault {
    /// What it does.
    pub kind: FaultKind,
    /// When it begins.
    pub at_s: f64,
    /// How many, how long or which, by its kind.
    #[serde(rename = "figure")]
    pub value: f64,
    /// How long it is active.
    #[serde(rename = "lasts_s")]
    pub duration_s: f64,
}

/// What a fault does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// This many dispatchers restart (SIGTERM; simulated ones just end).
    Restart,
    /// All dispatchers restart one after the other, within this many seconds.
    Release,
    /// This many workers are replaced by cold ones.
    Replace,
    /// One of this many machines is lost, with all that runs on it, for a time.
    Rack,
    /// This zone is lost for a time.
    Zone,
    /// This region is lost for a time.
    Region,
    /// Nothing passes between the first two regions for a time.
    #[serde(rename = "cut")]
    #[value(name = "cut")]
    Partition,
    /// The members of the quorum are killed for good, one each so many seconds.
    #[serde(rename = "keepers")]
    #[value(name = "keepers")]
    KillQuorum,
    /// Discovery is down for a time.
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
