//! One health check: its request, and the answer with the worker's load report.
use crate::http::{CompleteResponse, MAX_BODY_BYTES, ResponseReader};
use crate::wire::target;
use rosewall::types::{Outcome, Report};

/// What a health check asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheckTarget {
    /// Health alone.
    Health,
    /// Health and the load report.
    Load,
}

/// The bytes of a health check.
pub fn encode_health_check(host: &str, check: HealthCheckTarget) -> Vec<u8> {
    let target = match check {
        HealthCheckTarget::Health => target::HEALTH,
        HealthCheckTarget::Load => target::LOAD,
    };
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// What a health check came to.
#[derive(Debug)]
pub struct HealthCheckResult {
    /// How it ended.
    pub outcome: Outcome,
    /// The load report; empty where the worker sent none.
    pub report: Report,
    /// Whether the connection may be used again.
    pub reusable: bool,
}

/// Reads the answer to a health check, however its bytes are split.
pub struct HealthCheckReader<'a> {
    report_fields: &'a [String],
    response: ResponseReader,
}

impl<'a> HealthCheckReader<'a> {
    /// A reader for one answer. `report_fields` are the names of a report's values, in the order of [`Report::values`].
    pub fn new(report_fields: &'a [String]) -> Self {
        HealthCheckReader {
            report_fields,
            response: ResponseReader::default(),
        }
    }

    /// Takes in bytes; returns the result, once the answer is complete or cannot be read.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<HealthCheckResult> {
        let Ok(complete) = self.response.feed(bytes, MAX_BODY_BYTES) else {
            return Some(HealthCheckResult {
                outcome: Outcome::ConnectionLost,
                report: Report::default(),
                reusable: false,
            });
        };
        let CompleteResponse { body, reusable } = complete?;
        let outcome = match self.response.status() {
            Some(200) => Outcome::Succeeded,
            Some(503) => Outcome::AtCapacity,
            _ => Outcome::WorkerError,
        };
        Some(HealthCheckResult {
            outcome,
            report: parse_report(&body, self.report_fields),
            reusable,
        })
    }
}

/// Parses `name=value` pairs. A report that lacks a field counts as none.
fn parse_report(text: &[u8], fields: &[String]) -> Report {
    let text = String::from_utf8_lossy(text);
    let mut report = Report::default();
    for (value, field) in report.values.iter_mut().zip(fields) {
        let Some(reported) = field_value(&text, field).filter(|value| value.is_finite()) else {
            return Report::default();
        };
        *value = reported;
        report.count += 1;
    }
    report
}

fn field_value(text: &str, field: &str) -> Option<f32> {
    text.split([',', '\n'])
        .filter_map(|pair| pair.trim().split_once('='))
        .find(|(name, _)| name.trim() == field)
        .and_then(|(_, value)| value.trim().parse().ok())
}
